"""Encodes summaries as columns of small integers, which are short on the wire."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import accumulate, pairwise
from typing import Any, TypeVar

import attrs

from citrondock_core.messages import Demand, ServiceCounter, ServiceTotal, Summary
from citrondock_wire.account_ids import AccountIds
from citrondock_wire.gen.citrondock_peer import ttypes

Entry = TypeVar("Entry", ServiceCounter, ServiceTotal, Demand)


@attrs.define
class BatchNames:
    """Routers, accounts and pools that one batch lists once and refers to by index."""

    routers: list[tuple[str, int]] = attrs.field(factory=list)
    accounts: list[str] = attrs.field(factory=list)
    pools: list[str] = attrs.field(factory=list)

    def router_index(self, vm_name: str, incarnation: int) -> int:
        """Return the index of a router incarnation, adding it if necessary."""
        return _index_of((vm_name, incarnation), self.routers)

    def pool_index(self, pool: str) -> int:
        """Return the index of a pool, adding it if necessary."""
        return _index_of(pool, self.pools)


def _index_of(item: Any, items: list) -> int:
    if item not in items:
        items.append(item)
    return items.index(item)


class SummaryCodec:
    """Converts a `Summary` to its thrift entry and back.

    Parameters
    ----------
    account_ids : AccountIds
        Ids of the configured accounts.
    """

    def __init__(self, account_ids: AccountIds) -> None:
        self._account_ids = account_ids

    def encode(self, summary: Summary, names: BatchNames) -> ttypes.SummaryEntry:
        """Return the thrift entry; what it refers to by index is added to ``names``."""
        entry = ttypes.SummaryEntry()
        if summary.counters:
            entry.counter_columns = self._encode_counters(summary.counters, names)
        if summary.totals:
            entry.totals = self._encode_totals(summary.totals, names)
        if summary.demands:
            entry.demand_columns = self._encode_demands(summary.demands, names)
        entry.sequence = summary.sequence or None
        entry.acknowledged = list(summary.acknowledged) or None
        entry.wants_totals = summary.wants_totals or None
        return entry

    def decode(self, entry: ttypes.SummaryEntry, names: BatchNames) -> Summary:
        """Return the summary without entries of accounts not configured here."""
        return Summary(
            counters=list(self._decode_counters(entry, names)),
            demands=list(self._decode_demands(entry, names)),
            totals=list(self._decode_totals(entry, names)),
            sequence=entry.sequence or 0,
            acknowledged=tuple(entry.acknowledged or ()),
            wants_totals=bool(entry.wants_totals),
        )

    def _sort_by_account_id(
        self, entries: Iterable[Entry], names: BatchNames
    ) -> tuple[list[Entry], list[int]]:
        with_ids = [
            (self._account_ids.id_of(e.account, names.accounts), e) for e in entries
        ]
        with_ids.sort(key=lambda pair: pair[0])
        ids: list[int] = [account_id for account_id, _ in with_ids]
        deltas: list[int] = [after - before for before, after in pairwise([0, *ids])]
        return [entry for _, entry in with_ids], deltas

    def _account_names(
        self, deltas: Sequence[int], names: BatchNames
    ) -> Iterator[str | None]:
        for account_id in accumulate(deltas):
            yield self._account_ids.name_of(account_id, names.accounts)

    def _encode_counters(
        self, counters: Iterable[ServiceCounter], names: BatchNames
    ) -> list[ttypes.CounterColumns]:
        groups = _group_by(counters, lambda c: (c.vm_name, c.incarnation, c.stream))
        columns = []
        for (vm_name, incarnation, stream), group in groups.items():
            ordered, deltas = self._sort_by_account_id(group, names)
            columns.append(
                ttypes.CounterColumns(
                    router=names.router_index(vm_name, incarnation),
                    stream=stream,
                    accounts=deltas,
                    charged_tokens=[int(c.charged_tokens) for c in ordered],
                    refunded_tokens=[int(c.refunded_tokens) for c in ordered],
                )
            )
        return columns

    def _decode_counters(
        self, entry: ttypes.SummaryEntry, names: BatchNames
    ) -> Iterator[ServiceCounter]:
        for columns in entry.counter_columns or ():
            vm_name, incarnation = names.routers[columns.router]
            if columns.stream is None:
                raise ValueError("counters lack their stream")
            accounts = self._account_names(columns.accounts, names)
            rows = zip(
                accounts, columns.charged_tokens, columns.refunded_tokens, strict=True
            )
            for account, charged, refunded in rows:
                if account is not None:
                    yield ServiceCounter(
                        vm_name=vm_name,
                        incarnation=incarnation,
                        stream=columns.stream,
                        account=account,
                        charged_tokens=charged,
                        refunded_tokens=refunded,
                    )

    def _encode_totals(
        self, totals: Iterable[ServiceTotal], names: BatchNames
    ) -> ttypes.TotalColumns:
        ordered, deltas = self._sort_by_account_id(totals, names)
        return ttypes.TotalColumns(
            accounts=deltas,
            charged_tokens=[int(t.charged_tokens) for t in ordered],
            refunded_tokens=[int(t.refunded_tokens) for t in ordered],
            lifted_tokens=_none_if_all_zero([int(t.lifted_tokens) for t in ordered]),
            clamped_tokens=_none_if_all_zero([int(t.clamped_tokens) for t in ordered]),
        )

    def _decode_totals(
        self, entry: ttypes.SummaryEntry, names: BatchNames
    ) -> Iterator[ServiceTotal]:
        columns = entry.totals
        if columns is None:
            return
        zeros = [0] * len(columns.accounts)
        rows = zip(
            self._account_names(columns.accounts, names),
            columns.charged_tokens,
            columns.refunded_tokens,
            columns.lifted_tokens or zeros,
            columns.clamped_tokens or zeros,
            strict=True,
        )
        for account, charged, refunded, lifted, clamped in rows:
            if account is not None:
                yield ServiceTotal(
                    account=account,
                    charged_tokens=charged,
                    refunded_tokens=refunded,
                    lifted_tokens=lifted,
                    clamped_tokens=clamped,
                )

    def _encode_demands(
        self, demands: Iterable[Demand], names: BatchNames
    ) -> list[ttypes.DemandColumns]:
        columns = []
        for pool, group in _group_by(demands, lambda d: d.pool).items():
            ordered, deltas = self._sort_by_account_id(group, names)
            routers = [names.router_index(d.vm_name, d.incarnation) for d in ordered]
            columns.append(
                ttypes.DemandColumns(
                    pool=names.pool_index(pool),
                    accounts=deltas,
                    routers=routers,
                    waiting_counts=[d.waiting_count for d in ordered],
                    sequences=[d.sequence for d in ordered],
                )
            )
        return columns

    def _decode_demands(
        self, entry: ttypes.SummaryEntry, names: BatchNames
    ) -> Iterator[Demand]:
        for columns in entry.demand_columns or ():
            rows = zip(
                self._account_names(columns.accounts, names),
                columns.routers,
                columns.waiting_counts,
                columns.sequences,
                strict=True,
            )
            for account, router, waiting_count, sequence in rows:
                vm_name, incarnation = names.routers[router]
                if account is not None:
                    yield Demand(
                        vm_name=vm_name,
                        incarnation=incarnation,
                        pool=names.pools[columns.pool],
                        account=account,
                        waiting_count=waiting_count,
                        sequence=sequence,
                    )


def _none_if_all_zero(column: list[int]) -> list[int] | None:
    return column if any(column) else None


def _group_by(
    entries: Iterable[Entry], key: Callable[[Entry], Any]
) -> dict[Any, list[Entry]]:
    groups: dict[Any, list[Entry]] = {}
    for entry in entries:
        groups.setdefault(key(entry), []).append(entry)
    return groups

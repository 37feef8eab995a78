"""Summaries as columns of small numbers."""

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
    """Names that one batch carries in full."""

    routers: list[tuple[str, int]] = attrs.field(factory=list)
    accounts: list[str] = attrs.field(factory=list)
    pools: list[str] = attrs.field(factory=list)

    def router_index(self, vm_name: str, incarnation: int) -> int:
        """Return the index of a router incarnation."""
        return _index((vm_name, incarnation), self.routers)

    def pool_index(self, pool: str) -> int:
        """Return the index of a pool."""
        return _index(pool, self.pools)


def _index(item: Any, items: list) -> int:
    if item not in items:
        items.append(item)
    return items.index(item)


class SummaryCodec:
    """Turns a `Summary` into its thrift entry and back.

    Parameters
    ----------
    names : AccountIds
        Ids of the accounts of the configuration.
    """

    def __init__(self, names: AccountIds) -> None:
        self._names = names

    def encode(self, summary: Summary, lists: BatchNames) -> ttypes.SummaryEntry:
        """Return the entry; names without an id go into ``lists``."""
        entry = ttypes.SummaryEntry()
        if summary.counters:
            entry.counter_columns = self._counters(summary.counters, lists)
        if summary.totals:
            entry.totals = self._totals(summary.totals, lists)
        if summary.demands:
            entry.demand_columns = self._demands(summary.demands, lists)
        entry.sequence = summary.sequence or None
        entry.acknowledged = list(summary.acknowledged) or None
        entry.wants_totals = summary.wants_totals or None
        return entry

    def decode(self, entry: ttypes.SummaryEntry, lists: BatchNames) -> Summary:
        """Return the summary; entries of accounts not known here are left out."""
        return Summary(
            counters=list(self._decode_counters(entry, lists)),
            demands=list(self._decode_demands(entry, lists)),
            totals=list(self._decode_totals(entry, lists)),
            sequence=entry.sequence or 0,
            acknowledged=tuple(entry.acknowledged or ()),
            wants_totals=bool(entry.wants_totals),
        )

    def _ordered(
        self, entries: Iterable[Entry], lists: BatchNames
    ) -> tuple[list[Entry], list[int]]:
        numbered = [(self._names.number(e.account, lists.accounts), e) for e in entries]
        numbered.sort(key=lambda pair: pair[0])
        numbers: list[int] = [number for number, _ in numbered]
        steps: list[int] = [after - before for before, after in pairwise([0, *numbers])]
        return [entry for _, entry in numbered], steps

    def _accounts(
        self, steps: Sequence[int], lists: BatchNames
    ) -> Iterator[str | None]:
        for number in accumulate(steps):
            yield self._names.name(number, lists.accounts)

    def _counters(
        self, counters: Iterable[ServiceCounter], lists: BatchNames
    ) -> list[ttypes.CounterColumns]:
        groups = _grouped(counters, lambda c: (c.vm_name, c.incarnation, c.stream))
        columns = []
        for (vm_name, incarnation, stream), group in groups.items():
            ordered, steps = self._ordered(group, lists)
            columns.append(
                ttypes.CounterColumns(
                    router=lists.router_index(vm_name, incarnation),
                    stream=stream,
                    accounts=steps,
                    charged_tokens=[int(c.charged_tokens) for c in ordered],
                    refunded_tokens=[int(c.refunded_tokens) for c in ordered],
                )
            )
        return columns

    def _decode_counters(
        self, entry: ttypes.SummaryEntry, lists: BatchNames
    ) -> Iterator[ServiceCounter]:
        for columns in entry.counter_columns or ():
            vm_name, incarnation = lists.routers[columns.router]
            if columns.stream is None:
                raise ValueError("counters lack their stream")
            accounts = self._accounts(columns.accounts, lists)
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

    def _totals(
        self, totals: Iterable[ServiceTotal], lists: BatchNames
    ) -> ttypes.TotalColumns:
        ordered, steps = self._ordered(totals, lists)
        return ttypes.TotalColumns(
            accounts=steps,
            charged_tokens=[int(t.charged_tokens) for t in ordered],
            refunded_tokens=[int(t.refunded_tokens) for t in ordered],
            lifted_tokens=_unless_zero([int(t.lifted_tokens) for t in ordered]),
            clamped_tokens=_unless_zero([int(t.clamped_tokens) for t in ordered]),
        )

    def _decode_totals(
        self, entry: ttypes.SummaryEntry, lists: BatchNames
    ) -> Iterator[ServiceTotal]:
        columns = entry.totals
        if columns is None:
            return
        zeros = [0] * len(columns.accounts)
        rows = zip(
            self._accounts(columns.accounts, lists),
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

    def _demands(
        self, demands: Iterable[Demand], lists: BatchNames
    ) -> list[ttypes.DemandColumns]:
        columns = []
        for pool, group in _grouped(demands, lambda d: d.pool).items():
            ordered, steps = self._ordered(group, lists)
            routers = [lists.router_index(d.vm_name, d.incarnation) for d in ordered]
            columns.append(
                ttypes.DemandColumns(
                    pool=lists.pool_index(pool),
                    accounts=steps,
                    routers=routers,
                    waiting_counts=[d.waiting_count for d in ordered],
                    sequences=[d.sequence for d in ordered],
                )
            )
        return columns

    def _decode_demands(
        self, entry: ttypes.SummaryEntry, lists: BatchNames
    ) -> Iterator[Demand]:
        for columns in entry.demand_columns or ():
            rows = zip(
                self._accounts(columns.accounts, lists),
                columns.routers,
                columns.waiting_counts,
                columns.sequences,
                strict=True,
            )
            for account, router, waiting_count, sequence in rows:
                vm_name, incarnation = lists.routers[router]
                if account is not None:
                    yield Demand(
                        vm_name=vm_name,
                        incarnation=incarnation,
                        pool=lists.pools[columns.pool],
                        account=account,
                        waiting_count=waiting_count,
                        sequence=sequence,
                    )


def _unless_zero(column: list[int]) -> list[int] | None:
    return column if any(column) else None


def _grouped(
    entries: Iterable[Entry], key: Callable[[Entry], Any]
) -> dict[Any, list[Entry]]:
    groups: dict[Any, list[Entry]] = {}
    for entry in entries:
        groups.setdefault(key(entry), []).append(entry)
    return groups

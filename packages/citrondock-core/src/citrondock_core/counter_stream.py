"""Replication of service counters from each router to the relays that sum them."""

from collections.abc import Iterable, Mapping

import attrs

from citrondock_core.messages import ServiceCounter
from citrondock_core.service_ledger import TokenCounter

StreamId = tuple[int, int]
"""Incarnation of a sender and number of its stream; larger is newer."""


@attrs.frozen
class Increment:
    """Growth of an account's counter by one merge, in tokens."""

    account: str
    charged_tokens: float
    refunded_tokens: float


class CounterTable:
    """Sums the counters of several routers per account.

    A counter is merged by taking the maximum, so the result depends neither on the
    order of the merges nor on their number. Streams that a newer stream of the same
    router has replaced are kept until `fold`.
    """

    def __init__(self) -> None:
        self._streams_by_vm: dict[str, dict[StreamId, dict[str, TokenCounter]]] = {}
        self._newest_folded: dict[str, StreamId] = {}
        self._folded_totals: dict[str, TokenCounter] = {}

    def merge(self, counter: ServiceCounter) -> Increment | None:
        """Merge one counter.

        Returns
        -------
        Increment or None
            Growth of the account's sum, or None when it did not grow.
        """
        number = (counter.incarnation, counter.stream)
        if number <= self._newest_folded.get(counter.vm_name, (-1, -1)):
            return None
        streams = self._streams_by_vm.setdefault(counter.vm_name, {})
        known = streams.setdefault(number, {}).setdefault(
            counter.account, TokenCounter()
        )
        charged = max(0.0, counter.charged_tokens - known.charged_tokens)
        refunded = max(0.0, counter.refunded_tokens - known.refunded_tokens)
        known.merge(counter.charged_tokens, counter.refunded_tokens)
        if not charged and not refunded:
            return None
        return Increment(counter.account, charged, refunded)

    @property
    def stream_count(self) -> int:
        """Number of streams not yet folded."""
        return sum(len(streams) for streams in self._streams_by_vm.values())

    def total(self, account: str) -> TokenCounter:
        """Return an account's sum over all routers, incarnations and streams."""
        total = self._folded_totals.get(account, TokenCounter()).copy()
        for streams in self._streams_by_vm.values():
            for counters in streams.values():
                counter = counters.get(account)
                if counter is not None:
                    total.add(counter.charged_tokens, counter.refunded_tokens)
        return total

    def fold(self) -> None:
        """Add replaced streams to the folded totals, so that memory stays bounded."""
        for vm_name, streams in self._streams_by_vm.items():
            newest = max(streams)
            for number in [number for number in streams if number < newest]:
                self._fold_stream(vm_name, number, streams.pop(number))

    def _fold_stream(
        self, vm_name: str, number: StreamId, counters: dict[str, TokenCounter]
    ) -> None:
        self._newest_folded[vm_name] = max(
            number, self._newest_folded.get(vm_name, number)
        )
        for account, counter in counters.items():
            base = self._folded_totals.setdefault(account, TokenCounter())
            base.add(counter.charged_tokens, counter.refunded_tokens)


@attrs.frozen
class _PendingMessage:
    sent_at_s: float
    counters: dict[str, TokenCounter]


class CounterStream:
    """Selects the counters to send to one receiver, and tracks acknowledgements.

    Counters are sent relative to a baseline. When the receiver changes, a new stream
    starts, whose baseline is what the former receiver has acknowledged. So nothing is
    summed twice.

    Parameters
    ----------
    source : mapping of str to TokenCounter
        Counters to send, by account; they only grow.
    number : int
        Number of the first stream.
    """

    def __init__(self, source: Mapping[str, TokenCounter], *, number: int) -> None:
        self._source = source
        self._number = number
        self._baseline: dict[str, TokenCounter] = {}
        self._sent: dict[str, TokenCounter] = {}
        self.acknowledged: dict[str, TokenCounter] = {}
        self._pending: dict[int, _PendingMessage] = {}

    def restart(self, *, number: int) -> set[str]:
        """Start a stream to a new receiver; return the accounts to send again."""
        self._number = number
        self._baseline = {a: c.copy() for a, c in self.acknowledged.items()}
        lost = {a for p in self._pending.values() for a in p.counters}
        self._pending.clear()
        self._sent = dict(self._baseline)
        return lost

    def collect(
        self,
        accounts: Iterable[str],
        *,
        sender: str,
        incarnation: int,
        min_change_tokens: float,
        sequence: int,
        now_s: float,
    ) -> tuple[list[ServiceCounter], set[str]]:
        """Return the counters to send now, and the accounts deferred for later.

        Parameters
        ----------
        accounts : iterable of str
            Accounts whose counters may have changed.
        sender : str
            VM name of this router.
        incarnation : int
            Incarnation of this router.
        min_change_tokens : float
            Smallest change of an account's service that is worth sending.
        sequence : int
            Number of the message, by which the receiver acknowledges it.
        now_s : float
            Current monotonic time.

        Returns
        -------
        tuple of list of ServiceCounter and set of str
            Counters to send, and accounts whose change is still too small.
        """
        counters = []
        deferred = set()
        pending: dict[str, TokenCounter] = {}
        for account in sorted(accounts):
            value = self._source.get(account)
            if value is None:
                continue
            if not self._changed_enough(account, value, min_change_tokens):
                deferred.add(account)
                continue
            pending[account] = value.copy()
            baseline = self._baseline.get(account, TokenCounter())
            counters.append(
                ServiceCounter(
                    vm_name=sender,
                    incarnation=incarnation,
                    stream=self._number,
                    account=account,
                    charged_tokens=value.charged_tokens - baseline.charged_tokens,
                    refunded_tokens=value.refunded_tokens - baseline.refunded_tokens,
                )
            )
        self._sent.update(pending)
        if pending:
            self._pending[sequence] = _PendingMessage(now_s, pending)
        return counters, deferred

    def acknowledge(self, sequences: Iterable[int]) -> set[str]:
        """Record that messages were merged; return the accounts that they contained."""
        updated: set[str] = set()
        for sequence in sequences:
            pending = self._pending.pop(sequence, None)
            if pending is None:
                continue
            for account, counter in pending.counters.items():
                known = self.acknowledged.setdefault(account, TokenCounter())
                known.merge(counter.charged_tokens, counter.refunded_tokens)
                updated.add(account)
        return updated

    def expire(self, *, sent_before_s: float) -> set[str]:
        """Drop old unacknowledged messages; return the accounts to send again."""
        lost: set[str] = set()
        for sequence, pending in list(self._pending.items()):
            if pending.sent_at_s < sent_before_s:
                del self._pending[sequence]
                lost.update(pending.counters)
        for account in lost:
            self._sent[account] = self.acknowledged.get(account, TokenCounter())
        return lost

    def _changed_enough(
        self, account: str, value: TokenCounter, min_change_tokens: float
    ) -> bool:
        sent = self._sent.get(account, TokenCounter())
        charged = value.charged_tokens - sent.charged_tokens
        refunded = value.refunded_tokens - sent.refunded_tokens
        if charged <= 0 and refunded <= 0:
            return False
        return abs(charged - refunded) >= min_change_tokens

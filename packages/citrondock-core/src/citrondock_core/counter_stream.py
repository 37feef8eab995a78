"""Counters on their way from a router to the one that sums them."""

from collections.abc import Iterable, Mapping

import attrs

from citrondock_core.messages import ServiceCounter
from citrondock_core.service_ledger import Counter

StreamNumber = tuple[int, int]
"""Incarnation and stream of a sender; larger is newer."""


@attrs.frozen
class Increment:
    """Service that a counter showed for the first time."""

    account: str
    charged_tokens: float
    refunded_tokens: float


class CounterTable:
    """Counters of several routers, merged by maximum.

    The result depends neither on the order nor on the number of merges. Streams
    that a newer one of the same router has replaced are kept until `fold`.
    """

    def __init__(self) -> None:
        self._sources: dict[str, dict[StreamNumber, dict[str, Counter]]] = {}
        self._folded: dict[str, StreamNumber] = {}
        self._base: dict[str, Counter] = {}

    def merge(self, counter: ServiceCounter) -> Increment | None:
        """Merge one counter.

        Returns
        -------
        Increment or None
            By how much the sum grew, or None when it did not.
        """
        number = (counter.incarnation, counter.stream)
        if number <= self._folded.get(counter.vm_name, (-1, -1)):
            return None
        streams = self._sources.setdefault(counter.vm_name, {})
        known = streams.setdefault(number, {}).setdefault(counter.account, Counter())
        charged = max(0.0, counter.charged_tokens - known.charged_tokens)
        refunded = max(0.0, counter.refunded_tokens - known.refunded_tokens)
        known.merge(counter.charged_tokens, counter.refunded_tokens)
        if not charged and not refunded:
            return None
        return Increment(counter.account, charged, refunded)

    @property
    def stream_count(self) -> int:
        """Streams that are not folded."""
        return sum(len(streams) for streams in self._sources.values())

    def total(self, account: str) -> Counter:
        """Return the sum over all routers, incarnations and streams."""
        total = self._base.get(account, Counter()).copy()
        for streams in self._sources.values():
            for counters in streams.values():
                counter = counters.get(account)
                if counter is not None:
                    total.add(counter.charged_tokens, counter.refunded_tokens)
        return total

    def fold(self) -> None:
        """Move replaced streams into the base, so that state stays bounded."""
        for vm_name, streams in self._sources.items():
            newest = max(streams)
            for number in [number for number in streams if number < newest]:
                self._fold_stream(vm_name, number, streams.pop(number))

    def _fold_stream(
        self, vm_name: str, number: StreamNumber, counters: dict[str, Counter]
    ) -> None:
        self._folded[vm_name] = max(number, self._folded.get(vm_name, number))
        for account, counter in counters.items():
            base = self._base.setdefault(account, Counter())
            base.add(counter.charged_tokens, counter.refunded_tokens)


@attrs.frozen
class _Pending:
    sent_at_s: float
    counters: dict[str, Counter]


class CounterStream:
    """Sends counters of this router to one receiver, relative to a start.

    A new receiver gets a new stream that starts from what the former one has
    acknowledged, so that nothing is summed twice.

    Parameters
    ----------
    source : mapping of str to Counter
        Growing counters by account.
    number : int
        Number of the first stream.
    """

    def __init__(self, source: Mapping[str, Counter], *, number: int) -> None:
        self._source = source
        self._number = number
        self._start: dict[str, Counter] = {}
        self._sent: dict[str, Counter] = {}
        self.acknowledged: dict[str, Counter] = {}
        self._pending: dict[int, _Pending] = {}

    def restart(self, *, number: int) -> set[str]:
        """Begin a stream to a new receiver; return accounts to send."""
        self._number = number
        self._start = {a: c.copy() for a, c in self.acknowledged.items()}
        lost = {a for p in self._pending.values() for a in p.counters}
        self._pending.clear()
        self._sent = dict(self._start)
        return lost

    def collect(
        self,
        accounts: Iterable[str],
        *,
        sender: str,
        incarnation: int,
        quantum_tokens: float,
        sequence: int,
        now_s: float,
    ) -> tuple[list[ServiceCounter], set[str]]:
        """Return counters that changed by a quantum, and accounts left for later."""
        counters = []
        left = set()
        pending: dict[str, Counter] = {}
        for account in sorted(accounts):
            value = self._source.get(account)
            if value is None:
                continue
            if not self._worth_sending(account, value, quantum_tokens):
                left.add(account)
                continue
            pending[account] = value.copy()
            start = self._start.get(account, Counter())
            counters.append(
                ServiceCounter(
                    vm_name=sender,
                    incarnation=incarnation,
                    stream=self._number,
                    account=account,
                    charged_tokens=value.charged_tokens - start.charged_tokens,
                    refunded_tokens=value.refunded_tokens - start.refunded_tokens,
                )
            )
        self._sent.update(pending)
        if pending:
            self._pending[sequence] = _Pending(now_s, pending)
        return counters, left

    def acknowledge(self, sequences: Iterable[int]) -> set[str]:
        """Note that messages were merged; return accounts whose part moved."""
        moved: set[str] = set()
        for sequence in sequences:
            pending = self._pending.pop(sequence, None)
            if pending is None:
                continue
            for account, counter in pending.counters.items():
                known = self.acknowledged.setdefault(account, Counter())
                known.merge(counter.charged_tokens, counter.refunded_tokens)
                moved.add(account)
        return moved

    def expire(self, *, sent_before_s: float) -> set[str]:
        """Give up on messages never acknowledged; return accounts to send again."""
        lost: set[str] = set()
        for sequence, pending in list(self._pending.items()):
            if pending.sent_at_s < sent_before_s:
                del self._pending[sequence]
                lost.update(pending.counters)
        for account in lost:
            self._sent[account] = self.acknowledged.get(account, Counter())
        return lost

    def _worth_sending(
        self, account: str, value: Counter, quantum_tokens: float
    ) -> bool:
        sent = self._sent.get(account, Counter())
        charged = value.charged_tokens - sent.charged_tokens
        refunded = value.refunded_tokens - sent.refunded_tokens
        if charged <= 0 and refunded <= 0:
            return False
        return abs(charged - refunded) >= quantum_tokens

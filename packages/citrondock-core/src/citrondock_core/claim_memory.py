"""Recently ended claims of one router, in case the store loses them."""

import threading
from collections import OrderedDict
from collections.abc import Sequence

import attrs

from citrondock_core.claim import ClaimKey, ClaimState
from citrondock_core.claim_shard import ClaimRecord


@attrs.frozen(kw_only=True)
class _Remembered:
    record: ClaimRecord
    forget_deadline_s: float


class ClaimMemory:
    """Keeps the claims that this router ended recently, the latest of each key.

    Parameters
    ----------
    remember_s : float
        Time for which a claim is kept.
    max_count : int
        Most claims kept; the oldest are forgotten first.
    """

    def __init__(self, *, remember_s: float, max_count: int) -> None:
        self._remember_s = remember_s
        self._max_count = max_count
        self._by_key: OrderedDict[str, _Remembered] = OrderedDict()
        self._lock = threading.Lock()

    def add(self, record: ClaimRecord, *, now_s: float) -> None:
        """Keep an ended claim; its state says how it ended."""
        with self._lock:
            self._by_key[record.key.text] = _Remembered(
                record=record, forget_deadline_s=now_s + self._remember_s
            )
            self._by_key.move_to_end(record.key.text)
            self._forget_expired(now_s)
            while len(self._by_key) > self._max_count:
                self._by_key.popitem(last=False)

    def find(self, key: ClaimKey, *, now_s: float) -> ClaimRecord | None:
        """Return the claim of a key if the call ran or may have run, or None."""
        with self._lock:
            self._forget_expired(now_s)
            found = self._by_key.get(key.text)
        if found is None or found.record.state is ClaimState.RELEASED:
            return None
        return found.record

    def records(self, *, now_s: float) -> Sequence[ClaimRecord]:
        """Return all claims, oldest first."""
        with self._lock:
            self._forget_expired(now_s)
            return [each.record for each in self._by_key.values()]

    def _forget_expired(self, now_s: float) -> None:
        while self._by_key:
            oldest = next(iter(self._by_key.values()))
            if oldest.forget_deadline_s > now_s:
                return
            self._by_key.popitem(last=False)

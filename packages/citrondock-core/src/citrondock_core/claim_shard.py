"""Claims that share one object of the store."""

from collections.abc import Iterable
from typing import Self

import attrs
from cattrs.preconf.json import make_converter

from citrondock_core.claim import ClaimKey, ClaimOutcome, ClaimState
from citrondock_core.claim_errors import (
    ClaimHeldError,
    ClaimKeyError,
    ClaimUnresolvedError,
)

CLOCK_SKEW_S = 60.0

_converter = make_converter()


@attrs.frozen(kw_only=True)
class ClaimRecord:
    """A claim as it stands in the store.

    Parameters
    ----------
    key : ClaimKey
        What is claimed.
    request_digest : str
        Digest of the request, to refuse the key for another one.
    token : str
        Token of the attempt that holds the claim.
    holder : str
        Router that holds it.
    state : ClaimState
        Held, finished or unknown.
    answer_deadline_unix_s : float
        Time by which a live holder has the answer.
    expiry_deadline_unix_s : float
        End of the window in which the key is remembered.
    outcome : ClaimOutcome or None
        The first answer.
    """

    key: ClaimKey
    request_digest: str
    token: str
    holder: str
    answer_deadline_unix_s: float
    expiry_deadline_unix_s: float
    state: ClaimState = ClaimState.HELD
    outcome: ClaimOutcome | None = None


@attrs.frozen(kw_only=True)
class _Document:
    records: tuple[ClaimRecord, ...]


class ClaimShard:
    """Claims of one shard, with the rules by which they change.

    Parameters
    ----------
    records : iterable of ClaimRecord
        Its claims.
    """

    def __init__(self, records: Iterable[ClaimRecord] = ()) -> None:
        self._records = {record.key.text: record for record in records}

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Return the shard that `encode` wrote."""
        return cls(_converter.loads(value, _Document).records)

    def encode(self, *, max_bytes: int) -> bytes | None:
        """Return the shard's value, or None when it can't be made small enough.

        Kept bodies go first, those of the oldest claims before others.
        """
        value = self._encoded()
        bodies = [r for r in self._records.values() if r.outcome and r.outcome.body]
        bodies.sort(key=lambda record: record.expiry_deadline_unix_s)
        while len(value) > max_bytes and bodies:
            half = (len(bodies) + 1) // 2
            for record in bodies[:half]:
                self._drop_body(record)
            del bodies[:half]
            value = self._encoded()
        return value if len(value) <= max_bytes else None

    def copy(self) -> "ClaimShard":
        """Return a shard that changes on its own."""
        return ClaimShard(self._records.values())

    def collect(self, *, now_unix_s: float) -> None:
        """Forget claims whose window is over, with a margin for skewed clocks."""
        self._records = {
            text: record
            for text, record in self._records.items()
            if record.expiry_deadline_unix_s + CLOCK_SKEW_S > now_unix_s
        }

    def find(self, key: ClaimKey) -> ClaimRecord | None:
        """Return the claim of a key."""
        return self._records.get(key.text)

    def acquire(self, wanted: ClaimRecord, *, now_unix_s: float) -> ClaimOutcome | None:
        """Enter a claim, or return the outcome of a finished one.

        Raises
        ------
        ClaimKeyError
            The key was used for another request.
        ClaimHeldError
            Another attempt is under way.
        ClaimUnresolvedError
            An earlier attempt may have run.
        """
        found = self.find(wanted.key)
        if found is None:
            self._records[wanted.key.text] = wanted
            return None
        if found.token == wanted.token:
            return None
        return answer_from(found, wanted.request_digest, now_unix_s=now_unix_s)

    def settle(self, key: ClaimKey, token: str, outcome: ClaimOutcome | None) -> bool:
        """Keep the outcome of the attempt with this token; None is unknown.

        Returns whether this changed the claim.
        """
        found = self.find(key)
        if found is None or found.token != token:
            return False
        if found.state is not ClaimState.HELD:
            return False
        state = ClaimState.FINISHED if outcome else ClaimState.UNKNOWN
        self._records[key.text] = attrs.evolve(found, state=state, outcome=outcome)
        return True

    def release(self, key: ClaimKey, token: str) -> None:
        """Forget the claim of the attempt with this token."""
        found = self.find(key)
        if found is not None and found.token == token:
            del self._records[key.text]

    def _encoded(self) -> bytes:
        document = _Document(records=tuple(self._records.values()))
        return _converter.dumps(document, separators=(",", ":")).encode()

    def _drop_body(self, record: ClaimRecord) -> None:
        assert record.outcome is not None
        outcome = record.outcome.bounded(0)
        self._records[record.key.text] = attrs.evolve(record, outcome=outcome)


def answer_from(
    found: ClaimRecord, request_digest: str, *, now_unix_s: float
) -> ClaimOutcome:
    """Return what an earlier attempt's claim means for a new attempt.

    Raises as `ClaimShard.acquire` does.
    """
    if found.request_digest != request_digest:
        raise ClaimKeyError.of("the key was used for a different request")
    if found.state is ClaimState.FINISHED and found.outcome is not None:
        return found.outcome
    if found.state is ClaimState.HELD and now_unix_s < found.answer_deadline_unix_s:
        raise ClaimHeldError.of(
            "another attempt with this key is under way", peer=found.holder
        )
    raise ClaimUnresolvedError.of(
        "an earlier attempt with this key may have run; its outcome is not known",
        peer=found.holder,
    )

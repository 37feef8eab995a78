"""Shards: groups of claims that are stored in one object."""

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
    """A claim as it is stored.

    Parameters
    ----------
    key : ClaimKey
        Key of the claimed call.
    request_digest : str
        Digest of the request, to detect a key that is used for another one.
    token : str
        Token of the attempt that holds the claim.
    holder : str
        Router that holds the claim.
    state : ClaimState
        Held, finished or unknown.
    answer_deadline_unix_s : float
        Unix time by which a live holder has the response.
    expiry_deadline_unix_s : float
        Unix time until which the claim is kept.
    outcome : ClaimOutcome or None
        Outcome of a finished call.
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
    """The claims of one shard, with the rules for changing them.

    Parameters
    ----------
    records : iterable of ClaimRecord
        Claims in the shard.
    """

    def __init__(self, records: Iterable[ClaimRecord] = ()) -> None:
        self._records = {record.key.text: record for record in records}

    @classmethod
    def decode(cls, value: bytes) -> Self:
        """Return the shard from a value written by `encode`."""
        return cls(_converter.loads(value, _Document).records)

    def encode(self, *, max_bytes: int) -> bytes | None:
        """Return the encoded shard, or None if it does not fit into ``max_bytes``.

        To make it fit, the bodies of responses are dropped, oldest claims first.
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
        """Return an independent copy of the shard."""
        return ClaimShard(self._records.values())

    def remove_expired(self, *, now_unix_s: float) -> None:
        """Remove expired claims, with a margin of `CLOCK_SKEW_S` for skewed clocks."""
        self._records = {
            text: record
            for text, record in self._records.items()
            if record.expiry_deadline_unix_s + CLOCK_SKEW_S > now_unix_s
        }

    def find(self, key: ClaimKey) -> ClaimRecord | None:
        """Return the claim of a key, or None."""
        return self._records.get(key.text)

    def acquire(self, wanted: ClaimRecord, *, now_unix_s: float) -> ClaimOutcome | None:
        """Add a claim, or return the outcome of an earlier, finished one.

        Raises
        ------
        ClaimKeyError
            The key was used for another request.
        ClaimHeldError
            Another attempt is in progress.
        ClaimUnresolvedError
            An earlier attempt may have run.
        """
        found = self.find(wanted.key)
        if found is None:
            self._records[wanted.key.text] = wanted
            return None
        if found.token == wanted.token:
            return None
        return earlier_outcome(found, wanted.request_digest, now_unix_s=now_unix_s)

    def record_outcome(
        self, key: ClaimKey, token: str, outcome: ClaimOutcome | None
    ) -> bool:
        """Record the outcome of the attempt with this token; None means unknown.

        Returns whether the claim changed.
        """
        found = self.find(key)
        if found is None or found.token != token:
            return False
        if found.state is not ClaimState.HELD:
            return False
        state = ClaimState.FINISHED if outcome else ClaimState.UNKNOWN
        self._records[key.text] = attrs.evolve(found, state=state, outcome=outcome)
        return True

    def restore(self, record: ClaimRecord) -> bool:
        """Add a claim that the store lost; return whether the shard changed.

        It replaces one that a router acquired since, as that router has sent nothing
        yet, but not the end of a call.
        """
        found = self.find(record.key)
        if found is not None:
            is_same = found.token == record.token and found.state is record.state
            if is_same or found.state is not ClaimState.HELD:
                return False
        self._records[record.key.text] = record
        return True

    def release(self, key: ClaimKey, token: str) -> None:
        """Remove the claim of the attempt with this token."""
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


def earlier_outcome(
    found: ClaimRecord, request_digest: str, *, now_unix_s: float
) -> ClaimOutcome:
    """Return the outcome of an earlier attempt, to respond to a new one with it.

    Raises the errors of `ClaimShard.acquire` if the claim has no known outcome or
    belongs to another request.
    """
    if found.request_digest != request_digest:
        raise ClaimKeyError.of("the key was used for a different request")
    if found.state is ClaimState.FINISHED and found.outcome is not None:
        return found.outcome
    if found.state is ClaimState.HELD and now_unix_s < found.answer_deadline_unix_s:
        raise ClaimHeldError.of(
            "another attempt with this key is in progress", peer=found.holder
        )
    raise ClaimUnresolvedError.of(
        "an earlier attempt with this key may have run; its outcome is unknown",
        peer=found.holder,
    )

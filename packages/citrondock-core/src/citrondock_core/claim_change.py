"""Changes of claims that wait to be written to the store."""

import threading
from abc import ABC, abstractmethod

from citrondock_core.claim import ClaimKey, ClaimOutcome
from citrondock_core.claim_errors import ClaimError, ClaimUnavailableError
from citrondock_core.claim_shard import ClaimRecord, ClaimShard


class ClaimChange(ABC):
    """A change of one claim, written in a batch with others of the same shard.

    Parameters
    ----------
    key : ClaimKey
        Key of the claim.
    token : str
        Token of the attempt that makes the change.
    """

    def __init__(self, key: ClaimKey, token: str) -> None:
        self.key = key
        self.token = token

    @abstractmethod
    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Change the shard; return whether it must be written. Idempotent."""


class OutcomeChange(ClaimChange):
    """Records the outcome of a sent call; None if the outcome is unknown."""

    def __init__(self, key: ClaimKey, token: str, outcome: ClaimOutcome | None) -> None:
        super().__init__(key, token)
        self.outcome = outcome

    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Record the outcome in the shard."""
        return shard.record_outcome(self.key, self.token, self.outcome)


class ReleaseChange(ClaimChange):
    """Removes the claim of a call that provably did not run.

    The shard is written even if it lacks the claim: an earlier write of the claim
    whose answer was lost may still arrive. It then fails with a version conflict.
    """

    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Remove the claim from the shard."""
        shard.release(self.key, self.token)
        return True


class RestoreChange(ClaimChange):
    """Adds a claim that the store lost when it came back from a copy."""

    def __init__(self, record: ClaimRecord) -> None:
        super().__init__(record.key, record.token)
        self.record = record

    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Add the claim to the shard."""
        return shard.restore(self.record)


class AcquireChange(ClaimChange):
    """Adds a claim; a request waits for the result.

    Parameters
    ----------
    record : ClaimRecord
        Claim to add.
    """

    def __init__(self, record: ClaimRecord) -> None:
        super().__init__(record.key, record.token)
        self.record = record
        self.error: ClaimError | None = None
        self.outcome: ClaimOutcome | None = None
        self.maybe_written = False
        self.added = False
        self._lock = threading.Lock()
        self._completed = threading.Event()
        self._abandoned = False

    @property
    def abandoned(self) -> bool:
        """Whether no request waits for the result any more."""
        return self._abandoned

    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Add the claim, or keep the error or outcome that prevents it."""
        self.error = None
        self.outcome = None
        self.added = False
        try:
            self.outcome = shard.acquire(self.record, now_unix_s=now_unix_s)
        except ClaimError as error:
            self.error = error
            return False
        found = shard.find(self.key)
        self.added = found is self.record
        return self.added

    def refuse(self, error: ClaimError) -> None:
        """Wake the waiting request with an error and stop trying to add the claim."""
        self.complete(error)
        self._abandoned = True

    def complete(self, error: ClaimError | None = None) -> bool:
        """Wake the waiting request; return False if it no longer waits."""
        with self._lock:
            self.error = error or self.error
            self._completed.set()
            return not self._abandoned

    def wait(self, timeout_s: float) -> ClaimOutcome | None:
        """Wait for the write; return the outcome of an earlier attempt, or None.

        Raises
        ------
        ClaimError
            The claim was not acquired.
        """
        self._completed.wait(timeout_s)
        with self._lock:
            if not self._completed.is_set():
                self._abandoned = True
                raise ClaimUnavailableError.of(
                    "the claim was not written to the store in time",
                    peer="object store",
                )
            if self.error is not None:
                raise self.error
            return self.outcome

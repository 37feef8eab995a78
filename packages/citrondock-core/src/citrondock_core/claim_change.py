"""Changes of claims on their way to the store."""

import threading
from abc import ABC, abstractmethod

from citrondock_core.claim import ClaimKey, ClaimOutcome
from citrondock_core.claim_errors import ClaimError, ClaimUnavailableError
from citrondock_core.claim_shard import ClaimRecord, ClaimShard


class ClaimChange(ABC):
    """A change of one claim, written together with others of its shard.

    Parameters
    ----------
    key : ClaimKey
        Claim that changes.
    token : str
        Attempt that changes it.
    """

    def __init__(self, key: ClaimKey, token: str) -> None:
        self.key = key
        self.token = token

    @abstractmethod
    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Change the shard; return whether it has to be written.

        Doing so twice is harmless.
        """


class SettleChange(ClaimChange):
    """Keeps the outcome of a sent call; None is an unknown one."""

    def __init__(self, key: ClaimKey, token: str, outcome: ClaimOutcome | None) -> None:
        super().__init__(key, token)
        self.outcome = outcome

    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Enter the outcome."""
        return shard.settle(self.key, self.token, self.outcome)


class ReleaseChange(ClaimChange):
    """Forgets the claim of a call that has provably not run.

    It is written even when the shard lacks the claim: a write whose answer was lost
    may still be on its way, and meets another version then.
    """

    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Remove the claim."""
        shard.release(self.key, self.token)
        return True


class AcquireChange(ClaimChange):
    """An attempt to claim, for which a request waits.

    Parameters
    ----------
    record : ClaimRecord
        Claim to enter.
    """

    def __init__(self, record: ClaimRecord) -> None:
        super().__init__(record.key, record.token)
        self.record = record
        self.error: ClaimError | None = None
        self.outcome: ClaimOutcome | None = None
        self.maybe_written = False
        self.entered = False
        self._lock = threading.Lock()
        self._settled = threading.Event()
        self._abandoned = False

    @property
    def abandoned(self) -> bool:
        """Whether nobody waits for it any more."""
        return self._abandoned

    def apply(self, shard: ClaimShard, *, now_unix_s: float) -> bool:
        """Enter the claim, or note what stands in its way."""
        self.error = None
        self.outcome = None
        self.entered = False
        try:
            self.outcome = shard.acquire(self.record, now_unix_s=now_unix_s)
        except ClaimError as error:
            self.error = error
            return False
        found = shard.find(self.key)
        self.entered = found is self.record
        return self.entered

    def refuse(self, error: ClaimError) -> None:
        """Wake the waiting request with an error; the claim isn't to be entered."""
        self.settle(error)
        self._abandoned = True

    def settle(self, error: ClaimError | None = None) -> bool:
        """Wake the waiting request; return False when it has gone."""
        with self._lock:
            self.error = error or self.error
            self._settled.set()
            return not self._abandoned

    def wait(self, timeout_s: float) -> ClaimOutcome | None:
        """Wait for the store; return the outcome of an earlier attempt if any.

        Raises
        ------
        ClaimError
            The claim wasn't acquired.
        """
        self._settled.wait(timeout_s)
        with self._lock:
            if not self._settled.is_set():
                self._abandoned = True
                raise ClaimUnavailableError.of(
                    "the store did not take the claim in time", peer="object store"
                )
            if self.error is not None:
                raise self.error
            return self.outcome

"""Claims of one router: the guard before each send of a keyed call."""

import random
import threading
import time
import uuid
from collections.abc import Callable

from citrondock_core.claim import Claim, ClaimKey, ClaimOutcome, ClaimState
from citrondock_core.claim_change import AcquireChange, ReleaseChange, SettleChange
from citrondock_core.claim_committer import ClaimCommitter, CommitStatistics
from citrondock_core.claim_options import ClaimOptions
from citrondock_core.claim_shard import ClaimRecord, answer_from
from citrondock_core.clocks import boot_time_s
from citrondock_core.object_store import ObjectStore


class ClaimManager:
    """Claims keyed calls in the object store, so that each runs at most once.

    All methods may be called from any thread. `acquire` waits for the store, within
    its deadline; the others don't wait.

    Parameters
    ----------
    store : ObjectStore
        Where claims are kept.
    holder : str
        Name of this router, told to whoever finds its claims.
    options : ClaimOptions or None
        Windows, limits and periods.
    clock : callable
        Monotonic time in seconds, also while the process is stopped.
    wall_clock : callable
        Unix time in seconds.
    rng : random.Random or None
        Spreads retries.

    Examples
    --------
    >>> claim = manager.acquire("archive", "takedowns", "key-1", "digest")
    >>> manager.authorise_send(claim)
    >>> manager.finish(claim, ClaimOutcome(status=200, body=b"done"))
    """

    def __init__(
        self,
        store: ObjectStore,
        holder: str,
        options: ClaimOptions | None = None,
        clock: Callable[[], float] = boot_time_s,
        *,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        self._holder = holder
        self._options = options or ClaimOptions()
        self._clock = clock
        self._wall_clock = wall_clock
        self._own: dict[str, ClaimRecord] = {}
        self._lock = threading.Lock()
        self._committer = ClaimCommitter(
            store,
            self._options,
            wall_clock=wall_clock,
            rng=rng or random.Random(),
        )

    @property
    def statistics(self) -> CommitStatistics:
        """Calls to the store made for claims."""
        return self._committer.statistics

    @property
    def pending_count(self) -> int:
        """Outcomes that aren't written yet."""
        return self._committer.pending_count

    def acquire(
        self, account: str, service: str, idempotency_key: str, request_digest: str
    ) -> Claim | ClaimOutcome:
        """Claim the right to send a call, or return the first attempt's answer.

        Parameters
        ----------
        account, service, idempotency_key : str
            What identifies the call.
        request_digest : str
            Digest of the request's method, path and body.

        Raises
        ------
        ClaimKeyError
            The key is malformed or was used for another request.
        ClaimHeldError
            Another attempt is under way; it may run.
        ClaimUnresolvedError
            An earlier attempt may have run, nobody knows its outcome.
        ClaimUnavailableError
            The store can't take the claim; nothing was sent.
        """
        key = ClaimKey(
            account=account, service=service, idempotency_key=idempotency_key
        )
        claim = self._new_claim(key)
        record = self._record(claim, request_digest)
        known = self._known_outcome(key, request_digest)
        if known is not None:
            return known
        change = AcquireChange(record)
        self._committer.submit(change)
        outcome = change.wait(self._options.acquire_timeout_s)
        if outcome is not None:
            return outcome
        with self._lock:
            self._own[key.text] = record
        return claim

    def authorise_send(self, claim: Claim) -> None:
        """Check right before the first byte goes out that the claim still holds.

        Raises
        ------
        ClaimLapsedError
            The call must not be sent; nothing of it was.
        """
        claim.authorise_send(
            now_s=self._clock() + self._options.send_margin_s,
            now_unix_s=self._wall_clock() + self._options.send_margin_s,
        )

    def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Keep the answer of a sent call for later attempts."""
        claim.finish()
        bounded = outcome.bounded(self._options.max_body_bytes)
        self._forget(claim)
        self._committer.submit(SettleChange(claim.key, claim.token, bounded))

    def give_up(self, claim: Claim) -> None:
        """Note that a sent call's outcome won't be known: "maybe" from now on."""
        claim.give_up()
        self._forget(claim)
        self._committer.submit(SettleChange(claim.key, claim.token, None))

    def release(self, claim: Claim) -> None:
        """Give the key free: nothing was sent, or the target says it did not run."""
        claim.release()
        self._forget(claim)
        self._committer.submit(ReleaseChange(claim.key, claim.token))

    def flush(self, timeout_s: float) -> bool:
        """Wait until all outcomes are written; return whether they are."""
        return self._committer.flush(timeout_s)

    def close(self, timeout_s: float) -> None:
        """Write what can be written in time, then stop."""
        self.flush(timeout_s)
        self._committer.close(timeout_s)

    def _new_claim(self, key: ClaimKey) -> Claim:
        return Claim(
            key=key,
            token=uuid.uuid4().hex,
            send_deadline_s=self._clock() + self._options.send_within_s,
            send_deadline_unix_s=self._wall_clock() + self._options.send_within_s,
        )

    def _record(self, claim: Claim, request_digest: str) -> ClaimRecord:
        now_unix_s = self._wall_clock()
        return ClaimRecord(
            key=claim.key,
            request_digest=request_digest,
            token=claim.token,
            holder=self._holder,
            answer_deadline_unix_s=now_unix_s + self._options.answer_within_s,
            expiry_deadline_unix_s=now_unix_s + self._options.window_s,
        )

    def _known_outcome(self, key: ClaimKey, request_digest: str) -> ClaimOutcome | None:
        now_unix_s = self._wall_clock()
        with self._lock:
            own = self._own.get(key.text)
        if own is not None:
            answer_from(own, request_digest, now_unix_s=now_unix_s)
        shard = self._committer.cached(key.shard(self._options.shard_count))
        found = shard.find(key) if shard else None
        if found is None or found.expiry_deadline_unix_s <= now_unix_s:
            return None
        if found.state is not ClaimState.FINISHED:
            return None
        return answer_from(found, request_digest, now_unix_s=now_unix_s)

    def _forget(self, claim: Claim) -> None:
        with self._lock:
            own = self._own.get(claim.key.text)
            if own is not None and own.token == claim.token:
                del self._own[claim.key.text]

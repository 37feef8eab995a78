"""Acquires and finishes the claims of one router, so that keyed calls run once."""

import random
import threading
import time
import uuid
from collections.abc import Callable

import attrs
from loguru import logger

from citrondock_core.claim import Claim, ClaimKey, ClaimOutcome, ClaimState
from citrondock_core.claim_change import (
    AcquireChange,
    OutcomeChange,
    ReleaseChange,
    RestoreChange,
)
from citrondock_core.claim_committer import ClaimCommitter, CommitStatistics
from citrondock_core.claim_errors import ClaimUnavailableError
from citrondock_core.claim_memory import ClaimMemory
from citrondock_core.claim_options import ClaimOptions
from citrondock_core.claim_shard import ClaimRecord, earlier_outcome
from citrondock_core.clocks import boot_time_s
from citrondock_core.object_store import ObjectStore


class ClaimManager:
    """Claims keyed calls in the object store, so that each runs at most once.

    All methods may be called from any thread. `acquire` waits for the store, within
    its deadline; the others don't wait.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the claims.
    holder : str
        Name of this router, shown to other routers that find its claims.
    options : ClaimOptions or None
        Retention, deadlines, limits and periods.
    clock : callable
        Returns monotonic seconds that also count suspended time.
    wall_clock : callable
        Returns the Unix time in seconds.
    rng : random.Random or None
        Source of the jitter of retries.

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
        self._held_records: dict[str, ClaimRecord] = {}
        self._ended = ClaimMemory(
            remember_s=self._options.remember_s,
            max_count=self._options.max_remembered_count,
        )
        self._lock = threading.Lock()
        self._committer = ClaimCommitter(
            store,
            self._options,
            wall_clock=wall_clock,
            rng=rng or random.Random(),
            clock=clock,
            on_era=self._write_again,
        )

    @property
    def statistics(self) -> CommitStatistics:
        """Counts of the calls to the store made for claims."""
        return self._committer.statistics

    @property
    def pending_count(self) -> int:
        """Number of claim changes not yet written to the store."""
        return self._committer.pending_count

    def acquire(
        self, account: str, service: str, idempotency_key: str, request_digest: str
    ) -> Claim | ClaimOutcome:
        """Claim the right to send a call, or return an earlier attempt's outcome.

        Parameters
        ----------
        account, service, idempotency_key : str
            Identify the call.
        request_digest : str
            Digest of the request's method, path and body.

        Returns
        -------
        Claim or ClaimOutcome
            A new claim, or the stored outcome of a finished attempt.

        Raises
        ------
        ClaimKeyError
            The key is malformed or was used for another request.
        ClaimHeldError
            Another attempt is in progress and may run.
        ClaimUnresolvedError
            An earlier attempt may have run; its outcome is unknown.
        ClaimUnavailableError
            The claim could not be written to the store; nothing was sent.
        """
        key = ClaimKey(
            account=account, service=service, idempotency_key=idempotency_key
        )
        claim = self._new_claim(key)
        record = self._new_record(claim, request_digest)
        known = self._known_outcome(key, request_digest)
        if known is not None:
            return known
        self._committer.check_settled()
        change = AcquireChange(record)
        self._committer.submit(change)
        outcome = change.wait(self._options.acquire_timeout_s)
        if outcome is not None:
            return outcome
        with self._lock:
            self._held_records[key.text] = record
        self._check_written_in_this_era(claim)
        return claim

    def authorise_send(self, claim: Claim) -> None:
        """Check that the claim is still valid, right before the first byte is sent.

        Raises
        ------
        ClaimLapsedError
            The call must not be sent; no part of it was sent.
        """
        claim.authorise_send(
            now_s=self._clock() + self._options.send_margin_s,
            now_unix_s=self._wall_clock() + self._options.send_margin_s,
        )

    def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Store the response to a sent call for later attempts."""
        claim.finish()
        bounded = outcome.bounded(self._options.max_body_bytes)
        self._end(claim, ClaimState.FINISHED, bounded)
        self._committer.submit(OutcomeChange(claim.key, claim.token, bounded))

    def give_up(self, claim: Claim) -> None:
        """Store that the outcome of a sent call is unknown.

        Later attempts are refused with ``ran`` set to ``maybe``.
        """
        claim.give_up()
        self._end(claim, ClaimState.UNKNOWN)
        self._committer.submit(OutcomeChange(claim.key, claim.token, None))

    def release(self, claim: Claim) -> None:
        """Release the key: nothing was sent, or the target did not run the call."""
        claim.release()
        self._end(claim, ClaimState.RELEASED)
        self._committer.submit(ReleaseChange(claim.key, claim.token))

    def note_store_era(self, era: int) -> None:
        """Write recent claims again if the store came back from a copy.

        Parameters
        ----------
        era : int
            The era that the store is in. In a new one, no call is newly claimed for
            `ClaimOptions.settle_s`, as claims of other routers may be missing.
        """
        self._committer.note_era(era)

    def flush(self, timeout_s: float) -> bool:
        """Wait until all changes are written; return False on timeout."""
        return self._committer.flush(timeout_s)

    def close(self, timeout_s: float) -> None:
        """Write pending changes for up to ``timeout_s`` seconds, then stop."""
        self.flush(timeout_s)
        self._committer.close(timeout_s)

    def _new_claim(self, key: ClaimKey) -> Claim:
        return Claim(
            key=key,
            token=uuid.uuid4().hex,
            send_deadline_s=self._clock() + self._options.send_within_s,
            send_deadline_unix_s=self._wall_clock() + self._options.send_within_s,
        )

    def _new_record(self, claim: Claim, request_digest: str) -> ClaimRecord:
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
            held = self._held_records.get(key.text)
        if held is not None:
            earlier_outcome(held, request_digest, now_unix_s=now_unix_s)
        ended = self._ended.find(key, now_s=self._clock())
        if ended is not None and ended.expiry_deadline_unix_s > now_unix_s:
            return earlier_outcome(ended, request_digest, now_unix_s=now_unix_s)
        shard = self._committer.cached(key.shard(self._options.shard_count))
        found = shard.find(key) if shard else None
        if found is None or found.expiry_deadline_unix_s <= now_unix_s:
            return None
        if found.state is not ClaimState.FINISHED:
            return None
        return earlier_outcome(found, request_digest, now_unix_s=now_unix_s)

    def _check_written_in_this_era(self, claim: Claim) -> None:
        """Release a claim if the store came back from a copy while it was acquired."""
        try:
            self._committer.check_settled()
        except ClaimUnavailableError:
            self.release(claim)
            raise

    def _end(
        self, claim: Claim, state: ClaimState, outcome: ClaimOutcome | None = None
    ) -> None:
        with self._lock:
            held = self._held_records.get(claim.key.text)
            if held is None or held.token != claim.token:
                return
            del self._held_records[claim.key.text]
            ended = attrs.evolve(held, state=state, outcome=outcome)
            self._ended.add(ended, now_s=self._clock())

    def _write_again(self, era: int) -> None:
        with self._lock:
            records = [
                *self._ended.records(now_s=self._clock()),
                *self._held_records.values(),
            ]
        logger.warning("event=claims_written_again era={} count={}", era, len(records))
        for record in records:
            if record.state is ClaimState.RELEASED:
                self._committer.submit(ReleaseChange(record.key, record.token))
            else:
                self._committer.submit(RestoreChange(record))

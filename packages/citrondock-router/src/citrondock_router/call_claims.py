"""Claims that keep calls with an idempotency key from running twice."""

import hashlib

from citrondock_core.claim import Claim, ClaimOutcome, ResponseHeader
from citrondock_core.claim_errors import ClaimLapsedError
from citrondock_core.claim_manager import ClaimManager
from citrondock_core.request import Ran, RefusalReason, RequestRefusedError
from citrondock_router.call import Call
from citrondock_router.relayed_call import RelayEnd
from citrondock_wire.target_connection import TargetResponseHead

_STORED_HEADERS = ("content-type", "location")


class CallClaims:
    """Acquires and finishes the claims of calls.

    For calls that need no claim, the methods do nothing.

    Parameters
    ----------
    manager : ClaimManager
        Manager of the claims in the store.
    """

    def __init__(self, manager: ClaimManager) -> None:
        self._manager = manager

    def acquire(self, call: Call) -> ClaimOutcome | None:
        """Acquire the claim of a call that needs one.

        Returns
        -------
        ClaimOutcome or None
            Stored response of an earlier attempt, or None if the call may be sent.

        Raises
        ------
        RequestRefusedError
            When the call must not be sent, or the earlier response is not stored.
        """
        if not call.needs_claim or call.claim is not None:
            return None
        found = self._manager.acquire(
            call.account.name, call.service.name, call.idempotency_key, _digest(call)
        )
        if isinstance(found, Claim):
            call.claim = found
            return None
        if not found.body_kept:
            raise _body_not_stored_error(found)
        return found

    def authorise(self, call: Call) -> None:
        """Check that the claim is still valid, right before the call is sent.

        Raises
        ------
        RequestRefusedError
            When this router was paused past the claim's send deadline; the claim is
            released, and nothing was sent.
        """
        if call.claim is None:
            return
        try:
            self._manager.authorise_send(call.claim)
        except ClaimLapsedError:
            self.release(call)
            raise

    def finish(self, call: Call, head: TargetResponseHead, end: RelayEnd) -> None:
        """Store the response for later attempts with the same key."""
        if call.claim is None:
            return
        headers = tuple(
            ResponseHeader(name=name, value=head.headers[name])
            for name in _STORED_HEADERS
            if name in head.headers
        )
        outcome = ClaimOutcome(
            status=head.status,
            headers=headers,
            body=b"" if end.body_truncated else end.body,
            body_kept=not end.body_truncated,
        )
        self._manager.finish(call.claim, outcome)
        call.claim = None

    def give_up(self, call: Call) -> None:
        """Record that the call was sent and its outcome will stay unknown."""
        if call.claim is not None:
            self._manager.give_up(call.claim)
            call.claim = None

    def release(self, call: Call) -> None:
        """Release the claim of a call that provably did not run."""
        if call.claim is not None:
            self._manager.release(call.claim)
            call.claim = None

    def note_store_era(self, era: int) -> None:
        """Write recent claims again if the store came back from a copy."""
        self._manager.note_store_era(era)

    def close(self, *, timeout_s: float) -> None:
        """Write pending changes for up to ``timeout_s`` seconds, then stop."""
        self._manager.close(timeout_s)


def _digest(call: Call) -> str:
    digest = hashlib.sha256(f"{call.method} {call.path}\n".encode())
    digest.update(call.body)
    return digest.hexdigest()


def _body_not_stored_error(outcome: ClaimOutcome) -> RequestRefusedError:
    return RequestRefusedError(
        "an earlier attempt with this idempotency key ran and ended with status "
        f"{outcome.status}; its response was too long to store",
        step="claim",
        cause=RefusalReason.CLAIM_HELD,
        ran=Ran.MAYBE,
    )

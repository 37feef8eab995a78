"""Claims of keyed calls that must not run twice."""

import hashlib

from citrondock_core.claim import AnswerHeader, Claim, ClaimOutcome
from citrondock_core.claim_errors import ClaimLapsedError
from citrondock_core.claim_manager import ClaimManager
from citrondock_core.request import Ran, RefusalReason, RequestRefusedError
from citrondock_router.call import Call
from citrondock_router.relayed_call import RelayEnd
from citrondock_wire.target_connection import TargetResponseHead

_KEPT_HEADERS = ("content-type", "location")


class CallClaims:
    """Decides from the store whether a keyed call may be sent.

    Parameters
    ----------
    manager : ClaimManager
        Claims in the store.
    """

    def __init__(self, manager: ClaimManager) -> None:
        self._manager = manager

    def acquire(self, call: Call) -> ClaimOutcome | None:
        """Claim a call that needs it; return the answer of an earlier attempt.

        Raises
        ------
        RequestRefusedError
            When the call must not be sent.
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
            raise _answer_not_kept(found)
        return found

    def authorise(self, call: Call) -> None:
        """Check right before the send that the claim still holds.

        Raises
        ------
        RequestRefusedError
            When the holder was paused past its deadline; nothing was sent.
        """
        if call.claim is None:
            return
        try:
            self._manager.authorise_send(call.claim)
        except ClaimLapsedError:
            self.release(call)
            raise

    def finish(self, call: Call, head: TargetResponseHead, end: RelayEnd) -> None:
        """Keep the whole answer for later attempts under the same key."""
        if call.claim is None:
            return
        headers = tuple(
            AnswerHeader(name=name, value=head.headers[name])
            for name in _KEPT_HEADERS
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
        """Note that a call was sent and its outcome will not be known."""
        if call.claim is not None:
            self._manager.give_up(call.claim)
            call.claim = None

    def release(self, call: Call) -> None:
        """Note that a call has provably not run."""
        if call.claim is not None:
            self._manager.release(call.claim)
            call.claim = None

    def close(self, *, timeout_s: float) -> None:
        """Write what is unwritten and end."""
        self._manager.close(timeout_s)


def _digest(call: Call) -> str:
    digest = hashlib.sha256(f"{call.method} {call.path}\n".encode())
    digest.update(call.body)
    return digest.hexdigest()


def _answer_not_kept(outcome: ClaimOutcome) -> RequestRefusedError:
    return RequestRefusedError(
        f"the call ran and ended with status {outcome.status}; its answer was too "
        "long to keep",
        step="claim",
        cause=RefusalReason.CLAIM_HELD,
        ran=Ran.MAYBE,
    )

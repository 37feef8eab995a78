"""A caller's request on its way through the router."""

import enum
import threading
import time
from collections.abc import Mapping

import attrs
from cheroot.server import HTTPRequest

from citrondock_core.claim import Claim
from citrondock_core.configuration import ClientAccount, Service, ServiceKind, Target
from citrondock_core.request import WaitingRequest
from citrondock_router.caller_connection import CallerConnection
from citrondock_wire.target_connection import TargetResponseHead


class CallPhase(enum.Enum):
    """Progress of a call.

    Attributes
    ----------
    WAITING
        Waits for the dispatcher to choose a target.
    OPENING
        A worker thread connects to the target.
    SENT
        The request, or part of it, was sent.
    ANSWERING
        The response head was read; the body is relayed.
    ENDED
        The call completed, failed, was refused or was cancelled.
    """

    WAITING = "waiting"
    OPENING = "opening"
    SENT = "sent"
    ANSWERING = "answering"
    ENDED = "ended"


@attrs.define(eq=False, kw_only=True)
class Call:
    """A caller's request, its caller connection and its progress.

    Parameters
    ----------
    request_id : str
        Unique id.
    account : ClientAccount
        Account that sent the request.
    service : Service
        Requested service.
    method, path : str
        Request line to send to the target; the path carries the query.
    headers : mapping of str
        Caller headers to forward.
    body : bytes
        Whole body.
    waiting : WaitingRequest
        The request as the dispatcher sees it.
    streaming : bool
        Whether the caller asked for server-sent events.
    idempotency_key : str
        Idempotency key of the caller; may be empty.
    http_request : HTTPRequest
        Request of cheroot, which renders the response head.
    connection : CallerConnection
        The caller's connection.
    attempt_count : int
        Number of targets that were tried.
    resume_count : int
        Number of times that a truncated stream was resumed.
    uncertain_attempt_count : int
        Number of failed attempts that the target may have run.
    attempts_deadline_s : float or None
        Monotonic time until which further targets are tried; None before the first
        failure.
    target : Target or None
        Target of the latest attempt.
    started_at_s : float
        Monotonic start of the latest attempt.
    may_have_run : bool
        Whether the target of an ended attempt may have run the call.
    phase : CallPhase
        Progress of the call.
    caller_gone : bool
        Whether the caller disconnected.
    claim : Claim or None
        Claim held for a keyed call; None if there is none.
    response_head : TargetResponseHead or None
        Head of the target's response.
    """

    request_id: str
    account: ClientAccount
    service: Service
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    waiting: WaitingRequest
    streaming: bool
    idempotency_key: str
    http_request: HTTPRequest
    connection: CallerConnection
    attempt_count: int = 0
    resume_count: int = 0
    uncertain_attempt_count: int = 0
    attempts_deadline_s: float | None = None
    target: Target | None = None
    started_at_s: float = 0.0
    may_have_run: bool = False
    phase: CallPhase = CallPhase.WAITING
    caller_gone: bool = False
    claim: Claim | None = None
    response_head: TargetResponseHead | None = None
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    @property
    def retryable(self) -> bool:
        """Whether the call may be retried though a target may have run it."""
        return self.service.idempotent

    @property
    def needs_claim(self) -> bool:
        """Whether a claim in the store must keep the call from running twice."""
        return bool(self.idempotency_key) and not self.service.idempotent

    @property
    def continues_without_caller(self) -> bool:
        """Whether the response is still read after the caller disconnected.

        The response to a claimed call is stored for the caller's next attempt.
        """
        return self.claim is not None and self.phase in (
            CallPhase.SENT,
            CallPhase.ANSWERING,
        )

    @property
    def is_chat(self) -> bool:
        """Whether a model engine runs the call."""
        return self.service.kind is ServiceKind.CHAT

    def begin_attempt(self, target: Target) -> None:
        """Record the start of an attempt at a target."""
        self.target = target
        self.attempt_count += 1
        self.phase = CallPhase.OPENING
        self.started_at_s = time.monotonic()

    def mark_ended(self) -> bool:
        """Mark the call as ended; return False if it already was."""
        with self._lock:
            first = self.phase is not CallPhase.ENDED
            self.phase = CallPhase.ENDED
            return first

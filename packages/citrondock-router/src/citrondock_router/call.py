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
    """How far a call has come."""

    WAITING = "waiting"
    OPENING = "opening"
    SENT = "sent"
    ANSWERING = "answering"
    ENDED = "ended"


@attrs.define(eq=False, kw_only=True)
class Call:
    """One request with its caller.

    Parameters
    ----------
    request_id : str
        Unique id.
    account : ClientAccount
        Who asks.
    service : Service
        What is asked for.
    method, path : str
        Request line to send to the target; the path carries the query.
    headers : mapping of str
        Headers to pass on.
    body : bytes
        Whole body.
    waiting : WaitingRequest
        The same request as the dispatcher sees it.
    streaming : bool
        Whether the caller asked for server-sent events.
    idempotency_key : str
        The caller's key, or empty.
    http_request : HTTPRequest
        cheroot's request, which renders the head of the answer.
    connection : CallerConnection
        The caller's connection.
    attempt_count, resume_count, repeat_count : int
        How often a target was tried, how often its stream was resumed, and how often
        it was sent again though it may have run.
    attempts_end_s : float or None
        Monotonic time until which further targets are tried; None before a failure.
    target : Target or None
        Where it runs.
    may_have_run : bool
        Whether an attempt ended so that the target may have run it.
    claim : Claim or None
        Right to send it, while it holds one.
    answer_head : TargetResponseHead or None
        Head of the target's answer.
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
    repeat_count: int = 0
    attempts_end_s: float | None = None
    target: Target | None = None
    started_at_s: float = 0.0
    may_have_run: bool = False
    phase: CallPhase = CallPhase.WAITING
    caller_gone: bool = False
    claim: Claim | None = None
    answer_head: TargetResponseHead | None = None
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    @property
    def repeatable(self) -> bool:
        """Whether the call may be sent again after a failure."""
        return self.service.idempotent

    @property
    def needs_claim(self) -> bool:
        """Whether it is kept from running twice by a claim in the store."""
        return bool(self.idempotency_key) and not self.service.idempotent

    @property
    def outlives_caller(self) -> bool:
        """Whether its answer is awaited though the caller went away.

        The outcome of a claimed call is kept for the caller's next attempt.
        """
        return self.claim is not None and self.phase in (
            CallPhase.SENT,
            CallPhase.ANSWERING,
        )

    @property
    def is_chat(self) -> bool:
        """Whether a model engine answers it."""
        return self.service.kind is ServiceKind.CHAT

    def begin_attempt(self, target: Target) -> None:
        """Note that the call is being sent to a target."""
        self.target = target
        self.attempt_count += 1
        self.phase = CallPhase.OPENING
        self.started_at_s = time.monotonic()

    def end_once(self) -> bool:
        """Whether this is the first time that the call ends."""
        with self._lock:
            first = self.phase is not CallPhase.ENDED
            self.phase = CallPhase.ENDED
            return first

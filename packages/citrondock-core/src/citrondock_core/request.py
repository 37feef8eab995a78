"""Requests as the dispatcher sees them, and what became of them."""

import enum

import attrs

from citrondock_core.errors import CitrondockError


class Ran(enum.Enum):
    """Whether a refused request may have run.

    ``NO`` only where it is proven that no target got a byte of it, or the target
    itself said that it did not run it.
    """

    NO = "no"
    MAYBE = "maybe"


class RefusalReason(enum.Enum):
    """Why a request was refused."""

    NOT_READY = "not_ready"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    ACCOUNT_QUEUE_FULL = "account_queue_full"
    ROUTER_QUEUE_FULL = "router_queue_full"
    DEADLINE_PASSED = "deadline_passed"
    NO_TARGET = "no_target"
    TARGET_FAILED = "target_failed"
    TARGET_REFUSED = "target_refused"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_HELD = "claim_held"
    CALLER_GONE = "caller_gone"
    SHUTTING_DOWN = "shutting_down"


@attrs.define(eq=False)
class RequestRefusedError(CitrondockError):
    """A request that gets no answer from a target.

    Parameters
    ----------
    cause : RefusalReason
        Typed reason.
    ran : Ran
        Whether it may have run.
    retry_after_s : float or None
        When a retry is worth while.
    """

    cause: RefusalReason = attrs.field(kw_only=True)
    ran: Ran = attrs.field(kw_only=True, default=Ran.NO)
    retry_after_s: float | None = attrs.field(kw_only=True, default=None)


@attrs.frozen(kw_only=True)
class WaitingRequest:
    """A request that waits for a target.

    Parameters
    ----------
    request_id : str
        Unique id, given to the caller.
    account : str
        Name of its `ClientAccount`.
    service : str
        Name of its service.
    pool : str
        Pool that runs the service.
    arrived_at_s : float
        Monotonic time of arrival.
    deadline_s : float
        Monotonic time after which it must not be dispatched.
    body_bytes : int
        Size of its body.
    cost_hint_tokens : float or None
        The caller's rough hint of its cost.
    affinity_key : str
        Equal for requests that likely share a prompt prefix; may be empty.
    """

    request_id: str
    account: str
    service: str
    pool: str
    arrived_at_s: float
    deadline_s: float
    body_bytes: int = 0
    cost_hint_tokens: float | None = None
    affinity_key: str = ""


@attrs.frozen(kw_only=True)
class Usage:
    """Service that a request received, as its target reported it.

    Parameters
    ----------
    prompt_tokens, generated_tokens : int
        Token counts of a model engine.
    slot_time_s : float
        Time for which it held a slot; the cost of a plain service.
    reported : bool
        Whether this is all of it; False where the target never told.
    """

    prompt_tokens: int = 0
    generated_tokens: int = 0
    slot_time_s: float = 0.0
    reported: bool = True

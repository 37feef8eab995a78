"""Requests as the dispatcher sees them, with their refusals and usage."""

import enum

import attrs

from citrondock_core.errors import CitrondockError


class Ran(enum.Enum):
    """Whether a refused request may have run.

    ``NO`` is used only if provably no target received a byte of the request, or the
    target itself stated that it did not run the request.
    """

    NO = "no"
    MAYBE = "maybe"


class RefusalReason(enum.Enum):
    """Reasons for refusing a request."""

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
    """The request was refused and gets no answer from a target.

    Parameters
    ----------
    cause : RefusalReason
        Reason for the refusal.
    ran : Ran
        Whether the request may have run.
    retry_after_s : float or None
        Time after which a retry may succeed; None if it is not known.
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
        Unique id, also returned to the caller.
    account : str
        Name of the `ClientAccount` that sent it.
    service : str
        Name of the requested service.
    pool : str
        Pool that runs the service.
    arrived_at_s : float
        Monotonic time of arrival.
    deadline_s : float
        Monotonic time after which it must not be dispatched.
    body_bytes : int
        Size of the body.
    cost_hint_tokens : float or None
        Rough cost as hinted by the caller.
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
    """Resources that a request used, as its target reported them.

    Parameters
    ----------
    prompt_tokens, generated_tokens : int
        Tokens that a model engine read and generated.
    slot_time_s : float
        Time for which the request held a slot; the cost at a plain service.
    reported : bool
        Whether the usage is complete; False if the target did not report it.
    """

    prompt_tokens: int = 0
    generated_tokens: int = 0
    slot_time_s: float = 0.0
    reported: bool = True

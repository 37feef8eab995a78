"""State of a request that was sent to a target."""

import attrs

from citrondock_core.borrowed_slots import BorrowedSlots
from citrondock_core.request import WaitingRequest


@attrs.define(kw_only=True)
class RunningRequest:
    """A started request, with its target and charges.

    Parameters
    ----------
    request : WaitingRequest
        The request as it was queued.
    target : str
        Name of the target that runs it.
    borrowed : BorrowedSlots or None
        Borrowed slots that it uses; None on a slot of this router's own targets.
    charged_tokens : float
        Tokens charged so far.
    started_at_s : float
        Monotonic time of its start.
    generated_tokens : int
        Tokens generated so far.
    has_first_token : bool
        Whether its first token has arrived.
    """

    request: WaitingRequest
    target: str
    borrowed: BorrowedSlots | None
    charged_tokens: float
    started_at_s: float
    generated_tokens: int = 0
    has_first_token: bool = False

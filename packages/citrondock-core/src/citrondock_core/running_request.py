"""A request that a target has."""

import attrs

from citrondock_core.request import WaitingRequest
from citrondock_core.slot_holder import HeldSlots


@attrs.define(kw_only=True)
class RunningRequest:
    """A started request and what was charged for it.

    Parameters
    ----------
    request : WaitingRequest
        The request as it waited.
    target : str
        Where it runs.
    held : HeldSlots or None
        Lent block that it runs on; None on a slot of this home.
    charged_tokens : float
        Charged so far.
    started_at_s : float
        Monotonic time of its start.
    generated_tokens : int
        Tokens seen so far.
    has_first_token : bool
        Whether its first token was seen.
    """

    request: WaitingRequest
    target: str
    held: HeldSlots | None
    charged_tokens: float
    started_at_s: float
    generated_tokens: int = 0
    has_first_token: bool = False

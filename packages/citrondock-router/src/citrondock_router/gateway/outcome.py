"""How requests end."""

import attrs


@attrs.frozen(kw_only=True)
class Outcome:
    """How a request ended.

    Parameters
    ----------
    status : int
        Status that the client got; 0 if it got none.
    reason : str
        Short name of the cause.
    is_whole : bool
        Whether the client got a target's whole answer.
    """

    status: int
    reason: str
    is_whole: bool = False

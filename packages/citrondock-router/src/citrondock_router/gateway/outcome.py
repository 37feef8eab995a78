"""How requests end."""

from http import HTTPStatus

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
    is_complete : bool
        Whether the client got a target's whole answer.
    """

    status: int
    reason: str
    is_complete: bool = False

    @property
    def is_refusal(self) -> bool:
        """Whether the client was told that the request did not run."""
        return self.status == HTTPStatus.SERVICE_UNAVAILABLE

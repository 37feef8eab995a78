"""The result of a client request."""

from http import HTTPStatus

import attrs


@attrs.frozen(kw_only=True)
class Outcome:
    """How a request ended.

    Parameters
    ----------
    status : int
        Status that the client received; 0 if it received none.
    reason : str
        Short name of the cause, as in the log and the metrics.
    is_complete : bool
        Whether the client received a target's complete response.
    """

    status: int
    reason: str
    is_complete: bool = False

    @property
    def is_refusal(self) -> bool:
        """Whether the response states that the request did not run."""
        return self.status == HTTPStatus.SERVICE_UNAVAILABLE

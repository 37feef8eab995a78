"""The base class of all errors, which record the step and peer that failed."""

import attrs


@attrs.define(eq=False)
class CitrondockError(Exception):
    """Base class of all errors of the fleet.

    Parameters
    ----------
    reason : str
        What went wrong, in words for people.
    step : str
        Step that failed, for example ``"claim"``.
    peer : str
        The other end of the failed call, or ``"local"``.
    """

    reason: str
    step: str = attrs.field(kw_only=True)
    peer: str = attrs.field(kw_only=True, default="local")

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.reason}"

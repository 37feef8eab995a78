"""Errors that say at which step and at which peer they arose."""

import attrs


@attrs.define(eq=False)
class CitrondockError(Exception):
    """Base of all errors of the fleet.

    Parameters
    ----------
    reason : str
        What went wrong, for a person.
    step : str
        Step at which it went wrong, for example ``"claim"``.
    peer : str
        Who was at the other end, or ``"local"``.
    """

    reason: str
    step: str = attrs.field(kw_only=True)
    peer: str = attrs.field(kw_only=True, default="local")

    def __str__(self) -> str:
        return f"{self.step} at {self.peer}: {self.reason}"

"""What a target says of its own load, late."""

import attrs


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load of a target as it saw itself some time ago.

    Parameters
    ----------
    running_count : int
        Requests that it was running.
    queued_count : int
        Requests that it had admitted and not yet begun to run.
    measured_at_s : float or None
        Monotonic time of the measurement; None when unknown.
    """

    running_count: int
    queued_count: int = 0
    measured_at_s: float | None = None

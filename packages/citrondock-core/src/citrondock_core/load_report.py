"""Load that a target reports about itself, with a delay."""

import attrs


@attrs.frozen(kw_only=True)
class LoadReport:
    """Number of requests inside a target at the time of its measurement.

    Parameters
    ----------
    running_count : int
        Requests that were running.
    queued_count : int
        Requests in its queue, accepted but not yet running.
    measured_at_s : float or None
        Monotonic time of the measurement; None when unknown.
    """

    running_count: int
    queued_count: int = 0
    measured_at_s: float | None = None

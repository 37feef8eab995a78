"""Clocks on which deadlines of claims and leases are kept."""

import time


def boot_time_s() -> float:
    """Return monotonic seconds that also count the time of a suspended machine."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

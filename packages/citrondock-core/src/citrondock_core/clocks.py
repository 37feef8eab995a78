"""Clock for the deadlines of claims and leases."""

import time


def boot_time_s() -> float:
    """Return monotonic seconds that also count time while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Exponential backoff with jitter."""

import random

_MAX_DOUBLINGS = 20


def backoff_s(
    failure_count: int, *, min_s: float, max_s: float, rng: random.Random
) -> float:
    """Return a random delay before the next retry, exponential in the failures.

    The delay lies in the upper half of a limit that doubles with each failure.

    Parameters
    ----------
    failure_count : int
        Consecutive failures before this one.
    min_s, max_s : float
        Longest delay after the first failure, and after any failure.
    rng : random.Random
        Source of the jitter, which keeps many callers from retrying together.
    """
    longest_s = min(min_s * 2.0 ** min(failure_count, _MAX_DOUBLINGS), max_s)
    return rng.uniform(longest_s / 2, longest_s)

"""Pauses between retries."""

import random

_MAX_DOUBLINGS = 20


def backoff_s(
    failure_count: int, *, min_s: float, max_s: float, rng: random.Random
) -> float:
    """Return a pause that doubles with each failure, spread over its second half.

    Parameters
    ----------
    failure_count : int
        Failures in a row before this one.
    min_s, max_s : float
        Longest pause after the first failure, and after any.
    rng : random.Random
        Spreads the retries of many callers.
    """
    longest_s = min(min_s * 2.0 ** min(failure_count, _MAX_DOUBLINGS), max_s)
    return rng.uniform(longest_s / 2, longest_s)

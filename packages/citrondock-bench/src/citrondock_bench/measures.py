"""The fairness gap and the utilisation, worked out from what was received."""

import itertools
from collections.abc import Sequence

import attrs
import numpy as np
import numpy.typing as npt


@attrs.frozen(kw_only=True)
class AccountService:
    """What one account received over time.

    Parameters
    ----------
    account : str
        Name.
    weight : float
        Weight by which its service is divided.
    service_tokens : sequence of float
        Tokens received in each bucket of time.
    backlogged : sequence of bool
        Whether requests of it waited throughout each bucket.
    """

    account: str
    weight: float
    service_tokens: Sequence[float]
    backlogged: Sequence[bool]


@attrs.frozen(kw_only=True)
class FairnessGap:
    """Largest difference in normalised service between two backlogged accounts.

    Parameters
    ----------
    gap_tokens : float
        In tokens over weight; 0 when no two accounts were backlogged together.
    largest_request_tokens : float
        Cost of the largest request, over the weight of its account.
    ahead, behind : str
        The two accounts.
    from_bucket, to_bucket : int
        Interval in which the difference arose.
    """

    gap_tokens: float = 0.0
    largest_request_tokens: float = 0.0
    ahead: str = ""
    behind: str = ""
    from_bucket: int = 0
    to_bucket: int = 0

    @property
    def gap_requests(self) -> float:
        """Gap as a multiple of the largest request."""
        if not self.largest_request_tokens:
            return 0.0
        return self.gap_tokens / self.largest_request_tokens


def _common_runs(both: npt.NDArray[np.bool_]) -> list[tuple[int, int]]:
    """Return the maximal runs of true values as half-open ranges."""
    edges = np.flatnonzero(np.diff(np.concatenate(([0], both.astype(int), [0]))))
    return [(int(a), int(b)) for a, b in zip(edges[::2], edges[1::2], strict=True)]


def _pair_gap(ahead: AccountService, behind: AccountService) -> FairnessGap:
    both = np.asarray(ahead.backlogged, bool) & np.asarray(behind.backlogged, bool)
    difference = (
        np.asarray(ahead.service_tokens, float) / ahead.weight
        - np.asarray(behind.service_tokens, float) / behind.weight
    )
    gap = FairnessGap()
    for start, end in _common_runs(both):
        lead = np.concatenate(([0.0], np.cumsum(difference[start:end])))
        low, high = int(lead.argmin()), int(lead.argmax())
        spread = float(lead[high] - lead[low])
        if spread <= gap.gap_tokens:
            continue
        names = (ahead.account, behind.account)
        first, second = names if low < high else names[::-1]
        gap = FairnessGap(
            gap_tokens=spread,
            ahead=first,
            behind=second,
            from_bucket=start + min(low, high),
            to_bucket=start + max(low, high),
        )
    return gap


def fairness_gap(
    accounts: Sequence[AccountService], *, largest_request_tokens: float
) -> FairnessGap:
    """Return the largest gap between any two accounts over any common interval.

    Parameters
    ----------
    accounts : sequence of AccountService
        Series of equal length.
    largest_request_tokens : float
        Cost of the largest request over the weight of its account.

    Examples
    --------
    >>> slow = AccountService(
    ...     account="a", weight=1, service_tokens=[1, 1], backlogged=[True, True]
    ... )
    >>> fast = AccountService(
    ...     account="b", weight=1, service_tokens=[4, 1], backlogged=[True, True]
    ... )
    >>> fairness_gap([slow, fast], largest_request_tokens=2).gap_requests
    1.5
    """
    pairs = itertools.combinations(accounts, 2)
    gaps = [_pair_gap(first, second) for first, second in pairs]
    widest = max(gaps, key=lambda gap: gap.gap_tokens, default=FairnessGap())
    return attrs.evolve(widest, largest_request_tokens=largest_request_tokens)


@attrs.frozen(kw_only=True)
class SlotSample:
    """Slots of all targets of a pool at one moment.

    Parameters
    ----------
    at_s : float
        Monotonic time.
    slot_count, busy_count : int
        Slots, and those with a request.
    """

    at_s: float
    slot_count: int
    busy_count: int


def utilisation(
    samples: Sequence[SlotSample],
    work_waited: Sequence[bool],
    *,
    started_at_s: float,
    bucket_s: float,
) -> float | None:
    """Return busy slots over slots in the buckets of time in which work waited.

    Parameters
    ----------
    samples : sequence of SlotSample
        In the order of time.
    work_waited : sequence of bool
        Whether any request waited throughout each bucket.
    started_at_s : float
        Monotonic time of the first bucket's start.
    bucket_s : float
        Length of a bucket.

    Returns
    -------
    float or None
        None when no sample lies in a bucket in which work waited.
    """
    busy_count = slot_count = 0
    for sample in samples:
        bucket = int((sample.at_s - started_at_s) // bucket_s)
        if 0 <= bucket < len(work_waited) and work_waited[bucket]:
            busy_count += sample.busy_count
            slot_count += sample.slot_count
    return busy_count / slot_count if slot_count else None

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
class BusySlot:
    """A slot of a target held by one request, on the monotonic clock."""

    started_s: float
    ended_s: float


def _waiting_ranges_s(
    work_waited: Sequence[bool], started_at_s: float, bucket_s: float
) -> list[tuple[float, float]]:
    runs = _common_runs(np.asarray(work_waited, bool))
    return [
        (started_at_s + start * bucket_s, started_at_s + end * bucket_s)
        for start, end in runs
    ]


def utilisation(
    busy: Sequence[BusySlot],
    work_waited: Sequence[bool],
    *,
    slot_count: int,
    started_at_s: float,
    bucket_s: float,
) -> float | None:
    """Return busy slot time over slot time in the buckets in which work waited.

    Parameters
    ----------
    busy : sequence of BusySlot
        From the journals of the targets.
    work_waited : sequence of bool
        Whether any request waited throughout each bucket.
    slot_count : int
        Slots of all targets.
    started_at_s : float
        Monotonic time of the first bucket's start.
    bucket_s : float
        Length of a bucket.

    Returns
    -------
    float or None
        None when no work waited.
    """
    ranges = _waiting_ranges_s(work_waited, started_at_s, bucket_s)
    waited_s = sum(end - start for start, end in ranges)
    if not waited_s:
        return None
    busy_s = sum(
        max(0.0, min(slot.ended_s, end) - max(slot.started_s, start))
        for slot in busy
        for start, end in ranges
    )
    return busy_s / (slot_count * waited_s)

"""Computes the fairness gap between accounts and the utilisation of slots."""

import itertools
from collections.abc import Sequence

import attrs
import numpy as np
import numpy.typing as npt


@attrs.frozen(kw_only=True)
class AccountService:
    """Service that one account received over time.

    Parameters
    ----------
    account : str
        Name of the account.
    weight : float
        Weight by which its service is divided.
    service_tokens : sequence of float
        Tokens received in each bucket of time.
    backlogged : sequence of bool
        Whether, throughout each bucket, at least one of its requests waited.
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
        Difference in tokens over weight; 0 if no two accounts were backlogged at the
        same time.
    largest_request_tokens : float
        Cost of the largest request, over the weight of its account.
    ahead, behind : str
        Accounts that received more and less.
    from_bucket, to_bucket : int
        Interval over which the difference built up, half-open.
    """

    gap_tokens: float = 0.0
    largest_request_tokens: float = 0.0
    ahead: str = ""
    behind: str = ""
    from_bucket: int = 0
    to_bucket: int = 0

    @property
    def gap_requests(self) -> float:
        """Gap as a multiple of the cost of the largest request."""
        if not self.largest_request_tokens:
            return 0.0
        return self.gap_tokens / self.largest_request_tokens


def _true_ranges(flags: npt.NDArray[np.bool_]) -> list[tuple[int, int]]:
    """Return each maximal run of true values as a half-open range of indices."""
    edges = np.flatnonzero(np.diff(np.concatenate(([0], flags.astype(int), [0]))))
    return [(int(a), int(b)) for a, b in zip(edges[::2], edges[1::2], strict=True)]


def _pair_gap(one: AccountService, other: AccountService) -> FairnessGap:
    both_backlogged = np.asarray(one.backlogged, bool) & np.asarray(
        other.backlogged, bool
    )
    difference = (
        np.asarray(one.service_tokens, float) / one.weight
        - np.asarray(other.service_tokens, float) / other.weight
    )
    gap = FairnessGap()
    for start, end in _true_ranges(both_backlogged):
        lead = np.concatenate(([0.0], np.cumsum(difference[start:end])))
        low, high = int(lead.argmin()), int(lead.argmax())
        spread = float(lead[high] - lead[low])
        if spread <= gap.gap_tokens:
            continue
        names = (one.account, other.account)
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
    """Return the largest gap between two accounts while both were backlogged.

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
    """Time in which one request held a slot of a target, on the monotonic clock."""

    started_s: float
    ended_s: float


def _waiting_ranges_s(
    work_waited: Sequence[bool], started_at_s: float, bucket_s: float
) -> list[tuple[float, float]]:
    runs = _true_ranges(np.asarray(work_waited, bool))
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
    """Return the share of slot time that was busy while requests waited.

    Parameters
    ----------
    busy : sequence of BusySlot
        Times in which slots were held, as logged by the targets.
    work_waited : sequence of bool
        Whether, throughout each bucket, at least one request waited.
    slot_count : int
        Number of slots of all targets.
    started_at_s : float
        Monotonic time of the first bucket's start.
    bucket_s : float
        Length of a bucket in seconds.

    Returns
    -------
    float or None
        None if no request waited throughout a bucket.
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

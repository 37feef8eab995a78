"""Account usage summed over the engines of all routers."""

import heapq
import math
from collections import Counter
from collections.abc import Iterable

import attrs
from typing_extensions import override

from citrondock_core.routing.account_usage import DecayingUsage, UsageTracker

MAX_REPORTED_ACCOUNTS = 16
"""Most accounts in one report, those with the highest usage; the others used little at
the engines of its router."""

MIN_REPORTED_TOKENS = 1000
"""Accounts below this are left out: it is less than one prompt of typical size, too
little to change the order of a queue."""


@attrs.frozen
class ReportedUsage:
    """Usage of one account at some engines, as a router reports it."""

    account: str
    tokens: int


class FleetUsage(UsageTracker):
    """Usage charged on this router, and at all other engines as last reported.

    What is reported is taken to stay as it is until the next report is overdue, as the
    other engines go on to serve. From then on it decays.

    Parameters
    ----------
    half_life_s : float
        Time in which usage decays to half of its size.
    """

    def __init__(self, *, half_life_s: float) -> None:
        self._decay_per_s = math.log(2) / half_life_s
        self._local = DecayingUsage(half_life_s=half_life_s)
        self._last_reported: dict[str, int] = {}
        self._elsewhere: dict[str, int] = {}
        self._holds_until_s = 0.0

    @override
    def received_tokens(self, account: str, *, now_s: float) -> float:
        local = self._local.received_tokens(account, now_s=now_s)
        overdue_s = max(now_s - self._holds_until_s, 0.0)
        weight = math.exp(-overdue_s * self._decay_per_s)
        return local + weight * self._elsewhere.get(account, 0)

    @override
    def add(self, account: str, tokens: float, *, now_s: float) -> None:
        self._local.add(account, tokens, now_s=now_s)

    @override
    def give_back(
        self, account: str, tokens: float, *, charged_at_s: float, now_s: float
    ) -> None:
        self._local.give_back(account, tokens, charged_at_s=charged_at_s, now_s=now_s)

    def report(self, *, now_s: float) -> list[ReportedUsage]:
        """Return the accounts with the highest local usage, highest first."""
        usage = _highest(
            (account, int(self._local.received_tokens(account, now_s=now_s)))
            for account in self._local.accounts()
        )
        self._last_reported = {item.account: item.tokens for item in usage}
        return usage

    def apply_totals(
        self, totals: Iterable[ReportedUsage], *, holds_until_s: float
    ) -> None:
        """Apply the usage at all engines, which includes this router's last report."""
        self._elsewhere = {
            item.account: max(item.tokens - self._last_reported.get(item.account, 0), 0)
            for item in totals
        }
        self._holds_until_s = holds_until_s


class UsageSum:
    """Sum of the usage that several sources report."""

    def __init__(self) -> None:
        self._tokens: Counter[str] = Counter()
        self._by_source: dict[str, Counter[str]] = {}
        self._expires_at_s: dict[str, float] = {}

    def update(
        self, source: str, usage: Iterable[ReportedUsage], *, expires_at_s: float
    ) -> None:
        """Replace what a source reported before."""
        self._remove(source)
        tokens = Counter({item.account: item.tokens for item in usage})
        self._by_source[source] = tokens
        self._expires_at_s[source] = expires_at_s
        self._tokens.update(tokens)

    def expire(self, *, now_s: float) -> None:
        """Drop what sources reported that have not reported again in time."""
        for source, expires_at_s in list(self._expires_at_s.items()):
            if now_s >= expires_at_s:
                self._remove(source)

    def _remove(self, source: str) -> None:
        tokens = self._by_source.pop(source, None)
        if tokens is None:
            return
        del self._expires_at_s[source]
        self._tokens.subtract(tokens)
        for account in tokens:
            if not self._tokens[account]:
                del self._tokens[account]

    @property
    def tokens(self) -> Counter[str]:
        """Sum by account."""
        return self._tokens

    def highest(self) -> list[ReportedUsage]:
        """Return the accounts with the highest usage, highest first."""
        return _highest(self._tokens.items())


def highest_in_total(sums: Iterable[UsageSum]) -> list[ReportedUsage]:
    """Return the accounts with the highest usage in several sums, highest first."""
    total: Counter[str] = Counter()
    for item in sums:
        total.update(item.tokens)
    return _highest(total.items())


def _highest(tokens_by_account: Iterable[tuple[str, int]]) -> list[ReportedUsage]:
    highest = heapq.nlargest(
        MAX_REPORTED_ACCOUNTS, tokens_by_account, key=lambda item: item[1]
    )
    return [
        ReportedUsage(account, tokens)
        for account, tokens in highest
        if tokens >= MIN_REPORTED_TOKENS
    ]

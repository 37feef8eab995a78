"""Account usage summed over the engines of all routers."""

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
    """Usage of one account at the engines of one router, as that router reports it."""

    account: str
    tokens: int


class FleetUsage(UsageTracker):
    """Usage charged on this router plus the usage that other routers report.

    A report about an account replaces the previous one of the same router. Reported
    usage decays like local usage, so that of a router that left or failed fades out.

    Parameters
    ----------
    half_life_s : float
        Time in which usage decays to half of its size.
    """

    def __init__(self, *, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._local = DecayingUsage(half_life_s=half_life_s)
        self._reported = DecayingUsage(half_life_s=half_life_s)
        self._reported_by_router: dict[str, DecayingUsage] = {}

    @override
    def received_tokens(self, account: str, *, now_s: float) -> float:
        local = self._local.received_tokens(account, now_s=now_s)
        return local + self._reported.received_tokens(account, now_s=now_s)

    @override
    def add(self, account: str, tokens: float, *, now_s: float) -> None:
        self._local.add(account, tokens, now_s=now_s)

    @override
    def give_back(
        self, account: str, tokens: float, *, charged_at_s: float, now_s: float
    ) -> None:
        self._local.give_back(account, tokens, charged_at_s=charged_at_s, now_s=now_s)

    def top_accounts(self, *, now_s: float) -> list[ReportedUsage]:
        """Return the accounts with the highest local usage, highest first."""
        usage = [
            ReportedUsage(
                account, int(self._local.received_tokens(account, now_s=now_s))
            )
            for account in self._local.accounts()
        ]
        usage = [item for item in usage if item.tokens >= MIN_REPORTED_TOKENS]
        usage.sort(key=lambda item: item.tokens, reverse=True)
        return usage[:MAX_REPORTED_ACCOUNTS]

    def update(
        self, vm_name: str, usage: Iterable[ReportedUsage], *, now_s: float
    ) -> None:
        """Apply a router's report; accounts that it leaves out only decay."""
        known = self._reported_by_router.get(vm_name)
        if known is None:
            known = DecayingUsage(half_life_s=self._half_life_s)
            self._reported_by_router[vm_name] = known
        for item in usage:
            change = item.tokens - known.received_tokens(item.account, now_s=now_s)
            known.add(item.account, change, now_s=now_s)
            self._reported.add(item.account, change, now_s=now_s)

"""Service that accounts received lately at the engines of all routers."""

from collections.abc import Iterable

import attrs
from typing_extensions import override

from citrondock_core.routing.account_usage import DecayingUsage, UsageTracker

MAX_REPORTED_ACCOUNTS = 16
"""A router tells of the accounts that received most; of others it sees little."""

MIN_REPORTED_TOKENS = 1000
"""Less than one prompt of usual size decides nothing."""


@attrs.frozen
class ReportedUsage:
    """Decayed tokens that one account received at the engines of one router."""

    account: str
    tokens: int


class FleetUsage(UsageTracker):
    """Counts what is granted here, and adds what other routers tell.

    What was told of an account replaces what the same router told before; it decays
    like the rest, so that a router that is gone is forgotten with its last grants.

    Parameters
    ----------
    half_life_s : float
        Time after which half of what was received no longer counts.
    """

    def __init__(self, *, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._own = DecayingUsage(half_life_s=half_life_s)
        self._told = DecayingUsage(half_life_s=half_life_s)
        self._told_by: dict[str, DecayingUsage] = {}

    @override
    def received(self, account: str, *, now_s: float) -> float:
        own = self._own.received(account, now_s=now_s)
        return own + self._told.received(account, now_s=now_s)

    @override
    def add(self, account: str, tokens: float, *, now_s: float) -> None:
        self._own.add(account, tokens, now_s=now_s)

    def top_accounts(self, *, now_s: float) -> list[ReportedUsage]:
        """Return the accounts that received most here."""
        usage = [
            ReportedUsage(account, int(self._own.received(account, now_s=now_s)))
            for account in self._own.accounts()
        ]
        usage = [item for item in usage if item.tokens >= MIN_REPORTED_TOKENS]
        usage.sort(key=lambda item: item.tokens, reverse=True)
        return usage[:MAX_REPORTED_ACCOUNTS]

    def update(
        self, vm_name: str, usage: Iterable[ReportedUsage], *, now_s: float
    ) -> None:
        """Take what another router tells; accounts that it leaves out only decay."""
        known = self._told_by.get(vm_name)
        if known is None:
            known = DecayingUsage(half_life_s=self._half_life_s)
            self._told_by[vm_name] = known
        for item in usage:
            change = item.tokens - known.received(item.account, now_s=now_s)
            known.add(item.account, change, now_s=now_s)
            self._told.add(item.account, change, now_s=now_s)

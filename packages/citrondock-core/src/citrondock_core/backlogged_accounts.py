"""Accounts with waiting requests for a pool, and their lowest normalised service."""

from collections.abc import Callable, Set

from citrondock_core.service_ledger import ServiceLedger

COUNTER_PROPAGATION_S = 4.0
"""Time within which counters of other routers are expected to have arrived."""

REFRESH_PERIOD_S = 0.1
"""Longest age of the cached floor."""


class BackloggedAccounts:
    """Tracks the accounts with requests waiting for one pool, on any router.

    The floor is the lowest normalised service among these accounts. An account that
    was idle must not use the service it missed to overtake the others, so it is
    raised to the floor. Charges made by other routers arrive with a delay. Therefore
    the floor is first applied temporarily, and made permanent after
    `COUNTER_PROPAGATION_S`.

    Parameters
    ----------
    ledger : ServiceLedger
        Normalised service of the accounts.
    waiting : callable
        Returns the accounts with requests waiting now, at this router or another.
    """

    def __init__(self, ledger: ServiceLedger, waiting: Callable[[], Set[str]]) -> None:
        self._ledger = ledger
        self._waiting = waiting
        self._joined_at_s: dict[str, float] = {}
        self._floor: float | None = None
        self._next_refresh_s = 0.0

    def join(self, account: str, *, now_s: float) -> None:
        """Add an account that had no waiting request at any router until now."""
        self._joined_at_s.pop(account, None)
        self._joined_at_s[account] = now_s
        self._refresh(now_s)

    def floor(self, *, now_s: float) -> float | None:
        """Return the lowest normalised service of the accounts, or None without any."""
        if now_s >= self._next_refresh_s:
            self._refresh(now_s)
        return self._floor

    def clamp(self, max_lead_tokens: float, *, now_s: float) -> None:
        """Limit how far the accounts are above the floor, in tokens per weight."""
        self._refresh(now_s)
        if self._floor is not None:
            self._ledger.clamp(
                self._waiting(), floor=self._floor, max_lead_tokens=max_lead_tokens
            )

    def _refresh(self, now_s: float) -> None:
        self._next_refresh_s = now_s + REFRESH_PERIOD_S
        normalised_service = self._ledger.normalised_service
        waiting = self._waiting()
        established = (
            normalised_service(a) for a in waiting if a not in self._joined_at_s
        )
        floor = min(established, default=None)
        for account, joined_at_s in list(self._joined_at_s.items()):
            if joined_at_s + COUNTER_PROPAGATION_S <= now_s:
                del self._joined_at_s[account]
                self._ledger.lift(account, floor)
            elif floor is not None:
                self._ledger.set_temporary_floor(account, floor)
            if account in waiting:
                own = normalised_service(account)
                floor = own if floor is None else min(floor, own)
        self._floor = floor

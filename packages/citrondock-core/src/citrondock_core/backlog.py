"""Accounts that wait for a pool anywhere, and the level of the lowest of them."""

from collections.abc import Callable, Set

from citrondock_core.service_ledger import ServiceLedger

JOIN_GRACE_S = 4.0
RECOUNT_PERIOD_S = 0.1


class Backlog:
    """Accounts with requests that wait for one pool, as this router knows them.

    What accounts were charged elsewhere becomes known late. So an account that comes
    out of idleness is held at the level of the lowest one that waited before it, and
    lifted there for good only when counters have had time to come round.

    Parameters
    ----------
    ledger : ServiceLedger
        Levels of the accounts.
    waiting : callable
        Returns the accounts that wait now, here or elsewhere.
    """

    def __init__(self, ledger: ServiceLedger, waiting: Callable[[], Set[str]]) -> None:
        self._ledger = ledger
        self._waiting = waiting
        self._joined_at_s: dict[str, float] = {}
        self._floor: float | None = None
        self._next_count_s = 0.0

    def join(self, account: str, *, now_s: float) -> None:
        """Note that an account waits again after it did not anywhere."""
        self._joined_at_s.pop(account, None)
        self._joined_at_s[account] = now_s
        self._recount(now_s)

    def floor(self, *, now_s: float) -> float | None:
        """Return the level of the lowest waiting account, or None without any."""
        if now_s >= self._next_count_s:
            self._recount(now_s)
        return self._floor

    def clamp(self, lead_tokens: float, *, now_s: float) -> None:
        """Forget what accounts lead over the lowest one beyond a bound."""
        self._recount(now_s)
        if self._floor is not None:
            self._ledger.clamp(self._waiting(), floor=self._floor, lead=lead_tokens)

    def _recount(self, now_s: float) -> None:
        self._next_count_s = now_s + RECOUNT_PERIOD_S
        level = self._ledger.level
        waiting = self._waiting()
        settled = (level(a) for a in waiting if a not in self._joined_at_s)
        floor = min(settled, default=None)
        for account, joined_at_s in list(self._joined_at_s.items()):
            if joined_at_s + JOIN_GRACE_S <= now_s:
                del self._joined_at_s[account]
                self._ledger.lift(account, floor)
            elif floor is not None:
                self._ledger.hold(account, floor)
            if account in waiting:
                own = level(account)
                floor = own if floor is None else min(floor, own)
        self._floor = floor

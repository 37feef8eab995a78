"""Requests that wait at other routers, as far as they said so."""

import heapq
import itertools
import math
from collections.abc import Callable, Container, Iterator

import attrs

from citrondock_core.messages import Demand

ORDER_VALID_S = 0.25
COMPARED_COUNT = 8

DemandKey = tuple[str, str]
"""Pool and account."""


@attrs.define
class RemoteDemand:
    """Latest statement of one router about one pool and account."""

    statement: Demand
    granted_count: int = 0
    granted_until_s: float = 0.0
    until_s: float = math.inf

    def open_count(self, now_s: float) -> int:
        """Return how many more slots the router can use."""
        if now_s >= self.granted_until_s:
            self.granted_count = 0
        return self.statement.waiting_count - self.granted_count


class DemandTable:
    """Demand of other routers by pool, account and router."""

    def __init__(self) -> None:
        self._by_pool: dict[str, dict[str, dict[str, RemoteDemand]]] = {}
        self._positive: dict[str, set[str]] = {}
        self._orders: dict[str, tuple[float, list[str]]] = {}
        self._expiring: list[tuple[float, str, str, str]] = []

    def accounts(self, pool: str) -> set[str]:
        """Return accounts with demand for a pool elsewhere."""
        return self._positive.get(pool, set())

    def waits_elsewhere(self, pool: str, account: str) -> bool:
        """Return whether an account waits for a pool at another router."""
        return account in self._positive.get(pool, ())

    def merge(self, demand: Demand, *, until_s: float = math.inf) -> bool:
        """Take a statement unless it is older.

        Parameters
        ----------
        demand : Demand
            The statement.
        until_s : float
            Time at which it is dropped unless the relay has confirmed it.

        Returns
        -------
        bool
            Whether it changed anything.
        """
        entries = self._by_pool.setdefault(demand.pool, {})
        by_vm = entries.setdefault(demand.account, {})
        known = by_vm.get(demand.vm_name)
        if known is None:
            known = by_vm[demand.vm_name] = RemoteDemand(demand)
        elif _number(demand) < _number(known.statement):
            return False
        elif demand == known.statement:
            known.until_s = max(known.until_s, until_s)
            return False
        known.statement = demand
        known.until_s = until_s
        if until_s < math.inf:
            heapq.heappush(
                self._expiring,
                (until_s, demand.pool, demand.account, demand.vm_name),
            )
        self._note(demand.pool, demand.account)
        return True

    def expire(self, *, now_s: float) -> None:
        """Drop statements that no relay has confirmed in time."""
        while self._expiring and self._expiring[0][0] <= now_s:
            _, pool, account, vm_name = heapq.heappop(self._expiring)
            by_vm = self._by_pool.get(pool, {}).get(account, {})
            known = by_vm.get(vm_name)
            if known is not None and known.until_s <= now_s:
                del by_vm[vm_name]
                self._note(pool, account)

    def keep_members(self, vm_names: set[str]) -> list[DemandKey]:
        """Drop statements of routers that are gone; return what changed."""
        changed = []
        for pool, account in list(self.keys()):
            by_vm = self._by_pool[pool][account]
            gone = set(by_vm) - vm_names
            for vm_name in gone:
                del by_vm[vm_name]
            if gone:
                changed.append((pool, account))
                self._note(pool, account)
        return changed

    def drop(self, vm_name: str, pool: str, account: str) -> None:
        """Drop what a router said of an account, after it did not use a slot."""
        by_vm = self._by_pool.get(pool, {}).get(account, {})
        if by_vm.pop(vm_name, None) is not None:
            self._note(pool, account)

    def statements(self, pool: str, account: str) -> list[Demand]:
        """Return all statements about one pool and account."""
        by_vm = self._by_pool.get(pool, {}).get(account, {})
        return [remote.statement for remote in by_vm.values()]

    def keys(self) -> Iterator[DemandKey]:
        """Return pools and accounts with any statement."""
        for pool, entries in self._by_pool.items():
            for account in entries:
                yield pool, account

    def lowest(
        self, pool: str, level: Callable[[str], float], *, now_s: float
    ) -> str | None:
        """Return the account of the lowest level that can use a slot elsewhere.

        The order of all accounts is kept for `ORDER_VALID_S`; levels of the first
        few are compared as they are now.
        """
        if not self.accounts(pool):
            return None
        valid_until_s, order = self._orders.get(pool, (0.0, []))
        if now_s >= valid_until_s:
            order = sorted(self.accounts(pool), key=lambda a: (level(a), a))
            self._orders[pool] = (now_s + ORDER_VALID_S, order)
        usable = (a for a in order if self._usable(pool, a, now_s))
        first = itertools.islice(usable, COMPARED_COUNT)
        return min(first, key=lambda a: (level(a), a), default=None)

    def grant(
        self,
        pool: str,
        account: str,
        *,
        near: Container[str],
        until_s: float,
        now_s: float,
    ) -> str | None:
        """Count one slot as lent for an account.

        Parameters
        ----------
        pool, account : str
            For what and for whom.
        near : container of str
            Routers that go first.
        until_s : float
            Time until which the slot counts against the demand.
        now_s : float
            Time now.

        Returns
        -------
        str or None
            The router to lend to.
        """
        by_vm = self._by_pool.get(pool, {}).get(account, {})
        usable = [r for r in by_vm.values() if r.open_count(now_s) > 0]
        if not usable:
            return None
        best = max(
            usable, key=lambda r: (r.statement.vm_name in near, r.open_count(now_s))
        )
        best.granted_count += 1
        best.granted_until_s = until_s
        return best.statement.vm_name

    def _usable(self, pool: str, account: str, now_s: float) -> bool:
        by_vm = self._by_pool[pool].get(account, {})
        return any(remote.open_count(now_s) > 0 for remote in by_vm.values())

    def _note(self, pool: str, account: str) -> None:
        by_vm = self._by_pool[pool][account]
        positive = self._positive.setdefault(pool, set())
        if any(r.statement.waiting_count > 0 for r in by_vm.values()):
            if account not in positive:
                positive.add(account)
                self._orders.pop(pool, None)
        else:
            positive.discard(account)
        if not by_vm:
            del self._by_pool[pool][account]


def _number(demand: Demand) -> tuple[int, int]:
    return demand.incarnation, demand.sequence

"""Demand that other routers reported: their waiting requests by account."""

import heapq
import itertools
import math
from collections.abc import Callable, Container, Iterator

import attrs

from citrondock_core.messages import Demand

SORTED_ACCOUNTS_MAX_AGE_S = 0.25
"""How long the sorted list of a pool's accounts is reused."""

COMPARED_ACCOUNTS_COUNT = 8
"""Accounts at its head whose normalised service is compared anew."""

DemandKey = tuple[str, str]
"""Pool and account."""


@attrs.define
class RemoteDemand:
    """Latest demand of one router for a pool and account, and slots granted for it."""

    demand: Demand
    granted_count: int = 0
    granted_until_s: float = 0.0
    expires_at_s: float = math.inf

    def unmet_count(self, now_s: float) -> int:
        """Return the waiting requests for which no slot was granted yet."""
        if now_s >= self.granted_until_s:
            self.granted_count = 0
        return self.demand.waiting_count - self.granted_count


class DemandTable:
    """Demand of other routers by pool, account and router."""

    def __init__(self) -> None:
        self._by_pool: dict[str, dict[str, dict[str, RemoteDemand]]] = {}
        self._accounts_with_demand: dict[str, set[str]] = {}
        self._sorted_accounts: dict[str, tuple[float, list[str]]] = {}
        self._expirations: list[tuple[float, str, str, str]] = []

    def accounts(self, pool: str) -> set[str]:
        """Return the accounts with demand for a pool at other routers."""
        return self._accounts_with_demand.get(pool, set())

    def waits_at_other_router(self, pool: str, account: str) -> bool:
        """Return whether an account has demand for a pool at another router."""
        return account in self._accounts_with_demand.get(pool, ())

    def merge(self, demand: Demand, *, expires_at_s: float = math.inf) -> bool:
        """Store demand of a router, unless newer demand is known.

        Parameters
        ----------
        demand : Demand
            The demand.
        expires_at_s : float
            Monotonic time at which it is dropped, unless the relay has sent it by then.

        Returns
        -------
        bool
            Whether the table changed.
        """
        entries = self._by_pool.setdefault(demand.pool, {})
        by_vm = entries.setdefault(demand.account, {})
        known = by_vm.get(demand.vm_name)
        if known is None:
            known = by_vm[demand.vm_name] = RemoteDemand(demand)
        elif _version(demand) < _version(known.demand):
            return False
        elif demand == known.demand:
            known.expires_at_s = max(known.expires_at_s, expires_at_s)
            return False
        known.demand = demand
        known.expires_at_s = expires_at_s
        if expires_at_s < math.inf:
            heapq.heappush(
                self._expirations,
                (expires_at_s, demand.pool, demand.account, demand.vm_name),
            )
        self._update_accounts(demand.pool, demand.account)
        return True

    def expire(self, *, now_s: float) -> None:
        """Drop demand from direct notices that no relay has sent in time."""
        while self._expirations and self._expirations[0][0] <= now_s:
            _, pool, account, vm_name = heapq.heappop(self._expirations)
            by_vm = self._by_pool.get(pool, {}).get(account, {})
            known = by_vm.get(vm_name)
            if known is not None and known.expires_at_s <= now_s:
                del by_vm[vm_name]
                self._update_accounts(pool, account)

    def keep_members(self, vm_names: set[str]) -> list[DemandKey]:
        """Drop demand of routers that are gone; return the keys that changed."""
        changed = []
        for pool, account in list(self.keys()):
            by_vm = self._by_pool[pool][account]
            gone = set(by_vm) - vm_names
            for vm_name in gone:
                del by_vm[vm_name]
            if gone:
                changed.append((pool, account))
                self._update_accounts(pool, account)
        return changed

    def drop(self, vm_name: str, pool: str, account: str) -> None:
        """Drop a router's demand for an account, after it returned a slot unused."""
        by_vm = self._by_pool.get(pool, {}).get(account, {})
        if by_vm.pop(vm_name, None) is not None:
            self._update_accounts(pool, account)

    def demands(self, pool: str, account: str) -> list[Demand]:
        """Return the demand of each router for one pool and account."""
        by_vm = self._by_pool.get(pool, {}).get(account, {})
        return [remote.demand for remote in by_vm.values()]

    def keys(self) -> Iterator[DemandKey]:
        """Iterate over the pools and accounts for which any demand is known."""
        for pool, entries in self._by_pool.items():
            for account in entries:
                yield pool, account

    def lowest_account(
        self, pool: str, normalised_service: Callable[[str], float], *, now_s: float
    ) -> str | None:
        """Return the account of lowest normalised service that needs a slot elsewhere.

        The sorted list of all accounts is reused for `SORTED_ACCOUNTS_MAX_AGE_S`; of
        the first few the current values are compared.
        """
        if not self.accounts(pool):
            return None
        valid_until_s, accounts = self._sorted_accounts.get(pool, (0.0, []))
        if now_s >= valid_until_s:
            accounts = sorted(
                self.accounts(pool), key=lambda a: (normalised_service(a), a)
            )
            self._sorted_accounts[pool] = (now_s + SORTED_ACCOUNTS_MAX_AGE_S, accounts)
        usable = (a for a in accounts if self._has_unmet_demand(pool, a, now_s))
        first = itertools.islice(usable, COMPARED_ACCOUNTS_COUNT)
        return min(first, key=lambda a: (normalised_service(a), a), default=None)

    def grant(
        self,
        pool: str,
        account: str,
        *,
        preferred_vms: Container[str],
        expires_at_s: float,
        now_s: float,
    ) -> str | None:
        """Choose the router to lend a slot to, and count the slot as granted.

        Parameters
        ----------
        pool, account : str
            Pool of the slot, and account for which it is lent.
        preferred_vms : container of str
            VM names of the routers to prefer.
        expires_at_s : float
            Monotonic time until which the slot counts against the demand.
        now_s : float
            Current monotonic time.

        Returns
        -------
        str or None
            VM name of the router, or None when no router has unmet demand.
        """
        by_vm = self._by_pool.get(pool, {}).get(account, {})
        usable = [r for r in by_vm.values() if r.unmet_count(now_s) > 0]
        if not usable:
            return None
        best = max(
            usable,
            key=lambda r: (r.demand.vm_name in preferred_vms, r.unmet_count(now_s)),
        )
        best.granted_count += 1
        best.granted_until_s = expires_at_s
        return best.demand.vm_name

    def _has_unmet_demand(self, pool: str, account: str, now_s: float) -> bool:
        by_vm = self._by_pool[pool].get(account, {})
        return any(remote.unmet_count(now_s) > 0 for remote in by_vm.values())

    def _update_accounts(self, pool: str, account: str) -> None:
        """Update the set of accounts with demand after one account's demand changed."""
        by_vm = self._by_pool[pool][account]
        accounts = self._accounts_with_demand.setdefault(pool, set())
        if any(r.demand.waiting_count > 0 for r in by_vm.values()):
            if account not in accounts:
                accounts.add(account)
                self._sorted_accounts.pop(pool, None)
        else:
            accounts.discard(account)
        if not by_vm:
            del self._by_pool[pool][account]


def _version(demand: Demand) -> tuple[int, int]:
    return demand.incarnation, demand.sequence

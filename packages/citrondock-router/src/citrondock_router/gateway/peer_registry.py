"""Registers a router and discovers the other routers through a shared registry."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Mapping

from citrondock_core.backoff import backoff_s
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.store_era import StoreEra
from citrondock_router.gateway.watched_store import WatchedStoreError
from citrondock_router.log import log_event

FIRST_RETRY_S = 0.3
"""Longest pause after the first failure; it doubles with each failure in a row."""

MAX_RETRY_S = 5.0
"""Longest pause after any failure."""

RELIST_S = 30.0
"""Period of the search for routers that did not announce themselves."""


RESTORE_SPREAD_S = 1.0
"""Time over which all routers search, and register, after the store was restored."""


class PeerRegistry(ABC):
    """Addresses of all routers; each router registers its own.

    Parameters
    ----------
    vm_name : str
        Name of this router's VM and of its entry.
    address : Address
        Address at which this router receives datagrams.
    """

    def __init__(self, vm_name: str, address: Address) -> None:
        self.vm_name = vm_name
        self.address = address

    @abstractmethod
    async def register(self) -> None:
        """Register this router, in place of any entry under its name.

        Raises
        ------
        WatchedStoreError
            If the entry may not have been written.
        """

    @abstractmethod
    async def addresses(self) -> Mapping[str, Address]:
        """Return the datagram addresses of all routers by VM; some may be gone.

        Raises
        ------
        WatchedStoreError
            If the registry gave no usable answer.
        """

    @abstractmethod
    async def deregister(self) -> None:
        """Remove this router's entry.

        Raises
        ------
        WatchedStoreError
            If the entry may still be there.
        """


class PeerDiscovery:
    """Keeps this router registered, and searches for all others periodically.

    Parameters
    ----------
    registry : PeerRegistry
        Registry of all routers.
    on_addresses : callable
        Called with the addresses of all others about every `RELIST_S`.
    era : StoreEra
        Latest era of the store behind the registry; a new one may lack entries.
    """

    def __init__(
        self,
        registry: PeerRegistry,
        on_addresses: Callable[[Collection[Address]], None],
        era: StoreEra,
    ) -> None:
        self._registry = registry
        self._on_addresses = on_addresses
        self._rng = random.Random()
        self._has_registered = False
        self._failure_count = 0
        self._era_began = asyncio.Event()
        era.on_change(self._era_began.set)

    async def run(self) -> None:
        """Register and search until cancelled."""
        while True:
            self._era_began.clear()
            try:
                await self._search()
                pause_s = self._rng.uniform(0.8, 1.2) * RELIST_S
            except WatchedStoreError as error:
                pause_s = self._back_off_s(error)
            await self._pause(pause_s)

    async def _search(self) -> None:
        if not self._has_registered:
            await self._registry.register()
            self._has_registered = True
        vm_name, own = self._registry.vm_name, self._registry.address
        addresses = dict(await self._registry.addresses())
        found = addresses.pop(vm_name, None)
        if found != own:
            log_event("peer_entry_lost", level="WARNING", found=str(found))
            await self._registry.register()
            # Of two routers that register at the same time, one sees the other.
            addresses = dict(await self._registry.addresses())
            addresses.pop(vm_name, None)
        self._on_addresses(addresses.values())
        self._failure_count = 0

    def _back_off_s(self, error: WatchedStoreError) -> float:
        if self._failure_count == 0:
            log_event("peers_unknown", level="WARNING", detail=str(error))
        pause_s = backoff_s(
            self._failure_count, min_s=FIRST_RETRY_S, max_s=MAX_RETRY_S, rng=self._rng
        )
        self._failure_count += 1
        return pause_s

    async def _pause(self, pause_s: float) -> None:
        """Wait for a time, or until a little after the beginning of a new era."""
        try:
            async with asyncio.timeout(pause_s):
                await self._era_began.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._rng.uniform(0.0, RESTORE_SPREAD_S))

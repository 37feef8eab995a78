"""Registers a router and discovers the other routers through a shared registry."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from citrondock_core.backoff import backoff_s
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.watched_store import WatchedStoreError
from citrondock_router.log import log_event

FIRST_RETRY_S = 0.3
"""Longest pause after the first failure; it doubles with each failure in a row."""

MAX_RETRY_S = 5.0
"""Longest pause after any failure."""

RELIST_S = 30.0
"""Period of the search for routers that did not announce themselves."""


class PeerRegistry(ABC):
    """Addresses of all routers; each router registers its own."""

    @abstractmethod
    async def register(self) -> None:
        """Register this router, in place of any entry under its name.

        Raises
        ------
        WatchedStoreError
            If the entry may not have been written.
        """

    @abstractmethod
    async def addresses(self) -> Sequence[Address]:
        """Return the datagram addresses of all other routers; some may be gone.

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


async def discover_peers(
    registry: PeerRegistry, on_addresses: Callable[[Sequence[Address]], None]
) -> None:
    """Register this router, then pass the addresses of all others on periodically.

    Parameters
    ----------
    registry : PeerRegistry
        Registry of all routers.
    on_addresses : callable
        Called with the addresses about every `RELIST_S`.
    """
    rng = random.Random()
    is_registered = False
    failure_count = 0
    while True:
        try:
            if not is_registered:
                await registry.register()
                is_registered = True
            on_addresses(await registry.addresses())
            failure_count = 0
            await asyncio.sleep(rng.uniform(0.8, 1.2) * RELIST_S)
        except WatchedStoreError as error:
            if failure_count == 0:
                log_event("peers_unknown", level="WARNING", detail=str(error))
            pause_s = backoff_s(
                failure_count, min_s=FIRST_RETRY_S, max_s=MAX_RETRY_S, rng=rng
            )
            failure_count += 1
            await asyncio.sleep(pause_s)

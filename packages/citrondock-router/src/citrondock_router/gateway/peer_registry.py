"""How routers find each other."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from citrondock_core.backoff import backoff_s
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.watched_store import WatchedStoreError
from citrondock_router.log import log_event

RETRY_S = 0.3
"""Longest pause after the first failure; it doubles."""

MAX_RETRY_S = 5.0

RELIST_S = 30.0
"""Period in which routers are looked for that did not tell of themselves."""


class PeerRegistry(ABC):
    """Where routers enter themselves."""

    @abstractmethod
    async def register(self) -> None:
        """Enter this router, in place of a former life.

        Raises
        ------
        WatchedStoreError
            If it may not be entered.
        """

    @abstractmethod
    async def addresses(self) -> Sequence[Address]:
        """Return where all routers take datagrams; some may be gone.

        Raises
        ------
        WatchedStoreError
            If there is no usable answer.
        """

    @abstractmethod
    async def deregister(self) -> None:
        """Remove this router's entry.

        Raises
        ------
        WatchedStoreError
            If it may still be there.
        """


async def discover_peers(
    registry: PeerRegistry, found: Callable[[Sequence[Address]], None]
) -> None:
    """Enter this router, then tell ``found`` of all others now and then."""
    rng = random.Random()
    is_entered = False
    failure_count = 0
    while True:
        try:
            if not is_entered:
                await registry.register()
                is_entered = True
            found(await registry.addresses())
            failure_count = 0
            await asyncio.sleep(rng.uniform(0.8, 1.2) * RELIST_S)
        except WatchedStoreError as error:
            if failure_count == 0:
                log_event("peers_unknown", level="WARNING", detail=str(error))
            pause_s = backoff_s(
                failure_count, min_s=RETRY_S, max_s=MAX_RETRY_S, rng=rng
            )
            failure_count += 1
            await asyncio.sleep(pause_s)

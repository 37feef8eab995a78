"""Tells the other routers which limits targets name in their responses."""

import asyncio
from collections.abc import Collection

from typing_extensions import override

from citrondock_core.routing.target_entry import TargetEntry
from citrondock_core.routing.target_limits import TargetLimit, TargetLimits
from citrondock_router.gateway.fact_gossip import FactSource
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram

MIN_BROADCAST_PERIOD_S = 1.0
"""Least time between two reports about one target to all routers. Meanwhile only its
home router is told, so that a limit that changes all the time costs little."""


class LimitExchange(DatagramHandler, FactSource):
    """Reads limits from responses and exchanges them with the other routers.

    Parameters
    ----------
    link : PeerLink
        Exchanges datagrams with other routers.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(self, link: PeerLink, loop: asyncio.AbstractEventLoop) -> None:
        self._link = link
        self._loop = loop
        self.table = TargetLimits()
        self._broadcast_at_s: dict[str, float] = {}
        link.add_handler(self)

    def requests_per_s(self, target_id: str) -> float | None:
        """Return the limit that a target names, or None if it names none."""
        return self.table.requests_per_s(target_id, now_s=self._loop.time())

    def allowed_per_s(self, target_id: str) -> float | None:
        """Return the requests that a target takes; None if nothing limits them."""
        return self.table.allowed_per_s(target_id, now_s=self._loop.time())

    def response_received(
        self, entry: TargetEntry, requests_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Apply what a response shows, and tell other routers if it is news."""
        limit = self.table.record_response(
            entry.target_id,
            requests_per_s,
            sent_at_s=sent_at_s,
            now_s=self._loop.time(),
        )
        if limit is not None:
            self._log(limit, origin=self._link.vm_name)
            self._tell(limit, entry)

    def keep_only(self, target_ids: Collection[str]) -> None:
        """Forget all targets but those named."""
        self.table.keep_only(target_ids)
        for target_id in set(self._broadcast_at_s) - set(target_ids):
            del self._broadcast_at_s[target_id]

    def add_limit(self, datagram: PeerDatagram, target_id: str) -> None:
        """Add a target's limit to a datagram for the router that is its home."""
        limit = self.table.report(target_id, now_s=self._loop.time())
        if limit is not None:
            datagram.limits.append(limit)

    @override
    def add_facts(self, datagram: PeerDatagram) -> bool:
        limits = self.table.reports(now_s=self._loop.time())
        datagram.limits.extend(limits)
        return bool(limits)

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        for limit in datagram.limits:
            if self.table.merge(limit, now_s=self._loop.time()):
                self._log(limit, origin=datagram.vm_name)

    def _tell(self, limit: TargetLimit, entry: TargetEntry) -> None:
        now_s = self._loop.time()
        datagram = self._link.datagram()
        datagram.limits = [limit]
        last_at_s = self._broadcast_at_s.get(entry.target_id)
        if last_at_s is not None and now_s - last_at_s < MIN_BROADCAST_PERIOD_S:
            home = self._link.peers.home_router_of(
                entry.target_id, entry.availability_zone, now_s=now_s
            )
            self._link.send(home, datagram)
            return
        self._broadcast_at_s[entry.target_id] = now_s
        self._link.broadcast(datagram)

    def _log(self, limit: TargetLimit, *, origin: str) -> None:
        log_event(
            "target_limit",
            target=limit.target_id,
            requests_per_s=limit.requests_per_s,
            age_s=limit.age_s,
            origin=origin,
        )

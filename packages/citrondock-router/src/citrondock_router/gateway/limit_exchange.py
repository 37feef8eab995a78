"""Tells the other routers which limits targets name in their responses."""

import asyncio

from typing_extensions import override

from citrondock_core.routing.target_limits import TargetLimit, TargetLimits
from citrondock_router.gateway.fact_gossip import FactSource
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram


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
        link.add_handler(self)

    def requests_per_s(self, target_id: str) -> float | None:
        """Return the limit of a target, or None if it has none."""
        return self.table.requests_per_s(target_id, now_s=self._loop.time())

    def response_received(
        self, target_id: str, requests_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Apply what a response shows, and tell the other routers if it is news."""
        limit = self.table.record_response(
            target_id,
            requests_per_s,
            sent_at_s=sent_at_s,
            now_s=self._loop.time(),
        )
        if limit is None:
            return
        self._log(limit, origin=self._link.vm_name)
        datagram = self._link.datagram()
        datagram.limits = [limit]
        self._link.broadcast(datagram)

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

    def _log(self, limit: TargetLimit, *, origin: str) -> None:
        log_event(
            "target_limit",
            target=limit.target_id,
            requests_per_s=limit.requests_per_s,
            age_s=limit.age_s,
            origin=origin,
        )

"""Tells the routers of a zone how far its watchers have followed the store."""

import asyncio
from collections.abc import Sequence

from typing_extensions import override

from citrondock_core.routing.store_watch_plan import (
    MIN_RELAY_ROUTERS,
    STATEMENT_PERIOD_S,
    StoreView,
    StoreWatchPlan,
    watchers,
)
from citrondock_router.gateway.object_follower import ObjectFollower
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram


class StoreViewExchange(DatagramHandler):
    """Sends this router's statements if it is a watcher, and receives those of others.

    Parameters
    ----------
    link : PeerLink
        Exchanges datagrams with other routers.
    plan : StoreWatchPlan
        Compares the statements.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self, link: PeerLink, plan: StoreWatchPlan, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._link = link
        self._plan = plan
        self._loop = loop
        self._followers: Sequence[ObjectFollower] = ()
        self._sent: list[StoreView] = []
        self._due_at_s = 0.0
        link.add_handler(self)

    def set_followers(self, followers: Sequence[ObjectFollower]) -> None:
        """Replace the followers whose watches are planned."""
        self._followers = followers

    def tick(self) -> None:
        """Send a statement if one is due, and replace watches that wait too long."""
        now_s = self._loop.time()
        self._update_role(now_s)
        if self._plan.is_watcher:
            views = self._plan.statements()
            if views and (views != self._sent or now_s >= self._due_at_s):
                self._send(views)
                self._due_at_s = now_s + STATEMENT_PERIOD_S
        for follower in self._followers:
            follower.check_watch(now_s=now_s)

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        now_s = self._loop.time()
        for view in datagram.store_views:
            has_returned = self._plan.record_statement(
                datagram.vm_name, view, now_s=now_s
            )
            if not has_returned:
                continue
            log_event("store_returned", kind=view.kind, origin=datagram.vm_name)
            for follower in self._followers:
                if follower.kind == view.kind:
                    follower.store_returned_for_others()

    def _update_role(self, now_s: float) -> None:
        peers = self._link.peers
        zone = peers.availability_zone
        names = [
            peer.vm_name
            for peer in peers.peers()
            if peer.availability_zone == zone and now_s >= peer.suspected_until_s
        ]
        if not peers.is_leaving:
            names.append(peers.vm_name)
        self._plan.is_relayed = len(names) >= MIN_RELAY_ROUTERS
        is_watcher = peers.vm_name in watchers(names, zone)
        if is_watcher != self._plan.is_watcher:
            self._plan.is_watcher = is_watcher
            log_event("store_watcher", is_watcher=is_watcher, zone_routers=len(names))

    def _send(self, views: list[StoreView]) -> None:
        self._sent = views
        datagram = self._link.datagram()
        datagram.store_views = views
        self._link.broadcast(
            datagram, availability_zone=self._link.peers.availability_zone
        )

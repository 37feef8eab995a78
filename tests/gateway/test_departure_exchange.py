"""Routers tell each other only of departures that their own registry shows."""

import asyncio

import attrs

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.departure_exchange import DepartureExchange
from citrondock_wire.grant_codec import PeerDatagram

ENTRY = TargetEntry(
    target_id="e1",
    service="llm",
    host="10.0.0.1",
    port=1,
    availability_zone="z1",
    max_concurrency=8,
    is_leaving=False,
    started_at_ms=1000,
)
RESTARTED = attrs.evolve(ENTRY, started_at_ms=2000)


class Link:
    """Keeps the departures that are sent; this router is every target's home."""

    vm_name = "v1"

    def __init__(self):
        self.peers = self
        self.sent = []

    def add_handler(self, handler):
        pass

    def home_router_of(self, target_id, availability_zone, *, now_s):
        return self.vm_name

    def datagram(self):
        return PeerDatagram(vm_name=self.vm_name, incarnation=1)

    def broadcast(self, datagram):
        self.sent += datagram.departures


class TestRestoredRegistry:
    def told(self, restored):
        """Return the departures that are told after a restore to an entry."""
        directory, link = TargetDirectory(grace_s=2.0), Link()
        loop = asyncio.new_event_loop()
        exchange = DepartureExchange(link, directory, lambda change: None, loop)
        directory.replace([RESTARTED], position=StorePosition(1, 50), now_s=0.0)
        change = directory.replace(
            [restored], position=StorePosition(2, 40), now_s=10.0
        )
        assert [entry.is_leaving for entry in change.changed] == [True]
        exchange.registry_changed(change)
        loop.close()
        return [(item.target_id, item.registry_era) for item in link.sent]

    def test_others_are_not_told_that_it_shows_an_incarnation_it_has_lost(self):
        assert self.told(ENTRY) == []

    def test_others_are_told_that_it_shows_a_target_as_leaving(self):
        assert self.told(attrs.evolve(RESTARTED, is_leaving=True)) == [("e1", 2)]

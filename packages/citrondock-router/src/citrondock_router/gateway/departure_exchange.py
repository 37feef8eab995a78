"""Learns from responses and other routers which targets are leaving."""

import asyncio
from collections.abc import Callable

from typing_extensions import override

from citrondock_core.routing.target_departure import RecentDepartures, TargetDeparture
from citrondock_core.routing.target_directory import DirectoryChange, TargetDirectory
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.fact_gossip import FactSource
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram


class DepartureExchange(DatagramHandler, FactSource):
    """Marks departed targets in the directory, and tells the other routers.

    A router that the registry turns away learns of departures in this way. The home
    router of a target tells all others at once; gossip reaches those that miss it.

    Parameters
    ----------
    link : PeerLink
        Exchanges datagrams with other routers.
    directory : TargetDirectory
        Known targets.
    on_change : callable
        Called with each change of the directory.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        link: PeerLink,
        directory: TargetDirectory,
        on_change: Callable[[DirectoryChange], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._link = link
        self._directory = directory
        self._on_change = on_change
        self._loop = loop
        self._recent = RecentDepartures()
        link.add_handler(self)

    def target_leaves(self, entry: TargetEntry) -> None:
        """Handle a response in which a target states that it is leaving."""
        departure = TargetDeparture(
            target_id=entry.target_id,
            started_at_ms=entry.started_at_ms,
            registry_revision=None,
            age_s=0.0,
        )
        is_news = self._recent.record(departure, now_s=self._loop.time())
        self._apply(departure, origin=self._link.vm_name)
        if is_news and not self._tell_all_as_home(entry, departure):
            datagram = self._link.datagram()
            datagram.departures = [departure]
            self._link.send(self._home_of(entry), datagram)

    def registry_changed(self, change: DirectoryChange) -> None:
        """Tell other routers of departures that the registry shows."""
        position = self._directory.position
        leaving = [
            entry
            for entry in change.changed
            if self._directory.is_shown_as_leaving(entry.target_id)
        ]
        for entry in (*leaving, *change.removed):
            departure = TargetDeparture(
                target_id=entry.target_id,
                started_at_ms=entry.started_at_ms,
                registry_revision=position.revision,
                age_s=0.0,
                registry_era=position.era,
            )
            self._recent.record(departure, now_s=self._loop.time())
            self._tell_all_as_home(entry, departure)

    @override
    def add_facts(self, datagram: PeerDatagram) -> bool:
        departures = self._recent.reports(now_s=self._loop.time())
        datagram.departures.extend(departures)
        return bool(departures)

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        now_s = self._loop.time()
        for departure in datagram.departures:
            is_news = self._recent.record(departure, now_s=now_s)
            entry = self._directory.get(departure.target_id)
            # A repeated statement may be about a target that was not known before.
            self._apply(departure, origin=datagram.vm_name)
            is_own_word = departure.registry_revision is None
            if is_news and is_own_word and entry is not None:
                self._tell_all_as_home(entry, departure)

    def _apply(self, departure: TargetDeparture, *, origin: str) -> None:
        change = self._directory.depart(departure)
        if not change.changed:
            return
        log_event(
            "target_leaving",
            target=departure.target_id,
            origin=origin,
            age_s=departure.age_s,
            era=departure.registry_era,
            revision=departure.registry_revision,
            directory_era=self._directory.position.era,
            directory_revision=self._directory.revision,
        )
        self._on_change(change)

    def _tell_all_as_home(self, entry: TargetEntry, departure: TargetDeparture) -> bool:
        """Tell all routers if this one is the target's home; return whether it is."""
        if self._home_of(entry) != self._link.vm_name:
            return False
        datagram = self._link.datagram()
        datagram.departures = [departure]
        self._link.broadcast(datagram)
        return True

    def _home_of(self, entry: TargetEntry) -> str:
        return self._link.peers.home_router_of(
            entry.target_id, entry.availability_zone, now_s=self._loop.time()
        )

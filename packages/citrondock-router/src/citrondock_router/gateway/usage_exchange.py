"""Adds up the account usage of all home routers, so that each of them knows the sum.

In each zone one router, the collector, is chosen by rendezvous hashing. Home routers
report their usage to the collector of their zone and get the sum of all zones in
return; collectors tell each other the sums of their zones. The traffic of a home router
does not grow with the fleet, and that of a collector is limited.
"""

import asyncio
import math

from typing_extensions import override

from citrondock_core.routing.fleet_usage import (
    FleetUsage,
    ReportedUsage,
    UsageSum,
    highest_in_total,
)
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram

MIN_REPORT_PERIOD_S = 0.25
"""Home routers report usage at most this often, twice in its half-life."""

MAX_COLLECTED_PER_S = 100.0
"""Reports that one collector takes; in larger zones home routers report less often."""

MAX_MISSED_REPORTS = 4
"""Reports that may be missing in a row: after as many, what was reported before is no
longer counted, and a collector that answered none is taken for silent."""


class UsageExchange(DatagramHandler):
    """Reports this router's account usage, and collects that of others if chosen.

    Parameters
    ----------
    link : PeerLink
        Exchanges datagrams with other routers.
    usage : FleetUsage
        Usage at the engines that this router is the home of; gets that at all others.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self, link: PeerLink, usage: FleetUsage, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._link = link
        self._usage = usage
        self._loop = loop
        self._members = UsageSum()
        self._other_zones = UsageSum()
        self._collects_until_s = -math.inf
        self._period_s = MIN_REPORT_PERIOD_S
        self._collector = ""
        self._unanswered_count = 0
        link.add_handler(self)

    def report(self) -> float:
        """Report local usage, and the sum of the zone if this router collects it.

        Returns
        -------
        float
            Time in seconds until the next report is due.
        """
        now_s = self._loop.time()
        zone = self._link.peers.availability_zone
        peers = self._link.peers.peers()
        member_count = 1 + sum(peer.availability_zone == zone for peer in peers)
        self._period_s = max(member_count / MAX_COLLECTED_PER_S, MIN_REPORT_PERIOD_S)
        self._members.expire(now_s=now_s)
        self._other_zones.expire(now_s=now_s)
        usage = self._usage.report(now_s=now_s)
        if usage:
            self._send_report(usage, now_s)
        if now_s < self._collects_until_s:
            self._send_zone_sum(now_s)
        return self._period_s

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        now_s = self._loop.time()
        if datagram.usage:
            self._collect(datagram.vm_name, datagram.usage, now_s)
            answer = self._link.datagram()
            answer.fleet_usage = self._fleet_usage()
            self._link.send(datagram.vm_name, answer)
        if datagram.zone_usage:
            self._other_zones.update(
                datagram.vm_name,
                datagram.zone_usage,
                expires_at_s=self._overdue_at_s(now_s),
            )
            self._apply_totals(self._fleet_usage(), now_s)
        if datagram.fleet_usage:
            self._unanswered_count = 0
            self._apply_totals(datagram.fleet_usage, now_s)

    def _overdue_at_s(self, now_s: float) -> float:
        """Return when a report that came now should have been followed by another."""
        return now_s + MAX_MISSED_REPORTS * self._period_s

    def _apply_totals(self, totals: list[ReportedUsage], now_s: float) -> None:
        self._usage.apply_totals(totals, holds_until_s=self._overdue_at_s(now_s))

    def _send_report(self, usage: list[ReportedUsage], now_s: float) -> None:
        zone = self._link.peers.availability_zone
        collector = self._collector_of(zone, now_s)
        if collector == self._collector and self._is_silent():
            log_event("collector_silent", level="WARNING", peer=collector)
            self._link.peers.mark_silent(collector, now_s=now_s)
            collector = self._collector_of(zone, now_s)
        if collector != self._collector:
            self._collector = collector
            self._unanswered_count = 0
        if collector == self._link.vm_name:
            self._collect(collector, usage, now_s)
            self._apply_totals(self._fleet_usage(), now_s)
            return
        self._unanswered_count += 1
        datagram = self._link.datagram()
        datagram.usage = usage
        self._link.send(collector, datagram)

    def _is_silent(self) -> bool:
        """Return whether the collector answered none of several reports."""
        if self._unanswered_count < MAX_MISSED_REPORTS:
            return False
        # A router that is late may have answers that it has not read.
        is_all_read = self._link.read_waiting()
        return is_all_read and self._unanswered_count >= MAX_MISSED_REPORTS

    def _send_zone_sum(self, now_s: float) -> None:
        peers = self._link.peers
        zones = {peer.availability_zone for peer in peers.peers()}
        collectors = {
            self._collector_of(zone, now_s)
            for zone in zones - {peers.availability_zone}
        }
        datagram = self._link.datagram()
        datagram.zone_usage = self._members.highest()
        for collector in collectors - {self._link.vm_name}:
            self._link.send(collector, datagram)

    def _collect(self, member: str, usage: list[ReportedUsage], now_s: float) -> None:
        self._collects_until_s = self._overdue_at_s(now_s)
        self._members.update(member, usage, expires_at_s=self._collects_until_s)

    def _fleet_usage(self) -> list[ReportedUsage]:
        return highest_in_total((self._members, self._other_zones))

    def _collector_of(self, zone: str, now_s: float) -> str:
        return self._link.peers.home_router_of(f"usage/{zone}", zone, now_s=now_s)

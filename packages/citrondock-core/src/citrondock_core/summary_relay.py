"""Relay of a zone: sums the counters of its routers and distributes fleet totals.

The routers of a zone send their counters and demand to their relay. The relays exchange
the sums of their zones, and each sends the totals of the fleet to its zone's routers.
"""

from collections.abc import Mapping, Sequence

from citrondock_core.actions import Send
from citrondock_core.counter_stream import CounterStream, CounterTable
from citrondock_core.demand_table import DemandKey, DemandTable
from citrondock_core.demand_update_filter import DemandUpdateFilter
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.messages import Demand, Member, ServiceTotal, Summary
from citrondock_core.rendezvous import choose_member
from citrondock_core.service_ledger import ServiceLedger, TokenCounter

LOST_PERIODS_COUNT = 3
"""Longest exchange periods after which an unacknowledged message counts as lost."""

REMEMBERED_SEQUENCES_COUNT = 4
"""Latest messages of each sender that the next summary acknowledges."""


class SummaryRelay:
    """State of a zone's relay; unused while another router is the relay.

    Parameters
    ----------
    member : Member
        This router.
    ledger : ServiceLedger
        Totals of the fleet.
    demand : DemandTable
        Demand of other routers.
    options : DispatchOptions
        Exchange periods.
    """

    def __init__(
        self,
        member: Member,
        ledger: ServiceLedger,
        demand: DemandTable,
        options: DispatchOptions,
    ) -> None:
        self._member = member
        self._ledger = ledger
        self._demand = demand
        self._options = options
        self._members: dict[str, Member] = {}
        self._staying: Sequence[Member] = ()
        self._relay_by_zone: dict[str, Member] = {}
        self._sequence = 0
        self._stream_number = member.incarnation % 1_000_000
        self._member_demand_filter = DemandUpdateFilter()
        self._relay_demand_filter = DemandUpdateFilter()
        self._to_acknowledge: dict[str, list[int]] = {}
        self._sent_totals: dict[str, tuple[float, float, float]] = {}
        self.start()

    def start(self) -> None:
        """Start as relay, with no counters of the zone yet."""
        self._counter_table = CounterTable()
        self._zone_counters: dict[str, TokenCounter] = {}
        self._stream_by_zone: dict[str, CounterStream] = {}
        self._unsent_by_zone: dict[str, set[str]] = {}
        self._unsent_totals: set[str] = set()
        self._relay_by_zone = {}
        self._to_acknowledge.clear()
        self._sent_totals.clear()
        self._member_demand_filter.reset()
        self._relay_demand_filter.reset()
        self._start_streams()

    def set_members(
        self,
        members: Sequence[Member],
        *,
        staying: Sequence[Member],
        has_new_members: bool,
    ) -> None:
        """Set the live routers; with new ones among them everything is sent again."""
        self._members = {member.vm_name: member for member in members}
        self._staying = tuple(staying)
        if has_new_members:
            self.refresh()
        self._start_streams()

    def refresh(self) -> None:
        """Send everything again with the next summaries."""
        self._sent_totals.clear()
        self._unsent_totals.update(account for account, _ in self._ledger.items())
        self._member_demand_filter.reset()
        self._relay_demand_filter.reset()

    def _start_streams(self) -> None:
        """Start or restart a stream to the relay of each other zone."""
        zones = {member.availability_zone for member in self._staying}
        zones.discard(self._member.availability_zone)
        for zone in sorted(zones):
            name = choose_member(f"relay/{zone}", zone, self._staying)
            peer = self._members[name or ""]
            if self._relay_by_zone.get(zone) == peer:
                continue
            self._relay_by_zone[zone] = peer
            self._stream_number += 1
            if zone in self._stream_by_zone:
                lost = self._stream_by_zone[zone].restart(number=self._stream_number)
                self._unsent_by_zone[zone] |= lost
            else:
                self._stream_by_zone[zone] = CounterStream(
                    self._zone_counters, number=self._stream_number
                )
                self._unsent_by_zone[zone] = set(self._zone_counters)
            self._relay_demand_filter.reset()

    def merge(self, sender: Member, summary: Summary) -> None:
        """Add the growth of the counters in a summary of a zone's router or a relay."""
        from_zone = sender.availability_zone == self._member.availability_zone
        for counter in summary.counters:
            increment = self._counter_table.merge(counter)
            if increment is None:
                continue
            account = increment.account
            grown = (increment.charged_tokens, increment.refunded_tokens)
            self._ledger.record(account).fleet.add(*grown)
            self._unsent_totals.add(account)
            if from_zone:
                self._zone_counters.setdefault(account, TokenCounter()).add(*grown)
                for unsent in self._unsent_by_zone.values():
                    unsent.add(account)
        for total in summary.totals:
            self._unsent_totals.add(total.account)
        if summary.counters and sender.vm_name != self._member.vm_name:
            merged = self._to_acknowledge.setdefault(sender.vm_name, [])
            merged.append(summary.sequence)
            del merged[:-REMEMBERED_SEQUENCES_COUNT]

    def acknowledge(self, sender: Member, sequences: Sequence[int]) -> None:
        """Record which messages another relay has merged."""
        for zone, peer in self._relay_by_zone.items():
            if peer.vm_name == sender.vm_name:
                self._stream_by_zone[zone].acknowledge(sequences)

    def all_totals(self) -> Summary:
        """Return all totals, for a router that has just started."""
        totals = []
        for account, record in self._ledger.items():
            totals.append(
                ServiceTotal(
                    account=account,
                    charged_tokens=record.fleet.charged_tokens,
                    refunded_tokens=record.fleet.refunded_tokens,
                    lifted_tokens=record.lifted_tokens,
                    clamped_tokens=record.clamped_tokens,
                )
            )
        return Summary(totals=totals)

    def step(
        self,
        changed_demand: set[DemandKey],
        own_demand: Mapping[DemandKey, Demand],
        *,
        wants_totals: bool,
        min_change_tokens: float,
        zero_delay_s: float,
        now_s: float,
    ) -> list[Send]:
        """Return the summaries for the other relays and the routers of the zone.

        Parameters
        ----------
        changed_demand : set of tuple of str
            Pools and accounts whose demand changed.
        own_demand : mapping of tuple of str to Demand
            Demand at this router.
        wants_totals : bool
            Whether to ask the receivers for all totals.
        min_change_tokens : float
            Smallest change of an account's service that is sent.
        zero_delay_s : float
            How long demand must stay at zero before that is sent.
        now_s : float
            Current monotonic time.
        """
        demands_by_key = self._demands_by_key(changed_demand, own_demand)
        deferred = self._relay_demand_filter.take_deferred()
        for_relays = demands_by_key | self._demands_by_key(deferred, own_demand)
        sends = self._summaries_for_relays(
            for_relays, wants_totals, min_change_tokens, zero_delay_s, now_s
        )
        deferred = self._member_demand_filter.take_deferred()
        for_members = demands_by_key | self._demands_by_key(deferred, own_demand)
        sends += self._summaries_for_members(
            for_members, wants_totals, min_change_tokens, zero_delay_s, now_s
        )
        self._counter_table.fold()
        return sends

    def _demands_by_key(
        self, keys: set[DemandKey], own_demand: Mapping[DemandKey, Demand]
    ) -> dict[DemandKey, list[Demand]]:
        demands_by_key = {}
        for key in sorted(keys):
            known = self._demand.demands(*key)
            if key in own_demand:
                known.append(own_demand[key])
            demands_by_key[key] = known
        return demands_by_key

    def _zone_of(self, vm_name: str) -> str:
        member = self._members.get(vm_name, self._member)
        return member.availability_zone

    def _summaries_for_relays(
        self,
        demands_by_key: Mapping[DemandKey, list[Demand]],
        wants_totals: bool,
        min_change_tokens: float,
        zero_delay_s: float,
        now_s: float,
    ) -> list[Send]:
        """Return summaries of this zone for the other relays."""
        zone = self._member.availability_zone
        demands: list[Demand] = []
        for key, known in demands_by_key.items():
            local = [d for d in known if self._zone_of(d.vm_name) == zone]
            demands.extend(
                self._relay_demand_filter.updates_to_send(
                    key, local, zero_delay_s=zero_delay_s, now_s=now_s
                )
            )
        lost_before_s = now_s - LOST_PERIODS_COUNT * self._options.max_period_s
        sends = []
        for name, peer in self._relay_by_zone.items():
            stream = self._stream_by_zone[name]
            self._sequence += 1
            unsent = self._unsent_by_zone[name] | stream.expire(
                sent_before_s=lost_before_s
            )
            counters, self._unsent_by_zone[name] = stream.collect(
                unsent,
                sender=self._member.vm_name,
                incarnation=self._member.incarnation,
                min_change_tokens=min_change_tokens,
                sequence=self._sequence,
                now_s=now_s,
            )
            summary = Summary(
                counters=counters,
                demands=demands,
                sequence=self._sequence,
                acknowledged=self._take_acknowledgements(peer.vm_name),
                wants_totals=wants_totals,
            )
            sends.append(Send(peer.vm_name, summary))
        return [send for send in sends if _has_content(send.message)]

    def _summaries_for_members(
        self,
        demands_by_key: Mapping[DemandKey, list[Demand]],
        wants_totals: bool,
        min_change_tokens: float,
        zero_delay_s: float,
        now_s: float,
    ) -> list[Send]:
        """Return summaries of the fleet for the routers of this zone."""
        demands: list[Demand] = []
        for key, known in demands_by_key.items():
            demands.extend(
                self._member_demand_filter.updates_to_send(
                    key, known, zero_delay_s=zero_delay_s, now_s=now_s
                )
            )
        totals = self._changed_totals(min_change_tokens)
        sends = []
        for member in self._members.values():
            if member.vm_name == self._member.vm_name:
                continue
            if member.availability_zone != self._member.availability_zone:
                continue
            summary = Summary(
                totals=totals,
                demands=demands,
                acknowledged=self._take_acknowledgements(member.vm_name),
                wants_totals=wants_totals,
            )
            sends.append(Send(member.vm_name, summary))
        return [send for send in sends if _has_content(send.message)]

    def _take_acknowledgements(self, vm_name: str) -> tuple[int, ...]:
        return tuple(self._to_acknowledge.pop(vm_name, ()))

    def _changed_totals(self, min_change_tokens: float) -> list[ServiceTotal]:
        totals = []
        deferred = set()
        for account in sorted(self._unsent_totals):
            record = self._ledger.record(account)
            sent = self._sent_totals.get(account)
            net_tokens = record.fleet.net_tokens
            now = (net_tokens, record.lifted_tokens, record.clamped_tokens)
            if sent is not None:
                change_tokens = max(abs(a - b) for a, b in zip(now, sent, strict=True))
                if change_tokens < max(min_change_tokens, 1e-9):
                    deferred.add(account)
                    continue
            self._sent_totals[account] = now
            totals.append(self._total(account, sent))
        self._unsent_totals = deferred
        return totals

    def _total(
        self, account: str, sent: tuple[float, float, float] | None
    ) -> ServiceTotal:
        record = self._ledger.record(account)
        lifted = record.lifted_tokens
        clamped = record.clamped_tokens
        return ServiceTotal(
            account=account,
            charged_tokens=record.fleet.charged_tokens,
            refunded_tokens=record.fleet.refunded_tokens,
            lifted_tokens=0.0 if sent and sent[1] == lifted else lifted,
            clamped_tokens=0.0 if sent and sent[2] == clamped else clamped,
        )


def _has_content(message: object) -> bool:
    if not isinstance(message, Summary):
        return True
    return bool(
        message.counters
        or message.demands
        or message.totals
        or message.acknowledged
        or message.wants_totals
    )

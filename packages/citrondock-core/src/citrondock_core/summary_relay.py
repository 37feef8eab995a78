"""The relay of a zone: sums its members' counters and hands totals down."""

from collections.abc import Mapping, Sequence

from citrondock_core.actions import Send
from citrondock_core.counter_stream import CounterStream, CounterTable
from citrondock_core.demand_channel import DemandChannel
from citrondock_core.demand_table import DemandKey, DemandTable
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.messages import Demand, Member, ServiceTotal, Summary
from citrondock_core.rendezvous import choose_member
from citrondock_core.service_ledger import Counter, ServiceLedger

LOST_PERIODS_COUNT = 3
REMEMBERED_SEQUENCES_COUNT = 4


class SummaryRelay:
    """Duties of the relay of a zone; idle at other members.

    Parameters
    ----------
    member : Member
        This router.
    ledger : ServiceLedger
        Holds the totals of the fleet.
    demand : DemandTable
        Holds the demand of other routers.
    options : DispatchOptions
        Periods and quantum.
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
        self._peers: dict[str, Member] = {}
        self._sequence = 0
        self._number = member.incarnation % 1_000_000
        self._down_demand = DemandChannel()
        self._side_demand = DemandChannel()
        self._merged: dict[str, list[int]] = {}
        self._sent_totals: dict[str, tuple[float, float, float]] = {}
        self.start()

    def start(self) -> None:
        """Begin the duties with no counters of the zone."""
        self._table = CounterTable()
        self._zone: dict[str, Counter] = {}
        self._streams: dict[str, CounterStream] = {}
        self._unsent: dict[str, set[str]] = {}
        self._changed: set[str] = set()
        self._peers = {}
        self._merged.clear()
        self._sent_totals.clear()
        self._down_demand.forget()
        self._side_demand.forget()
        self._start_streams()

    def set_members(
        self, members: Sequence[Member], *, staying: Sequence[Member], fresh: bool
    ) -> None:
        """Take the live routers; when some are fresh, they get everything."""
        self._members = {member.vm_name: member for member in members}
        self._staying = tuple(staying)
        if fresh:
            self.refresh()
        self._start_streams()

    def refresh(self) -> None:
        """Send everything again with the next summaries."""
        self._sent_totals.clear()
        self._changed.update(account for account, _ in self._ledger.items())
        self._down_demand.forget()
        self._side_demand.forget()

    def _start_streams(self) -> None:
        """Point one stream at the relay of each other zone."""
        zones = {member.availability_zone for member in self._staying}
        zones.discard(self._member.availability_zone)
        for zone in sorted(zones):
            name = choose_member(f"relay/{zone}", zone, self._staying)
            peer = self._members[name or ""]
            if self._peers.get(zone) == peer:
                continue
            self._peers[zone] = peer
            self._number += 1
            if zone in self._streams:
                lost = self._streams[zone].restart(number=self._number)
                self._unsent[zone] |= lost
            else:
                self._streams[zone] = CounterStream(self._zone, number=self._number)
                self._unsent[zone] = set(self._zone)
            self._side_demand.forget()

    def merge(self, sender: Member, summary: Summary) -> None:
        """Add what a member's or another relay's counters grew by."""
        from_zone = sender.availability_zone == self._member.availability_zone
        for counter in summary.counters:
            increment = self._table.merge(counter)
            if increment is None:
                continue
            account = increment.account
            grown = (increment.charged_tokens, increment.refunded_tokens)
            self._ledger.record(account).fleet.add(*grown)
            self._changed.add(account)
            if from_zone:
                self._zone.setdefault(account, Counter()).add(*grown)
                for unsent in self._unsent.values():
                    unsent.add(account)
        for total in summary.totals:
            self._changed.add(total.account)
        if summary.counters and sender.vm_name != self._member.vm_name:
            merged = self._merged.setdefault(sender.vm_name, [])
            merged.append(summary.sequence)
            del merged[:-REMEMBERED_SEQUENCES_COUNT]

    def acknowledge(self, sender: Member, sequences: Sequence[int]) -> None:
        """Note what another relay has merged."""
        for zone, peer in self._peers.items():
            if peer.vm_name == sender.vm_name:
                self._streams[zone].acknowledge(sequences)

    def all_totals(self) -> Summary:
        """Return every total, for a router without memory."""
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
        quantum_tokens: float,
        zero_hold_s: float,
        now_s: float,
    ) -> list[Send]:
        """Return summaries for the zone's members and the other relays."""
        statements = self._statements(changed_demand, own_demand)
        held = self._side_demand.take_held()
        for_side = statements | self._statements(held, own_demand)
        sends = self._side(for_side, wants_totals, quantum_tokens, zero_hold_s, now_s)
        held = self._down_demand.take_held()
        for_down = statements | self._statements(held, own_demand)
        sends += self._down(for_down, wants_totals, quantum_tokens, zero_hold_s, now_s)
        self._table.fold()
        return sends

    def _statements(
        self, keys: set[DemandKey], own_demand: Mapping[DemandKey, Demand]
    ) -> dict[DemandKey, list[Demand]]:
        statements = {}
        for key in sorted(keys):
            known = self._demand.statements(*key)
            if key in own_demand:
                known.append(own_demand[key])
            statements[key] = known
        return statements

    def _zone_of(self, vm_name: str) -> str:
        member = self._members.get(vm_name, self._member)
        return member.availability_zone

    def _side(
        self,
        statements: Mapping[DemandKey, list[Demand]],
        wants_totals: bool,
        quantum_tokens: float,
        zero_hold_s: float,
        now_s: float,
    ) -> list[Send]:
        """Tell the other relays of this zone."""
        zone = self._member.availability_zone
        demands: list[Demand] = []
        for key, known in statements.items():
            local = [d for d in known if self._zone_of(d.vm_name) == zone]
            demands.extend(
                self._side_demand.changed(
                    key, local, zero_hold_s=zero_hold_s, now_s=now_s
                )
            )
        lost_before_s = now_s - LOST_PERIODS_COUNT * self._options.max_period_s
        sends = []
        for name, peer in self._peers.items():
            stream = self._streams[name]
            self._sequence += 1
            unsent = self._unsent[name] | stream.expire(sent_before_s=lost_before_s)
            counters, self._unsent[name] = stream.collect(
                unsent,
                sender=self._member.vm_name,
                incarnation=self._member.incarnation,
                quantum_tokens=quantum_tokens,
                sequence=self._sequence,
                now_s=now_s,
            )
            summary = Summary(
                counters=counters,
                demands=demands,
                sequence=self._sequence,
                acknowledged=self._take_merged(peer.vm_name),
                wants_totals=wants_totals,
            )
            sends.append(Send(peer.vm_name, summary))
        return [send for send in sends if _says_anything(send.message)]

    def _down(
        self,
        statements: Mapping[DemandKey, list[Demand]],
        wants_totals: bool,
        quantum_tokens: float,
        zero_hold_s: float,
        now_s: float,
    ) -> list[Send]:
        """Tell the members of this zone."""
        demands: list[Demand] = []
        for key, known in statements.items():
            demands.extend(
                self._down_demand.changed(
                    key, known, zero_hold_s=zero_hold_s, now_s=now_s
                )
            )
        totals = self._changed_totals(quantum_tokens)
        sends = []
        for member in self._members.values():
            if member.vm_name == self._member.vm_name:
                continue
            if member.availability_zone != self._member.availability_zone:
                continue
            summary = Summary(
                totals=totals,
                demands=demands,
                acknowledged=self._take_merged(member.vm_name),
                wants_totals=wants_totals,
            )
            sends.append(Send(member.vm_name, summary))
        return [send for send in sends if _says_anything(send.message)]

    def _take_merged(self, vm_name: str) -> tuple[int, ...]:
        return tuple(self._merged.pop(vm_name, ()))

    def _changed_totals(self, quantum_tokens: float) -> list[ServiceTotal]:
        totals = []
        left = set()
        for account in sorted(self._changed):
            record = self._ledger.record(account)
            sent = self._sent_totals.get(account)
            net_tokens = record.fleet.net_tokens
            now = (net_tokens, record.lifted_tokens, record.clamped_tokens)
            if sent is not None:
                moved = max(abs(a - b) for a, b in zip(now, sent, strict=True))
                if moved < max(quantum_tokens, 1e-9):
                    left.add(account)
                    continue
            self._sent_totals[account] = now
            totals.append(self._total(account, sent))
        self._changed = left
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


def _says_anything(message: object) -> bool:
    if not isinstance(message, Summary):
        return True
    return bool(
        message.counters
        or message.demands
        or message.totals
        or message.acknowledged
        or message.wants_totals
    )

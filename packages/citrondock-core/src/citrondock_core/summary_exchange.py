"""Exchange of service and demand between routers, through a relay per zone."""

import math
from collections.abc import Mapping, Sequence

from citrondock_core.actions import Send
from citrondock_core.cost_estimator import CostEstimator
from citrondock_core.counter_stream import CounterStream
from citrondock_core.demand_channel import DemandChannel
from citrondock_core.demand_table import DemandKey, DemandTable
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.messages import Demand, Member, Summary
from citrondock_core.rendezvous import choose_member
from citrondock_core.service_ledger import Counter, ServiceLedger
from citrondock_core.summary_relay import SummaryRelay

ENTRY_BYTES = 14
HEADER_BYTES = 150
LOST_PERIODS_COUNT = 3
NOTICE_VALID_S = 10.0
MAX_QUANTUM_FACTOR = 4.0
MIN_REFRESH_S = 5.0
REFRESH_S_PER_ACCOUNT = 0.12
MIN_ZERO_HOLD_S = 6.0


class OwnCounters(dict[str, Counter]):
    """The ledger's own counters by account, as a view."""

    def __init__(self, ledger: ServiceLedger) -> None:
        super().__init__()
        self._ledger = ledger

    def get(self, account: str, default: object = None) -> Counter:  # type: ignore[override]
        """Return the counter of an account."""
        return self._ledger.record(account).own


class SummaryExchange:
    """Sends this router's changes to its relay and merges what comes back.

    Parameters
    ----------
    member : Member
        This router.
    ledger : ServiceLedger
        Where totals are merged.
    demand : DemandTable
        Where demand of other routers is merged.
    estimator : CostEstimator
        Knows the largest request, beside which a change is small.
    options : DispatchOptions
        Periods, quantum and budget.
    """

    def __init__(
        self,
        member: Member,
        ledger: ServiceLedger,
        demand: DemandTable,
        estimator: CostEstimator,
        options: DispatchOptions,
    ) -> None:
        self._member = member
        self._ledger = ledger
        self._demand = demand
        self._estimator = estimator
        self._options = options
        self._members: dict[str, Member] = {member.vm_name: member}
        self._relay_member = member
        self._sequence = 0
        self._number = 1
        self._stream = CounterStream(OwnCounters(ledger), number=1)
        self._unsent: set[str] = set()
        self._own_demand: dict[DemandKey, Demand] = {}
        self._changed_demand: set[DemandKey] = set()
        self._up_demand = DemandChannel()
        self.period_s = options.exchange_period_s
        self._next_period_s = 0.0
        self._next_refresh_s = 0.0
        self._has_totals = False
        self._received_bytes = 0
        self.relay = SummaryRelay(member, ledger, demand, options)
        self.relay.start()

    @property
    def is_relay(self) -> bool:
        """Whether this router is the relay of its zone."""
        return self._relay_member.vm_name == self._member.vm_name

    @property
    def own_demand(self) -> Mapping[DemandKey, Demand]:
        """What waits here, as last noted."""
        return self._own_demand

    def set_members(
        self, members: Sequence[Member], *, staying: Sequence[Member]
    ) -> None:
        """Take the live routers, and find the relays among those that stay."""
        known = self._members
        self._members = {member.vm_name: member for member in members}
        zone = self._member.availability_zone
        name = choose_member(f"relay/{zone}", zone, staying)
        relay = self._members.get(name or "", self._member)
        was_relay = self.is_relay
        changed = relay != self._relay_member
        self._relay_member = relay
        if changed:
            self._restart()
        if self.is_relay and not was_relay:
            self.relay.start()
        fresh = [m for m in members if known.get(m.vm_name) != m]
        self.relay.set_members(members, staying=staying, fresh=bool(fresh))
        same = {m.vm_name for m in members if known.get(m.vm_name) == m}
        self._changed_demand.update(self._demand.keep_members(same))

    def _restart(self) -> None:
        self._number += 1
        self._unsent |= self._stream.restart(number=self._number)
        self._up_demand.forget()
        self._changed_demand.update(self._own_demand)

    def note_demand(self, pool: str, account: str, waiting_count: int) -> None:
        """Note how many requests wait here now."""
        key = (pool, account)
        known = self._own_demand.get(key)
        if known is not None and known.waiting_count == waiting_count:
            return
        self._sequence += 1
        self._own_demand[key] = Demand(
            vm_name=self._member.vm_name,
            incarnation=self._member.incarnation,
            pool=pool,
            account=account,
            waiting_count=waiting_count,
            sequence=self._sequence,
        )
        self._changed_demand.add(key)

    def restate(self, key: DemandKey) -> None:
        """Say again what waits here, after a home may have doubted it."""
        self._up_demand.forget_key(key)
        if key in self._own_demand:
            self._changed_demand.add(key)

    def receive(self, sender: Member, summary: Summary, *, now_s: float) -> list[Send]:
        """Merge a summary; return what it asks for."""
        self._received_bytes += _estimated_bytes(summary)
        self._acknowledge(sender, summary)
        self._merge_demands(sender, summary, now_s)
        for total in summary.totals:
            self._has_totals = True
            self._ledger.merge_total(total)
        if self.is_relay:
            self.relay.merge(sender, summary)
        if summary.wants_totals:
            return [Send(sender.vm_name, self.relay.all_totals())]
        return []

    def _merge_demands(self, sender: Member, summary: Summary, now_s: float) -> None:
        for demand in summary.demands:
            if demand.vm_name == self._member.vm_name:
                continue
            direct = demand.vm_name == sender.vm_name and not summary.sequence
            until_s = now_s + NOTICE_VALID_S if direct else math.inf
            if self._demand.merge(demand, until_s=until_s):
                self._changed_demand.add((demand.pool, demand.account))

    def _acknowledge(self, sender: Member, summary: Summary) -> None:
        if sender.vm_name == self._relay_member.vm_name:
            self._note_merged(self._stream.acknowledge(summary.acknowledged))
        self.relay.acknowledge(sender, summary.acknowledged)

    def _note_merged(self, accounts: set[str]) -> None:
        for account in accounts:
            record = self._ledger.record(account)
            record.merged_own_tokens = self._stream.acknowledged[account].net_tokens

    def step(self, *, now_s: float) -> list[Send]:
        """Return the summaries that are due."""
        if now_s < self._next_period_s:
            return []
        self._unsent |= self._ledger.changed_accounts
        self._ledger.changed_accounts.clear()
        lost_before_s = now_s - LOST_PERIODS_COUNT * self._options.exchange_period_s
        self._unsent |= self._stream.expire(sent_before_s=lost_before_s)
        quantum_tokens = self._quantum(now_s)
        sends = self._up(quantum_tokens, now_s)
        self._pace(sends, now_s)
        return sends

    def _pace(self, sends: Sequence[Send], now_s: float) -> None:
        """Wait longer the more was sent and received since the last period."""
        sent_bytes = sum(_estimated_bytes(send.message) for send in sends)
        pause_s = (sent_bytes + self._received_bytes) / self._options.budget_bytes_per_s
        self._received_bytes = 0
        period_s = max(self._options.exchange_period_s, pause_s)
        self.period_s = min(period_s, self._options.max_period_s)
        self._next_period_s = now_s + self.period_s

    @property
    def _zero_hold_s(self) -> float:
        return max(MIN_ZERO_HOLD_S, 2 * self.period_s)

    def _quantum(self, now_s: float) -> float:
        """Return the change worth sending; nothing is too small at a refresh."""
        if now_s < self._next_refresh_s:
            slower = self.period_s / self._options.exchange_period_s
            factor = min(slower, MAX_QUANTUM_FACTOR)
            relative = self._options.quantum_requests * self._estimator.largest_tokens
            return min(self._options.quantum_tokens, relative) * factor
        refresh_s = max(MIN_REFRESH_S, len(self._ledger) * REFRESH_S_PER_ACCOUNT)
        self._next_refresh_s = now_s + min(refresh_s, self._options.refresh_period_s)
        self._up_demand.forget()
        self._changed_demand.update(self._own_demand)
        self._changed_demand.update(self._demand.keys())
        self.relay.refresh()
        return 0.0

    def _up(self, quantum_tokens: float, now_s: float) -> list[Send]:
        self._sequence += 1
        counters, self._unsent = self._stream.collect(
            self._unsent,
            sender=self._member.vm_name,
            incarnation=self._member.incarnation,
            quantum_tokens=quantum_tokens,
            sequence=self._sequence,
            now_s=now_s,
        )
        if self.is_relay:
            return self._relay_step(counters, quantum_tokens, now_s)
        demands = self._changed_own_demands(now_s)
        if not counters and not demands:
            return []
        summary = Summary(counters=counters, demands=demands, sequence=self._sequence)
        return [Send(self._relay_member.vm_name, summary)]

    def _relay_step(
        self, counters: Sequence, quantum_tokens: float, now_s: float
    ) -> list[Send]:
        own = Summary(counters=counters, sequence=self._sequence)
        self.relay.merge(self._member, own)
        self._note_merged(self._stream.acknowledge([self._sequence]))
        changed = self._changed_demand
        self._changed_demand = set()
        sends = self.relay.step(
            changed,
            self._own_demand,
            wants_totals=not self._has_totals,
            quantum_tokens=quantum_tokens,
            zero_hold_s=self._zero_hold_s,
            now_s=now_s,
        )
        return sends

    def _changed_own_demands(self, now_s: float) -> list[Demand]:
        demands: list[Demand] = []
        changed = self._changed_demand | self._up_demand.take_held()
        self._changed_demand = set()
        for key in sorted(changed):
            own = self._own_demand.get(key)
            if own is not None:
                demands.extend(
                    self._up_demand.changed(
                        key, [own], zero_hold_s=self._zero_hold_s, now_s=now_s
                    )
                )
        return demands


def _estimated_bytes(message: object) -> int:
    if not isinstance(message, Summary):
        return 0
    count = len(message.counters) + len(message.demands) + len(message.totals)
    return HEADER_BYTES + count * ENTRY_BYTES

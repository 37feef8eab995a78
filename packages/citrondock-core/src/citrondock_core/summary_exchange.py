"""Exchange of service counters and demand between routers, by one relay per zone."""

import math
from collections.abc import Mapping, Sequence

from citrondock_core.actions import Send
from citrondock_core.cost_estimator import CostEstimator
from citrondock_core.counter_stream import CounterStream
from citrondock_core.demand_table import DemandKey, DemandTable
from citrondock_core.demand_update_filter import DemandUpdateFilter
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.messages import Demand, Member, Summary
from citrondock_core.rendezvous import choose_member
from citrondock_core.service_ledger import ServiceLedger, TokenCounter
from citrondock_core.summary_relay import SummaryRelay

ENTRY_BYTES = 11
"""Estimated size of an entry of a summary."""

HEADER_BYTES = 120
"""Estimated size of a summary without entries."""

LOST_PERIODS_COUNT = 3
"""Exchange periods after which an unacknowledged message counts as lost."""

NOTICE_VALID_S = 10.0
"""How long demand from a direct notice is kept unless a relay sends it too."""

MAX_MIN_CHANGE_FACTOR = 4.0
"""Largest increase of the minimum change when summaries are slowed down."""

MIN_REFRESH_S = 5.0
"""Shortest time between two refreshes."""

REFRESH_S_PER_ACCOUNT = 0.12
"""Time between two refreshes, per known account."""

MIN_ZERO_DELAY_S = 6.0
"""Shortest time that demand must stay at zero before that is sent."""


class OwnCounters(dict[str, TokenCounter]):
    """View of this router's own counters in the ledger, by account."""

    def __init__(self, ledger: ServiceLedger) -> None:
        super().__init__()
        self._ledger = ledger

    def get(self, account: str, default: object = None) -> TokenCounter:  # type: ignore[override]
        """Return the own counter of an account."""
        return self._ledger.record(account).own


class SummaryExchange:
    """Sends changes of this router to its relay, and merges received summaries.

    Parameters
    ----------
    member : Member
        This router.
    ledger : ServiceLedger
        Ledger into which totals are merged.
    demand : DemandTable
        Table into which the demand of other routers is merged.
    estimator : CostEstimator
        Largest request cost, which scales the minimum change to send.
    options : DispatchOptions
        Periods, minimum change and rate limit.
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
        self._stream_number = 1
        self._stream = CounterStream(OwnCounters(ledger), number=1)
        self._unsent_accounts: set[str] = set()
        self._own_demand: dict[DemandKey, Demand] = {}
        self._changed_demand: set[DemandKey] = set()
        self._demand_filter = DemandUpdateFilter()
        self.period_s = options.exchange_period_s
        self._next_period_s = 0.0
        self._next_refresh_s = 0.0
        self._has_totals = False
        self.relay = SummaryRelay(member, ledger, demand, options)
        self.relay.start()

    @property
    def is_relay(self) -> bool:
        """Whether this router is the relay of its zone."""
        return self._relay_member.vm_name == self._member.vm_name

    @property
    def own_demand(self) -> Mapping[DemandKey, Demand]:
        """Demand at this router, as last recorded."""
        return self._own_demand

    def set_members(
        self, members: Sequence[Member], *, staying: Sequence[Member]
    ) -> None:
        """Set the live routers; relays are chosen among those that aren't leaving."""
        known = self._members
        self._members = {member.vm_name: member for member in members}
        zone = self._member.availability_zone
        name = choose_member(f"relay/{zone}", zone, staying)
        relay = self._members.get(name or "", self._member)
        was_relay = self.is_relay
        changed = relay != self._relay_member
        self._relay_member = relay
        if changed:
            self._restart_stream()
        if self.is_relay and not was_relay:
            self.relay.start()
        new = [m for m in members if known.get(m.vm_name) != m]
        self.relay.set_members(members, staying=staying, has_new_members=bool(new))
        unchanged = {m.vm_name for m in members if known.get(m.vm_name) == m}
        self._changed_demand.update(self._demand.keep_members(unchanged))

    def _restart_stream(self) -> None:
        self._stream_number += 1
        self._unsent_accounts |= self._stream.restart(number=self._stream_number)
        self._demand_filter.reset()
        self._changed_demand.update(self._own_demand)

    def set_own_demand(self, pool: str, account: str, waiting_count: int) -> None:
        """Record the number of requests waiting at this router."""
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

    def resend_demand(self, key: DemandKey) -> None:
        """Send the own demand for a key again, after a home may have dropped it."""
        self._demand_filter.reset_key(key)
        if key in self._own_demand:
            self._changed_demand.add(key)

    def receive(self, sender: Member, summary: Summary, *, now_s: float) -> list[Send]:
        """Merge a summary; return the totals when the sender asks for them."""
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
            expires_at_s = now_s + NOTICE_VALID_S if direct else math.inf
            if self._demand.merge(demand, expires_at_s=expires_at_s):
                self._changed_demand.add((demand.pool, demand.account))

    def _acknowledge(self, sender: Member, summary: Summary) -> None:
        if sender.vm_name == self._relay_member.vm_name:
            self._update_merged_tokens(self._stream.acknowledge(summary.acknowledged))
        self.relay.acknowledge(sender, summary.acknowledged)

    def _update_merged_tokens(self, accounts: set[str]) -> None:
        for account in accounts:
            record = self._ledger.record(account)
            record.merged_own_tokens = self._stream.acknowledged[account].net_tokens

    def step(self, *, now_s: float) -> list[Send]:
        """Return the summaries that are due now."""
        if now_s < self._next_period_s:
            return []
        self._unsent_accounts |= self._ledger.changed_accounts
        self._ledger.changed_accounts.clear()
        lost_before_s = now_s - LOST_PERIODS_COUNT * self._options.exchange_period_s
        self._unsent_accounts |= self._stream.expire(sent_before_s=lost_before_s)
        min_change_tokens = self._min_change_tokens(now_s)
        sends = self._collect_summaries(min_change_tokens, now_s)
        self._schedule_next_step(sends, now_s)
        return sends

    def _schedule_next_step(self, sends: Sequence[Send], now_s: float) -> None:
        """Set the time of the next step, so that summaries stay in the byte budget."""
        sent_bytes = sum(_estimated_bytes(send.message) for send in sends)
        pause_s = sent_bytes / self._options.budget_bytes_per_s
        period_s = max(self._options.exchange_period_s, pause_s)
        self.period_s = min(period_s, self._options.max_period_s)
        self._next_period_s = now_s + self.period_s

    @property
    def _zero_delay_s(self) -> float:
        return max(MIN_ZERO_DELAY_S, 2 * self.period_s)

    def _min_change_tokens(self, now_s: float) -> float:
        """Return the smallest change to send, which is zero at a refresh."""
        if now_s < self._next_refresh_s:
            slower = self.period_s / self._options.exchange_period_s
            factor = min(slower, MAX_MIN_CHANGE_FACTOR)
            relative = self._options.quantum_requests * self._estimator.largest_tokens
            return min(self._options.quantum_tokens, relative) * factor
        refresh_s = max(MIN_REFRESH_S, len(self._ledger) * REFRESH_S_PER_ACCOUNT)
        self._next_refresh_s = now_s + min(refresh_s, self._options.refresh_period_s)
        self._demand_filter.reset()
        self._changed_demand.update(self._own_demand)
        self._changed_demand.update(self._demand.keys())
        self.relay.refresh()
        return 0.0

    def _collect_summaries(self, min_change_tokens: float, now_s: float) -> list[Send]:
        """Return the summary to the relay, or those that this router sends as relay."""
        self._sequence += 1
        counters, self._unsent_accounts = self._stream.collect(
            self._unsent_accounts,
            sender=self._member.vm_name,
            incarnation=self._member.incarnation,
            min_change_tokens=min_change_tokens,
            sequence=self._sequence,
            now_s=now_s,
        )
        if self.is_relay:
            return self._relay_step(counters, min_change_tokens, now_s)
        demands = self._changed_own_demands(now_s)
        if not counters and not demands:
            return []
        summary = Summary(counters=counters, demands=demands, sequence=self._sequence)
        return [Send(self._relay_member.vm_name, summary)]

    def _relay_step(
        self, counters: Sequence, min_change_tokens: float, now_s: float
    ) -> list[Send]:
        own = Summary(counters=counters, sequence=self._sequence)
        self.relay.merge(self._member, own)
        self._update_merged_tokens(self._stream.acknowledge([self._sequence]))
        changed = self._changed_demand
        self._changed_demand = set()
        sends = self.relay.step(
            changed,
            self._own_demand,
            wants_totals=not self._has_totals,
            min_change_tokens=min_change_tokens,
            zero_delay_s=self._zero_delay_s,
            now_s=now_s,
        )
        return sends

    def _changed_own_demands(self, now_s: float) -> list[Demand]:
        demands: list[Demand] = []
        changed = self._changed_demand | self._demand_filter.take_deferred()
        self._changed_demand = set()
        for key in sorted(changed):
            own = self._own_demand.get(key)
            if own is not None:
                demands.extend(
                    self._demand_filter.updates_to_send(
                        key, [own], zero_delay_s=self._zero_delay_s, now_s=now_s
                    )
                )
        return demands


def _estimated_bytes(message: object) -> int:
    if not isinstance(message, Summary):
        return 0
    count = len(message.counters) + len(message.demands) + len(message.totals)
    return HEADER_BYTES + count * ENTRY_BYTES

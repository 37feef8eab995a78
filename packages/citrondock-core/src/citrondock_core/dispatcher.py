"""Decides which waiting request is sent to which target, with other routers."""

from collections.abc import Collection, Sequence

from citrondock_core.actions import Action, Outcome, Refuse, Start
from citrondock_core.affinity import AffinityTable
from citrondock_core.backlog import Backlog
from citrondock_core.configuration import Configuration, ServiceKind
from citrondock_core.cost_estimator import CostEstimator
from citrondock_core.demand_notice import DemandNotice
from citrondock_core.demand_table import DemandTable
from citrondock_core.dispatch_journal import DispatchJournal
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.dispatch_policy import DispatchPolicy, Fair
from citrondock_core.dispatch_statistics import DispatchStatistics
from citrondock_core.load_report import LoadReport
from citrondock_core.messages import (
    InFlight,
    Member,
    PeerMessage,
    SlotGrant,
    SlotReturn,
    Summary,
)
from citrondock_core.request import (
    Ran,
    RefusalReason,
    RequestRefusedError,
    Usage,
    WaitingRequest,
)
from citrondock_core.running_request import RunningRequest
from citrondock_core.service_ledger import ServiceLedger
from citrondock_core.slot_holder import HeldSlots
from citrondock_core.slot_lending import SlotLending
from citrondock_core.summary_exchange import SummaryExchange
from citrondock_core.target_slots import TargetSlots
from citrondock_core.target_table import TargetTable
from citrondock_core.waiting_requests import WaitingRequests

AFFINITY_DEPTH_COUNT = 8
RESERVED_PERIODS_COUNT = 3
GRANT_TRAVEL_S = 0.1
REUSE_BAND_FACTOR = 2.0
CLAMP_WINDOW_S = 5.0


class Dispatcher:
    """Shares the targets of all pools between client accounts.

    It does no I/O: the router calls `step` after each event, and acts on what it
    returns.

    Parameters
    ----------
    member : Member
        This router.
    policy : DispatchPolicy or None
        Order of dispatch; `Fair` by default.
    options : DispatchOptions or None
        Tuning.
    """

    def __init__(
        self,
        member: Member,
        *,
        policy: DispatchPolicy | None = None,
        options: DispatchOptions | None = None,
    ) -> None:
        self._member = member
        self._members: dict[str, Member] = {member.vm_name: member}
        self._leaving: frozenset[str] = frozenset()
        self._policy = policy or Fair()
        self._options = options or DispatchOptions()
        self._configuration = Configuration()
        self._ledger = ServiceLedger()
        self._estimator = CostEstimator()
        self._waiting = WaitingRequests(self._options)
        self._running: dict[str, RunningRequest] = {}
        self._affinity = AffinityTable()
        self._journal = DispatchJournal()
        self._demand = DemandTable()
        self._targets = TargetTable(member, has_homes=self._policy.exchanges)
        self._lending = SlotLending(member, self._targets, self._demand, self._options)
        self._exchange = SummaryExchange(
            member, self._ledger, self._demand, self._estimator, self._options
        )
        self._notice = DemandNotice(member, self._targets)
        self._backlogs: dict[str, Backlog] = {}
        self._clamp_until_s = 0.0
        self._outbox: list[Action] = []
        self._idle_slot_s = 0.0
        self._idle_count = 0
        self._stepped_at_s: float | None = None

    def set_configuration(self, configuration: Configuration, *, now_s: float) -> None:
        """Take a configuration; requests of pools that are gone are refused."""
        self._configuration = configuration
        self._ledger.set_accounts(configuration.accounts)
        self._targets.set_configuration(configuration)
        for request_id in self._waiting.remove_unknown_pools(configuration):
            self._refuse(request_id, RefusalReason.NO_TARGET, "its pool was removed")

    def set_members(
        self,
        members: Sequence[Member],
        *,
        leaving: Collection[str] = (),
        now_s: float,
    ) -> None:
        """Take the live routers, this one among them.

        Those that are leaving have no duties, but their requests are served as before.
        """
        others = [m for m in members if m.vm_name != self._member.vm_name]
        all_members = sorted([self._member, *others], key=lambda m: m.vm_name)
        former = self._members
        before = (former, self._leaving)
        self._members = {member.vm_name: member for member in all_members}
        self._leaving = frozenset(leaving)
        if (self._members, self._leaving) == before:
            return
        zones = {member.availability_zone for member in former.values()}
        if any(member.availability_zone not in zones for member in all_members):
            self._clamp_until_s = now_s + CLAMP_WINDOW_S
        staying = [m for m in all_members if m.vm_name not in self._leaving]
        staying = staying or [self._member]
        same = {name for name, m in self._members.items() if former.get(name) == m}
        moved = self._targets.set_members(staying, holders=same)
        self._lending.state_at_once(moved)
        self._exchange.set_members(all_members, staying=staying)

    def submit(self, request: WaitingRequest, *, now_s: float) -> None:
        """Let a request wait.

        Raises
        ------
        RequestRefusedError
            When a cap is reached, or its pool or account is not configured.
        """
        pool, account = request.pool, request.account
        joins = self._joins(pool, account)
        self._waiting.admit(request, self._configuration)
        if joins:
            self._backlog(pool).join(account, now_s=now_s)

    def check_capacity(self, account: str, request_count: int, body_bytes: int) -> None:
        """Tell early whether requests of an account could wait.

        Unlike the rest it may be called from any thread: it only reads counters, and
        `submit` decides.

        Raises
        ------
        RequestRefusedError
            When a cap would be exceeded.
        """
        configured = self._configuration.accounts.get(account)
        if configured is not None:
            self._waiting.check_capacity(configured, request_count, body_bytes)

    def withdraw(self, request_id: str, *, now_s: float) -> bool:
        """Take a request out; return whether it was still waiting."""
        return self._waiting.remove(request_id) is not None

    def progress(self, request_id: str, *, generated_tokens: int, now_s: float) -> None:
        """Note the tokens of a stream so far; the first call is its first token."""
        running = self._running.get(request_id)
        if running is None:
            return
        if not running.has_first_token:
            running.has_first_token = True
            self._note_first_token(running, now_s)
        running.generated_tokens = max(running.generated_tokens, generated_tokens)
        excess = running.generated_tokens - running.charged_tokens
        if excess > 0:
            running.charged_tokens += excess
            self._ledger.charge(running.request.account, excess)

    def finish(
        self, request_id: str, usage: Usage, outcome: Outcome, *, now_s: float
    ) -> None:
        """Note that a started request ended, and charge what it did cost."""
        running = self._running.pop(request_id, None)
        if running is None:
            return
        request = running.request
        cost = max(self._cost(request, usage), float(running.generated_tokens))
        if outcome is Outcome.CANCELLED and not usage.reported:
            cost = max(cost, running.charged_tokens)
        self._ledger.charge(request.account, cost - running.charged_tokens)
        if outcome is Outcome.DONE:
            self._estimator.observe(request.account, request.service, cost)
        self._journal.note(request_id, f"{outcome.value}, cost {cost:.0f} tokens")
        self._release(running, now_s)

    def requeue(self, request_id: str, *, now_s: float) -> None:
        """Let a request wait again that was proven not to have run."""
        running = self._running.pop(request_id, None)
        if running is None:
            return
        self._ledger.charge(running.request.account, -running.charged_tokens)
        slots = self._targets.get(running.target)
        if slots is not None:
            slots.penalise(now_s + self._options.penalty_s)
        self._journal.note(request_id, f"not run by {running.target}, waits again")
        self._release(running, now_s)
        self._waiting.push(running.request)

    def report_load(self, target: str, report: LoadReport, *, now_s: float) -> None:
        """Take a late load report of a target."""
        slots = self._targets.get(target)
        if slots is not None:
            slots.limit.observe_load(
                running_count=report.running_count,
                queued_count=report.queued_count,
                now_s=now_s,
            )

    def set_target_available(
        self, target: str, available: bool, *, now_s: float
    ) -> None:
        """Allow or stop new work for a target, on lent slots as well."""
        slots = self._targets.get(target)
        if slots is not None:
            slots.available = available

    def receive(self, sender: Member, message: PeerMessage, *, now_s: float) -> None:
        """Take a message of a peer; lost, doubled and late ones do no harm."""
        if not self._policy.exchanges:
            return
        match message:
            case Summary():
                self._receive_summary(sender, message, now_s)
            case SlotGrant():
                self._lending.receive_grant(sender, message, now_s=now_s)
            case SlotReturn():
                self._lending.receive_return(sender, message)
            case InFlight():
                self._lending.receive_in_flight(sender, message, now_s=now_s)

    def _receive_summary(self, sender: Member, summary: Summary, now_s: float) -> None:
        joined = [d for d in summary.demands if self._joins(d.pool, d.account)]
        self._outbox.extend(self._exchange.receive(sender, summary, now_s=now_s))
        for demand in joined:
            self._backlog(demand.pool).join(demand.account, now_s=now_s)
        self._clamp(now_s)

    def _joins(self, pool: str, account: str) -> bool:
        """Return whether an account waited nowhere so far."""
        if self._waiting.queue(pool).count(account):
            return False
        return not self._demand.waits_elsewhere(pool, account)

    def step(self, *, now_s: float) -> list[Action]:
        """Dispatch what can go, and return what the router has to do now."""
        self._count_idle(now_s)
        self._ledger.expire_reservations(now_s=now_s)
        self._demand.expire(now_s=now_s)
        for request in self._waiting.expire(now_s=now_s):
            self._refuse(
                request.request_id, RefusalReason.DEADLINE_PASSED, "its deadline passed"
            )
        for pool in self._configuration.pools:
            self._use_held(pool, now_s)
            self._fill_own(pool, now_s)
        if self._policy.exchanges:
            self._talk(now_s)
        self._idle_count = self._count_idle_now(now_s)
        actions, self._outbox = self._outbox, []
        return actions

    def _talk(self, now_s: float) -> None:
        """Give back unused slots, and send what is due."""
        for held in self._lending.holder.all_idle():
            self._outbox.append(self._lending.give_back(held, held.idle_count))
        self._outbox.extend(self._lending.take_grants(now_s=now_s))
        self._outbox.extend(self._lending.recalls(now_s=now_s))
        self._note_demand()
        for pool in self._configuration.pools:
            queue = self._waiting.queue(pool)
            own_demand = self._exchange.own_demand
            notices = self._notice.step(pool, queue, own_demand, now_s=now_s)
            self._outbox.extend(notices)
        self._outbox.extend(self._exchange.step(now_s=now_s))
        self._outbox.extend(self._lending.statements(now_s=now_s))

    def _note_demand(self) -> None:
        for pool, account in self._waiting.changed:
            count = self._waiting.queue(pool).count(account)
            self._exchange.note_demand(pool, account, count)
        self._waiting.changed.clear()
        for pool, account in sorted(self._lending.unused):
            self._exchange.restate((pool, account))
            self._notice.restate(pool, account)
        self._lending.unused.clear()

    def _fill_own(self, pool: str, now_s: float) -> None:
        """Fill free slots of this home, here or at the router that waits most."""
        own = self._targets.own(pool)
        queue = self._waiting.queue(pool)
        while len(queue) or self._demand.accounts(pool):
            free = [slots for slots in own if slots.free_count(now_s) > 0]
            if not free:
                return
            if not self._fill_one(pool, free, now_s):
                return

    def _fill_one(self, pool: str, free: list[TargetSlots], now_s: float) -> bool:
        level = self._ledger.level
        local = self._policy.next_account(self._waiting.queue(pool), level)
        remote = self._demand.lowest(pool, level, now_s=now_s)
        if remote is not None and self._lend_away(local, remote):
            return self._lend(pool, remote, free, now_s)
        if local is None:
            return False
        request = self._waiting.queue(pool).head(local)
        slots = self._affinity.best_target(request, free)
        if slots is None:
            slots = self._policy.next_target(free)
            request = self._choose_request(pool, local, slots.name, now_s)
        self._start(request, slots.name, None, now_s)
        return True

    @property
    def _band_tokens(self) -> float:
        """Lead that needs no exchange, small beside the requests that there are."""
        relative = self._options.band_requests * self._estimator.largest_tokens
        return min(self._options.band_tokens, relative)

    def _lend_away(self, local: str | None, remote: str) -> bool:
        if local is None:
            return True
        lead = self._ledger.level(local) - self._ledger.level(remote)
        return lead > self._band_tokens

    def _lend(
        self, pool: str, account: str, free: list[TargetSlots], now_s: float
    ) -> bool:
        slots = self._policy.next_target(free)
        zone = slots.target.availability_zone
        near = {
            m.vm_name for m in self._members.values() if m.availability_zone == zone
        }
        reserved_until_s = now_s + RESERVED_PERIODS_COUNT * self._exchange.period_s
        vm_name = self._demand.grant(
            pool, account, near=near, until_s=now_s + GRANT_TRAVEL_S, now_s=now_s
        )
        if vm_name is None:
            return False
        self._lending.lend(slots, vm_name, account)
        tokens = self._estimator.typical(account)
        self._ledger.reserve(account, tokens, deadline_s=reserved_until_s)
        return True

    def _use_held(self, pool: str, now_s: float) -> None:
        """Start waiting requests on slots that other homes lent."""
        queue = self._waiting.queue(pool)
        if not len(queue):
            return
        for held in self._lending.holder.idle(pool):
            slots = self._targets.get(held.grant.target)
            if slots is None or not slots.usable(now_s) or now_s >= held.deadline_s:
                continue
            for _ in range(held.idle_count):
                account = self._policy.next_account(queue, self._ledger.level)
                if account is None:
                    return
                if not self._may_use(held, pool, account, now_s):
                    break
                request = self._choose_request(pool, account, slots.name, now_s)
                self._start(request, slots.name, held, now_s)

    def _may_use(self, held: HeldSlots, pool: str, account: str, now_s: float) -> bool:
        """Return whether an account may have a lent slot without asking."""
        is_fresh = held.started_count < held.grant.slot_count
        if is_fresh and self._waiting.queue(pool).count(held.grant.account):
            return True
        floor = self._backlog(pool).floor(now_s=now_s)
        if floor is None:
            return True
        return (
            self._ledger.level(account) <= floor + REUSE_BAND_FACTOR * self._band_tokens
        )

    def _choose_request(
        self, pool: str, account: str, target: str, now_s: float
    ) -> WaitingRequest:
        waiting = self._waiting.queue(pool).first(account, AFFINITY_DEPTH_COUNT)
        overdue_arrival_s = now_s - self._options.affinity_hold_s
        return self._affinity.best_request(
            waiting, target, overdue_arrival_s=overdue_arrival_s
        )

    def _start(
        self,
        request: WaitingRequest,
        target: str,
        held: HeldSlots | None,
        now_s: float,
    ) -> None:
        self._waiting.remove(request.request_id)
        account = request.account
        level = self._ledger.level(account)
        estimate = self._estimator.estimate(
            account, request.service, hint_tokens=request.cost_hint_tokens
        )
        self._ledger.charge(account, estimate)
        self._running[request.request_id] = RunningRequest(
            request=request,
            target=target,
            held=held,
            charged_tokens=estimate,
            started_at_s=now_s,
        )
        slots = self._targets.get(target)
        if slots is not None:
            slots.local_count += 1
        if held is not None:
            held.running_count += 1
            held.started_count += 1
        self._affinity.note(request.affinity_key, target)
        home = held.home if held else self._member.vm_name
        self._journal.note(
            request.request_id,
            f"started on {target} by a slot of {home} after "
            f"{now_s - request.arrived_at_s:.3f} s, {account} at level {level:.0f}, "
            f"charged {estimate:.0f} tokens",
        )
        self._outbox.append(Start(request.request_id, target))

    def _release(self, running: RunningRequest, now_s: float) -> None:
        slots = self._targets.get(running.target)
        if slots is not None:
            slots.local_count = max(0, slots.local_count - 1)
        if running.held is not None:
            running.held.running_count -= 1

    def _note_first_token(self, running: RunningRequest, now_s: float) -> None:
        slots = self._targets.get(running.target)
        if slots is None:
            return
        first_token_s = now_s - running.started_at_s
        if not self._targets.is_home(running.target):
            self._lending.note_first_token(running.target, first_token_s)
            return
        slots.limit.observe_first_token(
            first_token_s, in_flight_count=slots.in_flight_count, now_s=now_s
        )

    def _cost(self, request: WaitingRequest, usage: Usage) -> float:
        service = self._configuration.services.get(request.service)
        if service is not None and service.kind is ServiceKind.PLAIN:
            return usage.slot_time_s * self._options.slot_second_tokens
        prompt = usage.prompt_tokens * self._options.prompt_token_weight
        return prompt + usage.generated_tokens

    def _refuse(self, request_id: str, cause: RefusalReason, reason: str) -> None:
        error = RequestRefusedError(reason, step="queue", cause=cause, ran=Ran.NO)
        self._journal.note(request_id, f"refused as not run: {reason}")
        self._outbox.append(Refuse(request_id, error))

    def _backlog(self, pool: str) -> Backlog:
        backlog = self._backlogs.get(pool)
        if backlog is None:
            queue = self._waiting.queue(pool)
            backlog = Backlog(
                self._ledger, lambda: {*queue.accounts, *self._demand.accounts(pool)}
            )
            self._backlogs[pool] = backlog
        return backlog

    def _clamp(self, now_s: float) -> None:
        """Forget what built up while other routers were out of reach."""
        if now_s >= self._clamp_until_s or not self._exchange.is_relay:
            return
        for pool in self._configuration.pools:
            lead_tokens = min(
                self._options.clamp_tokens,
                self._options.clamp_requests * self._estimator.largest_tokens,
            )
            self._backlog(pool).clamp(lead_tokens, now_s=now_s)

    def _count_idle(self, now_s: float) -> None:
        if self._stepped_at_s is not None:
            elapsed_s = max(0.0, now_s - self._stepped_at_s)
            self._idle_slot_s += self._idle_count * elapsed_s
        self._stepped_at_s = now_s

    def _count_idle_now(self, now_s: float) -> int:
        idle = 0
        for pool in self._configuration.pools:
            if len(self._waiting.queue(pool)) or self._demand.accounts(pool):
                own = self._targets.own(pool)
                idle += sum(slots.free_count(now_s) for slots in own)
        return idle

    def explain(self, request_id: str) -> list[str]:
        """Return why a request was dispatched as it was, or what it waits for."""
        lines = self._journal.lines(request_id)
        request = self._waiting.get(request_id)
        if request is not None:
            level = self._ledger.level(request.account)
            queue = self._waiting.queue(request.pool)
            lower = sum(self._ledger.level(a) < level for a in queue.accounts)
            lines.append(
                f"waits for {request.pool}: {request.account} at level {level:.0f}, "
                f"{lower} accounts before it here, "
                f"{queue.count(request.account)} of its requests wait here"
            )
        return lines

    def statistics(self, *, now_s: float) -> DispatchStatistics:
        """Return figures for metrics and status."""
        own = self._targets.all_own()
        usable = [slots for slots in own if slots.usable(now_s)]
        waiting = dict(self._waiting.count_by_account)
        return DispatchStatistics(
            slot_count=sum(slots.limit_count for slots in usable),
            busy_slot_count=sum(slots.in_flight_count for slots in usable),
            lent_slot_count=sum(slots.lent_count for slots in own),
            borrowed_slot_count=self._lending.holder.slot_count,
            waiting_count_by_account=waiting,
            service_tokens_by_account={
                name: record.service_tokens for name, record in self._ledger.items()
            },
            level_by_account={name: self._ledger.level(name) for name in waiting},
            idle_slot_s=self._idle_slot_s,
            limit_by_target={slots.name: slots.limit_count for slots in own},
        )

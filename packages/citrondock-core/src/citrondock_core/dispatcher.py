"""Fair dispatch of waiting requests to targets, coordinated between routers."""

from collections.abc import Collection, Sequence

from citrondock_core.actions import Action, Outcome, Refuse, Start
from citrondock_core.affinity import AffinityTable
from citrondock_core.backlogged_accounts import BackloggedAccounts
from citrondock_core.borrowed_slots import BorrowedSlots
from citrondock_core.configuration import Configuration, ServiceKind
from citrondock_core.cost_estimator import CostEstimator
from citrondock_core.demand_notifier import DemandNotifier
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
from citrondock_core.slot_lending import SlotLending
from citrondock_core.summary_exchange import SummaryExchange
from citrondock_core.target_slots import TargetSlots
from citrondock_core.target_table import TargetTable
from citrondock_core.waiting_requests import WaitingRequests

AFFINITY_CANDIDATES_COUNT = 8
"""Requests at the head of an account's queue among which cache affinity chooses."""

RESERVATION_PERIODS_COUNT = 3
"""Exchange periods for which the estimated cost of a lent slot is reserved."""

GRANT_TRANSIT_S = 0.1
"""Travel time of a grant, for which its slots count against the demand."""

REUSE_BAND_FACTOR = 2.0
"""Multiple of the tolerance band within which an account may reuse a borrowed slot."""

CLAMP_WINDOW_S = 5.0
"""Time after a zone came back in which leads over the lowest account are clamped."""


class Dispatcher:
    """Shares the targets of all pools fairly between client accounts.

    It does no I/O: the router calls `step` after each event and carries out the actions
    that it returns.

    Parameters
    ----------
    member : Member
        This router.
    policy : DispatchPolicy or None
        Policy that orders the requests; `Fair` by default.
    options : DispatchOptions or None
        Tuning parameters.
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
        self._targets = TargetTable(member, has_homes=self._policy.is_coordinated)
        self._lending = SlotLending(member, self._targets, self._demand, self._options)
        self._exchange = SummaryExchange(
            member, self._ledger, self._demand, self._estimator, self._options
        )
        self._notifier = DemandNotifier(member, self._targets)
        self._backlogs: dict[str, BackloggedAccounts] = {}
        self._clamp_until_s = 0.0
        self._outbox: list[Action] = []
        self._idle_slot_s = 0.0
        self._idle_count = 0
        self._stepped_at_s: float | None = None

    def set_configuration(self, configuration: Configuration, *, now_s: float) -> None:
        """Apply a configuration; waiting requests for removed pools are refused."""
        self._configuration = configuration
        self._ledger.set_accounts(configuration.accounts)
        self._targets.set_configuration(configuration)
        for request_id in self._waiting.remove_unknown_pools(configuration):
            self._refuse(
                request_id,
                RefusalReason.NO_TARGET,
                "its pool was removed from the configuration",
            )

    def set_members(
        self,
        members: Sequence[Member],
        *,
        leaving: Collection[str] = (),
        now_s: float,
    ) -> None:
        """Set the live routers, including this one.

        Routers in ``leaving`` become neither relay nor home of a target, but their
        requests are still served.
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
        unchanged = {name for name, m in self._members.items() if former.get(name) == m}
        moved = self._targets.set_members(staying, borrowers=unchanged)
        self._lending.report_immediately(moved)
        self._exchange.set_members(all_members, staying=staying)

    def submit(self, request: WaitingRequest, *, now_s: float) -> None:
        """Add a request to the queue of its pool.

        Raises
        ------
        RequestRefusedError
            When a queue limit is exceeded, or its pool or account is not configured.
        """
        pool, account = request.pool, request.account
        is_new = self._is_new_to_backlog(pool, account)
        self._waiting.admit(request, self._configuration)
        if is_new:
            self._backlog(pool).join(account, now_s=now_s)

    def check_capacity(self, account: str, request_count: int, body_bytes: int) -> None:
        """Check early whether more requests of an account would fit in the queue.

        Unlike all other methods, it may be called from any thread, as it only reads
        counters. `submit` makes the decision.

        Raises
        ------
        RequestRefusedError
            When a queue limit would be exceeded.
        """
        configured = self._configuration.accounts.get(account)
        if configured is not None:
            self._waiting.check_capacity(configured, request_count, body_bytes)

    def withdraw(self, request_id: str, *, now_s: float) -> bool:
        """Remove a request from its queue; return whether it was still waiting."""
        return self._waiting.remove(request_id) is not None

    def progress(self, request_id: str, *, generated_tokens: int, now_s: float) -> None:
        """Record the tokens generated so far; the first call marks the first token."""
        running = self._running.get(request_id)
        if running is None:
            return
        if not running.has_first_token:
            running.has_first_token = True
            self._observe_first_token(running, now_s)
        running.generated_tokens = max(running.generated_tokens, generated_tokens)
        excess = running.generated_tokens - running.charged_tokens
        if excess > 0:
            running.charged_tokens += excess
            self._ledger.charge(running.request.account, excess)

    def finish(
        self, request_id: str, usage: Usage, outcome: Outcome, *, now_s: float
    ) -> None:
        """Record the end of a started request, and charge its actual cost."""
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
        self._journal.add_line(request_id, f"{outcome.value}, cost {cost:.0f} tokens")
        self._release(running, now_s)

    def requeue(self, request_id: str, *, now_s: float) -> None:
        """Put a started request back in its queue, for another attempt.

        The caller ensures that it may run again: either it provably did not run, or its
        service is idempotent. Its charge is refunded, and its target gets no new
        requests for a while.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return
        self._ledger.charge(running.request.account, -running.charged_tokens)
        slots = self._targets.get(running.target)
        if slots is not None:
            slots.start_cooldown(now_s + self._options.penalty_s)
        self._journal.add_line(
            request_id, f"not completed by {running.target}, queued again"
        )
        self._release(running, now_s)
        self._waiting.push(running.request)

    def report_load(self, target: str, report: LoadReport, *, now_s: float) -> None:
        """Adjust a target's concurrency limit to its load report, which may be late."""
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
        """Allow or stop new requests to a target, on borrowed slots too."""
        slots = self._targets.get(target)
        if slots is not None:
            slots.available = available

    def receive(self, sender: Member, message: PeerMessage, *, now_s: float) -> None:
        """Process a message of a peer; loss, duplicates and delays are tolerated."""
        if not self._policy.is_coordinated:
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
        joined = [
            d for d in summary.demands if self._is_new_to_backlog(d.pool, d.account)
        ]
        self._outbox.extend(self._exchange.receive(sender, summary, now_s=now_s))
        for demand in joined:
            self._backlog(demand.pool).join(demand.account, now_s=now_s)
        self._clamp(now_s)

    def _is_new_to_backlog(self, pool: str, account: str) -> bool:
        """Return whether an account has no waiting request for a pool at any router."""
        if self._waiting.queue(pool).count(account):
            return False
        return not self._demand.waits_at_other_router(pool, account)

    def step(self, *, now_s: float) -> list[Action]:
        """Dispatch all requests that can start; return the actions for the router."""
        self._add_idle_slot_time(now_s)
        self._ledger.expire_reservations(now_s=now_s)
        self._demand.expire(now_s=now_s)
        for request in self._waiting.expire(now_s=now_s):
            self._refuse(
                request.request_id,
                RefusalReason.DEADLINE_PASSED,
                f"its deadline passed while it waited for pool {request.pool}",
            )
        for pool in self._configuration.pools:
            self._fill_borrowed_slots(pool, now_s)
            self._fill_own_slots(pool, now_s)
        if self._policy.is_coordinated:
            self._exchange_messages(now_s)
        self._idle_count = self._count_idle_slots(now_s)
        actions, self._outbox = self._outbox, []
        return actions

    def _exchange_messages(self, now_s: float) -> None:
        """Queue messages to other routers: slot returns, grants and summaries."""
        for borrowed in self._lending.borrowed.all_idle():
            self._outbox.append(self._lending.give_back(borrowed, borrowed.idle_count))
        self._outbox.extend(self._lending.take_grants(now_s=now_s))
        self._outbox.extend(self._lending.recalls(now_s=now_s))
        self._update_demand()
        for pool in self._configuration.pools:
            queue = self._waiting.queue(pool)
            own_demand = self._exchange.own_demand
            notices = self._notifier.step(pool, queue, own_demand, now_s=now_s)
            self._outbox.extend(notices)
        self._outbox.extend(self._exchange.step(now_s=now_s))
        self._outbox.extend(self._lending.in_flight_reports(now_s=now_s))

    def _update_demand(self) -> None:
        """Update changed demand, and resend demand whose slots were returned unused."""
        for pool, account in self._waiting.changed:
            count = self._waiting.queue(pool).count(account)
            self._exchange.set_own_demand(pool, account, count)
        self._waiting.changed.clear()
        for pool, account in sorted(self._lending.returned_unused):
            self._exchange.resend_demand((pool, account))
            self._notifier.resend_demand(pool, account)
        self._lending.returned_unused.clear()

    def _fill_own_slots(self, pool: str, now_s: float) -> None:
        """Use free slots of this router's targets, or lend them to other routers."""
        own_targets = self._targets.own_targets(pool)
        queue = self._waiting.queue(pool)
        while len(queue) or self._demand.accounts(pool):
            free = [slots for slots in own_targets if slots.free_count(now_s) > 0]
            if not free:
                return
            if not self._fill_one_slot(pool, free, now_s):
                return

    def _fill_one_slot(self, pool: str, free: list[TargetSlots], now_s: float) -> bool:
        """Start one request or lend one slot; return whether there was one to fill."""
        normalised_service = self._ledger.normalised_service
        local = self._policy.next_account(self._waiting.queue(pool), normalised_service)
        remote = self._demand.lowest_account(pool, normalised_service, now_s=now_s)
        if remote is not None and self._should_lend(local, remote):
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
        """Lead in normalised service up to which no slot is lent to another router."""
        relative = self._options.band_requests * self._estimator.largest_tokens
        return min(self._options.band_tokens, relative)

    def _should_lend(self, local: str | None, remote: str) -> bool:
        """Return whether a remote account goes before the next local one, if any."""
        if local is None:
            return True
        lead = self._ledger.normalised_service(local) - self._ledger.normalised_service(
            remote
        )
        return lead > self._band_tokens

    def _lend(
        self, pool: str, account: str, free: list[TargetSlots], now_s: float
    ) -> bool:
        """Lend a free slot to a router with demand, preferably in the target's zone."""
        slots = self._policy.next_target(free)
        zone = slots.target.availability_zone
        preferred_vms = {
            m.vm_name for m in self._members.values() if m.availability_zone == zone
        }
        reserved_until_s = now_s + RESERVATION_PERIODS_COUNT * self._exchange.period_s
        vm_name = self._demand.grant(
            pool,
            account,
            preferred_vms=preferred_vms,
            expires_at_s=now_s + GRANT_TRANSIT_S,
            now_s=now_s,
        )
        if vm_name is None:
            return False
        self._lending.lend(slots, vm_name, account)
        tokens = self._estimator.estimate_any_service(account)
        self._ledger.reserve(account, tokens, deadline_s=reserved_until_s)
        return True

    def _fill_borrowed_slots(self, pool: str, now_s: float) -> None:
        """Start waiting requests on slots borrowed from other home routers."""
        queue = self._waiting.queue(pool)
        if not len(queue):
            return
        for borrowed in self._lending.borrowed.idle_in_pool(pool):
            slots = self._targets.get(borrowed.grant.target)
            if slots is None or not slots.usable(now_s) or now_s >= borrowed.deadline_s:
                continue
            for _ in range(borrowed.idle_count):
                account = self._policy.next_account(
                    queue, self._ledger.normalised_service
                )
                if account is None:
                    return
                if not self._may_use(borrowed, pool, account, now_s):
                    break
                request = self._choose_request(pool, account, slots.name, now_s)
                self._start(request, slots.name, borrowed, now_s)

    def _may_use(
        self, borrowed: BorrowedSlots, pool: str, account: str, now_s: float
    ) -> bool:
        """Return whether an account may use a borrowed slot.

        While the account of the grant has requests waiting, as many requests may start
        as slots were granted. Any other start requires that the account's normalised
        service is near the floor.
        """
        is_fresh = borrowed.started_count < borrowed.grant.slot_count
        if is_fresh and self._waiting.queue(pool).count(borrowed.grant.account):
            return True
        floor = self._backlog(pool).floor(now_s=now_s)
        if floor is None:
            return True
        return (
            self._ledger.normalised_service(account)
            <= floor + REUSE_BAND_FACTOR * self._band_tokens
        )

    def _choose_request(
        self, pool: str, account: str, target: str, now_s: float
    ) -> WaitingRequest:
        waiting = self._waiting.queue(pool).first(account, AFFINITY_CANDIDATES_COUNT)
        overdue_arrival_s = now_s - self._options.affinity_hold_s
        return self._affinity.best_request(
            waiting, target, overdue_arrival_s=overdue_arrival_s
        )

    def _start(
        self,
        request: WaitingRequest,
        target: str,
        borrowed: BorrowedSlots | None,
        now_s: float,
    ) -> None:
        self._waiting.remove(request.request_id)
        account = request.account
        normalised_service = self._ledger.normalised_service(account)
        estimate = self._estimator.estimate(
            account, request.service, hint_tokens=request.cost_hint_tokens
        )
        self._ledger.charge(account, estimate)
        self._running[request.request_id] = RunningRequest(
            request=request,
            target=target,
            borrowed=borrowed,
            charged_tokens=estimate,
            started_at_s=now_s,
        )
        slots = self._targets.get(target)
        if slots is not None:
            slots.local_count += 1
        if borrowed is not None:
            borrowed.running_count += 1
            borrowed.started_count += 1
        self._affinity.note(request.affinity_key, target)
        home = borrowed.home if borrowed else self._member.vm_name
        self._journal.add_line(
            request.request_id,
            f"started on {target} with a slot of {home} after "
            f"{now_s - request.arrived_at_s:.3f} s, {account} at normalised service "
            f"{normalised_service:.0f}, charged {estimate:.0f} tokens",
        )
        self._outbox.append(Start(request.request_id, target))

    def _release(self, running: RunningRequest, now_s: float) -> None:
        slots = self._targets.get(running.target)
        if slots is not None:
            slots.local_count = max(0, slots.local_count - 1)
        if running.borrowed is not None:
            running.borrowed.running_count -= 1

    def _observe_first_token(self, running: RunningRequest, now_s: float) -> None:
        slots = self._targets.get(running.target)
        if slots is None:
            return
        first_token_s = now_s - running.started_at_s
        if not self._targets.is_home(running.target):
            self._lending.record_first_token(running.target, first_token_s)
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
        self._journal.add_line(request_id, f"refused without being run: {reason}")
        self._outbox.append(Refuse(request_id, error))

    def _backlog(self, pool: str) -> BackloggedAccounts:
        backlog = self._backlogs.get(pool)
        if backlog is None:
            queue = self._waiting.queue(pool)
            backlog = BackloggedAccounts(
                self._ledger, lambda: {*queue.accounts, *self._demand.accounts(pool)}
            )
            self._backlogs[pool] = backlog
        return backlog

    def _clamp(self, now_s: float) -> None:
        """Clamp leads that built up while other zones were unreachable."""
        if now_s >= self._clamp_until_s or not self._exchange.is_relay:
            return
        for pool in self._configuration.pools:
            max_lead_tokens = min(
                self._options.clamp_tokens,
                self._options.clamp_requests * self._estimator.largest_tokens,
            )
            self._backlog(pool).clamp(max_lead_tokens, now_s=now_s)

    def _add_idle_slot_time(self, now_s: float) -> None:
        if self._stepped_at_s is not None:
            elapsed_s = max(0.0, now_s - self._stepped_at_s)
            self._idle_slot_s += self._idle_count * elapsed_s
        self._stepped_at_s = now_s

    def _count_idle_slots(self, now_s: float) -> int:
        idle = 0
        for pool in self._configuration.pools:
            if len(self._waiting.queue(pool)) or self._demand.accounts(pool):
                own_targets = self._targets.own_targets(pool)
                idle += sum(slots.free_count(now_s) for slots in own_targets)
        return idle

    def explain(self, request_id: str) -> list[str]:
        """Return the decisions about a request, and its queue position if it waits."""
        lines = self._journal.lines(request_id)
        request = self._waiting.get(request_id)
        if request is not None:
            normalised_service = self._ledger.normalised_service(request.account)
            queue = self._waiting.queue(request.pool)
            lower = sum(
                self._ledger.normalised_service(a) < normalised_service
                for a in queue.accounts
            )
            lines.append(
                f"waits for {request.pool}: {request.account} at normalised service "
                f"{normalised_service:.0f}, {lower} accounts at this router before it, "
                f"{queue.count(request.account)} of its requests waiting here"
            )
        return lines

    def statistics(self, *, now_s: float) -> DispatchStatistics:
        """Return a snapshot of the state, for metrics and status."""
        own_targets = self._targets.all_own_targets()
        usable = [slots for slots in own_targets if slots.usable(now_s)]
        waiting = dict(self._waiting.count_by_account)
        return DispatchStatistics(
            slot_count=sum(slots.limit_count for slots in usable),
            busy_slot_count=sum(slots.in_flight_count for slots in usable),
            lent_slot_count=sum(slots.lent_count for slots in own_targets),
            borrowed_slot_count=self._lending.borrowed.slot_count,
            waiting_count_by_account=waiting,
            service_tokens_by_account={
                name: record.service_tokens for name, record in self._ledger.items()
            },
            level_by_account={
                name: self._ledger.normalised_service(name) for name in waiting
            },
            idle_slot_s=self._idle_slot_s,
            limit_by_target={slots.name: slots.limit_count for slots in own_targets},
        )

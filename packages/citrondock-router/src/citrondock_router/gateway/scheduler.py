"""Decides when and where requests are sent."""

import asyncio
from collections.abc import Iterable

import attrs

from citrondock_core.routing.account_shares import AccountShares
from citrondock_core.routing.admission_queue import AdmissionQueue
from citrondock_core.routing.attempt_budget import AttemptBudget, AttemptBudgetOptions
from citrondock_core.routing.placement import Placement, PlacementChoice
from citrondock_core.routing.route import RouteKind, ServiceOptions
from citrondock_core.routing.target_directory import DirectoryChange, TargetDirectory
from citrondock_core.routing.target_load import TargetLoad
from citrondock_router.gateway.exchange import Exchange, Scheduler, Step
from citrondock_router.gateway.gateway_metrics import GatewayMetrics
from citrondock_router.gateway.outcome import Outcome
from citrondock_router.gateway.target_connections import TargetConnections
from citrondock_router.log import log_event

TICK_S = 0.025
"""Period in which waiting requests are looked at when nothing else happens."""

SHARES_HALF_LIFE_S = 2.0
"""Service older than a few seconds no longer counts; users judge fairness over six."""

MAX_BLOCKED_HEADS = 8
"""Waiting requests that are tried past one that finds no room."""


@attrs.frozen(kw_only=True)
class PatienceOptions:
    """How long requests wait for what.

    Parameters
    ----------
    wait_in_targets : float
        Longest wait for a target, as a multiple of the time for the first answer.
    wait_in_timeouts : float
        The same, as a share of the time that the request has in all.
    silence_s : float
        Shortest silence after which a request that may run again goes elsewhere.
    silence_in_targets : float
        The same, as a multiple of the time for the first answer.
    silence_in_pauses : float
        Silence within a stream, as a multiple of the longest pause that is on time.
    """

    wait_in_targets: float = 1.5
    wait_in_timeouts: float = 0.4
    silence_s: float = 0.4
    silence_in_targets: float = 2.0
    silence_in_pauses: float = 4.0


class FleetScheduler(Scheduler):
    """Queues, loads and budgets of all services on one router.

    Parameters
    ----------
    directory : TargetDirectory
        Targets.
    connections : TargetConnections
        Closed when their targets are gone.
    placement : Placement
        Chooses targets.
    budget_options : AttemptBudgetOptions
        Limits of repeated sends.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        connections: TargetConnections,
        placement: Placement,
        budget_options: AttemptBudgetOptions,
        metrics: GatewayMetrics,
        loop: asyncio.AbstractEventLoop,
        patience: PatienceOptions | None = None,
    ) -> None:
        self.budget_options = budget_options
        self._directory = directory
        self._connections = connections
        self._placement = placement
        self._metrics = metrics
        self._loop = loop
        self._patience = patience or PatienceOptions()
        self._services: dict[str, ServiceOptions] = {}
        self._loads: dict[str, TargetLoad] = {}
        self._loads_by_service: dict[str, list[TargetLoad]] = {}
        self._queues: dict[str, AdmissionQueue] = {}
        self._budgets: dict[str, AttemptBudget] = {}
        self._shares = AccountShares(half_life_s=SHARES_HALF_LIFE_S)
        self._sent: dict[int, Exchange] = {}
        self.live_count = 0

    @property
    def loads(self) -> Iterable[TargetLoad]:
        """Loads of all usable targets."""
        return self._loads.values()

    def load_of(self, target_id: str) -> TargetLoad | None:
        """Return the load of a target."""
        return self._loads.get(target_id)

    def configure(self, services: dict[str, ServiceOptions]) -> None:
        """Take the services of a new configuration."""
        self._services = services
        self._rebuild()

    def directory_changed(self, change: DirectoryChange) -> None:
        """Take up new targets and let go of those that left."""
        for entry in change.removed:
            self._connections.drop(entry.target_id)
        if change.added or change.changed or change.removed:
            self._rebuild()

    def admit(self, exchange: Exchange) -> None:
        """Take a request that a client has just sent."""
        self.live_count += 1
        self._budget(exchange.service).count_request(now_s=self._loop.time())
        self.submit(exchange)

    # From exchanges.

    def submit(self, exchange: Exchange) -> None:
        queue = self._queue(exchange.service)
        if not queue and self._place(exchange):
            return
        if not self._loads_by_service.get(exchange.service):
            exchange.refuse("no_target_known")
            return
        queue.push(exchange)
        self._pump(exchange.service)

    def withdraw(self, exchange: Exchange) -> None:
        self._queue(exchange.service).remove(exchange)

    def may_repeat(self, exchange: Exchange) -> bool:
        taken = self._budget(exchange.service).take(now_s=self._loop.time())
        if not taken:
            self._metrics.count_exhausted_budget(exchange.service)
            log_event(
                "repeat_denied",
                request_id=exchange.facts.request_id,
                service=exchange.service,
            )
        return taken

    def first_answer(self, exchange: Exchange) -> None:
        now_s = self._loop.time()
        choice = exchange.choice
        if choice is not None:
            choice.load.first_answer(exchange.key, now_s=now_s)
            self._metrics.observe_prediction(
                exchange.service, now_s - exchange.sent_at_s - choice.first_answer_s
            )
        self._metrics.observe_first_answer(
            exchange.service, now_s - exchange.arrived_at_s
        )
        self._pump(exchange.service)

    def attempt_ended(self, exchange: Exchange, *, failed: bool) -> None:
        self._sent.pop(id(exchange), None)
        choice = exchange.choice
        if choice is None:
            return
        choice.load.ended(exchange.key)
        if failed:
            choice.load.failed(now_s=self._loop.time())
        elif exchange.step is Step.ANSWERING:
            choice.load.succeeded()
        self._pump(exchange.service)

    def retry_after_s(self, exchange: Exchange) -> float:
        backlogs = [
            load.backlog_s for load in self._loads_by_service.get(exchange.service, [])
        ]
        queue_s = self._queued_s(exchange.service)
        return round(0.05 + min(min(backlogs, default=0.2) + queue_s, 2.0), 3)

    def finished(self, exchange: Exchange, outcome: Outcome) -> None:
        self.live_count -= 1
        self._sent.pop(id(exchange), None)
        duration_s = self._loop.time() - exchange.arrived_at_s
        self._metrics.count_request(exchange.service, outcome)
        log_event(
            "request_ended",
            request_id=exchange.facts.request_id,
            route=exchange.route.name,
            account=exchange.account,
            service=exchange.service,
            status=outcome.status,
            reason=outcome.reason,
            whole=outcome.is_whole,
            attempts=exchange.history.sent_count,
            targets=",".join(exchange.history.target_ids),
            duration_s=duration_s,
            configuration=exchange.configuration_version,
            directory_revision=self._directory.revision,
        )

    # Periodic.

    def tick(self) -> None:
        """Look at requests that wait for too long, here or at a target."""
        now_s = self._loop.time()
        for service, queue in self._queues.items():
            for exchange in list(queue):
                assert isinstance(exchange, Exchange)
                if now_s >= self._wait_until_s(exchange):
                    queue.remove(exchange)
                    exchange.refuse("no_room_in_time")
            self._pump(service)
        for exchange in list(self._sent.values()):
            if now_s >= self._silent_at_s(exchange):
                self._metrics.count_silence(exchange.service)
                exchange.try_elsewhere("silent")

    def _wait_until_s(self, exchange: Exchange) -> float:
        patience = self._patience
        target_s = exchange.on_time_until_s - exchange.arrived_at_s
        all_s = exchange.answer_by_s - exchange.arrived_at_s
        longest_s = max(
            patience.wait_in_targets * target_s, patience.wait_in_timeouts * all_s
        )
        return exchange.arrived_at_s + longest_s

    def _silent_at_s(self, exchange: Exchange) -> float:
        patience = self._patience
        is_sent = exchange.step in (Step.SENT, Step.ANSWERING)
        if not is_sent or not exchange.route.kind.may_run_again:
            return float("inf")
        if exchange.step is Step.ANSWERING:
            pause_s = patience.silence_in_pauses * exchange.route.max_pause_s
            return exchange.last_data_at_s + max(pause_s, patience.silence_s)
        first_s = patience.silence_in_targets * exchange.route.first_answer_target_s
        predicted_s = exchange.choice.first_answer_s if exchange.choice else 0.0
        silence_s = max(first_s, predicted_s * 2, patience.silence_s)
        return exchange.sent_at_s + silence_s

    def _queued_s(self, service: str) -> float:
        queue = self._queues.get(service)
        loads = self._loads_by_service.get(service, [])
        rate = sum(load.prefill_tokens_per_s for load in loads)
        if queue is None or not rate or not queue:
            return 0.0
        return queue.waiting_tokens / rate

    def _pump(self, service: str) -> None:
        queue = self._queues.get(service)
        if not queue:
            return
        blocked = 0
        for exchange in queue.in_order(now_s=self._loop.time()):
            assert isinstance(exchange, Exchange)
            if self._place(exchange, queue=queue):
                continue
            blocked += 1
            if blocked >= MAX_BLOCKED_HEADS:
                return

    def _place(self, exchange: Exchange, queue: AdmissionQueue | None = None) -> bool:
        now_s = self._loop.time()
        loads = self._loads_by_service.get(exchange.service, [])
        choice = self._placement.choose(
            exchange.facts.prompt, loads, excluded=exchange.excluded, now_s=now_s
        )
        if choice is None:
            return False
        if queue is not None and not queue.remove(exchange):
            return True
        self._start(exchange, choice, now_s)
        return True

    def _start(self, exchange: Exchange, choice: PlacementChoice, now_s: float) -> None:
        load = choice.load
        load.sent(
            exchange.key,
            prefill_tokens=choice.prefill_tokens,
            memory_tokens=choice.memory_tokens,
            now_s=now_s,
        )
        if exchange.facts.prompt is not None:
            load.cache.add(exchange.facts.prompt.parts)
        self._shares.add(exchange.account, exchange.cost_tokens, now_s=now_s)
        if exchange.route.kind is not RouteKind.AT_MOST_ONCE:
            self._sent[id(exchange)] = exchange
        exchange.send_to(choice)

    def _queue(self, service: str) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._shares)
        return queue

    def _budget(self, service: str) -> AttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = AttemptBudget(self.budget_options)
        return budget

    def _rebuild(self) -> None:
        loads: dict[str, TargetLoad] = {}
        by_service: dict[str, list[TargetLoad]] = {}
        for entry in self._directory.entries():
            if entry.is_leaving:
                continue
            options = self._services.get(entry.service)
            known = self._loads.get(entry.target_id)
            if known is None or known.entry.is_other_life_of(entry):
                known = TargetLoad(entry, options.engine if options else None)
            known.entry = entry
            known.engine = options.engine if options else None
            loads[entry.target_id] = known
            by_service.setdefault(entry.service, []).append(known)
        self._loads, self._loads_by_service = loads, by_service
        for service in list(self._queues):
            self._pump(service)

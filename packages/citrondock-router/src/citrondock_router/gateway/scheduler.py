"""Decides when and where requests are sent."""

import asyncio
from collections.abc import Sequence

from typing_extensions import override

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.admission_queue import AdmissionQueue
from citrondock_core.routing.attempt_budget import AttemptBudget, AttemptBudgetOptions
from citrondock_core.routing.engine_admission import SERVED_RATIOS_HALF_LIFE_S
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.placement import Placement, PlacementChoice
from citrondock_core.routing.refused_requests import RefusedRequests
from citrondock_core.routing.route import (
    ModelEngineOptions,
    RouteKind,
    ServiceOptions,
)
from citrondock_core.routing.served_ratios import ServedRatios
from citrondock_core.routing.target_directory import DirectoryChange, TargetDirectory
from citrondock_core.routing.target_load import TargetLoad
from citrondock_router.gateway.exchange import Exchange, ExchangeState, Scheduler
from citrondock_router.gateway.gateway_metrics import GatewayMetrics
from citrondock_router.gateway.grant_broker import (
    SHARES_HALF_LIFE_S,
    GrantBroker,
    KnownEngine,
)
from citrondock_router.gateway.grant_requester import EnginePool, GrantRequester
from citrondock_router.gateway.outcome import Outcome
from citrondock_router.gateway.stall_detection import StallOptions, is_stalled
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool
from citrondock_router.log import log_event

TICK_S = 0.01
"""Period in which waiting requests are looked at when nothing else happens."""

SILENCE_CHECK_S = 0.05
"""Period in which silent targets are looked for; silences are longer than 0.3 s."""

WAIT_IN_TARGETS = 1.0
"""Longest wait for a target, as a multiple of the time for the first answer."""

RETRY_FLOOR_S = 0.05
MAX_RETRY_S = 2.0
"""Refused clients are asked to come back after what the engines have to read."""


class FleetScheduler(Scheduler, EnginePool):
    """Queues, loads and budgets of all services on one router.

    Parameters
    ----------
    directory : TargetDirectory
        Targets.
    connections : TargetConnectionPool
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
        connections: TargetConnectionPool,
        placement: Placement,
        hints: EngineLoadView,
        broker: GrantBroker,
        budget_options: AttemptBudgetOptions,
        metrics: GatewayMetrics,
        loop: asyncio.AbstractEventLoop,
        silence: StallOptions | None = None,
    ) -> None:
        self._budget_options = budget_options
        self._directory = directory
        self._connections = connections
        self._placement = placement
        self._hints = hints
        self._broker = broker
        self._asker = GrantRequester(
            self, placement=placement, hints=hints, broker=broker, loop=loop
        )
        self._metrics = metrics
        self._loop = loop
        self._silence = silence or StallOptions()
        self._services: dict[str, ServiceOptions] = {}
        self._loads: dict[str, TargetLoad] = {}
        self._loads_by_service: dict[str, list[TargetLoad]] = {}
        self._queues: dict[str, AdmissionQueue[Exchange]] = {}
        self._budgets: dict[str, AttemptBudget] = {}
        self._shares = DecayingUsage(half_life_s=SHARES_HALF_LIFE_S)
        self._ratios = ServedRatios(half_life_s=SERVED_RATIOS_HALF_LIFE_S)
        self._sent: dict[int, Exchange] = {}
        self._refused = RefusedRequests()
        self.live_count = 0

    def set_budget(self, options: AttemptBudgetOptions) -> None:
        """Take other limits of repeated sends."""
        self._budget_options = options
        for budget in self._budgets.values():
            budget.options = options

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
        now_s = self._loop.time()
        self.live_count += 1
        self._budget(exchange.service).count_request(now_s=now_s)
        exchange.first_arrived_at_s = self._refused.first_arrival_s(
            exchange.account, exchange.facts, now_s=now_s
        )
        self.submit(exchange)

    # From exchanges.

    @override
    def submit(self, exchange: Exchange) -> None:
        if not self._loads_by_service.get(exchange.service):
            exchange.refuse("no_target_known")
            return
        prompt = exchange.facts.prompt
        if prompt is not None and self.engine(exchange.service):
            wait_until_s = self._wait_until_s(exchange)
            self._asker.submit(exchange, prompt, wait_until_s=wait_until_s)
            return
        queue = self._queue(exchange.service)
        if queue or not self._place(exchange):
            self._ratios.record_request(exchange.kind, now_s=self._loop.time())
            queue.push(exchange)
            self._pump(exchange.service)

    @override
    def withdraw(self, exchange: Exchange) -> None:
        self._asker.withdraw(exchange)
        self._queue(exchange.service).remove(exchange)

    @override
    def take_retry(self, exchange: Exchange) -> bool:
        taken = self._budget(exchange.service).take(now_s=self._loop.time())
        if not taken:
            self._metrics.count_denied_retry(exchange.service)
            log_event(
                "repeat_denied",
                request_id=exchange.facts.request_id,
                service=exchange.service,
            )
        return taken

    @override
    def response_begun(self, exchange: Exchange) -> None:
        now_s = self._loop.time()
        self._asker.started(exchange)
        if exchange.choice is not None:
            predicted_s = exchange.choice.first_answer_s
            self._metrics.observe_prediction(
                exchange.service, now_s - exchange.sent_at_s - predicted_s
            )
        self._metrics.observe_first_answer(
            exchange.service, now_s - exchange.arrived_at_s
        )

    @override
    def attempt_ended(self, exchange: Exchange, *, failed: bool) -> None:
        self._sent.pop(id(exchange), None)
        self._asker.attempt_ended(exchange, failed=failed)
        choice = exchange.choice
        if choice is None:
            return
        choice.load.record_ended(exchange.key)
        if failed:
            choice.load.record_failure(now_s=self._loop.time())
        elif exchange.state is ExchangeState.RECEIVING:
            choice.load.record_success()
        self._pump(exchange.service)

    @override
    def retry_after_s(self, exchange: Exchange) -> float:
        now_s = self._loop.time()
        loads = self.loads(exchange.service)
        backlogs_s = [
            self._hints.backlog_s(load.entry.target_id, now_s=now_s) for load in loads
        ]
        wait_s = min(backlogs_s, default=RETRY_FLOOR_S)
        return round(RETRY_FLOOR_S + min(wait_s, MAX_RETRY_S), 3)

    @override
    def finished(self, exchange: Exchange, outcome: Outcome) -> None:
        self.live_count -= 1
        self._sent.pop(id(exchange), None)
        arrived_at_s = exchange.arrived_at_s
        first_s = exchange.first_byte_at_s
        self._metrics.count_request(exchange.service, exchange.account, outcome)
        if outcome.is_refusal:
            first_arrived_at_s = exchange.first_arrived_at_s
            self._refused.remember(
                exchange.account, exchange.facts, arrived_at_s=first_arrived_at_s
            )
        log_event(
            "request_ended",
            request_id=exchange.facts.request_id,
            route=exchange.route.name,
            account=exchange.account,
            service=exchange.service,
            status=outcome.status,
            reason=outcome.reason,
            whole=outcome.is_complete,
            attempts=exchange.history.sent_count,
            targets=",".join(exchange.history.target_ids),
            asks=exchange.ask_count,
            refused_before_s=arrived_at_s - exchange.first_arrived_at_s,
            waited_s=exchange.sent_at_s - arrived_at_s if exchange.sent_at_s else None,
            first_answer_s=first_s - arrived_at_s if first_s is not None else None,
            longest_pause_s=exchange.longest_pause_s,
            duration_s=self._loop.time() - arrived_at_s,
            configuration=exchange.configuration_version,
            directory_revision=self._directory.revision,
        )

    # For the metrics.

    def waiting_by_service(self) -> dict[str, int]:
        """Return how many requests wait for a target chosen here."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def repeats_left_by_service(self) -> dict[str, float]:
        """Return what the budgets allow now."""
        now_s = self._loop.time()
        return {
            service: budget.left(now_s=now_s)
            for service, budget in self._budgets.items()
        }

    # For the asker.

    @override
    def loads(self, service: str) -> Sequence[TargetLoad]:
        return self._loads_by_service.get(service, [])

    @override
    def engine(self, service: str) -> ModelEngineOptions | None:
        options = self._services.get(service)
        return options.engine if options else None

    @override
    def start(self, exchange: Exchange, choice: PlacementChoice) -> None:
        choice.load.record_sent(exchange.key)
        if exchange.route.kind is not RouteKind.AT_MOST_ONCE:
            self._sent[id(exchange)] = exchange
        exchange.send_to(choice)

    # Periodic.

    def tick(self) -> None:
        """Look at requests that have waited here for too long."""
        now_s = self._loop.time()
        for service, queue in self._queues.items():
            for exchange in list(queue):
                if now_s >= self._wait_until_s(exchange):
                    queue.remove(exchange)
                    exchange.refuse("no_room_in_time")
            self._pump(service)

    def check_silence(self) -> None:
        """Take requests back from targets that have said nothing for too long."""
        now_s = self._loop.time()
        for exchange in list(self._sent.values()):
            if is_stalled(exchange, self._silence, now_s=now_s):
                self._metrics.count_silence(exchange.service)
                exchange.retry_elsewhere("silent")

    def _wait_until_s(self, exchange: Exchange) -> float:
        return exchange.arrived_at_s + WAIT_IN_TARGETS * exchange.first_answer_target_s

    # Plain requests: they are few beside the places, and sent at once.

    def _pump(self, service: str) -> None:
        queue = self._queues.get(service)
        if not queue:
            return
        for exchange in queue.in_order(now_s=self._loop.time()):
            if not self._place(exchange, queue=queue):
                return

    def _place(
        self, exchange: Exchange, queue: AdmissionQueue[Exchange] | None = None
    ) -> bool:
        now_s = self._loop.time()
        loads = self.loads(exchange.service)
        choice = self._placement.choose_plain(
            loads, excluded=exchange.excluded, now_s=now_s
        )
        if choice is None:
            return False
        if queue is not None and not queue.remove(exchange):
            return True
        self._shares.add(exchange.account, exchange.cost_tokens, now_s=now_s)
        if queue is not None:
            self._ratios.record_served(exchange.kind, now_s=now_s)
        self.start(exchange, choice)
        return True

    def _queue(self, service: str) -> AdmissionQueue[Exchange]:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._shares, self._ratios)
        return queue

    def _budget(self, service: str) -> AttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = AttemptBudget(self._budget_options)
        return budget

    def _rebuild(self) -> None:
        loads: dict[str, TargetLoad] = {}
        by_service: dict[str, list[TargetLoad]] = {}
        engines: dict[str, KnownEngine] = {}
        for entry in self._directory.usable():
            load = self._loads.get(entry.target_id)
            if load is None or load.entry.is_other_incarnation_of(entry):
                load = TargetLoad(entry)
                self._broker.restarted(entry.target_id)
            load.entry = entry
            loads[entry.target_id] = load
            by_service.setdefault(entry.service, []).append(load)
            engine = self.engine(entry.service)
            if engine is not None:
                known = KnownEngine(engine, entry.availability_zone)
                engines[entry.target_id] = known
        self._loads, self._loads_by_service = loads, by_service
        self._placement.keep_only(set(loads))
        self._broker.set_engines(engines)
        for service in list(self._queues):
            self._pump(service)

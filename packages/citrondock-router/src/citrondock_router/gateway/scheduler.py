"""Decides when and to which target each request of this router is sent.

Prompts for model engines wait in the queues of the engines' home routers. All other
requests, the plain ones, wait in one queue for each service on this router.
"""

import asyncio
from collections.abc import Collection, Sequence

from typing_extensions import override

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.admission_queue import AdmissionQueue
from citrondock_core.routing.engine_admission import SERVED_RATIOS_HALF_LIFE_S
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.grant import PLAIN_REQUEST_TOKENS
from citrondock_core.routing.placement import Placement, PlacementChoice
from citrondock_core.routing.refused_requests import RefusedRequests
from citrondock_core.routing.retry_ratio_budget import (
    RetryRatioBudget,
    RetryRatioBudgetOptions,
)
from citrondock_core.routing.route import (
    ModelEngineOptions,
    RouteKind,
    ServiceOptions,
)
from citrondock_core.routing.served_ratios import ServedRatios
from citrondock_core.routing.stream_versions import count_versions
from citrondock_core.routing.target_directory import DirectoryChange, TargetDirectory
from citrondock_core.routing.target_load import MAX_SUSPENSION_S, TargetLoad
from citrondock_core.routing.warm_up import RETURN_WARM_UP_S, WarmUpOptions, WarmUps
from citrondock_router.gateway.crash_exchange import CrashExchange, CrashListener
from citrondock_router.gateway.departure_exchange import DepartureExchange
from citrondock_router.gateway.exchange import Exchange, ExchangeState, Scheduler
from citrondock_router.gateway.fact_gossip import FactGossip, FactSource
from citrondock_router.gateway.gateway_metrics import GatewayMetrics
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.gateway.grant_home import USAGE_HALF_LIFE_S, KnownEngine
from citrondock_router.gateway.grant_requester import EnginePool, GrantRequester
from citrondock_router.gateway.outcome import Outcome
from citrondock_router.gateway.overload_guard import OverloadGuard
from citrondock_router.gateway.permit_requester import PermitRequester
from citrondock_router.gateway.stall_detection import (
    StallOptions,
    first_byte_timeout_s,
    is_stalled,
)
from citrondock_router.gateway.stream_version_log import StreamVersionLog
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool
from citrondock_router.log import log_event

TICK_S = 0.01
"""Period in which waiting requests are checked when nothing else happens."""

STALL_CHECK_S = 0.05
"""Period of the check for stalled requests; a stall lasts longer than 0.3 s."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_BACKLOG_S = 2.0
"""Refused clients are asked to retry once the engines have read their backlog: after
`MIN_RETRY_AFTER_S` and the smallest backlog, cut to `MAX_RETRY_BACKLOG_S`."""


class RequestScheduler(Scheduler, EnginePool, CrashListener):
    """Queues requests for all services of one router and sends them to targets.

    It also counts the load of each target and keeps a retry budget for each service.

    Parameters
    ----------
    directory : TargetDirectory
        Known targets.
    connections : TargetConnectionPool
        Connections to targets; those of a removed target are closed.
    placement : Placement
        Chooses targets.
    engine_loads : EngineLoadView
        Backlogs of engines as last reported by their home routers.
    broker : GrantBroker
        Exchanges grant requests with home routers.
    budget_options : RetryRatioBudgetOptions
        Limits of the retry budgets.
    metrics : GatewayMetrics
        Counts requests, denied retries and stalls.
    overload : OverloadGuard
        Is told of each request that is sent.
    stream_versions : StreamVersionLog
        Knows which software version began each stream.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    stall_options : StallOptions, optional
        Times without data after which a request is sent elsewhere.
    """

    def __init__(
        self,
        *,
        directory: TargetDirectory,
        connections: TargetConnectionPool,
        placement: Placement,
        engine_loads: EngineLoadView,
        broker: GrantBroker,
        budget_options: RetryRatioBudgetOptions,
        metrics: GatewayMetrics,
        overload: OverloadGuard,
        stream_versions: StreamVersionLog,
        loop: asyncio.AbstractEventLoop,
        stall_options: StallOptions | None = None,
    ) -> None:
        self._budget_options = budget_options
        self._directory = directory
        self._connections = connections
        self._placement = placement
        self._engine_loads = engine_loads
        self._broker = broker
        self.crashes = CrashExchange(broker.link, connections, self, loop)
        self.departures = DepartureExchange(
            broker.link, directory, self.directory_changed, loop
        )
        facts: list[FactSource] = [self.crashes, broker.limits, self.departures]
        self.gossip = FactGossip(broker.link, facts, loop)
        self._permits = PermitRequester(broker, self._send_with_permit, loop)
        self._grant_requester = GrantRequester(
            self,
            placement=placement,
            engine_loads=engine_loads,
            broker=broker,
            crashes=self.crashes,
            overload=overload,
            loop=loop,
        )
        self._metrics = metrics
        self._overload = overload
        self._stream_versions = stream_versions
        self._resumable_services: frozenset[str] = frozenset()
        self._loop = loop
        self._stall_options = stall_options or StallOptions()
        self._services: dict[str, ServiceOptions] = {}
        self._loads: dict[str, TargetLoad] = {}
        self._loads_by_service: dict[str, list[TargetLoad]] = {}
        self._queues: dict[str, AdmissionQueue[Exchange]] = {}
        self._budgets: dict[str, RetryRatioBudget] = {}
        self._usage = DecayingUsage(half_life_s=USAGE_HALF_LIFE_S)
        self._ratios = ServedRatios(half_life_s=SERVED_RATIOS_HALF_LIFE_S)
        # Sent requests that may run again; they are checked for stalls.
        self._sent: dict[int, Exchange] = {}
        self._sending_services: set[str] = set()
        self._evacuated_zones: frozenset[str] = frozenset()
        self._refused_requests = RefusedRequests()
        self.live_count = 0
        self.sent_count = 0

    def set_budget_options(self, options: RetryRatioBudgetOptions) -> None:
        """Replace the limits of all retry budgets."""
        self._budget_options = options
        for budget in self._budgets.values():
            budget.options = options

    def configure(
        self,
        services: dict[str, ServiceOptions],
        *,
        resumable_services: Collection[str],
    ) -> None:
        """Apply the services of a new configuration.

        Parameters
        ----------
        services : dict of str
            Options by service.
        resumable_services : collection of str
            Services whose streams clients may take up.
        """
        self._services = services
        self._resumable_services = frozenset(resumable_services)
        self._rebuild()

    def directory_changed(self, change: DirectoryChange) -> None:
        """Apply a change of targets; connections to removed ones are closed."""
        for entry in change.removed:
            self._connections.drop(entry.target_id)
        if change.added or change.changed or change.removed:
            self._rebuild()

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Send nothing more to the targets of these zones; others are taken back.

        Requests that run there go on; those that wait for one are placed anew.
        """
        begun, ended = zones - self._evacuated_zones, self._evacuated_zones - zones
        if not (begun or ended):
            return
        log_event(
            "zones_evacuated",
            level="WARNING",
            zones=",".join(sorted(zones)),
            begun=",".join(sorted(begun)),
            ended=",".join(sorted(ended)),
        )
        until_s = self._loop.time() + RETURN_WARM_UP_S
        for entry in self._directory.usable():
            if entry.availability_zone in ended:
                self.warm_ups.expect(entry.target_id, until_s=until_s)
        self._evacuated_zones = zones
        self._rebuild()

    def admit(self, exchange: Exchange) -> None:
        """Accept a request from a client, and send, queue or refuse it."""
        now_s = self._loop.time()
        self.live_count += 1
        self._budget(exchange.service).count_request(now_s=now_s)
        exchange.first_arrived_at_s = self._refused_requests.first_arrival_s(
            exchange.account, exchange.facts, now_s=now_s
        )
        if exchange.may_be_taken_up:
            self._stream_versions.versions.observe_deadline(exchange.client_time_left_s)
        if exchange.takes_up_stream:
            exchange.take_up_stream()
        else:
            self.submit(exchange)

    def read_peers(self) -> None:
        """Read what other routers have sent, if that was not done for a while."""
        self._broker.link.read_if_due()

    # Called by exchanges.

    @override
    def submit(self, exchange: Exchange) -> None:
        if not self._loads_by_service.get(exchange.service):
            exchange.refuse("no_target_known")
            return
        loads = self.loads(exchange.service)
        if not loads:
            exchange.refuse("all_targets_paused")
            return
        if not any(exchange.accepts(load.entry) for load in loads):
            exchange.refuse("no_target_of_version")
            return
        prompt = exchange.facts.prompt
        if prompt is not None and self.engine(exchange.service):
            until_s = exchange.wait_until_s
            self._grant_requester.submit(exchange, prompt, wait_until_s=until_s)
            return
        if self._needs_slot_grants(exchange.service):
            until_s = exchange.wait_until_s
            self._grant_requester.submit(exchange, None, wait_until_s=until_s)
            return
        queue = self._queue(exchange.service)
        if queue or not self._send_plain(exchange):
            if exchange.silent_target_id is None:
                self._ratios.record_request(exchange.kind, now_s=self._loop.time())
            queue.push(exchange)
            self._send_waiting(exchange.service)

    @override
    def withdraw(self, exchange: Exchange) -> None:
        self._grant_requester.withdraw(exchange)
        self._queue(exchange.service).remove(exchange)

    @override
    def take_retry(self, exchange: Exchange) -> bool:
        is_allowed = self._budget(exchange.service).take(now_s=self._loop.time())
        if not is_allowed:
            self._metrics.count_denied_retry(exchange.service)
            log_event(
                "repeat_denied",
                request_id=exchange.facts.request_id,
                service=exchange.service,
            )
        return is_allowed

    @override
    def return_retry(self, exchange: Exchange) -> None:
        self._budget(exchange.service).give_back()

    @override
    def known_stream_version(self, exchange: Exchange) -> str | None:
        request_id = exchange.facts.begun_by_request_id
        if request_id is None:
            return None
        return self._stream_versions.versions.remembered_version(request_id)

    @override
    async def read_stream_version(self, exchange: Exchange) -> str | None:
        return await self._stream_versions.find_version(
            exchange.service, exchange.facts.begun_by_request_id
        )

    @override
    def stream_passed_on(self, exchange: Exchange, version: str) -> None:
        request_id = exchange.facts.request_id
        if exchange.takes_up_stream:
            request_id = exchange.facts.begun_by_request_id or request_id
        now_s = self._loop.time()
        self._stream_versions.versions.remember(request_id, version, now_s=now_s)

    @override
    def needs_record(self, exchange: Exchange, version: str) -> bool:
        return self._stream_versions.versions.needs_record(
            exchange.service,
            version,
            time_left_s=exchange.client_time_left_s,
            now_s=self._loop.time(),
        )

    @override
    def can_record(self) -> bool:
        return self._stream_versions.can_record

    @override
    def record_stream(self, exchange: Exchange, version: str) -> "asyncio.Future[None]":
        return self._stream_versions.record(version, exchange.facts.request_id)

    @override
    def target_resumed(self, exchange: Exchange) -> None:
        if exchange.choice is not None:
            exchange.choice.load.record_success()

    @override
    def first_byte_received(self, exchange: Exchange) -> None:
        now_s = self._loop.time()
        self._grant_requester.first_byte_received(exchange)
        if exchange.choice is not None:
            predicted_s = exchange.choice.first_answer_s
            self._metrics.observe_prediction(
                exchange.service, now_s - exchange.sent_at_s - predicted_s
            )
        self._metrics.observe_first_answer(
            exchange.service, now_s - exchange.arrived_at_s
        )

    @override
    def limit_shown(
        self, choice: PlacementChoice, requests_per_s: float | None, *, sent_at_s: float
    ) -> None:
        self._broker.limits.response_received(
            choice.load.entry, requests_per_s, sent_at_s=sent_at_s
        )

    @override
    def target_leaves(self, choice: PlacementChoice) -> None:
        self.departures.target_leaves(choice.load.entry)

    @override
    def pause_requested(
        self, exchange: Exchange, choice: PlacementChoice, retry_after_s: float
    ) -> None:
        load = choice.load
        now_s = self._loop.time()
        load.record_pause(retry_after_s, now_s=now_s)
        log_event(
            "target_paused",
            target=load.entry.target_id,
            request_id=exchange.facts.request_id,
            asked_s=retry_after_s,
            pause_s=load.paused_until_s - now_s,
        )

    @override
    def response_begun(self, exchange: Exchange) -> None:
        self._grant_requester.response_begun(exchange)

    @override
    def connection_lost(self, exchange: Exchange, choice: PlacementChoice) -> None:
        entry = choice.load.entry
        known = self._directory.get(entry.target_id)
        # An engine that has left may close its connections.
        if known is not None and not known.is_leaving:
            self._grant_requester.connection_lost(exchange, entry)

    @override
    def connection_refused(self, choice: PlacementChoice) -> None:
        self.crashes.connection_refused(choice.load.entry)

    @override
    def takeover_won(self, exchange: Exchange) -> None:
        self._grant_requester.takeover_won(exchange)
        self._sent[id(exchange)] = exchange

    @override
    def takeover_ended(
        self, exchange: Exchange, choice: PlacementChoice, *, failed: bool
    ) -> None:
        self._grant_requester.takeover_ended(exchange, failed=failed)
        choice.load.record_ended(exchange.key)
        if failed:
            choice.load.record_failure(now_s=self._loop.time())
        self._send_waiting(exchange.service)

    @override
    def attempt_ended(self, exchange: Exchange, *, failed: bool) -> None:
        self._sent.pop(id(exchange), None)
        self._grant_requester.attempt_ended(exchange, failed=failed)
        choice = exchange.choice
        if choice is None:
            return
        choice.load.record_ended(exchange.key)
        if exchange.is_silent:
            # The failure of the target was recorded when it fell silent.
            pass
        elif failed:
            choice.load.record_failure(now_s=self._loop.time())
        elif exchange.state is ExchangeState.RECEIVING:
            choice.load.record_success()
        self._send_waiting(exchange.service)

    @override
    def retry_after_s(self, exchange: Exchange) -> float:
        prompt = exchange.facts.prompt
        if prompt is not None and self.crashes.quarantine.withheld_count:
            part_ids = [part.part_id for part in prompt.hashed_shared_parts]
            withheld_for_s = self.crashes.withheld_for_s(part_ids)
            if withheld_for_s is not None:
                return round(withheld_for_s, 3)
        now_s = self._loop.time()
        loads = self.loads(exchange.service)
        if not loads:
            return self._pause_left_s(exchange.service)
        backlogs_s = [
            self._engine_loads.backlog_s(load.entry.target_id, now_s=now_s)
            for load in loads
        ]
        wait_s = min(backlogs_s, default=MIN_RETRY_AFTER_S)
        return round(MIN_RETRY_AFTER_S + min(wait_s, MAX_RETRY_BACKLOG_S), 3)

    @override
    def finished(self, exchange: Exchange, outcome: Outcome) -> None:
        self.live_count -= 1
        self._sent.pop(id(exchange), None)
        arrived_at_s = exchange.arrived_at_s
        first_s = exchange.first_byte_at_s
        self._metrics.count_request(exchange.service, exchange.account, outcome)
        if outcome.is_refusal:
            first_arrived_at_s = exchange.first_arrived_at_s
            self._refused_requests.remember(
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
            takes_up=exchange.facts.begun_by_request_id or "",
            version=exchange.software_version or "",
            asks=exchange.grant_request_count,
            refused_before_s=arrived_at_s - exchange.first_arrived_at_s,
            waited_s=exchange.sent_at_s - arrived_at_s if exchange.sent_at_s else None,
            first_answer_s=first_s - arrived_at_s if first_s is not None else None,
            longest_pause_s=exchange.longest_pause_s,
            duration_s=self._loop.time() - arrived_at_s,
            configuration=exchange.configuration_version,
            directory_era=self._directory.position.era,
            directory_revision=self._directory.revision,
        )

    # Called when engines crash.

    @override
    def engine_crashed(self, target_id: str) -> None:
        now_s = self._loop.time()
        load = self._loads.get(target_id)
        if load is not None:
            load.record_crash(now_s=now_s)
        self.warm_ups.expect_restart(target_id, back_at_s=now_s + MAX_SUSPENSION_S)
        self._broker.home.drop(target_id)

    @override
    def parts_withheld(self, part_ids: Collection[str]) -> None:
        self._grant_requester.give_up(part_ids)

    # Called by the metrics page.

    @property
    def warm_ups(self) -> WarmUps:
        """Which targets are cold."""
        return self._broker.limits.table.warm_ups

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones whose targets get no requests."""
        return self._evacuated_zones

    def waiting_by_service(self) -> dict[str, int]:
        """Return how many plain requests wait for a target, by service."""
        return {service: len(queue) for service, queue in self._queues.items()}

    def retries_left_by_service(self) -> dict[str, float]:
        """Return how many retries the budgets allow now, by service."""
        now_s = self._loop.time()
        return {
            service: budget.left(now_s=now_s)
            for service, budget in self._budgets.items()
        }

    # Called by the grant requester.

    @override
    def loads(self, service: str) -> Sequence[TargetLoad]:
        loads = self._loads_by_service.get(service, [])
        now_s = self._loop.time()
        if all(load.paused_until_s <= now_s for load in loads):
            return loads
        return [load for load in loads if load.paused_until_s <= now_s]

    @override
    def engine(self, service: str) -> ModelEngineOptions | None:
        options = self._services.get(service)
        return options.engine if options else None

    @override
    def start(self, exchange: Exchange, choice: PlacementChoice) -> None:
        self.sent_count += 1
        self._overload.record_sent()
        choice.load.record_sent(exchange.key)
        if exchange.route.kind is not RouteKind.AT_MOST_ONCE:
            self._sent[id(exchange)] = exchange
        exchange.send_to(choice)

    # Called periodically.

    def tick(self) -> None:
        """Refuse plain requests that waited for too long; send those with a target."""
        now_s = self._loop.time()
        for service, queue in self._queues.items():
            for exchange in list(queue):
                try:
                    if now_s >= exchange.wait_until_s:
                        queue.remove(exchange)
                        exchange.refuse("no_room_in_time")
                except Exception as error:
                    exchange.end_after_error(error)
            self._send_waiting(service)

    def check_stalls(self) -> None:
        """Look for other targets for requests whose own sent no data for too long."""
        now_s = self._loop.time()
        for exchange in list(self._sent.values()):
            try:
                if exchange.has_takeover:
                    patience_s = first_byte_timeout_s(exchange, self._stall_options)
                    exchange.give_up_takeover(sent_before_s=now_s - patience_s)
                elif is_stalled(exchange, self._stall_options, now_s=now_s):
                    self._handle_silence(exchange)
                    exchange.search_elsewhere()
            except Exception as error:
                exchange.end_after_error(error)

    def _handle_silence(self, exchange: Exchange) -> None:
        choice = exchange.choice
        if exchange.is_silent or choice is None:
            return
        exchange.is_silent = True
        now_s = self._loop.time()
        choice.load.record_failure(now_s=now_s)
        self._metrics.count_stall(exchange.service)
        log_event(
            "target_silent",
            target=choice.load.entry.target_id,
            request_id=exchange.facts.request_id,
            silent_s=now_s - exchange.last_data_at_s,
            state=exchange.state.value,
        )

    def _pause_left_s(self, service: str) -> float:
        """Return the time until a target of a service takes requests again."""
        loads = self._loads_by_service.get(service, [])
        if not loads:
            return MIN_RETRY_AFTER_S
        until_s = min(load.paused_until_s for load in loads)
        return round(max(until_s - self._loop.time(), MIN_RETRY_AFTER_S), 3)

    def _update_versions(self) -> None:
        entries = [
            (entry.service, entry.software_version)
            for entry in self._directory.entries()
            if entry.service in self._resumable_services
        ]
        self._stream_versions.versions.set_live(
            count_versions(entries), now_s=self._loop.time()
        )

    # Plain requests. Where they are few compared with the slots of their targets, this
    # router sends them without a grant from another router.

    def _needs_slot_grants(self, service: str) -> bool:
        """Whether routers must share the slots of a service's targets.

        With more routers than slots, each of them knows next to nothing of what the
        others send, and targets reject requests while others have free slots.
        """
        slots = sum(load.entry.max_concurrency for load in self.loads(service))
        return len(self._broker.peers) + 1 > slots

    def _send_waiting(self, service: str) -> None:
        queue = self._queues.get(service)
        if not queue or service in self._sending_services:
            return
        # A request that ends when it is sent frees its place and calls this again.
        self._sending_services.add(service)
        try:
            self._send_queued(service, queue)
        finally:
            self._sending_services.discard(service)

    def _send_queued(self, service: str, queue: AdmissionQueue[Exchange]) -> None:
        if self._loads_by_service.get(service) and not self.loads(service):
            for exchange in list(queue):
                queue.remove(exchange)
                exchange.refuse("all_targets_paused")
            return
        for exchange in queue.in_order(now_s=self._loop.time()):
            is_sent = self._send_plain(exchange, queue=queue)
            # One that only lacks a target besides its silent one, or one of its
            # version, holds up no other.
            if (
                not is_sent
                and exchange.silent_target_id is None
                and exchange.software_version is None
            ):
                self._request_permits(service, queue)
                return

    def _send_plain(
        self, exchange: Exchange, queue: AdmissionQueue[Exchange] | None = None
    ) -> bool:
        now_s = self._loop.time()
        loads = self.loads(exchange.service)
        limited = self._limited(loads)
        choice = self._placement.choose_plain(
            [
                load
                for load in loads
                if load not in limited
                and load.entry.target_id != exchange.silent_target_id
                and exchange.accepts(load.entry)
            ],
            excluded=exchange.excluded,
            now_s=now_s,
        )
        if choice is None:
            return False
        if queue is not None and not queue.remove(exchange):
            return True
        self._start_plain(exchange, choice, has_waited=queue is not None)
        return True

    def _start_plain(
        self, exchange: Exchange, choice: PlacementChoice, *, has_waited: bool
    ) -> None:
        now_s = self._loop.time()
        replaces_silent_target = exchange.silent_target_id is not None
        self._usage.add(exchange.account, exchange.cost_tokens, now_s=now_s)
        if has_waited and not replaces_silent_target:
            self._ratios.record_served(exchange.kind, now_s=now_s)
        self.start(exchange, choice)

    # Targets that name a limit, and cold ones, take plain requests only with a permit.

    def _limited(self, loads: Sequence[TargetLoad]) -> list[TargetLoad]:
        return [
            load
            for load in loads
            if self._broker.limits.allowed_per_s(load.entry.target_id) is not None
        ]

    def _request_permits(self, service: str, queue: AdmissionQueue[Exchange]) -> None:
        """Request permits for what waits; refuse what gets none in time."""
        loads = self.loads(service)
        now_s = self._loop.time()
        limited = [
            load for load in self._limited(loads) if not load.is_suspended(now_s=now_s)
        ]
        if not limited:
            return
        self._permits.request(limited, len(queue))
        if len(limited) < len(loads):
            return
        permit_at_s = self._permits.next_at_s(limited)
        for exchange in list(queue):
            if permit_at_s >= exchange.wait_until_s:
                queue.remove(exchange)
                exchange.refuse("limit_reached")

    def _send_with_permit(self, load: TargetLoad) -> None:
        """Send the first waiting request to a target that has a permit for it."""
        queue = self._queues.get(load.entry.service)
        if not queue or load not in self.loads(load.entry.service):
            return
        target_id = load.entry.target_id
        waiting = [
            exchange
            for exchange in queue.in_order(now_s=self._loop.time())
            if exchange.silent_target_id != target_id and exchange.accepts(load.entry)
        ]
        if not waiting:
            return
        exchange = min(waiting, key=lambda item: target_id in item.excluded)
        queue.remove(exchange)
        self._start_plain(exchange, PlacementChoice(load, 0, 0.0), has_waited=True)

    def _queue(self, service: str) -> AdmissionQueue[Exchange]:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._usage, self._ratios)
        return queue

    def _budget(self, service: str) -> RetryRatioBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryRatioBudget(self._budget_options)
        return budget

    def _rebuild(self) -> None:
        loads: dict[str, TargetLoad] = {}
        by_service: dict[str, list[TargetLoad]] = {}
        engines: dict[str, KnownEngine] = {}
        warm_ups: dict[str, WarmUpOptions] = {}
        for entry in self._directory.usable():
            options = self._services.get(entry.service)
            if options is not None and options.warm_up is not None:
                warm_ups[entry.target_id] = options.warm_up
            if entry.availability_zone in self._evacuated_zones:
                continue
            load = self._loads.get(entry.target_id)
            if load is None or load.entry.is_other_incarnation_of(entry):
                load = TargetLoad(entry)
                self._broker.home.drop(entry.target_id)
                self._broker.limits.table.forget(entry.target_id)
            load.entry = entry
            loads[entry.target_id] = load
            by_service.setdefault(entry.service, []).append(load)
            # Plain targets have a home router too, for permits.
            capacity = self.engine(entry.service) or ModelEngineOptions(
                max_batch_size=entry.max_concurrency,
                memory_tokens=entry.max_concurrency * PLAIN_REQUEST_TOKENS,
            )
            known = KnownEngine(capacity, entry.availability_zone)
            engines[entry.target_id] = known
        self.warm_ups.set_options(warm_ups)
        self._loads, self._loads_by_service = loads, by_service
        self._placement.keep_only(set(loads))
        self._permits.keep_only(set(loads))
        self._update_versions()
        self._broker.limits.keep_only(set(loads))
        self._broker.set_engines(engines)
        for service in list(self._queues):
            self._send_waiting(service)

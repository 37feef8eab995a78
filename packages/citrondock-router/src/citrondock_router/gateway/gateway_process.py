"""Assembles a gateway and runs it until it receives a signal to stop."""

import asyncio
import gc
import random
import signal
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from functools import partial
from http import HTTPStatus

from citrondock_core.backoff import backoff_s
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.memory_budget import MemoryBudget
from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.placement import Placement
from citrondock_core.routing.store_watch_plan import StoreWatchPlan
from citrondock_core.routing.stream_versions import StreamVersions
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_core.routing.zone_evacuations import ZoneEvacuations
from citrondock_router.gateway.client_connection import ClientConnection
from citrondock_router.gateway.event_loop import wait_for_poll
from citrondock_router.gateway.gateway import Gateway
from citrondock_router.gateway.gateway_metrics import GatewayMetrics, RouterState
from citrondock_router.gateway.gateway_settings import Address, GatewaySettings
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.gateway.header_codec import HeaderCodec
from citrondock_router.gateway.listener import Listener
from citrondock_router.gateway.load_report import LoadReport, WorkCounts
from citrondock_router.gateway.log_writer import LogWriter
from citrondock_router.gateway.object_follower import ObjectFollower
from citrondock_router.gateway.operations_handler import OperationsHandler, Page
from citrondock_router.gateway.overload_guard import OverloadGuard
from citrondock_router.gateway.scheduler import (
    STALL_CHECK_S,
    TICK_S,
    RequestScheduler,
)
from citrondock_router.gateway.shutdown import shut_down
from citrondock_router.gateway.store_change_relay import StoreChangeRelay
from citrondock_router.gateway.store_era import StoreEra
from citrondock_router.gateway.store_view_exchange import StoreViewExchange
from citrondock_router.gateway.stream_version_log import StreamVersionLog
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool
from citrondock_router.gateway.watched_store import WritableStore
from citrondock_router.log import log_event

HOUSEKEEPING_S = 0.5
"""Period in which idle connections, expired targets and old grants are removed."""

WATCH_CHECK_S = 0.25
"""Period in which the watches of the store are compared with other routers'."""

MIN_RESTART_S = 0.1
MAX_RESTART_S = 5.0
"""Longest pause before a background task is started again, after the first failure and
after any failure."""

LOAD_REPORT_S = 1.0
"""Period in which a router that is late logs its work."""

LOG_DRAIN_S = 0.1
"""Period in which buffered log lines are written."""


BackgroundTask = Callable[[], Awaitable[None]]
"""Runs until cancelled."""


async def keep_running(task: BackgroundTask) -> None:
    """Run a task, and start it again after a pause if it fails or ends."""
    loop = asyncio.get_running_loop()
    rng = random.Random()
    failure_count = 0
    while True:
        started_at_s = loop.time()
        try:
            await task()
            detail = "the task returned"
        except Exception as error:
            # One unexpected error must not end a router that can serve on.
            detail = repr(error)
        if loop.time() - started_at_s > MAX_RESTART_S:
            failure_count = 0
        pause_s = backoff_s(
            failure_count, min_s=MIN_RESTART_S, max_s=MAX_RESTART_S, rng=rng
        )
        failure_count += 1
        log_event(
            "background_task_failed",
            level="ERROR",
            task=getattr(task, "__qualname__", repr(task)),
            detail=detail,
            restart_in_s=pause_s,
        )
        await asyncio.sleep(pause_s)


class GatewayProcess:
    """One gateway with its listeners, timers and signals.

    Parameters
    ----------
    settings : GatewaySettings
        Checked settings.
    header_codec : HeaderCodec
        Reads and writes the headers that clients and targets use.
    log_writer : LogWriter
        Log buffer that this process writes out periodically.
    readiness_path : bytes
        Path of the load balancer's readiness check.
    metrics_path : bytes
        Path of the metrics page.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_codec: HeaderCodec,
        log_writer: LogWriter,
        *,
        readiness_path: bytes,
        metrics_path: bytes,
    ) -> None:
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.directory = TargetDirectory(grace_s=settings.registry_grace_s)
        self.evacuations = ZoneEvacuations(grace_s=settings.registry_grace_s)
        self.metrics = GatewayMetrics()
        self._log_writer = log_writer
        self._connections = TargetConnectionPool(self.loop)
        engine_loads = EngineLoadView()
        peers = PeerTable(settings.vm_name, settings.availability_zone)
        self.broker = GrantBroker(peers, engine_loads, self.loop)
        self.watch_plan = StoreWatchPlan()
        self._store_views = StoreViewExchange(
            self.broker.link, self.watch_plan, self.loop
        )
        self._store_changes = StoreChangeRelay(
            self.broker.link, self.watch_plan, self.loop
        )
        overload = OverloadGuard(
            self.loop.time, period_s=TICK_S, shed_lag_s=settings.shed_lag_s
        )
        self.memory = MemoryBudget()
        if settings.memory_limit_bytes is not None:
            self.memory = MemoryBudget.for_machine(settings.memory_limit_bytes)
        self.stream_versions = StreamVersionLog(
            StreamVersions(),
            peers,
            writer_name=f"{settings.vm_name}.{self.broker.link.incarnation:x}",
            loop=self.loop,
        )
        scheduler = RequestScheduler(
            directory=self.directory,
            connections=self._connections,
            placement=Placement(settings.availability_zone, engine_loads),
            engine_loads=engine_loads,
            broker=self.broker,
            budget_options=settings.budget_options(known_router_count=1),
            metrics=self.metrics,
            overload=overload,
            stream_versions=self.stream_versions,
            loop=self.loop,
        )
        self.gateway = Gateway(
            header_codec=header_codec,
            directory=self.directory,
            scheduler=scheduler,
            connections=self._connections,
            metrics=self.metrics,
            overload=overload,
            memory=self.memory,
            loop=self.loop,
            socket_limit=settings.socket_limit,
        )
        self._load_report = LoadReport(self.loop.time, self._work_counts)
        self.client_port = self.readiness_port = self.metrics_port = 0
        self.is_listening = asyncio.Event()
        self._stop = asyncio.Event()
        self._listeners: list[Listener] = []
        self._connections.release_descriptors = self.gateway.release_descriptors
        self._reload: Callable[[], None] | None = None
        self._followers: Sequence[ObjectFollower] = ()
        self._pages: Mapping[bytes, Page] = {
            readiness_path: self._readiness,
            metrics_path: self._metrics_page,
        }

    def on_reload(self, reload: Callable[[], None]) -> None:
        """Call ``reload`` on SIGHUP, the request to read the settings again."""
        self._reload = reload

    def use_store(self, store: WritableStore, era: StoreEra) -> None:
        """Keep in a store what must outlive all routers."""
        writes_per_s = self.settings.store_writes_per_s
        self.stream_versions.use_store(store, writes_per_s=writes_per_s, era=era)

    def evacuations_changed(self) -> None:
        """Apply what is known of evacuated zones."""
        self.gateway.scheduler.set_evacuated_zones(self.evacuations.zones)

    def follow(self, followers: Sequence[ObjectFollower]) -> None:
        """Run the followers of the store's objects while the process runs."""
        self._followers = followers
        self._store_views.set_followers(followers)
        self._store_changes.set_followers(followers)

    async def run(self, background: Sequence[BackgroundTask]) -> None:
        """Serve until SIGTERM or SIGINT.

        Parameters
        ----------
        background : sequence of BackgroundTask
            Further tasks to run meanwhile; one that fails is started again.
        """
        self._install_signal_handlers()
        operations = OperationsHandler(self._pages)
        check_stalls = self.gateway.scheduler.check_stalls
        periodic: list[BackgroundTask] = [
            partial(self._run_every, TICK_S, self._tick),
            partial(self._check_every, STALL_CHECK_S, check_stalls),
            partial(self._check_every, HOUSEKEEPING_S, self._housekeep),
            partial(self._run_every, LOAD_REPORT_S, self._report_load),
            partial(self._run_every, LOG_DRAIN_S, self._log_writer.drain),
            partial(self._check_every, WATCH_CHECK_S, self._store_views.tick),
            self._report_usage,
            self.stream_versions.run,
        ]
        followed = [follower.run for follower in self._followers]
        tasks = [
            asyncio.ensure_future(keep_running(task))
            for task in (*background, *followed, *periodic)
        ]
        settings = self.settings
        self.broker.open(settings.peer_address)
        self.client_port = self._listen(
            settings.client_address, self.gateway.create_client_connection
        )
        self.readiness_port, self.metrics_port = [
            self._listen(
                address, lambda: ClientConnection(operations, self.loop, self.memory)
            )
            for address in (settings.readiness_address, settings.metrics_address)
        ]
        self.is_listening.set()
        log_event(
            "started",
            vm=self.settings.vm_name,
            zone=self.settings.availability_zone,
            clients=str(self.settings.client_address),
            store=str(self.settings.store_address),
        )
        gc.collect()
        gc.freeze()
        await self._stop.wait()
        self.broker.leave()
        await shut_down(
            self.gateway,
            grace_s=self.settings.grace_s,
            stop_accepting=self._close_listeners,
        )
        for task in tasks:
            task.cancel()
        self.broker.close()
        self._log_writer.drain()

    def _listen(
        self, address: Address, protocol: Callable[[], asyncio.Protocol]
    ) -> int:
        release = self.gateway.release_descriptors
        listener = Listener(address, protocol, self.loop, release)
        self._listeners.append(listener)
        return listener.port

    def _close_listeners(self) -> None:
        for listener in self._listeners:
            listener.close()

    def _install_signal_handlers(self) -> None:
        self.loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        self.loop.add_signal_handler(signal.SIGINT, self._stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._reload_now)

    def _reload_now(self) -> None:
        if self._reload is not None:
            self._reload()

    async def _run_every(self, period_s: float, action: Callable[[], None]) -> None:
        while True:
            await asyncio.sleep(period_s)
            action()

    async def _check_every(self, period_s: float, check: Callable[[], None]) -> None:
        """Run a check that depends on what has arrived since the last one."""
        while True:
            await asyncio.sleep(period_s)
            await wait_for_poll()
            check()

    async def _report_usage(self) -> None:
        while True:
            await asyncio.sleep(self.broker.usage.report())

    def _tick(self) -> None:
        lag_s = self.gateway.overload.timer_fired()
        self.metrics.observe_loop_lag(lag_s)
        self._load_report.observe_lag(lag_s)
        if self.gateway.overload.is_overloaded != self.broker.peers.is_overloaded:
            self._announce_overload()
        self.broker.tick()
        self.gateway.scheduler.crashes.tick()
        self.gateway.scheduler.tick()

    def _work_counts(self) -> WorkCounts:
        return WorkCounts(
            read_count=self.gateway.read_count,
            shed_count=self.gateway.shed_count,
            grant_request_count=self.broker.request_count,
            sent_count=self.gateway.scheduler.sent_count,
            late_answer_count=self.broker.late_answer_count,
            processor_s=time.process_time(),
        )

    def _report_load(self) -> None:
        self._load_report.end_period(
            client_count=self.gateway.client_count, live_count=self.gateway.live_count
        )

    def _announce_overload(self) -> None:
        self.broker.update_overload(is_overloaded=self.gateway.overload.is_overloaded)

    def _housekeep(self) -> None:
        self.gateway.close_idle_clients()
        self._connections.close_expired()
        self.broker.home.expire()
        self._announce_overload()
        self.gateway.scheduler.gossip.tick()
        self._update_retry_budgets()
        change = self.directory.expire(now_s=self.loop.time())
        if change.changed or change.removed:
            self.gateway.targets_changed(change)
        known = [entry.target_id for entry in self.directory.usable()]
        self.gateway.scheduler.warm_ups.keep_only(set(known))
        self.evacuations.expire(now_s=self.loop.time())
        self.evacuations_changed()

    def _update_retry_budgets(self) -> None:
        router_count = len(self.broker.peers) + 1
        self.gateway.scheduler.set_budget_options(
            self.settings.budget_options(router_count)
        )

    def _readiness(self) -> tuple[HTTPStatus, bytes]:
        is_accepting = all(listener.is_accepting for listener in self._listeners)
        if self.gateway.is_ready and is_accepting:
            return HTTPStatus.OK, b"ready\n"
        return HTTPStatus.SERVICE_UNAVAILABLE, b"not ready\n"

    def _metrics_page(self) -> tuple[HTTPStatus, bytes]:
        now_s = self.loop.time()
        scheduler = self.gateway.scheduler
        state = RouterState(
            configuration_version=self.gateway.configuration.version,
            target_count=len(self.directory),
            peer_bytes=self.broker.link.sent_bytes,
            opened_connections=self._connections.opened_count,
            home_waiting_count=self.broker.home.waiting_count,
            home_granted_count=self.broker.home.granted_count,
            silent_home_count=self.broker.silent_home_count,
            late_answer_count=self.broker.late_answer_count,
            expired_grant_count=self.broker.home.expired_grant_count,
            engine_crash_count=scheduler.crashes.crash_count,
            withheld_part_count=scheduler.crashes.quarantine.withheld_count,
            dropped_log_line_count=self._log_writer.dropped_count,
            evacuated_zone_count=len(scheduler.evacuated_zones),
            cold_target_count=scheduler.warm_ups.cold_count(now_s=now_s),
            held_bytes=self.memory.held_bytes,
            memory_released_count=self.memory.released_count,
            memory_refused_count=self.memory.refused_count,
            waiting_by_service=scheduler.waiting_by_service(),
            retries_left_by_service=scheduler.retries_left_by_service(),
            store_age_s_by_kind={
                follower.kind: follower.age_s(now_s=now_s)
                for follower in self._followers
            },
        )
        self.metrics.set_state(state)
        return HTTPStatus.OK, self.metrics.render()

"""The router process: creates, connects, starts and stops its components."""

import random
import time
from collections.abc import Mapping, Sequence

import attrs

from citrondock_core.actions import Send
from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.audit_trail import AuditTrail
from citrondock_core.circuit_breaker_store import CircuitBreakerStore
from citrondock_core.claim_manager import ClaimManager
from citrondock_core.claim_options import ClaimOptions
from citrondock_core.clocks import boot_time_s
from citrondock_core.configuration import Configuration, PoolKind, Target
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.dispatch_policy import policy_named
from citrondock_core.dispatcher import Dispatcher
from citrondock_core.errors import CitrondockError
from citrondock_core.heartbeat import Heartbeat
from citrondock_core.live_member import LiveMember
from citrondock_core.load_report import LoadReport
from citrondock_core.member_event import MemberEvent
from citrondock_core.membership import Contact, MembershipView
from citrondock_core.membership_options import MembershipOptions
from citrondock_core.messages import Member
from citrondock_core.rendezvous import choose, home_router_of
from citrondock_core.request import RefusalReason
from citrondock_core.vm_directory import Vm
from citrondock_router.admission import Admission
from citrondock_router.call_claims import CallClaims
from citrondock_router.call_runner import CallRunner
from citrondock_router.call_table import CallTable
from citrondock_router.caller_frontend import CallerFrontend
from citrondock_router.configuration_follower import ConfigurationFollower
from citrondock_router.dispatch_actor import (
    DispatchActor,
    ReportLoad,
    SetConfiguration,
    SetMembers,
    SetTargetAvailable,
    Tick,
)
from citrondock_router.engine_reconciler import EngineReconciler
from citrondock_router.log import log_event
from citrondock_router.membership_actor import (
    MembershipActor,
    SendDueHeartbeats,
    SendFinalHeartbeats,
    SetListed,
    UpdateSelf,
)
from citrondock_router.metrics import RouterMetrics
from citrondock_router.operators_server import OperatorsServer
from citrondock_router.peer_copies import fetch_peer_copies
from citrondock_router.peer_inbox import PeerInbox
from citrondock_router.peer_network import PeerNetwork
from citrondock_router.peer_tls import client_context, server_context
from citrondock_router.periodic_task import PeriodicTask
from citrondock_router.router_operations import RouterOperations
from citrondock_router.settings import RouterSettings
from citrondock_router.stop_signal import StopSignal
from citrondock_router.target_watch import TargetWatch
from citrondock_wire.envelope import EnvelopeSigner, EnvelopeVerifier, Sender
from citrondock_wire.http_engine_control import HttpEngineControl
from citrondock_wire.http_object_store import HttpObjectStore
from citrondock_wire.http_vm_directory import HttpVmDirectory
from citrondock_wire.message_codec import MessageCodec
from citrondock_wire.peer_client import PeerAddress
from citrondock_wire.peer_server import PeerServer
from citrondock_wire.target_connections import TargetConnections

_FINAL_HEARTBEAT_WAIT_S = 0.3
_CLAIMS_CLOSE_TIMEOUT_S = 5.0
_RECONCILE_PERIOD_S = 1.0
_AUDIT_PERIOD_S = 2.0
_TARGET_POLL_PERIOD_S = 0.5
_MS_PER_S = 1000
_HEARTBEAT_CHECKS_PER_PERIOD = 6


class Router:
    """One router of the fleet: owns its components and connects them.

    Parameters
    ----------
    settings : RouterSettings
        All settings.
    stop_signal : StopSignal
        Set when an operator drains this router.
    """

    def __init__(self, settings: RouterSettings, *, stop_signal: StopSignal) -> None:
        self._settings = settings
        self._stop_signal = stop_signal
        self._targets: Mapping[str, Target] = {}
        self._target_kinds: Mapping[str, PoolKind] = {}
        self._members: dict[str, Member] = {}
        self._active_members: list[Member] = []
        self._listed_routers: Mapping[str, Vm] = {}
        self._rng = random.Random()
        self._metrics = RouterMetrics()
        self._codec = MessageCodec()
        self._member = Member(
            vm_name=settings.vm.name,
            availability_zone=settings.vm.availability_zone,
            incarnation=int(time.time() * _MS_PER_S),
        )
        self._build_platform()
        self._build_calls()
        self._build_peers()
        self._build_operators()
        self._build_periodic_tasks()

    # Construction

    def _build_platform(self) -> None:
        platform = self._settings.platform
        name = self._member.vm_name
        self._store = HttpObjectStore(platform.object_store_url, client=name)
        # While the store is unavailable, only the follower waits for it; all others
        # fail fast.
        self._circuit_breaker_store = CircuitBreakerStore(
            self._store, clock=time.monotonic
        )
        self._vm_directory = HttpVmDirectory(platform.vm_directory_url)
        self._follower = ConfigurationFollower(
            self._store,
            self._on_configuration,
            fetch_peer_copies=lambda after: fetch_peer_copies(
                self._network, after, rng=self._rng
            ),
            on_store_era=lambda era: self._claims.note_store_era(era),
            watch_wait_s=platform.watch_wait_s,
            call_timeout_s=platform.call_timeout_s,
            max_backoff_s=platform.max_backoff_s,
        )
        self._audit = AuditTrail(
            self._circuit_breaker_store, name, self._member.incarnation
        )
        self._engine_reconciler = EngineReconciler(
            self._circuit_breaker_store,
            HttpEngineControl(holder=name),
            name,
            self._member.incarnation,
            audit=self._audit.record,
        )

    def _build_calls(self) -> None:
        settings = self._settings
        self._table = CallTable()
        self._claims = CallClaims(
            ClaimManager(
                self._circuit_breaker_store,
                self._member.vm_name,
                _claim_options(settings),
                clock=boot_time_s,
                wall_clock=time.time,
            )
        )
        self._runner = CallRunner(
            table=self._table,
            connections=TargetConnections(),
            find_target=lambda name: self._targets.get(name),
            claims=self._claims,
            metrics=self._metrics,
            slow_reader_timeout_s=settings.limits.slow_reader_timeout_s,
        )
        dispatcher = Dispatcher(
            self._member,
            policy=policy_named(settings.dispatch.policy),
            options=_dispatch_options(settings),
        )
        self._dispatch = DispatchActor.start(
            dispatcher=dispatcher,
            on_start=self._runner.start,
            on_refuse=self._runner.refuse,
            on_send=self._on_send,
        )
        self._runner.attach(self._dispatch)
        self._target_watch = TargetWatch(
            on_load=self._on_load, on_available=self._on_available
        )
        self._admission = Admission(
            max_body_bytes=settings.callers.max_body_bytes,
            check_capacity=dispatcher.check_capacity,
        )
        self._frontend = CallerFrontend(
            settings=settings.callers,
            admission=self._admission,
            runner=self._runner,
            on_refused=self._on_refused,
        )

    def _build_peers(self) -> None:
        peers = self._settings.peers
        sender = Sender(
            vm_name=self._member.vm_name, incarnation=self._member.incarnation
        )
        self._network = PeerNetwork(
            signer=EnvelopeSigner(sender, shared_key=peers.key_bytes()),
            codec=self._codec,
            metrics=self._metrics,
            call_timeout_s=peers.call_timeout_s,
            tls=client_context(peers),
        )
        self._inbox = PeerInbox(
            codec=self._codec,
            dispatch=self._dispatch,
            follower=self._follower,
            find_member=lambda name: self._members.get(name),
            metrics=self._metrics,
        )
        self._peer_server = PeerServer(
            host=peers.host,
            port=peers.port,
            handler=self._inbox,
            verifier=EnvelopeVerifier(
                self._member.vm_name,
                shared_key=peers.key_bytes(),
                further_keys=peers.further_keys(),
            ),
            incarnation=self._member.incarnation,
            tls=server_context(peers),
        )
        self._peers_port = self._peer_server.bind()
        heartbeat = Heartbeat(
            **attrs.asdict(self._member), host=peers.host, port=self._peers_port
        )
        options = MembershipOptions(heartbeat_period_s=peers.heartbeat_period_s)
        self._membership = MembershipActor.start(
            view=MembershipView(heartbeat, options),
            on_members=self._on_members,
            on_heartbeat=self._network.send,
            on_event=self._on_member_event,
        )

    def _build_operators(self) -> None:
        operators = self._settings.operators
        operations = RouterOperations(
            member=self._member,
            table=self._table,
            follower=self._follower,
            network=self._network,
            store=self._store,
            target_watch=self._target_watch,
            audit=self._audit,
            metrics=self._metrics,
            dispatch=self._dispatch,
            membership=self._membership,
            stop_signal=self._stop_signal,
        )
        self._inbox.attach(self._membership, explain=operations.explain_locally)
        self._operators = OperatorsServer(
            host=operators.host,
            port=operators.port,
            handler=operations,
            worker_count=operators.worker_count,
        )

    def _build_periodic_tasks(self) -> None:
        settings = self._settings
        tasks = (
            ("dispatch-tick", self._tick, settings.dispatch.step_period_s),
            (
                "heartbeat",
                self._send_due_heartbeats,
                settings.peers.heartbeat_period_s / _HEARTBEAT_CHECKS_PER_PERIOD,
            ),
            ("vm-list", self._read_vms, settings.platform.vm_poll_period_s),
            ("target-poll", self._poll_targets, _TARGET_POLL_PERIOD_S),
            ("engine-orders", self._reconcile_engines, _RECONCILE_PERIOD_S),
            ("audit", self._write_audit, _AUDIT_PERIOD_S),
        )
        self._periodic_tasks = [
            PeriodicTask(name, function, period_s=period_s)
            for name, function, period_s in tasks
        ]

    # Start and stop

    def start(self) -> None:
        """Start all components and log the ports that this router listens on."""
        self._peer_server.start()
        self._runner.relay.start()
        self._follower.start()
        for task in self._periodic_tasks:
            task.start()
        callers_port = self._frontend.start()
        operators_port = self._operators.start()
        log_event(
            "listening",
            vm_name=self._member.vm_name,
            incarnation=self._member.incarnation,
            callers_port=callers_port,
            operators_port=operators_port,
            peers_port=self._peers_port,
        )

    def stop(self) -> None:
        """Stop gracefully: requests that end within the shutdown deadline complete."""
        shutdown = self._settings.shutdown
        log_event("leaving", live_calls=len(self._table))
        self._membership.tell(UpdateSelf(leaving=True))
        self._runner.stop_keep_alive()
        # The load balancer sends callers until it has seen the failing readiness check.
        time.sleep(shutdown.drain_grace_s)
        self._frontend.stop()
        is_drained = self._table.wait_until_empty(timeout_s=shutdown.deadline_s)
        log_event("drained", complete=is_drained, live_calls=len(self._table))
        for task in self._periodic_tasks:
            task.stop()
        self._leave_fleet()
        self._operators.stop()
        self._peer_server.stop()
        self._network.stop()
        self._dispatch.stop()
        self._membership.stop()
        self._target_watch.stop()
        self._runner.close()
        log_event("stopped")

    def _leave_fleet(self) -> None:
        self._engine_reconciler.release()
        self._claims.close(timeout_s=_CLAIMS_CLOSE_TIMEOUT_S)
        self._audit.write()
        self._membership.tell(SendFinalHeartbeats())
        time.sleep(_FINAL_HEARTBEAT_WAIT_S)
        self._follower.stop()

    # Periodic tasks

    def _tick(self) -> None:
        self._dispatch.tell(Tick())

    def _send_due_heartbeats(self) -> None:
        self._membership.tell(SendDueHeartbeats())

    def _read_vms(self) -> None:
        try:
            vms = self._vm_directory.list(
                timeout_s=self._settings.platform.call_timeout_s
            )
        except CitrondockError as error:
            log_event("vm_list_failed", level="DEBUG", detail=str(error))
            return
        routers = [vm for vm in vms if vm.name not in self._targets]
        self._listed_routers = {vm.name: vm for vm in routers}
        self._membership.tell(SetListed(routers))
        self._target_watch.set_listed([vm for vm in vms if vm.name in self._targets])

    def _poll_targets(self) -> None:
        # Not only its home router polls a target: routers that use slots lent by the
        # home router must learn the target's state too.
        watched_names = self._table.target_names() | self._target_watch.reasons().keys()
        polled = [
            target
            for target in self._targets.values()
            if target.name in watched_names or self._is_home_router_of(target)
        ]
        self._target_watch.poll(polled, self._target_kinds)

    def _is_home_router_of(self, target: Target) -> bool:
        home = home_router_of(
            target.name, target.availability_zone, self._active_members
        )
        return home == self._member.vm_name

    def _reconcile_engines(self) -> None:
        names = [member.vm_name for member in self._active_members]
        self._engine_reconciler.step(
            self._follower.configuration,
            is_candidate=lambda pool: choose(pool, names) == self._member.vm_name,
        )

    def _write_audit(self) -> None:
        self._audit.write()

    # Callbacks of the components

    def _on_configuration(self, configuration: Configuration) -> None:
        pools = configuration.pools.values()
        self._targets = {t.name: t for pool in pools for t in pool.targets}
        self._target_kinds = {t.name: pool.kind for pool in pools for t in pool.targets}
        self._codec.set_accounts(configuration.accounts)
        self._dispatch.tell(SetConfiguration(configuration))
        self._admission.set_configuration(configuration)
        self._membership.tell(UpdateSelf(configuration_revision=configuration.revision))

    def _on_members(
        self, members: Sequence[LiveMember], contacts: Sequence[Contact]
    ) -> None:
        contact_by_name = {contact.vm_name: contact for contact in contacts}
        addresses = {
            name: PeerAddress(vm_name=name, host=location.host, port=location.port)
            for name, location in contact_by_name.items()
        }
        for live in members:
            name = live.member.vm_name
            # The VM list gives a VM's address; heartbeats show whether it is alive.
            location = self._listed_routers.get(name, live)
            addresses[name] = PeerAddress(
                vm_name=name, host=location.host, port=location.port
            )
        addresses.pop(self._member.vm_name, None)
        self._network.set_addresses(list(addresses.values()))
        self._members = {live.member.vm_name: live.member for live in members}
        leaving = frozenset(live.member.vm_name for live in members if live.leaving)
        self._active_members = [
            m for m in self._members.values() if m.vm_name not in leaving
        ]
        self._dispatch.tell(SetMembers(list(self._members.values()), leaving))

    def _on_member_event(self, event: MemberEvent) -> None:
        what = f"router {event.vm_name} {event.kind.value}"
        log_event(
            "member",
            kind=event.kind.value,
            vm_name=event.vm_name,
            availability_zone=event.availability_zone,
            incarnation=event.incarnation,
            reason=event.reason,
        )
        self._audit.record(
            AuditRecord(
                at_unix_s=time.time(),
                kind=AuditKind.MEMBERSHIP,
                who=self._member.vm_name,
                what=what,
                why=event.reason,
                subject=event.vm_name,
            )
        )

    def _on_send(self, action: Send) -> None:
        self._network.send(action.vm_name, action.message)

    def _on_load(self, target: str, report: LoadReport) -> None:
        self._dispatch.tell(ReportLoad(target, report))

    def _on_available(self, target: str, available: bool) -> None:
        self._dispatch.tell(SetTargetAvailable(target, available))

    def _on_refused(self, cause: RefusalReason) -> None:
        self._metrics.count_refusal(cause.value, "no")


def _claim_options(settings: RouterSettings) -> ClaimOptions:
    claims = settings.claims
    return ClaimOptions(
        shard_count=claims.shard_count,
        window_s=claims.window_s,
        send_within_s=claims.lease_s,
        send_margin_s=claims.margin_s,
    )


def _dispatch_options(settings: RouterSettings) -> DispatchOptions:
    dispatch = settings.dispatch
    return DispatchOptions(
        band_tokens=dispatch.band_tokens,
        exchange_period_s=dispatch.exchange_period_s,
        grant_ttl_s=dispatch.grant_ttl_s,
        prompt_token_weight=dispatch.prompt_token_weight,
        slot_second_tokens=dispatch.slot_second_tokens,
        max_waiting_requests=settings.limits.max_waiting_requests,
        max_waiting_bytes=settings.limits.max_waiting_bytes,
    )

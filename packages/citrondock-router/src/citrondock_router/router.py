"""The router process: puts its parts together, starts and stops them."""

import random
import time
from collections.abc import Mapping, Sequence
from typing import Any, cast

import attrs

from citrondock_core.actions import Send
from citrondock_core.configuration import Configuration, Target
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.dispatch_policy import policy_named
from citrondock_core.dispatch_statistics import DispatchStatistics
from citrondock_core.dispatcher import Dispatcher
from citrondock_core.errors import CitrondockError
from citrondock_core.heartbeat import Heartbeat
from citrondock_core.member_event import MemberEvent
from citrondock_core.membership import Contact, LiveMember, MembershipView
from citrondock_core.messages import Member
from citrondock_core.request import RefusalReason
from citrondock_core.vm_directory import Vm
from citrondock_router.admission import Admission
from citrondock_router.call_runner import CallRunner
from citrondock_router.call_table import CallTable
from citrondock_router.caller_front import CallerFront
from citrondock_router.configuration_follower import (
    ConfigurationFollower,
    PeerConfiguration,
)
from citrondock_router.dispatch_actor import (
    DispatchActor,
    Explain,
    ReadStatistics,
    SetConfiguration,
    SetMembers,
    Tick,
)
from citrondock_router.log import log_event
from citrondock_router.membership_actor import (
    Beat,
    Listed,
    MembershipActor,
    ReadMembers,
    SayFarewell,
    UpdateSelf,
)
from citrondock_router.metrics import RouterMetrics
from citrondock_router.operators_server import OperatorHandler, OperatorsServer
from citrondock_router.peer_inbox import PeerInbox
from citrondock_router.peer_network import PeerNetwork
from citrondock_router.periodic import Periodic
from citrondock_router.settings import RouterSettings
from citrondock_router.stop_signal import StopSignal
from citrondock_wire.envelope import EnvelopeOpener, EnvelopeSealer, Sender
from citrondock_wire.http_object_store import HttpObjectStore
from citrondock_wire.http_vm_directory import HttpVmDirectory
from citrondock_wire.message_codec import MessageCodec
from citrondock_wire.peer_client import PeerAddress
from citrondock_wire.peer_server import PeerServer
from citrondock_wire.target_connections import TargetConnections

_ASK_TIMEOUT_S = 2.0
_MAX_ASKED_PEERS = 8
_FAREWELL_S = 0.3
_MS_PER_S = 1000


class Router(OperatorHandler):
    """One router of the fleet.

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
        self._leaving = False
        self._targets: Mapping[str, Target] = {}
        self._members: dict[str, Member] = {}
        self._listed: Mapping[str, Vm] = {}
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
        self._build_periodics()

    # Building

    def _build_platform(self) -> None:
        platform = self._settings.platform
        self._store = HttpObjectStore(
            platform.object_store_url, client=self._member.vm_name
        )
        self._vm_directory = HttpVmDirectory(platform.vm_directory_url)
        self._follower = ConfigurationFollower(
            self._store,
            self._on_configuration,
            peer_copies=self._peer_copies,
            watch_wait_s=platform.watch_wait_s,
            call_timeout_s=platform.call_timeout_s,
            max_backoff_s=platform.max_backoff_s,
        )

    def _build_calls(self) -> None:
        settings = self._settings
        self._table = CallTable()
        self._runner = CallRunner(
            table=self._table,
            connections=TargetConnections(),
            find_target=lambda name: self._targets.get(name),
            metrics=self._metrics,
            slow_reader_timeout_s=settings.limits.slow_reader_timeout_s,
        )
        self._dispatch = DispatchActor.start(
            dispatcher=Dispatcher(
                self._member,
                policy=policy_named(settings.dispatch.policy),
                options=_dispatch_options(settings),
            ),
            on_start=self._runner.start,
            on_refuse=self._runner.refuse,
            on_send=self._on_send,
        )
        self._runner.attach(self._dispatch)
        self._admission = Admission(max_body_bytes=settings.callers.max_body_bytes)
        self._front = CallerFront(
            settings=settings.callers,
            admission=self._admission,
            runner=self._runner,
            on_refused=self._on_refused,
        )
        self._operators = OperatorsServer(
            host=settings.operators.host,
            port=settings.operators.port,
            handler=self,
            worker_count=settings.operators.worker_count,
        )

    def _build_peers(self) -> None:
        peers = self._settings.peers
        sender = Sender(
            vm_name=self._member.vm_name, incarnation=self._member.incarnation
        )
        self._network = PeerNetwork(
            sealer=EnvelopeSealer(sender, shared_key=peers.key_bytes()),
            codec=self._codec,
            metrics=self._metrics,
            call_timeout_s=peers.call_timeout_s,
        )
        heartbeat = Heartbeat(
            vm_name=self._member.vm_name,
            availability_zone=self._member.availability_zone,
            incarnation=self._member.incarnation,
            host=peers.host,
            port=peers.port,
        )
        self._peer_server, self._peers_port = self._bind_peers(heartbeat)

    def _bind_peers(self, heartbeat: Heartbeat) -> tuple[PeerServer, int]:
        peers = self._settings.peers
        inbox = PeerInbox(
            codec=self._codec,
            dispatch=self._dispatch,
            follower=self._follower,
            find_member=lambda name: self._members.get(name),
            explain=self._explain_here,
            metrics=self._metrics,
        )
        server = PeerServer(
            host=peers.host,
            port=peers.port,
            handler=inbox,
            opener=EnvelopeOpener(self._member.vm_name, shared_key=peers.key_bytes()),
            incarnation=self._member.incarnation,
        )
        port = server.bind()
        view = MembershipView(attrs.evolve(heartbeat, port=port))
        self._membership = MembershipActor.start(
            view=view,
            on_members=self._on_members,
            on_heartbeat=self._network.send,
            on_event=self._on_member_event,
        )
        inbox.attach(self._membership)
        return server, port

    def _build_periodics(self) -> None:
        settings = self._settings
        self._periodics = [
            Periodic(
                "dispatch-tick",
                lambda: self._dispatch.tell(Tick()),
                period_s=settings.dispatch.step_period_s,
            ),
            Periodic(
                "heartbeat",
                lambda: self._membership.tell(Beat()),
                period_s=settings.peers.heartbeat_period_s,
            ),
            Periodic(
                "vm-list", self._read_vms, period_s=settings.platform.vm_poll_period_s
            ),
        ]

    # Life

    def start(self) -> None:
        """Start everything and log where this router listens."""
        self._peer_server.start()
        self._runner.relay.start()
        self._follower.start()
        for periodic in self._periodics:
            periodic.start()
        callers_port = self._front.start()
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
        """Leave without cutting off any request that ends in time."""
        shutdown = self._settings.shutdown
        log_event("leaving", live_calls=len(self._table))
        self._leaving = True
        self._membership.tell(UpdateSelf(leaving=True))
        # The balancer learns from the readiness page; until then callers still come.
        time.sleep(shutdown.drain_grace_s)
        self._front.stop()
        empty = self._table.wait_until_empty(timeout_s=shutdown.deadline_s)
        log_event("drained", complete=empty, live_calls=len(self._table))
        self._membership.tell(SayFarewell())
        time.sleep(_FAREWELL_S)
        self._follower.stop()
        for periodic in self._periodics:
            periodic.stop()
        self._operators.stop()
        self._peer_server.stop()
        self._network.stop()
        self._dispatch.stop()
        self._membership.stop()
        self._runner.close()
        log_event("stopped")

    # What the parts tell

    def _on_configuration(self, configuration: Configuration) -> None:
        self._targets = {
            target.name: target
            for pool in configuration.pools.values()
            for target in pool.targets
        }
        self._codec.set_accounts(configuration.accounts)
        self._dispatch.tell(SetConfiguration(configuration))
        self._admission.set_configuration(configuration)
        self._membership.tell(UpdateSelf(configuration_revision=configuration.revision))

    def _on_members(
        self, members: Sequence[LiveMember], contacts: Sequence[Contact]
    ) -> None:
        addresses = {
            contact.vm_name: PeerAddress(
                vm_name=contact.vm_name, host=contact.host, port=contact.port
            )
            for contact in contacts
        }
        for live in members:
            name = live.member.vm_name
            # The platform says where a VM is reached, heartbeats whether it lives.
            place = self._listed.get(name, live)
            addresses[name] = PeerAddress(
                vm_name=name, host=place.host, port=place.port
            )
        addresses.pop(self._member.vm_name, None)
        self._network.set_addresses(list(addresses.values()))
        self._members = {live.member.vm_name: live.member for live in members}
        staying = [live.member for live in members if not live.leaving]
        self._dispatch.tell(SetMembers(staying))

    def _on_member_event(self, event: MemberEvent) -> None:
        log_event(
            "member",
            kind=event.kind.value,
            vm_name=event.vm_name,
            availability_zone=event.availability_zone,
            incarnation=event.incarnation,
            reason=event.reason,
        )

    def _on_send(self, action: Send) -> None:
        self._network.send(action.vm_name, action.message)

    def _on_refused(self, cause: RefusalReason) -> None:
        self._metrics.count_refusal(cause.value, "no")

    def _read_vms(self) -> None:
        try:
            vms = self._vm_directory.list(
                timeout_s=self._settings.platform.call_timeout_s
            )
        except CitrondockError as error:
            log_event("vm_list_failed", level="DEBUG", detail=str(error))
            return
        routers = [vm for vm in vms if vm.name not in self._targets]
        self._listed = {vm.name: vm for vm in routers}
        self._membership.tell(Listed(routers))

    def _peer_copies(self, after_revision: int) -> Sequence[PeerConfiguration]:
        addresses = self._network.addresses()
        self._rng.shuffle(addresses)
        copies = []
        for address in addresses[:_MAX_ASKED_PEERS]:
            client = self._network.open_client(address)
            try:
                copy = client.fetch_configuration(after_revision)
            except CitrondockError:
                continue
            finally:
                client.close()
            copies.append(
                PeerConfiguration(
                    vm_name=address.vm_name,
                    revision=copy.revision,
                    document=copy.document,
                )
            )
        return copies

    # What operators ask

    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return self._follower.is_ready and not self._leaving

    def metrics(self) -> bytes:
        """Return all metrics as text."""
        self._metrics.set_statistics(self._statistics())
        self._metrics.set_store_calls(self._store.calls.snapshot())
        self._metrics.set_router(
            live_call_count=len(self._table),
            configuration_revision=self._follower.configuration.revision,
        )
        return self._metrics.render()

    def status(self) -> Mapping[str, Any]:
        """Return the router's state as a JSON document."""
        configuration = self._follower.status()
        statistics = self._statistics()
        return {
            "vm_name": self._member.vm_name,
            "availability_zone": self._member.availability_zone,
            "incarnation": self._member.incarnation,
            "ready": self.is_ready(),
            "leaving": self._leaving,
            "configuration_revision": configuration.revision,
            "configuration": {
                "edit_id": configuration.edit_id,
                "source": configuration.source.value,
                "possibly_stale": configuration.possibly_stale,
                "store_error": configuration.store_error,
            },
            "members": [self._member_document(live) for live in self._live_members()],
            "live_call_count": len(self._table),
            "slot_count": statistics.slot_count,
            "busy_slot_count": statistics.busy_slot_count,
            "idle_slot_s": statistics.idle_slot_s,
            "waiting_count_by_account": dict(statistics.waiting_count_by_account),
            "limit_by_target": dict(statistics.limit_by_target),
        }

    def explain(self, subject: str) -> list[str]:
        """Return what this router and its peers know of a request or account."""
        lines = [
            f"{self._member.vm_name}: {line}" for line in self._explain_here(subject)
        ]
        for address in self._network.addresses():
            client = self._network.open_client(address)
            try:
                answer = client.explain(subject)
                lines += [f"{address.vm_name}: {line}" for line in answer]
            except CitrondockError as error:
                lines.append(f"{address.vm_name}: not reached ({error})")
            finally:
                client.close()
        return lines

    def drain(self) -> None:
        """Begin a graceful stop."""
        self._stop_signal.set()

    def _explain_here(self, subject: str) -> list[str]:
        lines = self._dispatch.ask(Explain(subject), timeout=_ASK_TIMEOUT_S)
        return cast(list[str], lines)

    def _statistics(self) -> DispatchStatistics:
        statistics = self._dispatch.ask(ReadStatistics(), timeout=_ASK_TIMEOUT_S)
        return cast(DispatchStatistics, statistics)

    def _live_members(self) -> list[LiveMember]:
        members = self._membership.ask(ReadMembers(), timeout=_ASK_TIMEOUT_S)
        return cast(list[LiveMember], members)

    def _member_document(self, live: LiveMember) -> Mapping[str, Any]:
        own = live.member.vm_name == self._member.vm_name
        revision = live.configuration_revision
        return {
            "vm_name": live.member.vm_name,
            "availability_zone": live.member.availability_zone,
            "incarnation": live.member.incarnation,
            "host": live.host,
            "port": live.port,
            "leaving": live.leaving,
            "reachable": live.reachable,
            "configuration_revision": (
                self._follower.configuration.revision if own else revision
            ),
        }


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

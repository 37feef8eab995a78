"""Implements the operators' requests on the components of a router."""

import time
from collections.abc import Mapping
from typing import Any, cast

import pykka

from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.audit_trail import AuditTrail
from citrondock_core.dispatch_statistics import DispatchStatistics
from citrondock_core.errors import CitrondockError
from citrondock_core.live_member import LiveMember
from citrondock_core.messages import Member
from citrondock_router.call_table import CallTable
from citrondock_router.configuration_follower import ConfigurationFollower
from citrondock_router.dispatch_actor import Explain, ReadStatistics
from citrondock_router.membership_actor import ReadMembers
from citrondock_router.metrics import RouterMetrics
from citrondock_router.operators_server import DrainRequest, OperatorHandler
from citrondock_router.peer_network import PeerNetwork
from citrondock_router.stop_signal import StopSignal
from citrondock_router.target_watch import TargetWatch
from citrondock_wire.http_object_store import HttpObjectStore
from citrondock_wire.peer_client import PeerAddress

_ASK_TIMEOUT_S = 2.0


class RouterOperations(OperatorHandler):
    """Serves operators' requests from the state of the router's components.

    Parameters
    ----------
    member : Member
        This router.
    table, follower, network, store, target_watch, audit, metrics
        Components of this router.
    dispatch, membership : pykka.ActorRef
        Actors of this router.
    stop_signal : StopSignal
        Set by a drain; the router is not ready after that.
    """

    def __init__(
        self,
        *,
        member: Member,
        table: CallTable,
        follower: ConfigurationFollower,
        network: PeerNetwork,
        store: HttpObjectStore,
        target_watch: TargetWatch,
        audit: AuditTrail,
        metrics: RouterMetrics,
        dispatch: pykka.ActorRef,
        membership: pykka.ActorRef,
        stop_signal: StopSignal,
    ) -> None:
        self._member = member
        self._table = table
        self._follower = follower
        self._network = network
        self._store = store
        self._target_watch = target_watch
        self._audit = audit
        self._metrics = metrics
        self._dispatch = dispatch
        self._membership = membership
        self._stop_signal = stop_signal

    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this router."""
        return self._follower.is_ready and not self._stop_signal.is_set()

    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
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
            "leaving": self._stop_signal.is_set(),
            "configuration_revision": configuration.revision,
            "configuration": {
                "edit_id": configuration.edit_id,
                "source": configuration.source.value,
                "possibly_stale": configuration.possibly_stale,
                "store_error": configuration.store_error,
            },
            "members": [self._member_document(live) for live in self._members()],
            "live_call_count": len(self._table),
            "slot_count": statistics.slot_count,
            "busy_slot_count": statistics.busy_slot_count,
            "idle_slot_s": statistics.idle_slot_s,
            "waiting_count_by_account": dict(statistics.waiting_count_by_account),
            "limit_by_target": dict(statistics.limit_by_target),
            "unavailable_targets": dict(self._target_watch.reasons()),
        }

    def explain(self, subject: str) -> list[str]:
        """Return what this router and its peers know of a request."""
        own_name = self._member.vm_name
        lines = [f"{own_name}: {line}" for line in self.explain_locally(subject)]
        for address in self._network.addresses():
            lines += self._explain_at_peer(address, subject)
        return lines

    def explain_locally(self, subject: str) -> list[str]:
        """Return what this router knows of a request."""
        lines = self._dispatch.ask(Explain(subject), timeout=_ASK_TIMEOUT_S)
        return cast(list[str], lines)

    def drain(self, request: DrainRequest) -> bool:
        """Start a graceful stop; return False if the request names another router."""
        if request.vm_name not in ("", self._member.vm_name):
            return False
        record = AuditRecord(
            at_unix_s=time.time(),
            kind=AuditKind.DRAIN,
            who=request.author or "operator",
            what=f"router {self._member.vm_name} drains",
            why=request.reason,
            subject=self._member.vm_name,
        )
        self._audit.record(record)
        self._stop_signal.set()
        return True

    def _explain_at_peer(self, address: PeerAddress, subject: str) -> list[str]:
        client = self._network.open_client(address)
        try:
            answer = client.explain(subject)
        except CitrondockError as error:
            return [f"{address.vm_name}: not reached ({error})"]
        finally:
            client.close()
        return [f"{address.vm_name}: {line}" for line in answer]

    def _statistics(self) -> DispatchStatistics:
        statistics = self._dispatch.ask(ReadStatistics(), timeout=_ASK_TIMEOUT_S)
        return cast(DispatchStatistics, statistics)

    def _members(self) -> list[LiveMember]:
        members = self._membership.ask(ReadMembers(), timeout=_ASK_TIMEOUT_S)
        return cast(list[LiveMember], members)

    def _member_document(self, live: LiveMember) -> Mapping[str, Any]:
        is_own = live.member.vm_name == self._member.vm_name
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
                self._follower.configuration.revision if is_own else revision
            ),
        }

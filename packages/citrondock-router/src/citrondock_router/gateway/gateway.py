"""Accepts client requests, checks them and passes them on to the scheduler."""

import asyncio
import heapq
import math
from collections.abc import Sequence
from http import HTTPStatus

from typing_extensions import override

from citrondock_core.routing.memory_budget import MemoryBudget
from citrondock_core.routing.route import (
    ClientLimits,
    RouteKind,
    RoutingConfiguration,
)
from citrondock_core.routing.route_table import ConfigurationHolder
from citrondock_core.routing.shutdown_admission import ShutdownAdmission
from citrondock_core.routing.target_directory import DirectoryChange, TargetDirectory
from citrondock_router.gateway.client_connection import (
    RETRY_WITHOUT_MEMORY_S,
    ClientConnection,
)
from citrondock_router.gateway.exchange import Exchange, ExchangeState
from citrondock_router.gateway.gateway_metrics import GatewayMetrics
from citrondock_router.gateway.header_codec import (
    Header,
    HeaderCodec,
    MalformedRequestError,
    RequestHead,
)
from citrondock_router.gateway.overload_guard import OverloadGuard
from citrondock_router.gateway.paced_input import TurnQueue
from citrondock_router.gateway.peer_watch import PeerWatch
from citrondock_router.gateway.request_handler import (
    ClientRequest,
    RequestHandler,
    RequestInProgress,
)
from citrondock_router.gateway.scheduler import RequestScheduler
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool
from citrondock_router.log import log_event, raised_at

LIMITS_BEFORE_CONFIGURATION = ClientLimits(
    max_header_bytes=16_384,
    max_body_bytes=1_048_576,
    header_timeout_s=3.0,
    idle_timeout_s=15.0,
)
"""Limits that apply until the first configuration is known; requests are refused until
then."""

RETRY_WITHOUT_CONFIGURATION_S = 0.3
"""Retry-After while no configuration is known; a starting router has it within about
this time."""

RETRY_ELSEWHERE_S = 0.02
"""Retry-After of an overloaded or stopping router; another router can take the request
at once."""

IDLE_GRACE_S = 1.0
"""How much longer than the configured idle timeout idle connections are kept, so that
clients stop using them before the gateway closes them."""

RELEASED_CLIENTS = 64
"""Idle connections closed at once when no file descriptor is free; some for new clients
and some for connections to targets."""


RELEASED_RATIO = 1 / 16
"""Share of the connections that is closed at once when descriptors run short."""

RESERVED_SOCKETS = 16
"""Sockets beside those of clients and targets: listeners, peers and the store."""

MIN_BODY_STALL_S = 30.0
IDLE_TIMEOUTS_TO_STALL = 2
"""An unfinished body is refused if no byte of it has arrived for this time, or for so
many idle timeouts if they are longer. Sound clients have given up long before."""


class Gateway(RequestHandler):
    """Routes each request by the configuration that is active at its arrival.

    Parameters
    ----------
    header_codec : HeaderCodec
        Reads and writes headers.
    directory : TargetDirectory
        Known targets.
    scheduler : RequestScheduler
        Chooses a target for each request.
    connections : TargetConnectionPool
        Provides connections to targets.
    metrics : GatewayMetrics
        Counts rejected requests.
    overload : OverloadGuard
        Decides whether to refuse requests for lack of processor time.
    memory : MemoryBudget
        Decides which requests there is memory for.
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.
    socket_limit : int or None
        Sockets that the process may have; None if that is not known.
    """

    def __init__(
        self,
        *,
        header_codec: HeaderCodec,
        directory: TargetDirectory,
        scheduler: RequestScheduler,
        connections: TargetConnectionPool,
        metrics: GatewayMetrics,
        overload: OverloadGuard,
        memory: MemoryBudget,
        loop: asyncio.AbstractEventLoop,
        socket_limit: int | None = None,
    ) -> None:
        self.configuration = ConfigurationHolder()
        self.directory = directory
        self.scheduler = scheduler
        self.overload = overload
        self.is_refusing = False
        self.read_count = self.shed_count = 0
        self._header_codec = header_codec
        self._connections = connections
        self._metrics = metrics
        self._memory = memory
        self._loop = loop
        self._socket_limit = math.inf if socket_limit is None else socket_limit
        self._turns = TurnQueue(loop)
        self._watch = PeerWatch(loop)
        self._clients: set[ClientConnection] = set()
        self._has_targets = False
        self._shutdown = ShutdownAdmission()

    @override
    @property
    def limits(self) -> ClientLimits:
        active = self.configuration.active
        if active is None:
            return LIMITS_BEFORE_CONFIGURATION
        return active.configuration.limits

    @override
    @property
    def is_draining(self) -> bool:
        return self._shutdown.stops_at_s is not None

    @property
    def is_ready(self) -> bool:
        """Whether the gateway can serve requests and new clients should come."""
        has_configuration = self.configuration.active is not None
        is_serving = has_configuration and self._has_targets and not self.is_draining
        return is_serving and not self.overload.is_sustained

    @property
    def live_count(self) -> int:
        """Number of requests that have not ended."""
        return self.scheduler.live_count

    @property
    def client_count(self) -> int:
        """Number of client connections."""
        return len(self._clients)

    def start_draining(self, *, stops_at_s: float = math.inf) -> None:
        """Close client connections after their responses, but still serve requests.

        Parameters
        ----------
        stops_at_s : float
            Loop time at which the last requests are given up.
        """
        self._shutdown.stops_at_s = stops_at_s

    def create_client_connection(self) -> ClientConnection:
        """Return the protocol of a new client connection."""
        return ClientConnection(
            self, self._loop, self._memory, self._turns, self._watch
        )

    def configure(self, configuration: RoutingConfiguration) -> None:
        """Apply a configuration if it is newer than the active one."""
        before = self.configuration.version
        if not self.configuration.activate_if_newer(configuration):
            return
        limits = configuration.limits
        self._memory.allow_requests_of(limits.max_header_bytes + limits.max_body_bytes)
        resumable_services = {
            share.service
            for route in configuration.routes
            if route.kind is RouteKind.RESUMABLE_STREAM
            for share in route.shares
        }
        self.scheduler.configure(
            dict(configuration.services), resumable_services=resumable_services
        )
        for client in self._clients:
            client.extend_idle(limits.idle_timeout_s)
        self._shutdown.keep_only({route.name for route in configuration.routes})
        log_event(
            "configuration_in_force",
            version=configuration.version,
            before=before,
            routes=len(configuration.routes),
        )

    def targets_changed(self, change: DirectoryChange) -> None:
        """Apply and log a change of the target directory."""
        self._has_targets = True
        for event, entries in (
            ("target_added", change.added),
            ("target_changed", change.changed),
            ("target_removed", change.removed),
        ):
            for entry in entries:
                log_event(
                    event,
                    target=entry.target_id,
                    service=entry.service,
                    address=f"{entry.host}:{entry.port}",
                    leaving=entry.is_leaving,
                    era=self.directory.position.era,
                    revision=self.directory.revision,
                )
        self.scheduler.directory_changed(change)
        self.scheduler.departures.registry_changed(change)

    @override
    def handle(
        self, request: ClientRequest, client: ClientConnection
    ) -> RequestInProgress | None:
        self.read_count += 1
        self.scheduler.read_peers()
        try:
            exchange = self._begin_exchange(request, client)
        except Exception as error:
            # Nothing of the request was passed on yet.
            request_id = self._request_id(request)
            log_event(
                "request_error",
                level="ERROR",
                request_id=request_id,
                error=repr(error),
                place=raised_at(error.__traceback__),
            )
            self._refuse_unavailable(
                client, request_id, "router_error", RETRY_ELSEWHERE_S
            )
            return None
        if exchange is None:
            return None
        try:
            self.scheduler.admit(exchange)
        except Exception as error:
            exchange.end_after_error(error)
        return None if exchange.state is ExchangeState.DONE else exchange

    def _begin_exchange(
        self, request: ClientRequest, client: ClientConnection
    ) -> Exchange | None:
        """Return the exchange of a request; None if it is refused or dropped."""
        active = self.configuration.active
        try:
            facts = self._header_codec.request_facts(request.head)
        except MalformedRequestError as error:
            self._send_refusal(client, HTTPStatus.BAD_REQUEST, "", error.reason)
            return None
        request_id = facts.request_id
        if active is None:
            retry_after_s = RETRY_WITHOUT_CONFIGURATION_S
            self._refuse_unavailable(
                client, request_id, "no_configuration", retry_after_s
            )
            return None
        accounts = active.configuration.account_by_key
        account = None
        if accounts is not None and facts.key is not None:
            account = accounts.get(facts.key)
        if not self.overload.may_admit(account or ""):
            self.shed_count += 1
            if self.overload.is_sustained:
                client.close_after_response()
            self._refuse_unavailable(
                client, request_id, "overloaded", RETRY_ELSEWHERE_S
            )
            return None
        if not self._memory.may_keep(len(request.body)):
            self._refuse_unavailable(
                client, request_id, "memory_short", RETRY_WITHOUT_MEMORY_S
            )
            return None
        route = active.table.match(facts.host, facts.path)
        if route is None:
            self._send_refusal(client, HTTPStatus.NOT_FOUND, request_id, "no_route")
            return None
        if accounts is not None and account is None and not route.is_public:
            self._send_refusal(
                client, HTTPStatus.UNAUTHORIZED, request_id, "unknown_key"
            )
            return None
        may_accept = self._shutdown.may_accept(route, now_s=self._loop.time())
        if self.is_refusing or not may_accept:
            self._refuse_unavailable(client, request_id, "leaving", RETRY_ELSEWHERE_S)
            return None
        if client.has_left:
            log_event("request_dropped", request_id=request_id, reason="client_left")
            client.close_at_once("client_left")
            return None
        return Exchange(
            request,
            facts,
            route,
            account,
            configuration_version=active.configuration.version,
            client=client,
            header_codec=self._header_codec,
            connections=self._connections,
            scheduler=self.scheduler,
            shutdown=self._shutdown,
            loop=self._loop,
        )

    @override
    def connected(self, client: ClientConnection) -> None:
        self._clients.add(client)
        open_count = len(self._clients) + self._connections.open_count
        if open_count + RESERVED_SOCKETS > self._socket_limit:
            self.close_least_active()

    @override
    def disconnected(self, client: ClientConnection) -> None:
        self._clients.discard(client)

    @override
    def rejected(self, status: int, reason: str) -> None:
        self._metrics.count_rejected(reason)
        log_event("request_rejected", status=status, reason=reason)

    @override
    def account_of(self, headers: Sequence[Header]) -> str:
        active = self.configuration.active
        accounts = active.configuration.account_by_key if active else None
        if accounts is None:
            return ""
        head = RequestHead(method=b"", target=b"/", headers=headers)
        try:
            key = self._header_codec.request_facts(head).key
        except MalformedRequestError:
            return ""
        return accounts.get(key, "") if key is not None else ""

    @override
    def unanswered(self, request: ClientRequest, reason: str, *, stage: str) -> None:
        self._metrics.count_unanswered(reason, stage)
        log_event(
            "request_unanswered",
            level="WARNING",
            request_id=self._request_id(request),
            reason=reason,
            stage=stage,
            draining=self.is_draining,
            configuration=self.configuration.version,
        )

    def close_idle_clients(self) -> None:
        """Close connections that are idle or wait too long for a head or body."""
        now_s = self._loop.time()
        limits = self.limits
        stalled_since_s = now_s - max(
            MIN_BODY_STALL_S, IDLE_TIMEOUTS_TO_STALL * limits.idle_timeout_s
        )
        closed_idle_s = []
        for client in list(self._clients):
            if client.is_reading_head:
                if now_s > client.head_began_at_s + limits.header_timeout_s:
                    client.reject_slow_head()
            elif client.is_reading_body:
                if client.progressed_at_s < stalled_since_s:
                    client.reject_stalled_body()
            elif client.may_close and now_s > client.kept_until_s + IDLE_GRACE_S:
                if client.close_if_idle():
                    closed_idle_s.append(now_s - client.idle_since_s)
        if closed_idle_s:
            log_event(
                "idle_clients_closed",
                count=len(closed_idle_s),
                min_idle_s=min(closed_idle_s),
                max_idle_s=max(closed_idle_s),
                limit_s=limits.idle_timeout_s,
                configuration=self.configuration.version,
            )

    def close_longest_idle(self) -> int:
        """Close the connections that were idle longest, to free their descriptors.

        Returns
        -------
        int
            Number of connections closed.
        """
        idle = [client for client in self._clients if client.may_close]
        chosen = heapq.nsmallest(
            RELEASED_CLIENTS, idle, key=lambda client: client.idle_since_s
        )
        return sum(client.close_if_idle() for client in chosen)

    def close_least_active(self) -> int:
        """Close the connections without progress for longest that may be closed.

        Idle ones may, and those with nothing but an unfinished request.

        Returns
        -------
        int
            Number of connections closed.
        """
        inactive = [
            client
            for client in self._clients
            if client.may_close or client.is_unfinished
        ]
        chosen = heapq.nsmallest(
            max(1, int(len(self._clients) * RELEASED_RATIO)),
            inactive,
            key=lambda client: client.inactive_since_s,
        )
        closed_count = sum(client.close_inactive() for client in chosen)
        log_event(
            "descriptors_short",
            level="WARNING",
            clients=len(self._clients),
            targets=self._connections.open_count,
            closed=closed_count,
        )
        return closed_count

    def release_descriptors(self) -> int:
        """Close connections, as no file descriptor is free; return how many."""
        return self.close_longest_idle() or self.close_least_active()

    def end_requests(self) -> None:
        """End all requests that are not answered yet, as the process is about to end.

        Each gets a response that says whether it may have run.
        """
        for client in list(self._clients):
            client.end_request("router_stopped")

    def close_clients(self) -> int:
        """Close the client connections on which nothing is on its way.

        Returns
        -------
        int
            Number of connections that are still open.
        """
        return sum(not client.close_if_idle() for client in list(self._clients))

    def undelivered_clients(self) -> list[ClientConnection]:
        """Return the connections whose clients have not got all that was written."""
        return [client for client in self._clients if not client.is_delivered]

    def _request_id(self, request: ClientRequest) -> str:
        try:
            return self._header_codec.request_facts(request.head).request_id
        except Exception:
            # The id is for the log; the request may be what the gateway failed on.
            return ""

    def _refuse_unavailable(
        self,
        client: ClientConnection,
        request_id: str,
        reason: str,
        retry_after_s: float,
    ) -> None:
        status = HTTPStatus.SERVICE_UNAVAILABLE
        self._send_refusal(client, status, request_id, reason, retry_after_s)

    def _send_refusal(
        self,
        client: ClientConnection,
        status: HTTPStatus,
        request_id: str,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        log_event(
            "request_refused",
            request_id=request_id,
            status=status.value,
            reason=reason,
            configuration=self.configuration.version,
        )
        headers = self._header_codec.refusal_headers(request_id, retry_after_s)
        client.send_response(status, status.phrase.encode(), headers, b"")

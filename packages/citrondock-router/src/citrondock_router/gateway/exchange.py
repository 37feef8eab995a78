"""Carries one client request to a target and the response back to the client."""

import asyncio
import enum
import functools
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Concatenate, ParamSpec

from typing_extensions import override

from citrondock_core.routing.attempt_rules import AttemptHistory, ExecutionStatus
from citrondock_core.routing.placement import PlacementChoice
from citrondock_core.routing.request_facts import RequestFacts
from citrondock_core.routing.route import Route, RouteKind
from citrondock_core.routing.shutdown_admission import ShutdownAdmission
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.client_connection import ClientConnection
from citrondock_router.gateway.client_response import ClientResponse
from citrondock_router.gateway.event_stream_filter import (
    EventBoundary,
    EventStreamFilter,
)
from citrondock_router.gateway.header_codec import (
    Header,
    HeaderCodec,
    ResponseFacts,
    ResponseHead,
)
from citrondock_router.gateway.outcome import Outcome
from citrondock_router.gateway.request_handler import ClientRequest, RequestInProgress
from citrondock_router.gateway.takeover import Takeover, TakeoverHandler
from citrondock_router.gateway.target_connection import (
    MAX_REFUSAL_BYTES,
    ResponseFailure,
    ResponseListener,
    TargetConnection,
)
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool
from citrondock_router.gateway.version_record import VersionRecord
from citrondock_router.log import LogValue, log_event, raised_at

SEARCH_PAUSE_S = 0.5
"""Pause after which another target is looked for again while a target is silent."""

LEFT_CHECK_S = 0.2
"""Wait after which it is checked whether the client has left before a request is sent:
an event loop that is late reads the end of a connection after the grant of its request.
Requests must not reach targets half a second after their clients have left."""

MAX_RESUMPTION_S = 1.5
"""Longest wait for a target that goes on with a stream; clients abandon one that pauses
for two seconds."""

MAX_CONNECT_ATTEMPTS = 4
"""Most targets to which a connection is tried before the request is refused."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which a client concludes that its request did not run."""


_Arguments = ParamSpec("_Arguments")


class ExchangeState(enum.Enum):
    """Progress of a request."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    SENT = "sent"
    RECEIVING = "receiving"
    DONE = "done"


class Scheduler(ABC):
    """Decides when and to which target requests are sent."""

    @abstractmethod
    def submit(self, exchange: "Exchange") -> None:
        """Queue a request that waits for a target."""

    @abstractmethod
    def withdraw(self, exchange: "Exchange") -> None:
        """Remove a waiting request from the queue."""

    @abstractmethod
    def take_retry(self, exchange: "Exchange") -> bool:
        """Spend one retry from the budget of the request's service.

        Returns False if the budget is exhausted.
        """

    @abstractmethod
    def return_retry(self, exchange: "Exchange") -> None:
        """Return a retry to the budget, as the request was not sent again."""

    @abstractmethod
    def known_stream_version(self, exchange: "Exchange") -> str | None:
        """Return the version of a stream that a client takes up and this router knows.

        Returns None if it has to be read first.
        """

    @abstractmethod
    async def read_stream_version(self, exchange: "Exchange") -> str | None:
        """Read the version that began that stream; None if it cannot be known."""

    @abstractmethod
    def stream_passed_on(self, exchange: "Exchange", version: str) -> None:
        """Record that the client has an event of a version."""

    @abstractmethod
    def needs_record(self, exchange: "Exchange", version: str) -> bool:
        """Return whether a stream has to be recorded before it begins at a version."""

    @abstractmethod
    def can_record(self) -> bool:
        """Return whether streams can be recorded now."""

    @abstractmethod
    def record_stream(
        self, exchange: "Exchange", version: str
    ) -> "asyncio.Future[None]":
        """Record the version at which a stream is about to begin.

        The result has an error if the stream may not begin there.
        """

    @abstractmethod
    def target_resumed(self, exchange: "Exchange") -> None:
        """Record that a silent target goes on with its response."""

    @abstractmethod
    def first_byte_received(self, exchange: "Exchange") -> None:
        """Record the arrival of the first bytes of a response."""

    @abstractmethod
    def limit_shown(
        self, choice: PlacementChoice, requests_per_s: float | None, *, sent_at_s: float
    ) -> None:
        """Record the limit that a response names; None if it names none."""

    @abstractmethod
    def target_leaves(self, choice: PlacementChoice) -> None:
        """Record that a target states in a response that it is leaving."""

    @abstractmethod
    def pause_requested(
        self, exchange: "Exchange", choice: PlacementChoice, retry_after_s: float
    ) -> None:
        """Record that a target wants no further requests for some seconds."""

    @abstractmethod
    def response_begun(self, exchange: "Exchange") -> None:
        """Record that the target has sent a whole event or a whole response."""

    @abstractmethod
    def connection_lost(self, exchange: "Exchange", choice: PlacementChoice) -> None:
        """Record that a connection ended before the response had begun."""

    @abstractmethod
    def connection_refused(self, choice: PlacementChoice) -> None:
        """Record that a target refused a connection."""

    @abstractmethod
    def takeover_won(self, exchange: "Exchange") -> None:
        """Record that the request is now at the target that was to take it over."""

    @abstractmethod
    def takeover_ended(
        self, exchange: "Exchange", choice: PlacementChoice, *, failed: bool
    ) -> None:
        """Record that a target does not take a request over."""

    @abstractmethod
    def attempt_ended(self, exchange: "Exchange", *, failed: bool) -> None:
        """Record that the target no longer works on the request."""

    @abstractmethod
    def retry_after_s(self, exchange: "Exchange") -> float:
        """Return the seconds after which the client may retry a refused request."""

    @abstractmethod
    def finished(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Record the end of a request."""


def _answers_on_error(
    method: Callable[Concatenate["Exchange", _Arguments], None],
) -> Callable[Concatenate["Exchange", _Arguments], None]:
    """Make a method end the request with an answer if it raises an error."""

    @functools.wraps(method)
    def guarded(
        exchange: "Exchange", *args: _Arguments.args, **options: _Arguments.kwargs
    ) -> None:
        try:
            method(exchange, *args, **options)
        except Exception as error:
            exchange.end_after_error(error)

    return guarded


class Exchange(ResponseListener, RequestInProgress, TakeoverHandler):
    """Sends one request, retries it if allowed, and passes the response on.

    Whether a failed attempt may be retried is decided by `AttemptHistory` and the
    retry budget of the scheduler.

    Parameters
    ----------
    request : ClientRequest
        The complete request.
    facts : RequestFacts
        Properties that its headers state.
    route : Route
        Route that matched the request at its arrival.
    account : str or None
        Client account of its key; None if the request has none.
    configuration_version : int
        Version of the configuration at its arrival.
    client : ClientConnection
        Connection that the response is written to.
    header_codec : HeaderCodec
        Reads and writes headers.
    connections : TargetConnectionPool
        Provides connections to targets.
    scheduler : Scheduler
        Chooses the target of each attempt.
    shutdown : ShutdownAdmission
        Tells whether there is time for the request if the router is about to stop.
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.
    """

    def __init__(
        self,
        request: ClientRequest,
        facts: RequestFacts,
        route: Route,
        account: str | None,
        *,
        configuration_version: int,
        client: ClientConnection,
        header_codec: HeaderCodec,
        connections: TargetConnectionPool,
        scheduler: Scheduler,
        shutdown: ShutdownAdmission,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        now_s = loop.time()
        self.request = request
        self.facts = facts
        self.route = route
        self.account_or_none = account
        self.account = account or ""
        self.kind = route.name
        # A stream that is taken up goes on at the service that began it.
        begun_by = facts.begun_by_request_id if self.takes_up_stream else None
        self.service = route.service_for(begun_by or facts.request_id)
        self.configuration_version = configuration_version
        self.arrived_at_s = now_s
        time_left_s = route.timeout_s
        if facts.time_left_s is not None:
            time_left_s = min(time_left_s, facts.time_left_s)
        self.deadline_s = now_s + time_left_s
        self.first_answer_target_s = min(route.first_answer_target_s, time_left_s)
        # The scheduler sets an earlier time for a refused request that is sent again.
        self.first_arrived_at_s = now_s
        self.cost_tokens = facts.prompt.prompt_token_count if facts.prompt else 1
        self.history = AttemptHistory(kind=route.kind, max_attempts=route.max_attempts)
        self.state = ExchangeState.WAITING
        self.choice: PlacementChoice | None = None
        self.excluded: set[str] = set()
        # Whether another target is looked for while a silent one keeps the request.
        self._is_searching = False
        self._takeover: Takeover | None = None
        self.is_silent = False
        self.is_client_slow = False
        self.may_search_from_s = now_s
        # Version whose events the client has, once it has any.
        self.software_version: str | None = None
        self._version_record = VersionRecord(
            is_needed=functools.partial(scheduler.needs_record, self),
            write=functools.partial(scheduler.record_stream, self),
            on_written=self._version_written,
        )
        # What arrives before the version is recorded.
        self._held_events: list[bytes] = []
        self._held_end: Callable[[], None] | None = None
        self.grant_request_count = 0
        self.sent_at_s = 0.0
        self.last_data_at_s = 0.0
        self.first_byte_at_s: float | None = None
        self.longest_pause_s = 0.0
        self._last_received_at_s = 0.0
        self._client = client
        self._header_codec = header_codec
        self._connections = connections
        self._scheduler = scheduler
        self._shutdown = shutdown
        self._loop = loop
        self._failed_connect_count = 0
        self._connection: TargetConnection | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._head: ResponseHead | None = None
        self._did_not_run = False
        self._refusal_bytes = 0
        self._has_begun = False
        self._is_head_request = request.head.method == b"HEAD"
        self._response = ClientResponse(
            client, header_codec, is_head=self._is_head_request
        )
        self._event_filter: EventStreamFilter | None = None
        if route.kind.may_run_again and route.kind.is_stream:
            self._event_filter = EventStreamFilter(
                last_event_id=facts.resume_after_event_id
            )
        # Streams that cannot be resumed are passed on without a check of their order.
        self._event_boundary = EventBoundary()
        self._timer = loop.call_at(self.deadline_s, self._timed_out)

    @property
    def key(self) -> str:
        """Unique key of this request in the load statistics of a target."""
        return f"{self.facts.request_id}/{id(self)}"

    @property
    def client_time_left_s(self) -> float:
        """Time in seconds that the client had left at the request's arrival."""
        return self.facts.time_left_s or self.route.timeout_s

    @property
    def on_time_until_s(self) -> float:
        """Loop time after which the first byte of the response is late.

        It counts from the first arrival of a request that was refused and sent again.
        """
        return self.first_arrived_at_s + self.first_answer_target_s

    @property
    def is_waiting(self) -> bool:
        """Whether the request waits for a target, perhaps in place of a silent one."""
        return self.state is ExchangeState.WAITING or self._is_searching

    @property
    def has_takeover(self) -> bool:
        """Whether another target was sent the request that a silent one keeps."""
        return self._takeover is not None

    @property
    def silent_target_id(self) -> str | None:
        """Target that another is looked for in place of; None if there is none."""
        if not self._is_searching or self.choice is None:
            return None
        return self.choice.load.entry.target_id

    @property
    def may_be_taken_up(self) -> bool:
        """Whether the client may go on with the stream at another router."""
        return self.route.kind is RouteKind.RESUMABLE_STREAM

    @property
    def takes_up_stream(self) -> bool:
        """Whether the client goes on with a stream that another attempt began."""
        return self.may_be_taken_up and self.facts.resume_after_event_id is not None

    @property
    def continues_stream(self) -> bool:
        """Whether the client has part of the stream already."""
        return self.software_version is not None

    @property
    def wait_until_s(self) -> float:
        """Loop time until which it may wait for a target."""
        if self.continues_stream:
            return max(self.arrived_at_s, self._last_received_at_s) + MAX_RESUMPTION_S
        return self.arrived_at_s + self.first_answer_target_s

    def accepts(self, entry: TargetEntry) -> bool:
        """Return whether a target's software version may write what comes next."""
        version = entry.software_version
        if self.software_version is not None:
            return version == self.software_version
        if not self.may_be_taken_up:
            return True
        if self._is_searching and self.choice is not None:
            # Either of the two may turn out to write the first event.
            return version == self.choice.load.entry.software_version
        is_needed = self._version_record.is_needed_for(version)
        return not is_needed or self._scheduler.can_record()

    # Called by the scheduler.

    @_answers_on_error
    def take_up_stream(self) -> None:
        """Look for a target of the version that began the stream."""
        version = self._scheduler.known_stream_version(self)
        if version is not None:
            self.software_version = version
            self._scheduler.submit(self)
            return
        self._connect_task = self._loop.create_task(self._find_version())

    async def _find_version(self) -> None:
        try:
            version = await self._scheduler.read_stream_version(self)
        except Exception as error:
            self._connect_task = None
            self.end_after_error(error)
            return
        self._connect_task = None
        self._version_found(version)

    @_answers_on_error
    def _version_found(self, version: str | None) -> None:
        if self.state is not ExchangeState.WAITING:
            return
        if version is None:
            self.refuse("stream_version_unknown")
            return
        self.software_version = version
        self._scheduler.submit(self)

    @_answers_on_error
    def send_to(self, choice: PlacementChoice) -> None:
        """Send the request to a target, which may have to take it over."""
        if self._is_searching:
            self._is_searching = False
            self._begin_takeover(choice)
            return
        self.choice = choice
        if not self._shutdown.may_send(self.route, now_s=self._loop.time()):
            self._end_unanswered(HTTPStatus.BAD_GATEWAY, "leaving", "leaving")
            return
        has_waited = self._loop.time() - self.arrived_at_s > LEFT_CHECK_S
        if has_waited and self._client.has_left:
            self.client_disconnected()
            self._client.close_at_once("client_left")
            return
        if not self.accepts(choice.load.entry):
            self._connect_failed("version cannot be recorded")
            return
        entry = choice.load.entry
        connection = self._connections.take_idle(
            entry,
            may_run_again=self.route.kind.may_run_again,
            request_id=self.facts.request_id,
        )
        if connection is not None:
            self._send_request(connection)
            return
        self.state = ExchangeState.CONNECTING
        self._connect_task = self._loop.create_task(self._connect())

    def refuse(self, reason: str) -> None:
        """Respond with 503 if the request did not run, or with 502 if it may have."""
        if self.state is ExchangeState.DONE:
            return
        if self._is_searching:
            # The silent target may go on yet.
            self._end_search()
            self.may_search_from_s = self._loop.time() + SEARCH_PAUSE_S
            self._log("silent_target_kept", reason=reason)
            return
        if self.history.may_have_run:
            self._fail(HTTPStatus.BAD_GATEWAY, reason)
            return
        self._respond_and_finish(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def search_elsewhere(self) -> None:
        """Look for another target while the silent one keeps the request.

        A sound target may be silent for a while, so it is left only for one that has
        begun to answer.
        """
        if self.state not in (ExchangeState.SENT, ExchangeState.RECEIVING):
            return
        if self.is_waiting or self.has_takeover or not self.route.kind.may_run_again:
            return
        if self.choice is None or not self._take_retry():
            self.may_search_from_s = self._loop.time() + SEARCH_PAUSE_S
            return
        self._is_searching = True
        try:
            self._scheduler.submit(self)
        except Exception as error:
            self._log("request_error", error=repr(error), place="search_elsewhere")
            self._stop_search()
            self.may_search_from_s = self._loop.time() + SEARCH_PAUSE_S

    def end_after_error(self, error: Exception) -> None:
        """End the request after an error that nothing else handles."""
        log_event(
            "request_error",
            level="ERROR",
            request_id=self.facts.request_id,
            route=self.route.name,
            state=self.state.value,
            error=repr(error),
            place=raised_at(error.__traceback__),
        )
        try:
            self._end_unanswered(HTTPStatus.BAD_GATEWAY, "router_error", "router_error")
        except Exception as next_error:
            # What the request holds is in an unknown state; its client needs an answer.
            self._log("request_error", error=repr(next_error))
            if self.state is not ExchangeState.DONE:
                self._close_connection()
                self._fail(HTTPStatus.BAD_GATEWAY, "router_error")

    @_answers_on_error
    def give_up(self, reason: str) -> None:
        """End the request, and its attempt unless the response has begun."""
        if self.state is ExchangeState.DONE or self._has_begun:
            return
        self._cancel_attempt()
        self.refuse(reason)

    # Called by the client's connection.

    @override
    @_answers_on_error
    def client_disconnected(self) -> None:
        if self.state is ExchangeState.DONE:
            return
        self._cancel_attempt()
        self._finish(Outcome(status=0, reason="client_left"))

    @override
    @_answers_on_error
    def end(self, reason: str) -> None:
        self._end_unanswered(HTTPStatus.BAD_GATEWAY, reason, reason)

    @override
    def set_client_slow(self, is_slow: bool) -> None:
        self.is_client_slow = is_slow
        if self._connection is not None and self.state is ExchangeState.RECEIVING:
            self._connection.pause() if is_slow else self._connection.resume()
            # The target could send nothing while the connection was not read.
            self.last_data_at_s = self._loop.time()

    # Called by the target's connection.

    @override
    def response_started(self, head: ResponseHead) -> bool:
        try:
            return self._start_response(head)
        except Exception as error:
            self.end_after_error(error)
            return True

    def _start_response(self, head: ResponseHead) -> bool:
        facts = self._read_facts(head, self.choice, sent_at_s=self.sent_at_s)
        if facts is None:
            return False
        self._head = head
        self._did_not_run = self._is_own_refusal(facts)
        if head.is_success and not facts.is_genuine:
            self._fail_response("unsigned_answer")
        elif head.is_success and not self._response.can_continue_with(head):
            self._fail_response("no_continuation")
        return True

    def _read_facts(
        self, head: ResponseHead, choice: PlacementChoice | None, *, sent_at_s: float
    ) -> ResponseFacts | None:
        """Record what a target states; return None if it is of another request."""
        facts = self._header_codec.response_facts(head)
        if choice is not None and facts.is_leaving:
            self._scheduler.target_leaves(choice)
        if choice is not None and facts.retry_after_s is not None:
            self._scheduler.pause_requested(self, choice, facts.retry_after_s)
        if facts.request_id and facts.request_id != self.facts.request_id:
            self._log("foreign_answer", answered_id=facts.request_id)
            return None
        names_limit = facts.max_requests_per_s is not None
        is_answer = head.is_success and facts.is_genuine
        if choice is not None and (names_limit or is_answer):
            self._scheduler.limit_shown(
                choice, facts.max_requests_per_s, sent_at_s=sent_at_s
            )
        return facts

    def _is_own_refusal(self, facts: ResponseFacts) -> bool:
        # A refusal that names no request may be one of an earlier request.
        return facts.did_not_run and facts.request_id == self.facts.request_id

    @override
    @_answers_on_error
    def response_data(self, data: bytes) -> None:
        if self.state is ExchangeState.DONE or self._head is None:
            return
        if self._did_not_run:
            self._skip_refusal(data)
            return
        now_s = self._loop.time()
        if self.first_byte_at_s is None:
            self.first_byte_at_s = now_s
        else:
            # A pause between two targets counts as well, since the client waits for it.
            pause_s = now_s - self._last_received_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_received_at_s = now_s
        if self._event_filter is None:
            self._record_progress()
        if self.choice is not None:
            self.choice.load.last_data_at_s = now_s
        if self.state is ExchangeState.SENT:
            self.state = ExchangeState.RECEIVING
            if self.is_client_slow and self._connection is not None:
                self._connection.pause()
            self._scheduler.first_byte_received(self)
        if self._head.is_success and self.route.kind.is_stream:
            if self._version_record.is_pending and self.software_version is None:
                self._hold_events(data)
            else:
                self._forward_events(data)
        elif self._head.is_success or self._response.fits(data):
            self._response.write_plain(self._head, data)
        else:
            self._fail_response("failure_too_long")

    @override
    @_answers_on_error
    def response_ended(self) -> None:
        if self._did_not_run and self._connection is not None:
            self._connection.refused_request_ids.add(self.facts.request_id)
        self._connection = None
        if self.state is ExchangeState.DONE or self._head is None:
            return
        if self._held_events:
            self._held_end = self.response_ended
            return
        if self._did_not_run:
            self._handle_not_run()
        elif self._head.is_success and self.route.kind.is_stream:
            self._stream_ended()
        else:
            self._plain_ended(self._head)

    @override
    @_answers_on_error
    def response_failed(self, cause: ResponseFailure) -> None:
        self._connection = None
        if self.state is ExchangeState.DONE:
            return
        if self._held_events:
            self._held_end = functools.partial(self.response_failed, cause)
            return
        if self._did_not_run:
            self._handle_not_run()
            return
        is_lost = cause in (ResponseFailure.CLOSED, ResponseFailure.RESET)
        if is_lost and not self._has_begun and self.choice is not None:
            self.history.record_lost()
            self._scheduler.connection_lost(self, self.choice)
        self._retry_or_fail(cause.value)

    # Connecting and sending.

    async def _connect(self) -> None:
        assert self.choice is not None
        entry = self.choice.load.entry
        try:
            connection = await self._connections.open(entry)
        except (OSError, TimeoutError) as error:
            self._connect_task = None
            if isinstance(error, ConnectionRefusedError):
                self._scheduler.connection_refused(self.choice)
            self._connect_failed(str(error) or type(error).__name__)
            return
        except Exception as error:
            self._connect_task = None
            self.end_after_error(error)
            return
        self._connect_task = None
        self._send_request(connection)

    @_answers_on_error
    def _connect_failed(self, reason: str) -> None:
        self._end_attempt(ExecutionStatus.NOT_RUN, f"connect: {reason}")
        self._failed_connect_count += 1
        if self._failed_connect_count >= MAX_CONNECT_ATTEMPTS:
            self.refuse("no_target_reached")
            return
        self._resubmit()

    @_answers_on_error
    def _send_request(self, connection: TargetConnection) -> None:
        assert self.choice is not None
        request_bytes = self._request_for(self.choice)
        self._await_response(connection, sent_at_s=self._loop.time())
        connection.send(request_bytes, self, is_head=self._is_head_request)

    def _await_response(
        self, connection: TargetConnection, *, sent_at_s: float
    ) -> None:
        """Start to wait for the response on a connection."""
        self.state = ExchangeState.SENT
        self.sent_at_s = self.last_data_at_s = sent_at_s
        self._head = None
        self._did_not_run = self._has_begun = False
        self._refusal_bytes = 0
        self._response.discard_buffer()
        self._connection = connection

    def _request_for(self, choice: PlacementChoice) -> bytes:
        """Return the request as it is sent to a target now, and record that."""
        entry = choice.load.entry
        if self.may_be_taken_up and self.software_version is None:
            self._version_record.ensure(entry.software_version)
        time_left_s = self.deadline_s - self._loop.time()
        resume_after = self.facts.resume_after_event_id
        if self._event_filter is not None:
            resume_after = self._event_filter.last_event_id
        headers = self._header_codec.target_headers(
            self.request.head,
            entry=entry,
            account=self.account_or_none,
            time_left_s=time_left_s,
            resume_after_event_id=resume_after,
        )
        self.history.record_sent(entry.target_id)
        self._log(
            "request_sent",
            choice=choice,
            attempt=self.history.sent_count,
            time_left_s=time_left_s,
            resumed_after=resume_after,
        )
        return self._encode_request(headers)

    def _encode_request(self, headers: Sequence[Header]) -> bytes:
        head, body = self.request.head, self.request.body
        lines = [b"%b %b HTTP/1.1" % (head.method, head.target)]
        lines += [b"%b: %b" % header for header in headers]
        if body or head.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    # The client may take a stream up at another router once it has an event, so no
    # event is passed on before the version that wrote it is recorded.

    @_answers_on_error
    def _version_written(self, is_written: bool) -> None:
        if is_written:
            if self._held_events:
                self._release_events()
        elif self.state in (ExchangeState.SENT, ExchangeState.RECEIVING):
            self._fail_response("version_not_recorded")

    def _hold_events(self, data: bytes) -> None:
        self._held_events.append(data)
        self._record_progress()
        if self._connection is not None:
            self._connection.pause()

    def _drop_held_events(self) -> None:
        self._held_events, self._held_end = [], None

    def _release_events(self) -> None:
        data, self._held_events = b"".join(self._held_events), []
        self._forward_events(data)
        end_response, self._held_end = self._held_end, None
        if end_response is not None:
            end_response()
        elif self._connection is not None and not self.is_client_slow:
            self._connection.resume()

    # Responses of the target.

    def _forward_events(self, data: bytes) -> None:
        if self._event_filter is not None:
            data = self._event_filter.feed(data)
            fault = self._event_filter.fault
        else:
            data = self._event_boundary.feed(data)
            fault = self._event_boundary.fault
        if data and self._head is not None:
            # Bytes of an event that never ends are no progress.
            self._record_progress()
            if self._event_filter is not None or self._event_boundary.has_event:
                self._record_begun()
            self._response.write_stream(self._head, data)
        if fault is not None:
            self._fail_response(str(fault))

    def _record_progress(self) -> None:
        self.last_data_at_s = self._last_received_at_s
        self._stop_search()
        self._cancel_takeover("silent_target_resumed")
        if self.is_silent:
            self.is_silent = False
            self._scheduler.target_resumed(self)

    def _record_begun(self) -> None:
        if self.may_be_taken_up and self.software_version is None:
            assert self.choice is not None
            self.software_version = self.choice.load.entry.software_version
        if not self._has_begun:
            self._has_begun = True
            if self.software_version is not None:
                self._scheduler.stream_passed_on(self, self.software_version)
            self._scheduler.response_begun(self)

    def _stream_ended(self) -> None:
        assert self._head is not None
        is_partial = self._event_boundary.is_inside_event
        if self._event_filter is not None:
            is_partial = self._event_filter.has_partial
        if is_partial:
            self._retry_or_fail("ended_within_event")
            return
        self._end_attempt(None, "")
        self._response.end_stream(self._head)
        self._finish(
            Outcome(status=self._head.status, reason="answered", is_complete=True)
        )

    def _plain_ended(self, head: ResponseHead) -> None:
        if not head.is_success and self._take_retry_for(head):
            self._log("target_failed", status=head.status)
            self._close_connection()
            self._end_attempt(ExecutionStatus.MAY_HAVE_RUN, f"status {head.status}")
            self._resubmit()
            return
        if head.is_success:
            self._record_begun()
        self._end_attempt(None, "")
        if self._response.has_begun and not self._response.is_buffer_exceeded:
            # The client already has events; another response cannot follow them.
            self._abort_response(f"status {head.status} after events")
            return
        if not self.route.kind.may_run_again and head.status in NOT_RUN_STATUSES:
            # The target has not proved that the request did not run.
            self.history.record_ended(ExecutionStatus.MAY_HAVE_RUN)
            self._fail(HTTPStatus.BAD_GATEWAY, f"status {head.status} without proof")
            return
        self._response.end_plain(head)
        self._finish(
            Outcome(status=head.status, reason="answered", is_complete=head.is_success)
        )

    def _take_retry_for(self, head: ResponseHead) -> bool:
        """Spend a retry if a response with an error status is to be retried."""
        if head.status < 500 or not self.route.kind.may_run_again:
            return False
        return not self._response.is_buffer_exceeded and self._take_next_attempt()

    def _handle_not_run(self) -> None:
        assert self._head is not None
        reason = f"rejected with {self._head.status}"
        self._end_attempt(ExecutionStatus.NOT_RUN, reason)
        if self._take_next_attempt():
            self._resubmit()
        elif self._response.has_begun:
            self._abort_response(reason)
        else:
            self.refuse("target_rejected")

    def _skip_refusal(self, data: bytes) -> None:
        self._refusal_bytes += len(data)
        if self._refusal_bytes > MAX_REFUSAL_BYTES:
            self._close_connection()
            self._handle_not_run()

    def _fail_response(self, reason: str) -> None:
        self._close_connection()
        self._retry_or_fail(reason)

    def _retry_or_fail(self, reason: str) -> None:
        # The history needs this attempt to decide whether another is allowed.
        self._end_attempt(ExecutionStatus.MAY_HAVE_RUN, reason)
        if self._take_next_attempt():
            self._resubmit()
        elif self._response.has_begun:
            self._abort_response(reason)
        else:
            self._fail(HTTPStatus.BAD_GATEWAY, reason)

    # Another target while a silent one keeps the request.

    def _begin_takeover(self, choice: PlacementChoice) -> None:
        self._takeover = Takeover(choice, self, self._connections, self._loop)
        if self._shutdown.may_send(self.route, now_s=self._loop.time()):
            self._takeover.begin(self.facts.request_id, is_head=self._is_head_request)
        else:
            self._cancel_takeover("leaving")

    def _adopt_takeover(self, takeover: Takeover) -> None:
        """Wait for the response of the other target alone, from now on."""
        assert takeover.connection is not None
        self._takeover = None
        self.choice = takeover.choice
        self._await_response(takeover.connection, sent_at_s=takeover.sent_at_s)
        takeover.connection.pass_to(self)
        self._scheduler.takeover_won(self)

    def give_up_takeover(self, *, sent_before_s: float) -> None:
        """Let the search go on if the other target is silent, too."""
        takeover = self._takeover
        if takeover is None or not takeover.is_sent or not self._may_send_again():
            return
        if takeover.sent_at_s < sent_before_s:
            self._cancel_takeover("silent", failed=True)

    def _cancel_takeover(self, reason: str, *, failed: bool = False) -> None:
        """Take the request back from the other target, if there is one."""
        if self._takeover is not None:
            self._takeover.cancel()
            status = ExecutionStatus.NOT_RUN
            if self._takeover.is_sent:
                status = ExecutionStatus.MAY_HAVE_RUN
            self._end_takeover(self._takeover, status, reason, failed=failed)

    def _end_takeover(
        self,
        takeover: Takeover,
        status: ExecutionStatus,
        reason: str,
        *,
        failed: bool = True,
    ) -> None:
        if takeover is not self._takeover:
            return
        self._takeover = None
        self._log(
            "takeover_ended",
            choice=takeover.choice,
            reason=reason,
            proof=status.value,
            attempt=self.history.sent_count,
        )
        if takeover.is_sent:
            self.history.record_ended(status)
        else:
            self._scheduler.return_retry(self)
        if failed:
            self.excluded.add(takeover.choice.load.entry.target_id)
        self.may_search_from_s = self._loop.time() + SEARCH_PAUSE_S
        self._scheduler.takeover_ended(self, takeover.choice, failed=failed)

    @override
    def takeover_request(self, takeover: Takeover) -> bytes:
        return self._request_for(takeover.choice)

    @override
    def takeover_answered(self, takeover: Takeover, head: ResponseHead) -> bool:
        if takeover is not self._takeover:
            return True
        facts = self._read_facts(head, takeover.choice, sent_at_s=takeover.sent_at_s)
        if facts is None:
            return False
        can_continue = self._response.can_continue_with(head)
        if head.is_success and facts.is_genuine and can_continue:
            self._close_connection()
            self._end_attempt(ExecutionStatus.MAY_HAVE_RUN, "silent")
            self._prepare_next_attempt()
            self._adopt_takeover(takeover)
            self._head = head
            return True
        if self._is_own_refusal(facts) and takeover.connection is not None:
            takeover.connection.refused_request_ids.add(self.facts.request_id)
            status = ExecutionStatus.NOT_RUN
        else:
            takeover.cancel()
            status = ExecutionStatus.MAY_HAVE_RUN
        self._end_takeover(takeover, status, f"status {head.status}")
        return True

    @override
    @_answers_on_error
    def takeover_rejected(self, takeover: Takeover) -> None:
        self._end_takeover(takeover, ExecutionStatus.MAY_HAVE_RUN, "no_answer")

    @override
    @_answers_on_error
    def takeover_lost(self, takeover: Takeover, cause: ResponseFailure) -> None:
        if takeover is not self._takeover:
            return
        if cause in (ResponseFailure.CLOSED, ResponseFailure.RESET):
            self.history.record_lost()
            self._scheduler.connection_lost(self, takeover.choice)
        self._end_takeover(takeover, ExecutionStatus.MAY_HAVE_RUN, cause.value)

    @override
    @_answers_on_error
    def takeover_unconnected(
        self, takeover: Takeover, error: OSError | TimeoutError
    ) -> None:
        if isinstance(error, ConnectionRefusedError):
            self._scheduler.connection_refused(takeover.choice)
        reason = str(error) or type(error).__name__
        self._end_takeover(takeover, ExecutionStatus.NOT_RUN, f"connect: {reason}")

    # Retries and the end of the request.

    def _take_retry(self) -> bool:
        """Spend a retry if one is allowed; return whether it is."""
        return self._may_send_again() and self._scheduler.take_retry(self)

    def _may_send_again(self) -> bool:
        if self._response.is_buffer_exceeded or self._loop.time() >= self.deadline_s:
            return False
        return self.history.may_send_again()

    def _take_next_attempt(self) -> bool:
        """Return whether the request is at another target or may be sent to one."""
        if self._takeover is not None and self._takeover.is_sent:
            return True
        self._cancel_takeover("silent_target_failed")
        return self._take_retry()

    def _resubmit(self) -> None:
        """Let another target answer: that which was sent the request, or a new one."""
        self._prepare_next_attempt()
        if self._takeover is not None:
            self._adopt_takeover(self._takeover)
        else:
            self._scheduler.submit(self)

    def _prepare_next_attempt(self) -> None:
        if self._event_filter is not None:
            self._event_filter.drop_partial()
        if self.choice is not None:
            self.excluded.add(self.choice.load.entry.target_id)
        self.choice = None
        self.is_silent = False
        self.state = ExchangeState.WAITING

    def _stop_search(self) -> None:
        """Stop looking for a target in place of a silent one."""
        if self._is_searching:
            self._scheduler.withdraw(self)
            self._end_search()

    def _end_search(self) -> None:
        self._is_searching = False
        self._scheduler.return_retry(self)

    def _end_attempt(self, status: ExecutionStatus | None, reason: str) -> None:
        """Record the end of an attempt; ``status`` is None unless it failed."""
        self._stop_search()
        self._drop_held_events()
        if status is not None:
            self.history.record_ended(status)
            self._log(
                "attempt_failed",
                reason=reason,
                proof=status.value,
                attempt=self.history.sent_count,
                begun=self._has_begun,
                parts=self._shared_part_ids(),
            )
        if self.choice is not None:
            self._scheduler.attempt_ended(self, failed=status is not None)

    def _shared_part_ids(self) -> str | None:
        """Return the ids of the prompt's shared parts, as routers exchange them."""
        prompt = self.facts.prompt
        if prompt is None:
            return None
        return ",".join(part.part_id for part in prompt.hashed_shared_parts)

    def _close_connection(self) -> None:
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def _cancel_attempt(self) -> None:
        self._stop_search()
        self._drop_held_events()
        self._cancel_takeover("request_ended")
        if self.state is ExchangeState.WAITING:
            self._scheduler.withdraw(self)
        if self.state in (ExchangeState.SENT, ExchangeState.RECEIVING):
            self.history.record_ended(ExecutionStatus.MAY_HAVE_RUN)
        self._close_connection()
        if self.choice is not None:
            self._scheduler.attempt_ended(self, failed=False)
        self.choice = None

    @_answers_on_error
    def _timed_out(self) -> None:
        self._end_unanswered(
            HTTPStatus.GATEWAY_TIMEOUT, "timed_out", "timed_out_waiting"
        )

    def _end_unanswered(
        self, status_if_sent: HTTPStatus, reason: str, reason_if_waiting: str
    ) -> None:
        if self.state is ExchangeState.DONE:
            return
        is_sent = self.state in (ExchangeState.SENT, ExchangeState.RECEIVING)
        self._cancel_attempt()
        if self._response.has_begun:
            self._abort_response(reason)
        elif is_sent or self.history.may_have_run:
            self._fail(status_if_sent, reason)
        else:
            self._respond_and_finish(HTTPStatus.SERVICE_UNAVAILABLE, reason_if_waiting)

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self._response.has_begun:
            self._abort_response(reason)
        else:
            self._respond_and_finish(status, reason)

    def _respond_and_finish(self, status: HTTPStatus, reason: str) -> None:
        retry_after_s = None
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = self._scheduler.retry_after_s(self)
        headers = self._header_codec.refusal_headers(
            self.facts.request_id, retry_after_s
        )
        self._client.send_response(status, status.phrase.encode(), headers, b"")
        self._finish(Outcome(status=status, reason=reason))

    def _abort_response(self, reason: str) -> None:
        self._client.abort_response()
        self._finish(Outcome(status=0, reason=f"broken_off: {reason}"))

    def _finish(self, outcome: Outcome) -> None:
        self._cancel_takeover("request_ended")
        self.state = ExchangeState.DONE
        self._timer.cancel()
        if outcome.is_complete:
            now_s = self._loop.time()
            self._shutdown.record_answered(
                self.route,
                total_s=now_s - self.arrived_at_s,
                served_s=now_s - self.sent_at_s,
            )
        self._scheduler.finished(self, outcome)

    def _log(
        self, event: str, *, choice: PlacementChoice | None = None, **fields: LogValue
    ) -> None:
        choice = choice or self.choice
        target = choice.load.entry.target_id if choice else ""
        log_event(
            event,
            level="INFO",
            request_id=self.facts.request_id,
            target=target,
            route=self.route.name,
            **fields,
        )

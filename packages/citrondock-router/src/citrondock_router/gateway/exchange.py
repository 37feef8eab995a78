"""One client request on its way to a target and back."""

import asyncio
import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence
from http import HTTPStatus

from typing_extensions import override

from citrondock_core.routing.attempt_rules import AttemptHistory, ExecutionStatus
from citrondock_core.routing.placement import PlacementChoice
from citrondock_core.routing.request_facts import RequestFacts
from citrondock_core.routing.route import Route
from citrondock_router.gateway.client_connection import (
    ClientConnection,
    ClientRequest,
    RequestInProgress,
)
from citrondock_router.gateway.client_response import ClientResponse
from citrondock_router.gateway.event_stream_filter import (
    EventOrderError,
    EventStreamFilter,
)
from citrondock_router.gateway.header_codec import Header, HeaderCodec, ResponseHead
from citrondock_router.gateway.outcome import Outcome
from citrondock_router.gateway.target_connection import (
    ResponseFailure,
    ResponseListener,
    TargetConnection,
)
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool
from citrondock_router.log import LogValue, log_event

MAX_CONNECT_TRIES = 4
"""Targets that are tried when connections cannot be opened."""

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that tell a client that its request never runs."""


class ExchangeState(enum.Enum):
    """How far a request got."""

    WAITING = "waiting"
    CONNECTING = "connecting"
    SENT = "sent"
    RECEIVING = "answering"
    DONE = "done"


class Scheduler(ABC):
    """Whoever decides when and where requests are sent."""

    @abstractmethod
    def submit(self, exchange: "Exchange") -> None:
        """Take a request that waits for a target."""

    @abstractmethod
    def withdraw(self, exchange: "Exchange") -> None:
        """Forget a request that waits."""

    @abstractmethod
    def take_retry(self, exchange: "Exchange") -> bool:
        """Spend one repeat of the request's service, or return False."""

    @abstractmethod
    def response_begun(self, exchange: "Exchange") -> None:
        """Note the first bytes of an answer."""

    @abstractmethod
    def attempt_ended(self, exchange: "Exchange", *, failed: bool) -> None:
        """Note that the target works on the request no more."""

    @abstractmethod
    def retry_after_s(self, exchange: "Exchange") -> float:
        """Return when a refused request should come back."""

    @abstractmethod
    def finished(self, exchange: "Exchange", outcome: Outcome) -> None:
        """Note the end of a request."""


class Exchange(ResponseListener, RequestInProgress):
    """Carries one request; all its decisions about repeats are in `AttemptHistory`.

    Parameters
    ----------
    request : ClientRequest
        The whole request.
    facts : RequestFacts
        What is known of it.
    route : Route
        Route at its arrival.
    account : str or None
        Account of its key.
    configuration_version : int
        Configuration at its arrival.
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
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        now_s = loop.time()
        self.request = request
        self.facts = facts
        self.route = route
        self.owner = account
        self.account = account or ""
        self.kind = route.name
        self.service = route.service_for(facts.request_id)
        self.configuration_version = configuration_version
        self.arrived_at_s = now_s
        time_left_s = route.timeout_s
        if facts.time_left_s is not None:
            time_left_s = min(time_left_s, facts.time_left_s)
        self.answer_by_s = now_s + time_left_s
        self.first_answer_target_s = min(route.first_answer_target_s, time_left_s)
        self.first_arrived_at_s = now_s
        self.cost_tokens = facts.prompt.prompt_token_count if facts.prompt else 1
        self.history = AttemptHistory(kind=route.kind, max_attempts=route.max_attempts)
        self.state = ExchangeState.WAITING
        self.choice: PlacementChoice | None = None
        self.excluded: set[str] = set()
        self.ask_count = 0
        self.sent_at_s = 0.0
        self.last_data_at_s = 0.0
        self.first_byte_at_s: float | None = None
        self.longest_pause_s = 0.0
        self._answered_at_s = 0.0
        self._client = client
        self._header_codec = header_codec
        self._connections = connections
        self._scheduler = scheduler
        self._loop = loop
        self._connect_tries = 0
        self._target: TargetConnection | None = None
        self._opening: asyncio.Task[None] | None = None
        self._head: ResponseHead | None = None
        self._is_rejected = False
        self._is_head = request.head.method == b"HEAD"
        self._answer = ClientResponse(client, header_codec, is_head=self._is_head)
        self._cutter: EventStreamFilter | None = None
        if route.kind.may_run_again and route.kind.is_stream:
            self._cutter = EventStreamFilter(last_event_id=facts.resume_after_event_id)
        self._timer = loop.call_at(self.answer_by_s, self._timed_out)

    @property
    def key(self) -> str:
        """Key under which the load of a target counts this request."""
        return f"{self.facts.request_id}/{id(self)}"

    @property
    def on_time_until_s(self) -> float:
        """When its first answer is late; refusals before this attempt count too."""
        return self.first_arrived_at_s + self.first_answer_target_s

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for a target."""
        return self.state is ExchangeState.WAITING

    # From the scheduler.

    def send_to(self, choice: PlacementChoice) -> None:
        """Send the request to a target."""
        self.choice = choice
        entry = choice.load.entry
        connection = self._connections.take_idle(
            entry, may_run_again=self.route.kind.may_run_again
        )
        if connection is not None:
            self._write(connection)
            return
        self.state = ExchangeState.CONNECTING
        self._opening = self._loop.create_task(self._open())

    def refuse(self, reason: str) -> None:
        """Answer that the request did not run, nor will."""
        if self.state is ExchangeState.DONE:
            return
        if self.history.may_have_run:
            self._fail(HTTPStatus.BAD_GATEWAY, reason)
            return
        self._finish_with(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def retry_elsewhere(self, reason: str) -> bool:
        """Take the request back from a silent target; return whether it was."""
        if self.state not in (ExchangeState.SENT, ExchangeState.RECEIVING):
            return False
        if not self.route.kind.may_run_again or not self._can_repeat():
            return False
        self._drop_target()
        self._attempt_ended(ExecutionStatus.MAY_HAVE_RUN, reason)
        self._submit_again()
        return True

    # From the client's connection.

    @override
    def client_disconnected(self) -> None:
        if self.state is ExchangeState.DONE:
            return
        self._withdraw()
        self._end(Outcome(status=0, reason="client_left"))

    @override
    def set_client_slow(self, slow: bool) -> None:
        if self._target is not None and self.state is ExchangeState.RECEIVING:
            self._target.pause() if slow else self._target.resume()

    # From the target's connection.

    @override
    def response_started(self, head: ResponseHead) -> bool:
        facts = self._header_codec.response_facts(head)
        if facts.request_id and facts.request_id != self.facts.request_id:
            self._log("foreign_answer", answered_id=facts.request_id)
            return False
        self._head = head
        self._is_rejected = facts.did_not_run
        is_genuine = facts.is_signed and bool(facts.request_id)
        if head.is_success and not is_genuine:
            self._spoiled("unsigned_answer")
        return True

    @override
    def response_data(self, data: bytes) -> None:
        if self.state is ExchangeState.DONE or self._is_rejected or self._head is None:
            return
        now_s = self._loop.time()
        if self.first_byte_at_s is None:
            self.first_byte_at_s = now_s
        else:
            # Also over a change of targets; the client waits for both.
            pause_s = now_s - self._answered_at_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self.last_data_at_s = self._answered_at_s = now_s
        if self.choice is not None:
            self.choice.load.last_data_at_s = now_s
        if self.state is ExchangeState.SENT:
            self.state = ExchangeState.RECEIVING
            self._scheduler.response_begun(self)
        if self._head.is_success and self.route.kind.is_stream:
            self._pass_events(data)
        else:
            self._answer.collect(self._head, data)

    @override
    def response_ended(self) -> None:
        self._target = None
        if self.state is ExchangeState.DONE or self._head is None:
            return
        if self._is_rejected:
            self._rejected()
        elif self._head.is_success and self.route.kind.is_stream:
            self._stream_ended()
        else:
            self._plain_ended(self._head)

    @override
    def response_failed(self, cause: ResponseFailure) -> None:
        self._target = None
        if self.state is ExchangeState.DONE:
            return
        if self._is_rejected:
            self._rejected()
            return
        self._broken(cause.value)

    # Sending.

    async def _open(self) -> None:
        assert self.choice is not None
        entry = self.choice.load.entry
        try:
            connection = await self._connections.open(entry)
        except (OSError, TimeoutError) as error:
            self._opening = None
            self._connect_failed(str(error) or type(error).__name__)
            return
        self._opening = None
        self._write(connection)

    def _connect_failed(self, reason: str) -> None:
        self._attempt_ended(ExecutionStatus.NOT_RUN, f"connect: {reason}")
        self._connect_tries += 1
        if self._connect_tries >= MAX_CONNECT_TRIES:
            self.refuse("no_target_reached")
            return
        self._submit_again()

    def _write(self, connection: TargetConnection) -> None:
        assert self.choice is not None
        entry = self.choice.load.entry
        now_s = self._loop.time()
        time_left_s = self.answer_by_s - now_s
        resume_after = self.facts.resume_after_event_id
        if self._cutter is not None:
            resume_after = self._cutter.last_event_id
        headers = self._header_codec.target_headers(
            self.request.head,
            entry=entry,
            account=self.owner,
            time_left_s=time_left_s,
            resume_after_event_id=resume_after,
        )
        self.state = ExchangeState.SENT
        self.sent_at_s = self.last_data_at_s = now_s
        self._head = None
        self._is_rejected = False
        self._answer.forget_collected()
        self._target = connection
        self.history.record_sent(entry.target_id)
        self._log(
            "request_sent",
            attempt=self.history.sent_count,
            time_left_s=time_left_s,
            resumed_after=resume_after,
        )
        request_bytes = self._request_bytes(headers)
        connection.send(request_bytes, self, is_head=self._is_head)

    def _request_bytes(self, headers: Sequence[Header]) -> bytes:
        head, body = self.request.head, self.request.body
        lines = [b"%b %b HTTP/1.1" % (head.method, head.target)]
        lines += [b"%b: %b" % header for header in headers]
        if body or head.method in (b"POST", b"PUT", b"PATCH"):
            lines.append(b"Content-Length: %d" % len(body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    # Answers of the target.

    def _pass_events(self, data: bytes) -> None:
        if self._cutter is not None:
            try:
                data = self._cutter.feed(data)
            except EventOrderError as error:
                self._spoiled(str(error))
                return
        if data and self._head is not None:
            self._answer.pass_on(self._head, data)

    def _stream_ended(self) -> None:
        assert self._head is not None
        if self._cutter is not None and self._cutter.has_partial:
            self._broken("ended_within_event")
            return
        self._attempt_ended(None, "")
        self._answer.end(self._head)
        self._end(
            Outcome(status=self._head.status, reason="answered", is_complete=True)
        )

    def _plain_ended(self, head: ResponseHead) -> None:
        if not head.is_success and self._is_failure_to_repeat(head):
            self._log("target_failed", status=head.status)
            self._drop_target()
            self._attempt_ended(ExecutionStatus.MAY_HAVE_RUN, f"status {head.status}")
            self._submit_again()
            return
        self._attempt_ended(None, "")
        if self._answer.has_begun and not self._answer.passes_through:
            # Events were passed on; another answer cannot follow them.
            self._break_off(f"status {head.status} after events")
            return
        if not self.route.kind.may_run_again and head.status in PROMISES_NOT_RUN:
            # The target does not say that the request never ran.
            self.history.record_ended(ExecutionStatus.MAY_HAVE_RUN)
            self._fail(HTTPStatus.BAD_GATEWAY, f"status {head.status} without proof")
            return
        self._answer.deliver(head)
        self._end(
            Outcome(status=head.status, reason="answered", is_complete=head.is_success)
        )

    def _is_failure_to_repeat(self, head: ResponseHead) -> bool:
        if head.status < 500 or not self.route.kind.may_run_again:
            return False
        return not self._answer.passes_through and self._can_repeat()

    def _rejected(self) -> None:
        assert self._head is not None
        reason = f"rejected with {self._head.status}"
        self._attempt_ended(ExecutionStatus.NOT_RUN, reason)
        if self._can_repeat():
            self._submit_again()
        elif self._answer.has_begun:
            self._break_off(reason)
        else:
            self.refuse("target_rejected")

    def _spoiled(self, reason: str) -> None:
        self._drop_target()
        self._broken(reason)

    def _broken(self, reason: str) -> None:
        # The history must know of this attempt before it is asked about another.
        self._attempt_ended(ExecutionStatus.MAY_HAVE_RUN, reason)
        if self._can_repeat():
            self._submit_again()
        elif self._answer.has_begun:
            self._break_off(reason)
        else:
            self._fail(HTTPStatus.BAD_GATEWAY, reason)

    # Ends.

    def _can_repeat(self) -> bool:
        if self._answer.passes_through or self._loop.time() >= self.answer_by_s:
            return False
        return self.history.may_send_again() and self._scheduler.take_retry(self)

    def _submit_again(self) -> None:
        if self._cutter is not None:
            self._cutter.drop_partial()
        if self.choice is not None:
            self.excluded.add(self.choice.load.entry.target_id)
        self.choice = None
        self.state = ExchangeState.WAITING
        self._scheduler.submit(self)

    def _attempt_ended(self, proof: ExecutionStatus | None, reason: str) -> None:
        if proof is not None:
            self.history.record_ended(proof)
            self._log("attempt_failed", reason=reason, proof=proof.value)
        if self.choice is not None:
            self._scheduler.attempt_ended(self, failed=proof is not None)

    def _drop_target(self) -> None:
        if self._opening is not None:
            self._opening.cancel()
            self._opening = None
        target, self._target = self._target, None
        if target is not None:
            target.abort()

    def _withdraw(self) -> None:
        if self.state is ExchangeState.WAITING:
            self._scheduler.withdraw(self)
        if self.state in (ExchangeState.SENT, ExchangeState.RECEIVING):
            self.history.record_ended(ExecutionStatus.MAY_HAVE_RUN)
        self._drop_target()
        if self.choice is not None:
            self._scheduler.attempt_ended(self, failed=False)
        self.choice = None

    def _timed_out(self) -> None:
        if self.state is ExchangeState.DONE:
            return
        is_sent = self.state in (ExchangeState.SENT, ExchangeState.RECEIVING)
        self._withdraw()
        if self._answer.has_begun:
            self._break_off("timed_out")
        elif is_sent or self.history.may_have_run:
            self._fail(HTTPStatus.GATEWAY_TIMEOUT, "timed_out")
        else:
            self._finish_with(HTTPStatus.SERVICE_UNAVAILABLE, "timed_out_waiting")

    def _fail(self, status: HTTPStatus, reason: str) -> None:
        if self._answer.has_begun:
            self._break_off(reason)
        else:
            self._finish_with(status, reason)

    def _finish_with(self, status: HTTPStatus, reason: str) -> None:
        retry_after_s = None
        if status is HTTPStatus.SERVICE_UNAVAILABLE:
            retry_after_s = self._scheduler.retry_after_s(self)
        headers = self._header_codec.refusal_headers(
            self.facts.request_id, retry_after_s
        )
        self._client.send_response(status, status.phrase.encode(), headers, b"")
        self._end(Outcome(status=status, reason=reason))

    def _break_off(self, reason: str) -> None:
        self._client.abort_response()
        self._end(Outcome(status=0, reason=f"broken_off: {reason}"))

    def _end(self, outcome: Outcome) -> None:
        self.state = ExchangeState.DONE
        self._timer.cancel()
        self._scheduler.finished(self, outcome)

    def _log(self, event: str, **fields: LogValue) -> None:
        target = self.choice.load.entry.target_id if self.choice else ""
        log_event(
            event,
            level="INFO",
            request_id=self.facts.request_id,
            target=target,
            route=self.route.name,
            **fields,
        )

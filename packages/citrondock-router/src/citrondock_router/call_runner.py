"""Runs calls from the dispatcher's decision to the end of the response."""

import time
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

import pykka

from citrondock_core.actions import Outcome, Refuse, Start
from citrondock_core.configuration import Target
from citrondock_core.event_stream import EventStreamScanner
from citrondock_core.request import Ran, RefusalReason, RequestRefusedError, Usage
from citrondock_router.call import Call, CallPhase
from citrondock_router.call_claims import CallClaims
from citrondock_router.call_table import CallTable
from citrondock_router.caller_response import (
    error_event,
    render_head,
    render_outcome,
    render_refusal,
)
from citrondock_router.dispatch_actor import Finish, Progress, Requeue, Submit, Withdraw
from citrondock_router.log import log_event
from citrondock_router.metrics import RouterMetrics
from citrondock_router.relay import CallProgress, Relay, RelayListener
from citrondock_router.relayed_call import RelayEnd, RelayOutcome
from citrondock_router.target_exchange import (
    decoder_of,
    has_matching_request_id,
    head_error,
    headers_for_caller,
    resume_request,
    says_not_run,
    target_of,
    target_request,
    usage_of_call,
)
from citrondock_wire.target_connection import (
    TargetConnection,
    TargetError,
    TargetNotReachedError,
    TargetResponseError,
    TargetResponseHead,
)
from citrondock_wire.target_connections import TargetConnections

# Retries after attempts that the target may have run.
_MAX_UNCERTAIN_RETRIES = 2
# Time after the first failure during which other targets are tried.
_RETRY_WINDOW_S = 5.0
_MAX_RESUMES = 2
_SEND_TIMEOUT_S = 5.0
_HEAD_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0
_EVENT_STREAM = "text/event-stream"


class CallRunner(RelayListener):
    """Sends calls to targets, retries them, and reports their outcome.

    Worker threads connect, send and read response heads; the relay moves the bodies.

    Parameters
    ----------
    table : CallTable
        Table of the live calls.
    connections : TargetConnections
        Connections to targets.
    find_target : callable
        Returns the target with a name, or None if the configuration lacks it.
    claims : CallClaims
        Claims that keep keyed calls from running twice.
    metrics : RouterMetrics
        Metrics of calls and refusals.
    worker_count : int
        Threads that connect, send and read heads; none waits for a response body.
    slow_reader_timeout_s : float
        Time after which a caller that accepts no bytes is disconnected.
    """

    def __init__(
        self,
        *,
        table: CallTable,
        connections: TargetConnections,
        find_target: Callable[[str], Target | None],
        claims: CallClaims,
        metrics: RouterMetrics,
        worker_count: int = 32,
        slow_reader_timeout_s: float = 10.0,
    ) -> None:
        self._table = table
        self._connections = connections
        self._find_target = find_target
        self._claims = claims
        self._metrics = metrics
        self._workers = ThreadPoolExecutor(worker_count, thread_name_prefix="call")
        self._dispatch: pykka.ActorRef | None = None
        self._keep_alive_stopped = False
        self.relay = Relay(listener=self, slow_reader_timeout_s=slow_reader_timeout_s)

    def attach(self, dispatch: pykka.ActorRef) -> None:
        """Set the actor that decides where calls run."""
        self._dispatch = dispatch

    def stop_keep_alive(self) -> None:
        """Close each caller's connection after its next response."""
        self._keep_alive_stopped = True

    def close(self) -> None:
        """Stop the worker threads and the relay; close idle target connections."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.relay.stop()
        self._connections.close()

    # Called by the caller frontend and the dispatch actor

    def submit(self, call: Call) -> None:
        """Add an admitted call and queue it at the dispatcher."""
        self._table.add(call)
        self.relay.add_call(call)
        self._send_to_dispatcher(Submit(call.waiting))

    def start(self, action: Start) -> None:
        """Send a call to the target that the dispatcher chose."""
        call = self._table.get(action.request_id)
        target = self._find_target(action.target)
        if call is None or call.caller_gone:
            self._send_to_dispatcher(
                Finish(action.request_id, Usage(), Outcome.CANCELLED)
            )
            return
        if target is None:
            self._send_to_dispatcher(Requeue(action.request_id))
            return
        call.begin_attempt(target)
        self._workers.submit(self._run_step, call, self._connect_and_send)

    def refuse(self, action: Refuse) -> None:
        """Refuse a call that is still waiting."""
        call = self._table.get(action.request_id)
        if call is not None:
            self._refuse(call, action.error)

    # Called by the relay

    def on_caller_gone(self, call: Call) -> None:
        """Withdraw or cancel a call whose caller disconnected."""
        phase = call.phase
        if phase is CallPhase.WAITING:
            call.mark_ended()
            self._send_to_dispatcher(Withdraw(call.request_id))
            self._log_end(call, "caller_gone")
        elif phase in (CallPhase.SENT, CallPhase.ANSWERING):
            self._end_call(call, usage_of_call(call, None), Outcome.CANCELLED)
            self._log_end(call, "caller_gone")

    def on_head_ready(self, call: Call, upstream: TargetConnection) -> None:
        """Read the response head in a worker thread."""
        self._workers.submit(
            self._run_step, call, lambda c: self._read_head(c, upstream)
        )

    def on_head_timeout(self, call: Call, upstream: TargetConnection) -> None:
        """Refuse a call whose target sent nothing before the deadline."""
        upstream.close()
        self._claims.give_up(call)
        error = self._target_failed_error(
            call, "deadline passed before the target responded", step="head"
        )
        error.cause = RefusalReason.DEADLINE_PASSED
        self._end_call(call, usage_of_call(call, None), Outcome.FAILED)
        self._refuse(call, error)

    def on_response_end(
        self, call: Call, upstream: TargetConnection, end: RelayEnd
    ) -> None:
        """Finish, resume or give up a call whose response ended."""
        if end.outcome is RelayOutcome.WHOLE:
            self._workers.submit(
                self._run_step, call, lambda c: self._finish(c, upstream, end)
            )
            return
        upstream.close()
        if end.outcome is RelayOutcome.CUT:
            self._workers.submit(self._run_step, call, lambda c: self._recover(c, end))
            return
        self._give_up(call, end)

    def on_released(self, call: Call) -> None:
        """Remove a call whose caller connection was released."""
        self._table.remove(call.request_id)

    def on_progress(self, progress: Sequence[CallProgress]) -> None:
        """Report progress to the dispatcher."""
        self._send_to_dispatcher(Progress(progress))

    # Steps of a call, each run in a worker thread

    def _connect_and_send(self, call: Call) -> None:
        if call.caller_gone:
            self._cancel(call)
            return
        target = target_of(call)
        try:
            upstream = self._connections.open(target, fresh=not call.retryable)
        except TargetNotReachedError as error:
            self._retry_or_refuse(call, error, ran=Ran.NO)
            return
        if time.monotonic() >= call.waiting.deadline_s or call.caller_gone:
            upstream.close()
            self._cancel(call)
            return
        if not self._may_send(call):
            upstream.close()
            return
        call.phase = CallPhase.SENT
        try:
            upstream.send(target_request(call), timeout_s=_SEND_TIMEOUT_S)
        except TargetResponseError as error:
            self._retry_or_refuse(call, error, ran=Ran.MAYBE)
            return
        self.relay.await_head(call, upstream)

    def _may_send(self, call: Call) -> bool:
        """Whether the call's claim allows the send; respond to the caller if not."""
        try:
            outcome = self._claims.acquire(call)
            if outcome is None:
                self._claims.authorise(call)
                return True
        except RequestRefusedError as error:
            self._end_call(call, Usage(), Outcome.CANCELLED)
            self._refuse(call, error)
            return False
        self._end_call(call, Usage(), Outcome.CANCELLED)
        self._log_end(call, "replayed")
        self._apply_keep_alive(call)
        self.relay.send_response(call, render_outcome(call, outcome))
        return False

    def _read_head(self, call: Call, upstream: TargetConnection) -> None:
        try:
            head = upstream.read_head(call.method, timeout_s=_HEAD_TIMEOUT_S)
        except TargetResponseError as error:
            self._retry_or_refuse(call, error, ran=Ran.MAYBE)
            return
        if says_not_run(head):
            upstream.close()
            reason = f"target refused the request with status {head.status}"
            self._retry_or_refuse(call, head_error(call, reason), ran=Ran.NO)
            return
        if not has_matching_request_id(call, head):
            upstream.close()
            error_of_head = head_error(call, "response to another request")
            self._retry_or_refuse(call, error_of_head, ran=Ran.MAYBE)
            return
        self._begin_response(call, upstream, head)

    def _begin_response(
        self, call: Call, upstream: TargetConnection, head: TargetResponseHead
    ) -> None:
        is_stream = head.headers.get("content-type", "").startswith(_EVENT_STREAM)
        call.phase = CallPhase.ANSWERING
        call.response_head = head
        call.streaming = is_stream
        headers = headers_for_caller(call, head)
        self._apply_keep_alive(call)
        rendered = render_head(call.http_request, status=head.status, headers=headers)
        upstream.keep_alive = head.keep_alive
        delay_s = time.monotonic() - call.waiting.arrived_at_s
        self._metrics.observe_first_byte(call.service.name, delay_s)
        self.relay.begin(
            call,
            upstream,
            head=rendered,
            decoder=decoder_of(head),
            scanner=EventStreamScanner(call.request_id) if is_stream else None,
            buffered=upstream.read_buffered_body(),
            keeps_body=not is_stream or call.claim is not None,
        )

    def _finish(self, call: Call, upstream: TargetConnection, end: RelayEnd) -> None:
        if upstream.keep_alive:
            self._connections.keep(upstream)
        else:
            upstream.close()
        if call.response_head is not None:
            self._claims.finish(call, call.response_head, end)
        self._end_call(call, usage_of_call(call, end), Outcome.DONE)
        self._log_end(call, "whole")

    def _recover(self, call: Call, end: RelayEnd) -> None:
        """Resume a truncated stream, or abort it if the target can't resume it."""
        if not (call.is_chat and call.streaming and not call.caller_gone):
            self._give_up(call, end)
            return
        target = target_of(call)
        try:
            upstream = self._connections.open(target, fresh=True)
            upstream.send(resume_request(call, end), timeout_s=_SEND_TIMEOUT_S)
            head = upstream.read_head("GET", timeout_s=_HEAD_TIMEOUT_S)
        except TargetError:
            self._give_up(call, end)
            return
        call.resume_count += 1
        resumes = head.status == 200 and has_matching_request_id(call, head)
        if not resumes or call.resume_count > _MAX_RESUMES:
            upstream.close()
            self._give_up(call, end)
            return
        upstream.keep_alive = head.keep_alive
        log_event("stream_resumed", request_id=call.request_id, target=target.name)
        self.relay.resume(
            call,
            upstream,
            decoder=decoder_of(head),
            buffered=upstream.read_buffered_body(),
        )

    def _give_up(self, call: Call, end: RelayEnd) -> None:
        gone = end.outcome in (RelayOutcome.CALLER_GONE, RelayOutcome.CALLER_SLOW)
        outcome = Outcome.CANCELLED if gone else Outcome.FAILED
        self._claims.give_up(call)
        self._end_call(call, usage_of_call(call, end), outcome)
        self._log_end(call, end.outcome.value)
        if gone:
            return
        error = self._target_failed_error(
            call, f"response ended early: {end.outcome.value}", step="relay"
        )
        event = error_event(error, call.request_id) if call.streaming else b""
        self.relay.abort(call, event)

    # Helpers

    def _run_step(self, call: Call, step: Callable[[Call], None]) -> None:
        try:
            step(call)
        except Exception as error:
            log_event(
                "call_error",
                level="ERROR",
                request_id=call.request_id,
                error=type(error).__name__,
                detail=str(error),
            )
            if call.phase is not CallPhase.OPENING:
                self._claims.give_up(call)
            self._end_call(call, usage_of_call(call, None), Outcome.FAILED)
            self._refuse(
                call, self._target_failed_error(call, "internal error", step="run")
            )

    def _retry_or_refuse(self, call: Call, error: TargetError, *, ran: Ran) -> None:
        may_run_again = ran is Ran.NO or call.retryable
        late = time.monotonic() >= call.waiting.deadline_s
        log_event(
            "attempt_failed",
            level="WARNING",
            request_id=call.request_id,
            target=error.peer,
            step=error.step,
            ran=ran.value,
            detail=error.reason,
        )
        self._end_claim(call, ran)
        call.may_have_run |= ran is Ran.MAYBE
        if call.caller_gone:
            self._cancel(call)
        elif may_run_again and not late and self._may_retry(call, ran):
            call.phase = CallPhase.WAITING
            self._send_to_dispatcher(Requeue(call.request_id))
        else:
            self._end_call(call, usage_of_call(call, None), Outcome.FAILED)
            self._refuse(
                call,
                RequestRefusedError(
                    error.reason,
                    step=error.step,
                    peer=error.peer,
                    cause=RefusalReason.TARGET_FAILED,
                    ran=ran,
                    retry_after_s=_RETRY_AFTER_S,
                ),
            )

    @staticmethod
    def _may_retry(call: Call, ran: Ran) -> bool:
        """Whether another target may be tried.

        An attempt that did not run costs its target only a cooldown, so time alone
        limits these. One that may have run can load two targets with the same call,
        so the number of these is limited too.
        """
        if ran is Ran.MAYBE:
            call.uncertain_attempt_count += 1
        now_s = time.monotonic()
        if call.attempts_deadline_s is None:
            call.attempts_deadline_s = now_s + _RETRY_WINDOW_S
        return (
            call.uncertain_attempt_count <= _MAX_UNCERTAIN_RETRIES
            and now_s < call.attempts_deadline_s
        )

    def _end_claim(self, call: Call, ran: Ran) -> None:
        if ran is Ran.NO:
            self._claims.release(call)
        else:
            self._claims.give_up(call)

    def _cancel(self, call: Call) -> None:
        self._claims.release(call)
        self._end_call(call, usage_of_call(call, None), Outcome.CANCELLED)
        if not call.caller_gone:
            error = RequestRefusedError(
                "deadline passed before the request was sent",
                step="open",
                cause=RefusalReason.DEADLINE_PASSED,
            )
            self._refuse(call, error)

    def _refuse(self, call: Call, error: RequestRefusedError) -> None:
        if call.may_have_run:
            # An earlier attempt may have run, even if the last one provably did not.
            error.ran = Ran.MAYBE
        first = call.mark_ended()
        if not first and call.caller_gone:
            return
        self._log_end(call, "refused", cause=error.cause.value, ran=error.ran.value)
        self._metrics.count_refusal(error.cause.value, error.ran.value)
        self._apply_keep_alive(call)
        data = render_refusal(call.http_request, error, call.request_id)
        self.relay.send_response(call, data)

    def _apply_keep_alive(self, call: Call) -> None:
        call.http_request.close_connection |= self._keep_alive_stopped

    def _target_failed_error(
        self, call: Call, reason: str, *, step: str
    ) -> RequestRefusedError:
        peer = call.target.name if call.target else "local"
        return RequestRefusedError(
            reason,
            step=step,
            peer=peer,
            cause=RefusalReason.TARGET_FAILED,
            ran=Ran.MAYBE,
        )

    def _end_call(self, call: Call, usage: Usage, outcome: Outcome) -> None:
        """Mark a started call as ended, and report its usage to the dispatcher."""
        call.mark_ended()
        self._send_to_dispatcher(Finish(call.request_id, usage, outcome))

    def _log_end(self, call: Call, outcome: str, **fields: str) -> None:
        now_s = time.monotonic()
        self._metrics.count_call(call.service.name, outcome)
        log_event(
            "call_ended",
            request_id=call.request_id,
            account=call.account.name,
            service=call.service.name,
            target=call.target.name if call.target else "",
            outcome=outcome,
            attempts=call.attempt_count,
            total_s=now_s - call.waiting.arrived_at_s,
            **fields,
        )

    def _send_to_dispatcher(self, message: object) -> None:
        if self._dispatch is not None:
            self._dispatch.tell(message)

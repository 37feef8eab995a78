"""Carries a call from the dispatcher's decision to the end of its answer."""

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
from citrondock_router.dispatch_actor import Progress, Requeue, Settle, Submit, Withdraw
from citrondock_router.log import log_event
from citrondock_router.metrics import RouterMetrics
from citrondock_router.relay import CallProgress, Relay, RelayListener
from citrondock_router.relayed_call import RelayEnd, RelayOutcome
from citrondock_router.target_exchange import (
    answers_call,
    decoder_of,
    head_error,
    headers_for_caller,
    is_not_run,
    resume_request,
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

_MAX_REPEATS = 2
_NOT_RUN_ATTEMPTS_S = 5.0
_MAX_RESUMES = 2
_SEND_TIMEOUT_S = 5.0
_HEAD_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0
_EVENT_STREAM = "text/event-stream"


class CallRunner(RelayListener):
    """Sends calls to targets and settles what became of them.

    Parameters
    ----------
    table : CallTable
        Live calls.
    connections : TargetConnections
        Connections to targets.
    find_target : callable
        Returns the target of a name, or None when the configuration dropped it.
    claims : CallClaims
        Keeps keyed calls from running twice.
    metrics : RouterMetrics
        Counts calls and refusals.
    worker_count : int
        Threads that connect, send and read heads; none waits for an answer's body.
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
        self._leaving = False
        self.relay = Relay(listener=self, slow_reader_timeout_s=slow_reader_timeout_s)

    def attach(self, dispatch: pykka.ActorRef) -> None:
        """Name the actor that decides where calls run."""
        self._dispatch = dispatch

    def stop_keep_alive(self) -> None:
        """Tell callers from now on to close their connections after an answer."""
        self._leaving = True

    def close(self) -> None:
        """End the workers and the relay."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.relay.stop()
        self._connections.close()

    # What the caller server and the dispatcher ask for

    def submit(self, call: Call) -> None:
        """Take over an admitted call."""
        self._table.add(call)
        self.relay.adopt(call)
        self._tell(Submit(call.waiting))

    def start(self, action: Start) -> None:
        """Send a call to the target that the dispatcher chose."""
        call = self._table.get(action.request_id)
        target = self._find_target(action.target)
        if call is None or call.caller_gone:
            self._tell(Settle(action.request_id, Usage(), Outcome.CANCELLED))
            return
        if target is None:
            self._tell(Requeue(action.request_id))
            return
        call.begin_attempt(target)
        self._workers.submit(self._guarded, call, self._open)

    def refuse(self, action: Refuse) -> None:
        """Refuse a call that waited."""
        call = self._table.get(action.request_id)
        if call is not None:
            self._refuse(call, action.error)

    # What the relay tells

    def on_caller_gone(self, call: Call) -> None:
        """Withdraw or settle a call that nobody waits for."""
        phase = call.phase
        if phase is CallPhase.WAITING:
            call.end_once()
            self._tell(Withdraw(call.request_id))
            self._log_end(call, "caller_gone")
        elif phase in (CallPhase.SENT, CallPhase.ANSWERING):
            self._settle(call, usage_of_call(call, None), Outcome.CANCELLED)
            self._log_end(call, "caller_gone")

    def on_head_ready(self, call: Call, upstream: TargetConnection) -> None:
        """Read the head of an answer in a worker."""
        self._workers.submit(
            self._guarded, call, lambda c: self._read_head(c, upstream)
        )

    def on_head_late(self, call: Call, upstream: TargetConnection) -> None:
        """Give up a call whose target did not begin to answer in time."""
        upstream.close()
        self._claims.give_up(call)
        error = self._failure(call, "deadline passed", step="head")
        error.cause = RefusalReason.DEADLINE_PASSED
        self._settle(call, usage_of_call(call, None), Outcome.FAILED)
        self._refuse(call, error)

    def on_end(self, call: Call, upstream: TargetConnection, end: RelayEnd) -> None:
        """Settle an answer that ended."""
        if end.outcome is RelayOutcome.WHOLE:
            self._workers.submit(
                self._guarded, call, lambda c: self._finish(c, upstream, end)
            )
            return
        upstream.close()
        if end.outcome is RelayOutcome.CUT:
            self._workers.submit(self._guarded, call, lambda c: self._recover(c, end))
            return
        self._give_up(call, end)

    def on_released(self, call: Call) -> None:
        """Forget a call whose caller has its answer."""
        self._table.remove(call.request_id)

    def on_progress(self, progress: Sequence[CallProgress]) -> None:
        """Pass progress on to the ledger."""
        self._tell(Progress(progress))

    # Steps, each in a worker thread

    def _open(self, call: Call) -> None:
        if call.caller_gone:
            self._cancel(call)
            return
        target = target_of(call)
        try:
            upstream = self._connections.open(target, fresh=not call.repeatable)
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
        """Whether the call's claim allows the send; answers the caller if not."""
        try:
            outcome = self._claims.acquire(call)
            if outcome is None:
                self._claims.authorise(call)
                return True
        except RequestRefusedError as error:
            self._settle(call, Usage(), Outcome.CANCELLED)
            self._refuse(call, error)
            return False
        self._settle(call, Usage(), Outcome.CANCELLED)
        self._log_end(call, "replayed")
        self._note_leaving(call)
        self.relay.answer(call, render_outcome(call, outcome))
        return False

    def _read_head(self, call: Call, upstream: TargetConnection) -> None:
        try:
            head = upstream.read_head(call.method, timeout_s=_HEAD_TIMEOUT_S)
        except TargetResponseError as error:
            self._retry_or_refuse(call, error, ran=Ran.MAYBE)
            return
        if is_not_run(head):
            upstream.close()
            reason = f"refused with status {head.status}"
            self._retry_or_refuse(call, head_error(call, reason), ran=Ran.NO)
            return
        if not answers_call(call, head):
            upstream.close()
            error_of_head = head_error(call, "answer to another request")
            self._retry_or_refuse(call, error_of_head, ran=Ran.MAYBE)
            return
        self._begin(call, upstream, head)

    def _begin(
        self, call: Call, upstream: TargetConnection, head: TargetResponseHead
    ) -> None:
        streams = head.headers.get("content-type", "").startswith(_EVENT_STREAM)
        call.phase = CallPhase.ANSWERING
        call.answer_head = head
        call.streaming = streams
        headers = headers_for_caller(call, head)
        self._note_leaving(call)
        rendered = render_head(call.http_request, status=head.status, headers=headers)
        upstream.keep_alive = head.keep_alive
        delay_s = time.monotonic() - call.waiting.arrived_at_s
        self._metrics.observe_first_byte(call.service.name, delay_s)
        self.relay.begin(
            call,
            upstream,
            head=rendered,
            decoder=decoder_of(head),
            scanner=EventStreamScanner(call.request_id) if streams else None,
            buffered=upstream.read_buffered_body(),
            keeps_body=not streams or call.claim is not None,
        )

    def _finish(self, call: Call, upstream: TargetConnection, end: RelayEnd) -> None:
        if upstream.keep_alive:
            self._connections.keep(upstream)
        else:
            upstream.close()
        if call.answer_head is not None:
            self._claims.finish(call, call.answer_head, end)
        self._settle(call, usage_of_call(call, end), Outcome.DONE)
        self._log_end(call, "whole")

    def _recover(self, call: Call, end: RelayEnd) -> None:
        """Resume a cut stream where the target offers it, or end it visibly."""
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
        resumes = head.status == 200 and answers_call(call, head)
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
        self._settle(call, usage_of_call(call, end), outcome)
        self._log_end(call, end.outcome.value)
        if gone:
            return
        error = self._failure(call, f"answer {end.outcome.value}", step="relay")
        event = error_event(error, call.request_id) if call.streaming else b""
        self.relay.abort(call, event)

    # Helpers

    def _guarded(self, call: Call, step: Callable[[Call], None]) -> None:
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
            self._settle(call, usage_of_call(call, None), Outcome.FAILED)
            self._refuse(call, self._failure(call, "internal error", step="run"))

    def _retry_or_refuse(self, call: Call, error: TargetError, *, ran: Ran) -> None:
        may_repeat = ran is Ran.NO or call.repeatable
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
        elif may_repeat and not late and self._has_attempt_left(call, ran):
            call.phase = CallPhase.WAITING
            self._tell(Requeue(call.request_id))
        else:
            self._settle(call, usage_of_call(call, None), Outcome.FAILED)
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
    def _has_attempt_left(call: Call, ran: Ran) -> bool:
        """Whether another target may be tried.

        An attempt that did not run costs a target nothing but a penalty, so that time
        alone bounds them; others load targets twice and are few.
        """
        if ran is Ran.MAYBE:
            call.repeat_count += 1
        now_s = time.monotonic()
        if call.attempts_end_s is None:
            call.attempts_end_s = now_s + _NOT_RUN_ATTEMPTS_S
        return call.repeat_count <= _MAX_REPEATS and now_s < call.attempts_end_s

    def _end_claim(self, call: Call, ran: Ran) -> None:
        if ran is Ran.NO:
            self._claims.release(call)
        else:
            self._claims.give_up(call)

    def _cancel(self, call: Call) -> None:
        self._claims.release(call)
        self._settle(call, usage_of_call(call, None), Outcome.CANCELLED)
        if not call.caller_gone:
            error = RequestRefusedError(
                "deadline passed before the request was sent",
                step="open",
                cause=RefusalReason.DEADLINE_PASSED,
            )
            self._refuse(call, error)

    def _refuse(self, call: Call, error: RequestRefusedError) -> None:
        if call.may_have_run:
            # A later attempt that provably did not run proves nothing of an earlier.
            error.ran = Ran.MAYBE
        first = call.end_once()
        if not first and call.caller_gone:
            return
        self._log_end(call, "refused", cause=error.cause.value, ran=error.ran.value)
        self._metrics.count_refusal(error.cause.value, error.ran.value)
        self._note_leaving(call)
        data = render_refusal(call.http_request, error, call.request_id)
        self.relay.answer(call, data)

    def _note_leaving(self, call: Call) -> None:
        call.http_request.close_connection |= self._leaving

    def _failure(self, call: Call, reason: str, *, step: str) -> RequestRefusedError:
        peer = call.target.name if call.target else "local"
        return RequestRefusedError(
            reason,
            step=step,
            peer=peer,
            cause=RefusalReason.TARGET_FAILED,
            ran=Ran.MAYBE,
        )

    def _settle(self, call: Call, usage: Usage, outcome: Outcome) -> None:
        call.end_once()
        self._tell(Settle(call.request_id, usage, outcome))

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

    def _tell(self, message: object) -> None:
        if self._dispatch is not None:
            self._dispatch.tell(message)

"""Sends the requests of one client process of a load run."""

import asyncio
import gc
import time
import uuid
from collections.abc import Sequence

import attrs
import httptools

from citrondock_bench.answer import (
    CallResult,
    ChatAnswer,
    Outcome,
    read_refusal,
)
from citrondock_bench.http_call import HttpResponse, call
from citrondock_bench.plan import AccountLoad, LoadPlan
from citrondock_bench.recorder import AccountRecord, AccountRecorder, CallEnd
from citrondock_bench.request_body import build_request, chat_document
from citrondock_bench.schedule import AccountRequests, PlannedRequest
from citrondock_core.configuration import ServiceKind
from citrondock_standins.engine_text import expected_text

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
SUCCESS_STATUSES = range(200, 300)


@attrs.frozen(kw_only=True)
class WorkerTask:
    """A plan and the part of it that one worker runs.

    Parameters
    ----------
    plan : LoadPlan
        Plan of the whole load run.
    worker_index : int
        Index of the worker, from 0.
    starts_at_s : float
        Monotonic time of the start, the same in all workers.
    run_id : str
        Id of the run, which makes its idempotency keys differ from those of other runs.
    """

    plan: LoadPlan
    worker_index: int
    starts_at_s: float
    run_id: str


class _Call:
    """Sends one request, checks its answer and records the result."""

    def __init__(
        self, task: WorkerTask, planned: PlannedRequest, recorder: AccountRecorder
    ) -> None:
        self._task = task
        self._planned = planned
        self._recorder = recorder
        self._answer = ChatAnswer(lambda: expected_text(chat_document(planned)))
        self._body = bytearray()
        self._is_streamed = (
            planned.shape.kind is ServiceKind.CHAT and planned.shape.stream
        )
        self._is_waiting = True

    async def run(self) -> CallResult:
        """Send the request, check the answer, and record and return the result."""
        sent_s = time.monotonic()
        self._recorder.record_sent(at_s=self._since_start_s(sent_s))
        result = await self._send_and_check()
        ended_s = time.monotonic()
        self._stop_waiting(ended_s)
        self._record_remaining_service(result, ended_s)
        self._recorder.record_end(
            CallEnd(
                judgement=result,
                sent_s=sent_s,
                ended_s=ended_s,
                token_times_s=self._answer.token_times_s,
                prompt_tokens=self._answer.prompt_tokens,
                generated_tokens=self._answer.generated_tokens,
                service_tokens=self._answer.generated_tokens
                + self._prompt_service(self._answer.prompt_tokens),
                endpoint=self._planned.endpoint.name,
                request_id=self._answer.request_id,
            )
        )
        return result

    def _since_start_s(self, now_s: float) -> float:
        return now_s - self._task.starts_at_s

    async def _send_and_check(self) -> CallResult:
        task, planned = self._task, self._planned
        request = build_request(planned, run_id=f"{task.run_id}/{task.worker_index}")
        try:
            async with asyncio.timeout(task.plan.call_timeout_s):
                response = await call(
                    planned.endpoint.host, planned.endpoint.port, request, self._on_body
                )
        except TimeoutError:
            return CallResult(outcome=Outcome.TIMED_OUT)
        except (OSError, ValueError, httptools.HttpParserError) as error:
            return CallResult(outcome=Outcome.FAILED, error=type(error).__name__)
        return self._check_response(response)

    def _check_response(self, response: HttpResponse) -> CallResult:
        if not response.status:
            return CallResult(outcome=Outcome.FAILED, error="closed without an answer")
        if response.status not in SUCCESS_STATUSES:
            refusal = read_refusal(response.status, bytes(self._body))
            return CallResult(outcome=Outcome.REFUSED, refusal=refusal)
        if self._is_streamed:
            return self._answer.check(response)
        if self._planned.shape.kind is ServiceKind.CHAT:
            self._answer.feed_unstreamed(bytes(self._body))
            return self._answer.check(response)
        outcome = Outcome.WHOLE if response.complete else Outcome.CUT
        return CallResult(outcome=outcome)

    def _on_body(self, data: bytes) -> None:
        if not self._answer.token_times_s:
            self._body += data
        if not self._is_streamed:
            return
        pieces = self._answer.feed(data)
        if not pieces:
            return
        now_s = time.monotonic()
        self._stop_waiting(now_s)
        self._recorder.record_service(pieces, at_s=self._since_start_s(now_s))

    def _stop_waiting(self, now_s: float) -> None:
        if not self._is_waiting:
            return
        self._is_waiting = False
        at_s = self._since_start_s(now_s)
        self._recorder.record_wait_end(at_s=at_s)
        if self._answer.token_times_s:
            self._recorder.record_service(
                self._prompt_service(self._planned.prompt_tokens), at_s=at_s
            )

    def _prompt_service(self, prompt_tokens: int) -> float:
        return prompt_tokens * self._task.plan.prompt_token_weight

    def _record_remaining_service(self, result: CallResult, ended_s: float) -> None:
        """Record the service in the reported usage that was not yet recorded."""
        answer = self._answer
        if result.outcome is not Outcome.WHOLE or not answer.generated_tokens:
            return
        remaining = answer.generated_tokens + self._prompt_service(answer.prompt_tokens)
        if self._is_streamed:
            remaining -= len(answer.token_times_s)
            remaining -= self._prompt_service(self._planned.prompt_tokens)
        self._recorder.record_service(remaining, at_s=self._since_start_s(ended_s))


def _retry_delay_s(result: CallResult) -> float:
    """Return how long a closed loop waits before its next request.

    After a refusal that is its ``retry_after_s`` within limits, after any other failure
    the minimum.
    """
    if result.outcome is Outcome.WHOLE:
        return 0.0
    requested_s = result.refusal.retry_after_s if result.refusal else None
    return max(
        MIN_RETRY_DELAY_S, min(MAX_RETRY_DELAY_S, requested_s or MIN_RETRY_DELAY_S)
    )


class LoadWorker:
    """Sends one worker's share of the requests of a plan."""

    def __init__(self, task: WorkerTask) -> None:
        self._task = task
        self._recorders = {
            account.name: AccountRecorder(
                account.name,
                duration_s=task.plan.duration_s,
                keeps_calls=task.plan.keeps_calls,
            )
            for account in task.plan.accounts
        }
        self._running: set[asyncio.Task[CallResult]] = set()

    async def run(self) -> Sequence[AccountRecord]:
        """Send all requests and return the measurements of each account."""
        await self._sleep_until(0.0)
        async with asyncio.TaskGroup() as group:
            for account in self._task.plan.accounts:
                requests = AccountRequests(
                    self._task.plan, account, worker_index=self._task.worker_index
                )
                group.create_task(self._open_loop(account, requests))
                for _ in range(self._backlog_share_count(account)):
                    group.create_task(self._closed_loop(account, requests))
        await self._drain()
        at_s = time.monotonic() - self._task.starts_at_s
        return [
            recorder.build_record(at_s=at_s) for recorder in self._recorders.values()
        ]

    def _backlog_share_count(self, account: AccountLoad) -> int:
        count, workers = account.backlog_count, self._task.plan.worker_count
        return count // workers + (self._task.worker_index < count % workers)

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._task.starts_at_s + at_s - time.monotonic()))

    def _start_call(self, planned: PlannedRequest) -> asyncio.Task[CallResult]:
        new_call = _Call(self._task, planned, self._recorders[planned.account.name])
        running = asyncio.get_running_loop().create_task(new_call.run())
        self._running.add(running)
        running.add_done_callback(self._running.discard)
        return running

    async def _open_loop(self, account: AccountLoad, requests: AccountRequests) -> None:
        for planned in requests.arrivals():
            await self._sleep_until(planned.at_s)
            self._start_call(planned)

    async def _closed_loop(
        self, account: AccountLoad, requests: AccountRequests
    ) -> None:
        await self._sleep_until(account.starts_at_s)
        stops_at_s = min(
            account.stops_at_s or self._task.plan.duration_s,
            self._task.plan.duration_s,
        )
        end_s = self._task.starts_at_s + stops_at_s
        while time.monotonic() < end_s:
            running = self._start_call(requests.next())
            await asyncio.wait({running}, timeout=max(0.0, end_s - time.monotonic()))
            if running.done():
                await asyncio.sleep(_retry_delay_s(running.result()))

    async def _drain(self) -> None:
        if self._running:
            await asyncio.wait(set(self._running), timeout=self._task.plan.drain_s)
        unfinished = set(self._running)
        for task in unfinished:
            task.cancel()
        await asyncio.gather(*unfinished, return_exceptions=True)


def run_worker(task: WorkerTask) -> Sequence[AccountRecord]:
    """Run one worker in this process and return its records."""
    gc.freeze()
    return asyncio.run(LoadWorker(task).run())


def new_run_id() -> str:
    """Return a random id for a run."""
    return uuid.uuid4().hex

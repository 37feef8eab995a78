"""One client process of a load run."""

import asyncio
import gc
import time
import uuid
from collections.abc import Sequence

import attrs
import httptools

from citrondock_bench.answer import (
    ChatAnswer,
    Judgement,
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

SHORTEST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
SUCCESS_STATUSES = range(200, 300)


@attrs.frozen(kw_only=True)
class WorkerTask:
    """A plan, and which part of it a worker plays.

    Parameters
    ----------
    plan : LoadPlan
        Whole plan.
    worker_index : int
        From 0.
    starts_at_s : float
        Monotonic time of the start, the same in all workers.
    run_id : str
        Sets the idempotency keys of this run apart.
    """

    plan: LoadPlan
    worker_index: int
    starts_at_s: float
    run_id: str


class _Call:
    """One call from its start to its record."""

    def __init__(
        self, task: WorkerTask, planned: PlannedRequest, recorder: AccountRecorder
    ) -> None:
        self._task = task
        self._planned = planned
        self._recorder = recorder
        self._answer = ChatAnswer(lambda: expected_text(chat_document(planned)))
        self._body = bytearray()
        self._streamed = planned.shape.kind is ServiceKind.CHAT and planned.shape.stream
        self._waits = True

    async def run(self) -> Judgement:
        """Send, follow, judge and record it."""
        sent_s = time.monotonic()
        self._recorder.sent(at_s=self._since_start_s(sent_s))
        judgement = await self._judged()
        ended_s = time.monotonic()
        self._stop_waiting(ended_s)
        self._settle(judgement, ended_s)
        self._recorder.ended(
            CallEnd(
                judgement=judgement,
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
        return judgement

    def _since_start_s(self, now_s: float) -> float:
        return now_s - self._task.starts_at_s

    async def _judged(self) -> Judgement:
        task, planned = self._task, self._planned
        request = build_request(planned, run_id=f"{task.run_id}/{task.worker_index}")
        try:
            async with asyncio.timeout(task.plan.call_timeout_s):
                response = await call(
                    planned.endpoint.host, planned.endpoint.port, request, self._feed
                )
        except TimeoutError:
            return Judgement(outcome=Outcome.TIMED_OUT)
        except (OSError, ValueError, httptools.HttpParserError) as error:
            return Judgement(outcome=Outcome.FAILED, fault=type(error).__name__)
        return self._judge(response)

    def _judge(self, response: HttpResponse) -> Judgement:
        if not response.status:
            return Judgement(outcome=Outcome.FAILED, fault="closed without an answer")
        if response.status not in SUCCESS_STATUSES:
            refusal = read_refusal(response.status, bytes(self._body))
            return Judgement(outcome=Outcome.REFUSED, refusal=refusal)
        if self._streamed:
            return self._answer.judge(response)
        if self._planned.shape.kind is ServiceKind.CHAT:
            self._answer.take_whole(bytes(self._body))
            return self._answer.judge(response)
        outcome = Outcome.WHOLE if response.complete else Outcome.CUT
        return Judgement(outcome=outcome)

    def _feed(self, data: bytes) -> None:
        if not self._answer.token_times_s:
            self._body += data
        if not self._streamed:
            return
        pieces = self._answer.feed(data)
        if not pieces:
            return
        now_s = time.monotonic()
        self._stop_waiting(now_s)
        self._recorder.received(pieces, at_s=self._since_start_s(now_s))

    def _stop_waiting(self, now_s: float) -> None:
        if not self._waits:
            return
        self._waits = False
        at_s = self._since_start_s(now_s)
        self._recorder.stopped_waiting(at_s=at_s)
        if self._answer.token_times_s:
            self._recorder.received(
                self._prompt_service(self._planned.prompt_tokens), at_s=at_s
            )

    def _prompt_service(self, prompt_tokens: int) -> float:
        return prompt_tokens * self._task.plan.prompt_token_weight

    def _settle(self, judgement: Judgement, ended_s: float) -> None:
        """Add what the usage says beyond the pieces seen."""
        answer = self._answer
        if judgement.outcome is not Outcome.WHOLE or not answer.generated_tokens:
            return
        missing = answer.generated_tokens + self._prompt_service(answer.prompt_tokens)
        if self._streamed:
            missing -= len(answer.token_times_s)
            missing -= self._prompt_service(self._planned.prompt_tokens)
        self._recorder.received(missing, at_s=self._since_start_s(ended_s))


def _pause_s(judgement: Judgement) -> float:
    """Return how long a closed loop waits before its next request."""
    if judgement.outcome is Outcome.WHOLE:
        return 0.0
    asked_s = judgement.refusal.retry_after_s if judgement.refusal else None
    return max(SHORTEST_PAUSE_S, min(LONGEST_PAUSE_S, asked_s or SHORTEST_PAUSE_S))


class LoadWorker:
    """Plays one worker's part of a plan."""

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
        self._running: set[asyncio.Task[Judgement]] = set()

    async def run(self) -> Sequence[AccountRecord]:
        """Send all and return what was seen."""
        await self._sleep_until(0.0)
        async with asyncio.TaskGroup() as group:
            for account in self._task.plan.accounts:
                requests = AccountRequests(
                    self._task.plan, account, worker_index=self._task.worker_index
                )
                group.create_task(self._open_loop(account, requests))
                for _ in range(self._backlog_share(account)):
                    group.create_task(self._closed_loop(account, requests))
        await self._drain()
        at_s = time.monotonic() - self._task.starts_at_s
        return [recorder.record(at_s=at_s) for recorder in self._recorders.values()]

    def _backlog_share(self, account: AccountLoad) -> int:
        count, workers = account.backlog_count, self._task.plan.worker_count
        return count // workers + (self._task.worker_index < count % workers)

    async def _sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, self._task.starts_at_s + at_s - time.monotonic()))

    def _start(self, planned: PlannedRequest) -> asyncio.Task[Judgement]:
        one = _Call(self._task, planned, self._recorders[planned.account.name])
        running = asyncio.get_running_loop().create_task(one.run())
        self._running.add(running)
        running.add_done_callback(self._running.discard)
        return running

    async def _open_loop(self, account: AccountLoad, requests: AccountRequests) -> None:
        for planned in requests.arrivals():
            await self._sleep_until(planned.at_s)
            self._start(planned)

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
            running = self._start(requests.next())
            await asyncio.wait({running}, timeout=max(0.0, end_s - time.monotonic()))
            if running.done():
                await asyncio.sleep(_pause_s(running.result()))

    async def _drain(self) -> None:
        if self._running:
            await asyncio.wait(set(self._running), timeout=self._task.plan.drain_s)
        left = set(self._running)
        for one in left:
            one.cancel()
        await asyncio.gather(*left, return_exceptions=True)


def run_worker(task: WorkerTask) -> Sequence[AccountRecord]:
    """Run one worker in this process."""
    gc.freeze()
    return asyncio.run(LoadWorker(task).run())


def new_run_id() -> str:
    """Return a fresh id for a run."""
    return uuid.uuid4().hex

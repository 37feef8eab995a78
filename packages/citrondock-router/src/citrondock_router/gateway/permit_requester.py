"""Requests permits to send single plain requests to targets that name a limit."""

import asyncio
from collections.abc import Callable, Sequence
from functools import partial

import attrs

from citrondock_core.routing.grant import GrantAnswer, GrantRequest, Stage, Verdict
from citrondock_core.routing.target_load import TargetLoad
from citrondock_router.gateway.grant_broker import GrantBroker

MIN_PAUSE_S = 0.02
"""Least time after a refusal in which no further permit is requested for a target."""

MAX_PERMIT_WAIT_S = 0.5
"""Time after which a permit that was not answered is given up."""


@attrs.define
class _TargetPermits:
    pending_count: int = 0
    next_at_s: float = 0.0


class PermitRequester:
    """Asks the home routers of targets with a limit for permits.

    A permit belongs to no request: whichever of the waiting ones comes first when it
    arrives is sent.

    Parameters
    ----------
    broker : GrantBroker
        Sends requests to home routers and passes on their answers.
    on_permit : callable
        Called with the load of the target that one request may be sent to.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        broker: GrantBroker,
        on_permit: Callable[[TargetLoad], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._broker = broker
        self._on_permit = on_permit
        self._loop = loop
        self._targets: dict[str, _TargetPermits] = {}

    def request(self, loads: Sequence[TargetLoad], waiting_count: int) -> None:
        """Request permits for as many requests as wait.

        Parameters
        ----------
        loads : sequence of TargetLoad
            Targets with a limit; the least loaded ones are asked first.
        waiting_count : int
            Requests that wait for a target.
        """
        now_s = self._loop.time()
        missing_count = waiting_count - sum(
            self._permits(load).pending_count for load in loads
        )
        free = [
            load
            for load in loads
            if load.has_free_slot and now_s >= self._permits(load).next_at_s
        ]
        free.sort(key=lambda load: (self._permits(load).pending_count, load.busy_share))
        for load in free[: max(missing_count, 0)]:
            self._request_one(load, now_s)

    def next_at_s(self, loads: Sequence[TargetLoad]) -> float:
        """Return the earliest time at which one of these targets has a permit."""
        return min(self._permits(load).next_at_s for load in loads)

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget all targets but those named."""
        for target_id in set(self._targets) - target_ids:
            del self._targets[target_id]

    def _permits(self, load: TargetLoad) -> _TargetPermits:
        return self._targets.setdefault(load.entry.target_id, _TargetPermits())

    def _request_one(self, load: TargetLoad, now_s: float) -> None:
        self._permits(load).pending_count += 1
        request = GrantRequest(
            key=self._broker.new_key(),
            target_id=load.entry.target_id,
            account="",
            kind="",
            prompt_tokens=0,
            output_tokens=0,
            shared_parts=(),
            on_time_until_s=now_s + MAX_PERMIT_WAIT_S,
            wait_until_s=now_s + MAX_PERMIT_WAIT_S,
        )
        answered = partial(self._handle_answer, load)
        self._broker.request_grant(request, load.entry, answered)

    def _handle_answer(self, load: TargetLoad, answer: GrantAnswer) -> None:
        permits = self._permits(load)
        permits.pending_count = max(permits.pending_count - 1, 0)
        if answer.verdict is Verdict.GRANTED:
            self._broker.report_progress(answer.key, Stage.ENDED)
            permits.next_at_s = 0.0
            self._on_permit(load)
        else:
            pause_s = max(answer.first_answer_s, MIN_PAUSE_S)
            permits.next_at_s = self._loop.time() + pause_s

"""Grants the prompts of all routers to the engines that this router is the home of."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs

from citrondock_core.routing.engine_admission import EngineAdmission
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.fleet_usage import FleetUsage
from citrondock_core.routing.grant import (
    EngineBacklog,
    GrantAnswer,
    GrantKey,
    GrantProgress,
    GrantRequest,
    RefusalReason,
    Stage,
    Verdict,
)
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_limits import TargetLimits
from citrondock_router.gateway.peer_link import PeerLink
from citrondock_router.log import log_event

USAGE_HALF_LIFE_S = 0.5
"""Half-life of the usage of each account. What an account got before others came holds
it up until they have caught up; that must take far less than the six seconds over which
users judge fairness, however many accounts come at once."""

RELAYED_REPORTS = 6
"""Reports on other engines that go with each answer to a grant request. Every router
gets some answers a second, so that it hears of most engines within a second."""


@attrs.frozen
class KnownEngine:
    """Capacity and zone of an engine that prompts may be sent to."""

    options: ModelEngineOptions
    availability_zone: str


ACTING_HOME_SHARE = 0.5
"""Share of a target's limit that a router grants while it stands in for the usual home,
which may be granting as well: targets bear half more than their limit for a while."""


class LocalRequester(ABC):
    """Receives the answers to this router's own grant requests."""

    @abstractmethod
    def handle_answers(
        self, answers: list[GrantAnswer], home: str, backlogs: list[EngineBacklog]
    ) -> None:
        """Handle answers and engine backlogs from a home router."""


class GrantHome:
    """Queues and answers grant requests for the engines homed at this router.

    Parameters
    ----------
    link : PeerLink
        Sends answers to the routers that sent the requests.
    requester : LocalRequester
        Receives answers to this router's own requests.
    limits : TargetLimits
        Limits of the targets.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    engine_loads : EngineLoadView
        Backlogs of all engines; those of the engines homed here are added, and some
        of the others are passed on.

    Attributes
    ----------
    usage : FleetUsage
        Recent usage of accounts at all engines, as far as it is known here.
    """

    def __init__(
        self,
        link: PeerLink,
        requester: LocalRequester,
        limits: TargetLimits,
        loop: asyncio.AbstractEventLoop,
        engine_loads: EngineLoadView,
    ) -> None:
        self._link = link
        self._engine_loads = engine_loads
        self._requester = requester
        self._limits = limits
        self._loop = loop
        self._admissions: dict[str, EngineAdmission] = {}
        # VM names of the routers that sent the requests.
        self._requesters: dict[GrantKey, str] = {}
        self._engines: dict[str, KnownEngine] = {}
        self.usage = FleetUsage(half_life_s=USAGE_HALF_LIFE_S)
        self.expired_grant_count = 0

    @property
    def waiting_count(self) -> int:
        """Prompts that wait for engines whose home is this router."""
        return sum(admission.waiting_count for admission in self._admissions.values())

    @property
    def granted_count(self) -> int:
        """Prompts granted and not ended at engines whose home is this router."""
        return sum(admission.running_count for admission in self._admissions.values())

    def admission_of(self, target_id: str) -> EngineAdmission | None:
        """Return the admission control of an engine; None before its first request."""
        return self._admissions.get(target_id)

    def received_tokens(self, account: str, *, now_s: float) -> float:
        """Return the recent usage of an account, as far as it is known here."""
        return self.usage.received_tokens(account, now_s=now_s)

    def set_engines(self, engines: dict[str, KnownEngine]) -> None:
        """Replace the engines that prompts may be sent to.

        Prompts that wait for an engine that is no longer among them are refused.
        """
        self._engines = engines
        for target_id in set(self._admissions) - set(engines):
            self.drop(target_id)

    def drop(self, target_id: str) -> None:
        """Drop queue, grants and cache contents of an engine; refuse what waits."""
        admission = self._admissions.pop(target_id, None)
        if admission is not None:
            self._deliver(admission, admission.refuse_waiting(now_s=self._loop.time()))

    def handle_request(self, request: GrantRequest, requester: str) -> None:
        """Answer a grant request of a router."""
        now_s = self._loop.time()
        engine = self._engines.get(request.target_id)
        if engine is None:
            answer = GrantAnswer(
                key=request.key,
                verdict=Verdict.REFUSED,
                first_answer_s=0.0,
                refusal_reason=RefusalReason.TARGET_GONE,
            )
            self._send_answers(requester, [answer], None)
            return
        admission = self._admissions.get(request.target_id)
        if admission is None:
            admission = self._admissions[request.target_id] = self._new_admission(
                request.target_id, engine
            )
        self._requesters[request.key] = requester
        self._apply_limit(admission, now_s)
        answer = admission.submit(request, now_s=now_s)
        self._send_answers(requester, [answer], admission.backlog(now_s=now_s))
        if answer.verdict is Verdict.REFUSED or request.is_permit:
            self._requesters.pop(request.key, None)

    def _new_admission(self, target_id: str, engine: KnownEngine) -> EngineAdmission:
        admission = EngineAdmission(target_id, engine.options, self.usage)
        loads = self._engine_loads
        if loads.is_shared and loads.knows(target_id):
            # What the router that was the engine's home before has learned.
            admission.speed.adopt(
                speed=loads.speed(target_id),
                first_token_base_s=loads.first_token_base_s(target_id),
            )
        return admission

    def handle_progress(self, progress: GrantProgress) -> None:
        """Apply a report about a request that this router granted or queued."""
        if progress.stage is not Stage.STARTED:
            self._requesters.pop(progress.key, None)
        admission = self._admissions.get(progress.target_id)
        if admission is None:
            return
        now_s = self._loop.time()
        admission.record_progress(progress.key, progress.stage, now_s=now_s)
        if admission.waiting_count:
            self._deliver(admission, admission.process_queue(now_s=now_s))

    def process_queues(self) -> None:
        """Grant queued prompts in turn."""
        now_s = self._loop.time()
        for admission in list(self._admissions.values()):
            if admission.waiting_count:
                self._apply_limit(admission, now_s)
                self._deliver(admission, admission.process_queue(now_s=now_s))

    def expire(self) -> None:
        """Drop grants whose end was never reported, and confirm those that are old."""
        now_s = self._loop.time()
        for admission in self._admissions.values():
            # A router that does not use such a grant returns it.
            self._deliver(admission, admission.unconfirmed_grants(now_s=now_s))
            for key in admission.expire(now_s=now_s):
                self.expired_grant_count += 1
                log_event(
                    "grant_expired",
                    level="WARNING",
                    target=admission.target_id,
                    requester=self._requesters.get(key, ""),
                )
        known = {
            key for admission in self._admissions.values() for key in admission.keys()
        }
        self._requesters = {
            request_key: requester
            for request_key, requester in self._requesters.items()
            if request_key in known
        }

    def forget_router(self, former_incarnation: int) -> None:
        """Drop all requests and grants of a former incarnation of a router."""
        for admission in self._admissions.values():
            admission.forget_router(former_incarnation, now_s=self._loop.time())

    def _apply_limit(self, admission: EngineAdmission, now_s: float) -> None:
        target_id = admission.target_id
        requests_per_s = self._limits.allowed_per_s(target_id, now_s=now_s)
        if requests_per_s is not None:
            zone = self._engines[target_id].availability_zone
            if not self._link.peers.is_usual_home_of(target_id, zone):
                requests_per_s *= ACTING_HOME_SHARE
        admission.set_limit(requests_per_s, now_s=now_s)

    def _deliver(
        self, admission: EngineAdmission, answers: Iterable[GrantAnswer]
    ) -> None:
        by_requester: dict[str, list[GrantAnswer]] = {}
        for answer in answers:
            requester = self._requesters.get(answer.key)
            if answer.verdict is Verdict.REFUSED:
                self._requesters.pop(answer.key, None)
            if requester is not None:
                by_requester.setdefault(requester, []).append(answer)
        if not by_requester:
            return
        backlog = admission.backlog(now_s=self._loop.time())
        for requester, requester_answers in by_requester.items():
            self._send_answers(requester, requester_answers, backlog)

    def _send_answers(
        self, requester: str, answers: list[GrantAnswer], backlog: EngineBacklog | None
    ) -> None:
        backlogs = [backlog] if backlog else []
        if requester == self._link.vm_name:
            self._requester.handle_answers(answers, requester, backlogs)
            return
        now_s = self._loop.time()
        datagram = self._link.datagram()
        datagram.answers = answers
        datagram.backlogs = backlogs
        datagram.known_backlogs = self._engine_loads.reports(
            RELAYED_REPORTS, now_s=now_s
        )
        if backlog is not None:
            self._engine_loads.update(backlog, now_s=now_s)
        self._link.send(requester, datagram)

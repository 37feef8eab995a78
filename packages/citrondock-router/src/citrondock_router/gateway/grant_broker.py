"""Requests grants for this router's prompts from the home routers of engines.

Each engine has one home router, chosen by rendezvous hashing. It queues the prompts
of all routers for that engine and grants them one by one, see `GrantHome`. The messages
are UDP datagrams.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterable, Sequence

import attrs
from typing_extensions import override

from citrondock_core.routing.engine_load_view import EngineLoadView
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
from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.grant_home import GrantHome, KnownEngine, LocalRequester
from citrondock_router.gateway.limit_exchange import LimitExchange
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.gateway.usage_exchange import UsageExchange
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram

ANSWER_TIMEOUT_S = 0.025
"""First timeout of a grant request; a home router in another zone answers within a few
milliseconds. After `MAX_TRIES` it doubles with each further datagram, so that resent
requests do not add to the load of a slow router."""

MAX_TRIES = 2
"""Datagrams sent to a home router before another router becomes the home if it has
answered none of this router's requests meanwhile; more than one, as single datagrams
get lost."""

QUEUED_MARGIN_S = 0.1
"""A queued grant request that is not answered within this time after its deadline is
taken for lost, and refused."""

AnswerCallback = Callable[[GrantAnswer], None]


@attrs.define(eq=False)
class _PendingRequest:
    """Grant request of this router that was not granted or refused yet.

    Parameters
    ----------
    request, entry : GrantRequest, TargetEntry
        The grant request and the engine that it is for.
    home : str
        VM name of the router that it was sent to.
    on_answer : callable
        Called with each answer.
    asked_at_s : float
        Loop time of the first of the last ``tries`` datagrams.
    due_at_s : float
        Loop time at which it is sent again or given up.
    timeout_s : float
        Time that the home router has to answer one datagram.
    tries : int
        Datagrams sent to ``home`` since it was last checked for answers.
    is_queued : bool
        Whether ``home`` answered that the prompt is queued.
    """

    request: GrantRequest
    entry: TargetEntry
    home: str
    on_answer: AnswerCallback
    asked_at_s: float
    due_at_s: float
    timeout_s: float = ANSWER_TIMEOUT_S
    tries: int = 1
    is_queued: bool = False


class GrantBroker(DatagramHandler, LocalRequester):
    """Sends grant requests to home routers, and passes on their answers.

    Requests of this router for engines whose home it is itself need no datagrams.

    Parameters
    ----------
    peers : PeerTable
        Other routers.
    engine_loads : EngineLoadView
        Receives the engine backlogs that home routers report.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        peers: PeerTable,
        engine_loads: EngineLoadView,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.peers = peers
        self.link = PeerLink(peers, loop)
        # A limit in a datagram is applied before its grant requests.
        self.limits = LimitExchange(self.link, loop)
        self.link.add_handler(self)
        self.home = GrantHome(self.link, self, self.limits.table, loop, engine_loads)
        self.usage = UsageExchange(self.link, self.home.usage, loop)
        self._engine_loads = engine_loads
        self._loop = loop
        self._numbers = itertools.count(1)
        self._pending: dict[GrantKey, _PendingRequest] = {}
        # Home router and engine of each grant that this router holds.
        self._granted: dict[GrantKey, tuple[str, str]] = {}
        self._ticked_at_s: float | None = None
        self.request_count = 0
        self.silent_home_count = 0
        self.late_answer_count = 0

    # Called by the scheduler and by `GrantRequester`.

    def new_key(self) -> GrantKey:
        """Return a unique key for a grant request."""
        return GrantKey(incarnation=self.link.incarnation, number=next(self._numbers))

    def set_engines(self, engines: dict[str, KnownEngine]) -> None:
        """Replace the engines that prompts may be sent to."""
        self._engine_loads.keep_only(set(engines))
        self.home.set_engines(engines)

    def request_grant(
        self, request: GrantRequest, entry: TargetEntry, on_answer: AnswerCallback
    ) -> None:
        """Send a grant request to the home router of an engine.

        ``on_answer`` is called with each answer, and only after this has returned.
        """
        self.request_count += 1
        now_s = self._loop.time()
        zone = entry.availability_zone
        home = self.peers.home_router_of(entry.target_id, zone, now_s=now_s)
        due_s = now_s + ANSWER_TIMEOUT_S
        pending = _PendingRequest(request, entry, home, on_answer, now_s, due_s)
        self._pending[request.key] = pending
        self._send_request(pending)

    def report_progress(self, key: GrantKey, stage: Stage) -> None:
        """Report the progress of a request to its home router."""
        pending = self._pending.pop(key, None)
        if pending is not None:
            self._report(pending.home, key, pending.entry.target_id, stage)
            return
        location = self._granted.get(key)
        if location is None:
            return
        if stage is not Stage.STARTED:
            del self._granted[key]
        home, target_id = location
        self._report(home, key, target_id, stage)

    # Called periodically, and at start and shutdown.

    def tick(self) -> None:
        """Resend grant requests without an answer, and grant queued prompts in turn.

        A router that is late may have answers that it has not read. Those are read
        first, so that no peer is taken for silent because of them.
        """
        now_s = self._loop.time()
        if self._overdue(now_s) and self.link.read_waiting():
            now_s = self._loop.time()
            for pending in self._overdue(now_s):
                # The end of one request may withdraw another.
                if pending.request.key in self._pending:
                    self._handle_overdue(pending, now_s)
        self._ticked_at_s = now_s
        self.home.process_queues()

    # Called at start, and with each datagram.

    def open(self, address: Address) -> Address:
        """Start to exchange datagrams; return the address bound to."""
        return self.link.open(address)

    def close(self) -> None:
        """Stop exchanging datagrams."""
        self.link.close()

    def announce(self, addresses: Iterable[Address]) -> None:
        """Send this router's presence to other routers, and request theirs."""
        self.link.announce(addresses)

    def leave(self) -> None:
        """Announce to all peers that this router is leaving and no longer a home."""
        self.link.leave()

    def update_overload(self, *, is_overloaded: bool) -> None:
        """Hand the engines homed here over to other routers while overloaded.

        Called periodically, so that peers that missed an announcement get another one.
        """
        if is_overloaded or self.peers.is_overloaded:
            self.link.announce_overload(is_overloaded=is_overloaded)

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        now_s = self._loop.time()
        sender = datagram.vm_name
        for backlog in (*datagram.backlogs, *datagram.known_backlogs):
            self._engine_loads.update(backlog, now_s=now_s)
        for progress in datagram.progress:
            self.home.handle_progress(progress)
        for request in datagram.grant_requests:
            self.home.handle_request(request, sender)
        if datagram.answers:
            self.peers.record_answer(sender, now_s=now_s)
        for answer in datagram.answers:
            self._handle_answer(answer, sender, datagram.backlogs)

    @override
    def peer_restarted(self, former_incarnation: int) -> None:
        self.home.forget_router(former_incarnation)

    @override
    def handle_answers(
        self, answers: list[GrantAnswer], home: str, backlogs: list[EngineBacklog]
    ) -> None:
        for backlog in backlogs:
            self._engine_loads.update(backlog, now_s=self._loop.time())
        for answer in answers:
            self._loop.call_soon(self._handle_answer, answer, home, backlogs)

    # Grant requests that this router sends.

    def _overdue(self, now_s: float) -> list[_PendingRequest]:
        return [
            pending for pending in self._pending.values() if now_s >= pending.due_at_s
        ]

    def _send_request(self, pending: _PendingRequest) -> None:
        if pending.home == self.peers.vm_name:
            self._loop.call_soon(
                self.home.handle_request, pending.request, pending.home
            )
            return
        datagram = self.link.datagram()
        datagram.grant_requests = [pending.request]
        self.limits.add_limit(datagram, pending.entry.target_id)
        self.link.send(pending.home, datagram)

    def _handle_overdue(self, pending: _PendingRequest, now_s: float) -> None:
        is_expired = (
            now_s >= pending.request.wait_until_s and pending.tries >= MAX_TRIES
        )
        if pending.is_queued or is_expired:
            self._give_up(pending)
            return
        if pending.home == self.peers.vm_name:
            pending.due_at_s = now_s + pending.timeout_s
            return
        if pending.tries < MAX_TRIES:
            pending.tries += 1
        else:
            if not self.peers.has_answered(pending.home, since_s=pending.asked_at_s):
                self._replace_home(pending, now_s)
            pending.asked_at_s = now_s
            pending.tries = 1
            pending.timeout_s *= 2
        pending.due_at_s = now_s + pending.timeout_s
        self._send_request(pending)

    def _replace_home(self, pending: _PendingRequest, now_s: float) -> None:
        """Suspect the home router that does not answer, and choose another one."""
        self.peers.mark_silent(pending.home, now_s=now_s)
        self.silent_home_count += 1
        entry = pending.entry
        last_tick_s = self._ticked_at_s
        log_event(
            "home_silent",
            level="WARNING",
            peer=pending.home,
            target=entry.target_id,
            timeout_s=pending.timeout_s,
            since_tick_s=now_s - last_tick_s if last_tick_s is not None else None,
        )
        zone = entry.availability_zone
        pending.home = self.peers.home_router_of(entry.target_id, zone, now_s=now_s)

    def _give_up(self, pending: _PendingRequest) -> None:
        key = pending.request.key
        if pending.is_queued:
            self.report_progress(key, Stage.WITHDRAWN)
        else:
            del self._pending[key]
        pending.on_answer(
            GrantAnswer(
                key=key,
                verdict=Verdict.REFUSED,
                first_answer_s=0.0,
                refusal_reason=RefusalReason.NO_ANSWER,
            )
        )

    def _handle_answer(
        self, answer: GrantAnswer, home: str, backlogs: Sequence[EngineBacklog]
    ) -> None:
        pending = self._pending.get(answer.key)
        if pending is None or pending.home != home:
            self._handle_late_answer(answer, home, backlogs)
            return
        if answer.verdict is Verdict.QUEUED:
            pending.is_queued = True
            pending.due_at_s = pending.request.wait_until_s + QUEUED_MARGIN_S
        else:
            del self._pending[answer.key]
            if answer.verdict is Verdict.GRANTED:
                location = (pending.home, pending.entry.target_id)
                self._granted[answer.key] = location
        pending.on_answer(answer)

    def _handle_late_answer(
        self, answer: GrantAnswer, home: str, backlogs: Sequence[EngineBacklog]
    ) -> None:
        """Withdraw a request from a home router that still queues or grants it.

        The answers in one datagram are about the engine of its backlog.
        """
        if self._granted.get(answer.key, ("", ""))[0] == home:
            # A repeated answer.
            return
        self.late_answer_count += 1
        if answer.verdict is not Verdict.REFUSED:
            for backlog in backlogs:
                self._report(home, answer.key, backlog.target_id, Stage.WITHDRAWN)

    def _report(self, home: str, key: GrantKey, target_id: str, stage: Stage) -> None:
        progress = GrantProgress(key=key, target_id=target_id, stage=stage)
        if home == self.peers.vm_name:
            self.home.handle_progress(progress)
            return
        datagram = self.link.datagram()
        datagram.progress = [progress]
        self.link.send(home, datagram)

"""Exchanges grant requests with other routers, and grants as a home router.

Each engine has one home router, chosen by rendezvous hashing. It queues the prompts
of all routers for that engine and grants them one by one. The messages are UDP
datagrams.
"""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable, Sequence

import attrs

from citrondock_core.routing.engine_admission import EngineAdmission
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.fleet_usage import FleetUsage, ReportedUsage
from citrondock_core.routing.grant import (
    EngineBacklog,
    GrantAnswer,
    GrantKey,
    GrantProgress,
    GrantRequest,
    Stage,
    Verdict,
)
from citrondock_core.routing.peer_table import Peer, PeerTable
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.datagram_socket import DatagramSocket
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import (
    BadDatagramError,
    GrantCodec,
    PeerDatagram,
    Presence,
)

ANSWER_TIMEOUT_S = 0.025
"""First timeout of a grant request; a home router in another zone answers within a few
milliseconds. After `MAX_TRIES` it doubles with each further datagram, so that resent
requests do not add to the load of a slow router."""

MAX_TRIES = 2
"""Datagrams sent to a home router before another router becomes the home if it has
answered none of this router's requests meanwhile; more than one, as single datagrams
get lost."""

USAGE_HALF_LIFE_S = 2.0
"""Half-life of the usage of each account. Usage older than a few seconds hardly counts,
as users judge fairness over six seconds."""

QUEUED_MARGIN_S = 0.1
"""A queued grant request that is not answered within this time after its deadline is
taken for lost, and refused."""

MIN_USAGE_PERIOD_S = 0.5
"""Home routers report account usage to each other at most four times in
`USAGE_HALF_LIFE_S`."""

MAX_USAGE_BYTES_PER_S = 1000.0
"""Rate limit of usage reports: a third of a router's control traffic. In a large fleet
routers report less often to stay below it."""

AnswerCallback = Callable[[GrantAnswer], None]


@attrs.frozen
class KnownEngine:
    """Capacity and zone of an engine that prompts may be sent to."""

    options: ModelEngineOptions
    availability_zone: str


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


class GrantBroker:
    """Sends grant requests to home routers, and answers those sent to this router.

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
        self.incarnation = random.getrandbits(62)
        self.sent_bytes = 0
        self._engine_loads = engine_loads
        self._loop = loop
        self._codec = GrantCodec()
        self._socket: DatagramSocket | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[GrantKey, _PendingRequest] = {}
        # Home router and engine of each grant that this router holds.
        self._granted: dict[GrantKey, tuple[str, str]] = {}
        # Engines whose home is this router.
        self._admissions: dict[str, EngineAdmission] = {}
        # VM names of the routers that sent the requests for those engines.
        self._requesters: dict[GrantKey, str] = {}
        self._engines: dict[str, KnownEngine] = {}
        self._usage = FleetUsage(half_life_s=USAGE_HALF_LIFE_S)
        self._incarnations: dict[str, int] = {}
        self._is_leaving = False
        self._ticked_at_s: float | None = None
        self.silent_home_count = 0
        self.late_answer_count = 0
        self.expired_grant_count = 0

    # Called by the scheduler and by `GrantRequester`.

    def new_key(self) -> GrantKey:
        """Return a unique key for a grant request."""
        return GrantKey(incarnation=self.incarnation, number=next(self._numbers))

    def set_engines(self, engines: dict[str, KnownEngine]) -> None:
        """Replace the engines that prompts may be sent to.

        Prompts that wait for an engine that is no longer among them are refused.
        """
        self._engines = engines
        self._engine_loads.keep_only(set(engines))
        for target_id in set(self._admissions) - set(engines):
            admission = self._admissions.pop(target_id)
            self._deliver(admission, admission.refuse_waiting(now_s=self._loop.time()))

    def engine_restarted(self, target_id: str) -> None:
        """Drop the queue, grants and cache contents of an engine that restarted."""
        admission = self._admissions.pop(target_id, None)
        if admission is not None:
            self._deliver(admission, admission.refuse_waiting(now_s=self._loop.time()))

    def request_grant(
        self, request: GrantRequest, entry: TargetEntry, on_answer: AnswerCallback
    ) -> None:
        """Send a grant request to the home router of an engine.

        ``on_answer`` is called with each answer, and only after this has returned.
        """
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
        if self._overdue(now_s) and self._read_waiting():
            now_s = self._loop.time()
            for pending in self._overdue(now_s):
                # The end of one request may withdraw another.
                if pending.request.key in self._pending:
                    self._handle_overdue(pending, now_s)
        self._ticked_at_s = now_s
        for admission in list(self._admissions.values()):
            if admission.waiting_count:
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

    def report_usage(self) -> float:
        """Report local account usage to the other home routers.

        Returns
        -------
        float
            Time in seconds until the next report is due.
        """
        now_s = self._loop.time()
        usage = self._usage.top_accounts(now_s=now_s) if self._admissions else []
        homes = self._other_homes(now_s) if usage else set()
        before_bytes = self.sent_bytes
        datagram = self._datagram(usage=usage)
        for vm_name in homes:
            self._send(vm_name, datagram)
        report_bytes = self.sent_bytes - before_bytes
        return max(report_bytes / MAX_USAGE_BYTES_PER_S, MIN_USAGE_PERIOD_S)

    @property
    def waiting_count(self) -> int:
        """Prompts that wait for engines whose home is this router."""
        return sum(admission.waiting_count for admission in self._admissions.values())

    @property
    def granted_count(self) -> int:
        """Prompts granted and not ended at engines whose home is this router."""
        return sum(admission.running_count for admission in self._admissions.values())

    def received_tokens(self, account: str, *, now_s: float) -> float:
        """Return the recent usage of an account, as far as it is known here."""
        return self._usage.received_tokens(account, now_s=now_s)

    def announce(self, addresses: Iterable[Address]) -> None:
        """Send this router's presence to other routers, and request theirs."""
        for address in addresses:
            self._send_presence((address.host, address.port), wants_reply=True)

    def leave(self) -> None:
        """Announce to all peers that this router is leaving and no longer a home."""
        self._is_leaving = True
        for peer in self.peers.peers():
            self._send_presence((peer.host, peer.port), wants_reply=False)

    # Called at start, and with each datagram.

    def open(self, address: Address) -> Address:
        """Start to exchange datagrams; return the address bound to."""
        self._socket = DatagramSocket(address, self.datagram_received, self._loop)
        return self._socket.address

    def close(self) -> None:
        """Stop exchanging datagrams."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of a peer."""
        now_s = self._loop.time()
        try:
            datagram = self._codec.decode(
                data, now_s=now_s, own_incarnation=self.incarnation
            )
        except BadDatagramError as error:
            log_event("datagram_unreadable", peer=addr[0], detail=str(error))
            return
        self._check_incarnation(datagram.vm_name, datagram.incarnation, now_s)
        if datagram.presence is not None:
            self._handle_presence(datagram, addr)
        self.peers.mark_alive(datagram.vm_name)
        for backlog in datagram.backlogs:
            self._engine_loads.update(backlog, now_s=now_s)
        self._usage.update(datagram.vm_name, datagram.usage, now_s=now_s)
        for progress in datagram.progress:
            self._handle_progress(progress)
        for request in datagram.grant_requests:
            self._handle_request(request, datagram.vm_name)
        if datagram.answers:
            self.peers.record_answer(datagram.vm_name, now_s=now_s)
        for answer in datagram.answers:
            self._handle_answer(answer, datagram.vm_name, datagram.backlogs)

    # Grant requests that this router sends.

    def _overdue(self, now_s: float) -> list[_PendingRequest]:
        return [
            pending for pending in self._pending.values() if now_s >= pending.due_at_s
        ]

    def _read_waiting(self) -> bool:
        """Read the datagrams that have arrived; return whether all were read."""
        return self._socket is None or self._socket.read_waiting()

    def _send_request(self, pending: _PendingRequest) -> None:
        if pending.home == self.peers.vm_name:
            self._loop.call_soon(self._handle_request, pending.request, pending.home)
        else:
            self._send(pending.home, self._datagram(grant_requests=[pending.request]))

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
            GrantAnswer(key=key, verdict=Verdict.REFUSED, first_answer_s=0.0)
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
            self._handle_progress(progress)
        else:
            self._send(home, self._datagram(progress=[progress]))

    # Grant requests that this router answers as the home of an engine.

    def _handle_request(self, request: GrantRequest, requester: str) -> None:
        now_s = self._loop.time()
        engine = self._engines.get(request.target_id)
        if engine is None:
            answer = GrantAnswer(
                key=request.key, verdict=Verdict.REFUSED, first_answer_s=0.0
            )
            self._send_answers(requester, [answer], None)
            return
        admission = self._admissions.get(request.target_id)
        if admission is None:
            admission = EngineAdmission(request.target_id, engine.options, self._usage)
            self._admissions[request.target_id] = admission
        self._requesters[request.key] = requester
        answer = admission.submit(request, now_s=now_s)
        self._send_answers(requester, [answer], admission.backlog(now_s=now_s))
        if answer.verdict is Verdict.REFUSED:
            self._requesters.pop(request.key, None)

    def _handle_progress(self, progress: GrantProgress) -> None:
        if progress.stage is not Stage.STARTED:
            self._requesters.pop(progress.key, None)
        admission = self._admissions.get(progress.target_id)
        if admission is None:
            return
        now_s = self._loop.time()
        admission.record_progress(progress.key, progress.stage, now_s=now_s)
        if admission.waiting_count:
            self._deliver(admission, admission.process_queue(now_s=now_s))

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
        if requester != self.peers.vm_name:
            self._send(requester, self._datagram(answers=answers, backlogs=backlogs))
            return
        for engine_backlog in backlogs:
            self._engine_loads.update(engine_backlog, now_s=self._loop.time())
        for answer in answers:
            self._loop.call_soon(self._handle_answer, answer, requester, backlogs)

    def _other_homes(self, now_s: float) -> set[str]:
        homes = {
            self.peers.home_router_of(target_id, engine.availability_zone, now_s=now_s)
            for target_id, engine in self._engines.items()
        }
        return homes - {self.peers.vm_name}

    # Presence of peers, and datagrams.

    def _check_incarnation(self, vm_name: str, incarnation: int, now_s: float) -> None:
        former = self._incarnations.get(vm_name)
        self._incarnations[vm_name] = incarnation
        if former is None or former == incarnation:
            return
        log_event("peer_restarted", peer=vm_name, incarnation=incarnation)
        for admission in self._admissions.values():
            admission.forget_router(former, now_s=now_s)

    def _handle_presence(self, datagram: PeerDatagram, addr: tuple[str, int]) -> None:
        presence = datagram.presence
        assert presence is not None
        if presence.is_leaving:
            self.peers.remove(datagram.vm_name)
            log_event("peer_leaving", peer=datagram.vm_name)
            return
        peer = Peer(
            vm_name=datagram.vm_name,
            host=addr[0],
            port=addr[1],
            availability_zone=presence.availability_zone,
        )
        if self.peers.put(peer):
            log_event("peer_known", peer=peer.vm_name, address=f"{addr[0]}:{addr[1]}")
        known = self.peers.get(datagram.vm_name)
        if presence.wants_reply and known is not None and not self._is_leaving:
            self._send_presence(addr, wants_reply=False)

    def _send_presence(self, addr: tuple[str, int], *, wants_reply: bool) -> None:
        datagram = self._datagram()
        datagram.presence = Presence(
            availability_zone=self.peers.availability_zone,
            is_leaving=self._is_leaving,
            wants_reply=wants_reply,
        )
        self._send_to(addr, datagram)

    def _datagram(
        self,
        grant_requests: list[GrantRequest] | None = None,
        answers: list[GrantAnswer] | None = None,
        progress: list[GrantProgress] | None = None,
        backlogs: list[EngineBacklog] | None = None,
        usage: list[ReportedUsage] | None = None,
    ) -> PeerDatagram:
        return PeerDatagram(
            vm_name=self.peers.vm_name,
            incarnation=self.incarnation,
            grant_requests=grant_requests or [],
            answers=answers or [],
            progress=progress or [],
            backlogs=backlogs or [],
            usage=usage or [],
        )

    def _send(self, vm_name: str, datagram: PeerDatagram) -> None:
        peer = self.peers.get(vm_name)
        if peer is not None:
            self._send_to((peer.host, peer.port), datagram)

    def _send_to(self, addr: tuple[str, int], datagram: PeerDatagram) -> None:
        if self._socket is None:
            return
        data = self._codec.encode(datagram, now_s=self._loop.time())
        self.sent_bytes += len(data)
        self._socket.send(data, *addr)

"""Asks the homes of engines for leave to send prompts, and is home itself."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable
from typing import cast

import attrs
from typing_extensions import override

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
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import (
    BadDatagramError,
    GrantCodec,
    PeerDatagram,
    Presence,
)

ANSWER_TIMEOUT_S = 0.025
"""A home in another zone answers within a few milliseconds. The time doubles with each
home that was silent, as it may be this router that is slow."""

MAX_TRIES = 2
"""Datagrams are lost now and then; a home that misses so many in a row is silent."""

SHARES_HALF_LIFE_S = 2.0
"""Service older than a few seconds no longer counts; users judge fairness over six."""

QUEUED_MARGIN_S = 0.1
"""Time beyond the end of an ask's wait after which its queue is taken for lost."""

MIN_USAGE_PERIOD_S = 0.5
"""Homes tell each other of accounts four times in `SHARES_HALF_LIFE_S` at most."""

MAX_USAGE_BYTES_PER_S = 1000.0
"""A third of the control traffic of a router; a large fleet tells less often."""

AnswerCallback = Callable[[GrantAnswer], None]


@attrs.frozen
class KnownEngine:
    """An engine that prompts may be sent to: its size and where it stands."""

    options: ModelEngineOptions
    availability_zone: str


@attrs.define(eq=False)
class _PendingAsk:
    ask: GrantRequest
    entry: TargetEntry
    home: str
    answered: AnswerCallback
    due_at_s: float
    timeout_s: float = ANSWER_TIMEOUT_S
    tries: int = 1
    is_queued: bool = False


class GrantBroker(asyncio.DatagramProtocol):
    """Routes asks to homes and answers to their askers.

    Parameters
    ----------
    peers : PeerTable
        Other routers.
    hints : EngineLoadView
        Gets the backlogs that homes tell.
    loop : asyncio.AbstractEventLoop
        Loop that everything runs on.
    """

    def __init__(
        self, peers: PeerTable, hints: EngineLoadView, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.peers = peers
        self.incarnation = random.getrandbits(62)
        self.sent_bytes = 0
        self._hints = hints
        self._loop = loop
        self._codec = GrantCodec()
        self._transport: asyncio.DatagramTransport | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[GrantKey, _PendingAsk] = {}
        self._granted_by: dict[GrantKey, tuple[str, str]] = {}
        self._homes: dict[str, EngineAdmission] = {}
        self._askers: dict[GrantKey, str] = {}
        self._engines: dict[str, KnownEngine] = {}
        self._shares = FleetUsage(half_life_s=SHARES_HALF_LIFE_S)
        self._incarnations: dict[str, int] = {}
        self._is_leaving = False

    # For the scheduler.

    def new_key(self) -> GrantKey:
        """Return a name for an ask."""
        return GrantKey(incarnation=self.incarnation, number=next(self._numbers))

    def set_engines(self, engines: dict[str, KnownEngine]) -> None:
        """Take the engines that prompts may be sent to."""
        self._engines = engines
        self._hints.keep_only(set(engines))
        for target_id in set(self._homes) - set(engines):
            home = self._homes.pop(target_id)
            self._deliver(home, home.refuse_waiting(now_s=self._loop.time()))

    def restarted(self, target_id: str) -> None:
        """Forget what an engine had and held before it started anew."""
        home = self._homes.pop(target_id, None)
        if home is not None:
            self._deliver(home, home.refuse_waiting(now_s=self._loop.time()))

    def ask(
        self, ask: GrantRequest, entry: TargetEntry, answered: AnswerCallback
    ) -> None:
        """Ask the home of an engine; ``answered`` is called once or more, and later."""
        now_s = self._loop.time()
        zone = entry.availability_zone
        home = self.peers.home_of(entry.target_id, zone, now_s=now_s)
        due_s = now_s + ANSWER_TIMEOUT_S
        pending = _PendingAsk(ask, entry, home, answered, due_s)
        self._pending[ask.key] = pending
        self._send_ask(pending)

    def progress(self, key: GrantKey, stage: Stage) -> None:
        """Tell the home how far a request got."""
        pending = self._pending.pop(key, None)
        if pending is not None:
            home, target_id = pending.home, pending.entry.target_id
        elif stage is Stage.STARTED:
            if key not in self._granted_by:
                return
            home, target_id = self._granted_by[key]
        else:
            found = self._granted_by.pop(key, None)
            if found is None:
                return
            home, target_id = found
        news = GrantProgress(key=key, target_id=target_id, stage=stage)
        if home == self.peers.vm_name:
            self._take_progress(news)
        else:
            self._send(home, self._datagram(progress=[news]))

    # Periodic.

    def tick(self) -> None:
        """Repeat asks that were not answered, and grant what has become due."""
        now_s = self._loop.time()
        for pending in list(self._pending.values()):
            if now_s >= pending.due_at_s:
                self._overdue(pending, now_s)
        for home in list(self._homes.values()):
            if home.waiting_count:
                self._deliver(home, home.process_queue(now_s=now_s))

    def expire(self) -> None:
        """Forget grants whose end was not told."""
        now_s = self._loop.time()
        for home in self._homes.values():
            home.expire(now_s=now_s)
        known = {key for home in self._homes.values() for key in home.keys()}
        self._askers = {k: asker for k, asker in self._askers.items() if k in known}

    def tell_usage(self) -> float:
        """Tell other homes what accounts received here; return when to do so again."""
        now_s = self._loop.time()
        usage = self._shares.top_accounts(now_s=now_s) if self._homes else []
        homes = self._other_homes(now_s) if usage else set()
        before_bytes = self.sent_bytes
        datagram = self._datagram(usage=usage)
        for vm_name in homes:
            self._send(vm_name, datagram)
        told_bytes = self.sent_bytes - before_bytes
        return max(told_bytes / MAX_USAGE_BYTES_PER_S, MIN_USAGE_PERIOD_S)

    @property
    def waiting_count(self) -> int:
        """Prompts that wait for the engines homed here."""
        return sum(home.waiting_count for home in self._homes.values())

    @property
    def granted_count(self) -> int:
        """Prompts at the engines homed here."""
        return sum(home.running_count for home in self._homes.values())

    def received(self, account: str, *, now_s: float) -> float:
        """Return what an account received lately, as far as is known here."""
        return self._shares.received(account, now_s=now_s)

    def announce(self, addresses: Iterable[Address]) -> None:
        """Tell routers of this one and ask them to tell of themselves."""
        for address in addresses:
            self._send_presence((address.host, address.port), wants_reply=True)

    def leave(self) -> None:
        """Tell all peers that this router is home of engines no longer."""
        self._is_leaving = True
        for peer in self.peers.peers():
            self._send_presence((peer.host, peer.port), wants_reply=False)

    # Datagrams.

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    @override
    def error_received(self, exc: Exception) -> None:
        # A peer that is gone; its silence is noticed by the asks.
        log_event("peer_unreachable", level="DEBUG", detail=str(exc))

    @override
    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        now_s = self._loop.time()
        try:
            datagram = self._codec.decode(
                data, now_s=now_s, own_incarnation=self.incarnation
            )
        except BadDatagramError as error:
            log_event("datagram_unreadable", peer=addr[0], detail=str(error))
            return
        self._note_incarnation(datagram.vm_name, datagram.incarnation, now_s)
        if datagram.presence is not None:
            self._take_presence(datagram, addr)
        self.peers.mark_alive(datagram.vm_name)
        for backlog in datagram.backlogs:
            self._hints.update(backlog, now_s=now_s)
        self._shares.update(datagram.vm_name, datagram.usage, now_s=now_s)
        for news in datagram.progress:
            self._take_progress(news)
        for ask in datagram.asks:
            self._take_ask(ask, datagram.vm_name)
        for answer in datagram.answers:
            self._take_answer(answer)

    # As asker.

    def _send_ask(self, pending: _PendingAsk) -> None:
        if pending.home == self.peers.vm_name:
            self._loop.call_soon(self._take_ask, pending.ask, pending.home)
        else:
            self._send(pending.home, self._datagram(asks=[pending.ask]))

    def _overdue(self, pending: _PendingAsk, now_s: float) -> None:
        is_over = now_s >= pending.ask.wait_until_s and pending.tries >= MAX_TRIES
        if pending.is_queued or is_over:
            self._give_up(pending)
            return
        if pending.home == self.peers.vm_name:
            pending.due_at_s = now_s + pending.timeout_s
            return
        if pending.tries < MAX_TRIES:
            pending.tries += 1
        else:
            self.peers.mark_silent(pending.home, now_s=now_s)
            entry = pending.entry
            log_event(
                "home_silent",
                level="WARNING",
                peer=pending.home,
                target=entry.target_id,
            )
            zone = entry.availability_zone
            pending.home = self.peers.home_of(entry.target_id, zone, now_s=now_s)
            pending.tries = 1
            pending.timeout_s *= 2
        pending.due_at_s = now_s + pending.timeout_s
        self._send_ask(pending)

    def _give_up(self, pending: _PendingAsk) -> None:
        self._pending.pop(pending.ask.key, None)
        pending.answered(
            GrantAnswer(
                key=pending.ask.key, verdict=Verdict.REFUSED, first_answer_s=0.0
            )
        )

    def _take_answer(self, answer: GrantAnswer) -> None:
        pending = self._pending.get(answer.key)
        if pending is None:
            # Answered before, or withdrawn; the home hears of the latter by itself.
            return
        if answer.verdict is Verdict.QUEUED:
            pending.is_queued = True
            pending.due_at_s = pending.ask.wait_until_s + QUEUED_MARGIN_S
        else:
            del self._pending[answer.key]
            if answer.verdict is Verdict.GRANTED:
                place = (pending.home, pending.entry.target_id)
                self._granted_by[answer.key] = place
        pending.answered(answer)

    # As home.

    def _take_ask(self, ask: GrantRequest, asker: str) -> None:
        now_s = self._loop.time()
        engine = self._engines.get(ask.target_id)
        if engine is None:
            answer = GrantAnswer(
                key=ask.key, verdict=Verdict.REFUSED, first_answer_s=0.0
            )
            self._send_answers(asker, [answer], None)
            return
        home = self._homes.get(ask.target_id)
        if home is None:
            home = EngineAdmission(ask.target_id, engine.options, self._shares)
            self._homes[ask.target_id] = home
        self._askers[ask.key] = asker
        answer = home.submit(ask, now_s=now_s)
        self._send_answers(asker, [answer], home.backlog(now_s=now_s))
        if answer.verdict is Verdict.REFUSED:
            self._askers.pop(ask.key, None)

    def _take_progress(self, news: GrantProgress) -> None:
        if news.stage is not Stage.STARTED:
            self._askers.pop(news.key, None)
        home = self._homes.get(news.target_id)
        if home is None:
            return
        now_s = self._loop.time()
        home.record_progress(news.key, news.stage, now_s=now_s)
        if home.waiting_count:
            self._deliver(home, home.process_queue(now_s=now_s))

    def _deliver(self, home: EngineAdmission, answers: Iterable[GrantAnswer]) -> None:
        by_asker: dict[str, list[GrantAnswer]] = {}
        for answer in answers:
            asker = self._askers.get(answer.key)
            if answer.verdict is Verdict.REFUSED:
                self._askers.pop(answer.key, None)
            if asker is not None:
                by_asker.setdefault(asker, []).append(answer)
        if not by_asker:
            return
        backlog = home.backlog(now_s=self._loop.time())
        for asker, answers_for_asker in by_asker.items():
            self._send_answers(asker, answers_for_asker, backlog)

    def _send_answers(
        self, asker: str, answers: list[GrantAnswer], backlog: EngineBacklog | None
    ) -> None:
        backlogs = [backlog] if backlog else []
        if asker != self.peers.vm_name:
            self._send(asker, self._datagram(answers=answers, backlogs=backlogs))
            return
        for told in backlogs:
            self._hints.update(told, now_s=self._loop.time())
        for answer in answers:
            self._loop.call_soon(self._take_answer, answer)

    def _other_homes(self, now_s: float) -> set[str]:
        homes = {
            self.peers.home_of(target_id, engine.availability_zone, now_s=now_s)
            for target_id, engine in self._engines.items()
        }
        return homes - {self.peers.vm_name}

    # Presence and sending.

    def _note_incarnation(self, vm_name: str, incarnation: int, now_s: float) -> None:
        former = self._incarnations.get(vm_name)
        self._incarnations[vm_name] = incarnation
        if former is None or former == incarnation:
            return
        log_event("peer_restarted", peer=vm_name, incarnation=incarnation)
        for home in self._homes.values():
            home.forget_router(former, now_s=now_s)

    def _take_presence(self, datagram: PeerDatagram, addr: tuple[str, int]) -> None:
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
        asks: list[GrantRequest] | None = None,
        answers: list[GrantAnswer] | None = None,
        progress: list[GrantProgress] | None = None,
        backlogs: list[EngineBacklog] | None = None,
        usage: list[ReportedUsage] | None = None,
    ) -> PeerDatagram:
        return PeerDatagram(
            vm_name=self.peers.vm_name,
            incarnation=self.incarnation,
            asks=asks or [],
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
        if self._transport is None:
            return
        data = self._codec.encode(datagram, now_s=self._loop.time())
        self.sent_bytes += len(data)
        self._transport.sendto(data, addr)

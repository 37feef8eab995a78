"""Finds out which engines crashed, and agrees with other routers on the cause."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable, Sequence

from typing_extensions import override

from citrondock_core.routing.engine_crash import EngineCrash
from citrondock_core.routing.part_quarantine import (
    SAME_CRASH_S,
    PartQuarantine,
    PartState,
)
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.fact_gossip import FactSource
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram

MAX_REPORTED_PARTS = 64
"""Most suspected parts in one report of a crash."""


class CrashListener(ABC):
    """Reacts to crashes and to parts that are withheld."""

    @abstractmethod
    def engine_crashed(self, target_id: str) -> None:
        """Send nothing more to an engine that crashed."""

    @abstractmethod
    def parts_withheld(self, part_ids: Collection[str]) -> None:
        """End the unbegun requests whose prompts have these parts."""


class CrashExchange(DatagramHandler, FactSource):
    """Reports crashes of engines to the other routers, and theirs to the quarantine.

    A connection that ends before the response has begun may have other causes, so an
    engine counts as crashed only if it then refuses a connection.

    Parameters
    ----------
    link : PeerLink
        Exchanges datagrams with other routers.
    connections : TargetConnectionPool
        Opens the connection that tells whether an engine crashed.
    listener : CrashListener
        Reacts to what is found.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        link: PeerLink,
        connections: TargetConnectionPool,
        listener: CrashListener,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._link = link
        self._connections = connections
        self._listener = listener
        self._loop = loop
        self.quarantine = PartQuarantine(random.Random())
        # Parts of unbegun prompts at engines that are being checked.
        self._checks: dict[str, list[str]] = {}
        self._check_tasks: set[asyncio.Task[None]] = set()
        self._crashed_at_s: dict[str, float] = {}
        self._reported_at_s: float | None = None
        self.crash_count = 0
        link.add_handler(self)

    # Called by the scheduler.

    def may_send(self, part_ids: Sequence[str], *, request_id: str) -> bool:
        """Return whether a prompt may be sent to an engine, perhaps as a probe."""
        withheld = self.quarantine.withheld_parts(part_ids)
        if not withheld:
            return True
        now_s = self._loop.time()
        probe_at_s = self.quarantine.probe_at_s(withheld)
        is_probe = now_s >= probe_at_s
        log_event(
            "part_probe_begun" if is_probe else "prompt_withheld",
            request_id=request_id,
            parts=",".join(withheld),
            probe_in_s=probe_at_s - now_s,
        )
        if is_probe:
            self._broadcast(self.quarantine.begin_probe(withheld, now_s=now_s))
        return is_probe

    def withheld_for_s(self, part_ids: Sequence[str]) -> float | None:
        """Return how long a prompt is still withheld; None if it is not."""
        withheld = self.quarantine.withheld_parts(part_ids)
        if not withheld:
            return None
        return max(self.quarantine.probe_at_s(withheld) - self._loop.time(), 0.0)

    def response_begun(self, part_ids: Iterable[str]) -> None:
        """Clear the parts of a prompt whose response has begun."""
        released = self.quarantine.record_begun(part_ids, now_s=self._loop.time())
        for state in released:
            log_event("part_released", part=state.part_id, generation=state.generation)
        self._broadcast(released)

    def connection_lost(self, entry: TargetEntry, part_ids: Iterable[str]) -> None:
        """Check an engine that ended a connection before the response had begun."""
        suspected = self._checks.get(entry.target_id)
        if suspected is not None:
            suspected.extend(part_ids)
            return
        self._checks[entry.target_id] = list(part_ids)
        task = self._loop.create_task(self._check(entry))
        self._check_tasks.add(task)
        task.add_done_callback(self._check_tasks.discard)

    def connection_refused(self, entry: TargetEntry) -> None:
        """Report an engine that refuses connections, unless that is known."""
        if entry.target_id not in self._checks and not self._is_known(entry.target_id):
            self._report(entry, ())

    # Called periodically.

    def tick(self) -> None:
        """Judge the crashes that all routers have had time to report."""
        now_s = self._loop.time()
        withheld = self.quarantine.judge(now_s=now_s)
        self._withhold(withheld, origin=self._link.vm_name)
        # All routers judge the same reports, so it suffices that reporters spread it.
        reported_at_s = self._reported_at_s
        if reported_at_s is not None and now_s - reported_at_s <= SAME_CRASH_S:
            self._broadcast(withheld)

    @override
    def add_facts(self, datagram: PeerDatagram) -> bool:
        states = self.quarantine.states(now_s=self._loop.time())
        datagram.part_states.extend(states)
        return bool(states)

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        now_s = self._loop.time()
        for crash in datagram.crashes:
            self._record(crash, reporter=datagram.vm_name)
        if datagram.part_states:
            merged = self.quarantine.merge(datagram.part_states, now_s=now_s)
            self._apply(merged.adopted, origin=datagram.vm_name)
            self._send(datagram.vm_name, merged.newer)

    async def _check(self, entry: TargetEntry) -> None:
        """Report an engine as crashed if it refuses a connection."""
        try:
            connection = await self._connections.open(entry)
        except ConnectionRefusedError:
            self._report(entry, self._checks.pop(entry.target_id))
        except (OSError, TimeoutError) as error:
            del self._checks[entry.target_id]
            log_event(
                "engine_unreachable",
                target=entry.target_id,
                detail=str(error) or type(error).__name__,
            )
        else:
            del self._checks[entry.target_id]
            connection.abort()
            log_event("engine_alive", target=entry.target_id)

    def _report(self, entry: TargetEntry, part_ids: Iterable[str]) -> None:
        now_s = self._loop.time()
        suspected = self.quarantine.suspicious(part_ids, now_s=now_s)
        crash = EngineCrash(
            target_id=entry.target_id,
            address=f"{entry.host}:{entry.port}",
            suspected_parts=suspected[:MAX_REPORTED_PARTS],
        )
        is_news = bool(suspected) or not self._is_known(entry.target_id)
        self._record(crash, reporter=self._link.vm_name)
        if is_news:
            self._reported_at_s = now_s
            datagram = self._link.datagram()
            datagram.crashes = [crash]
            self._link.broadcast(datagram)

    def _record(self, crash: EngineCrash, *, reporter: str) -> None:
        log_event(
            "engine_crashed",
            level="WARNING",
            target=crash.target_id,
            address=crash.address,
            reporter=reporter,
            suspected=",".join(crash.suspected_parts),
        )
        now_s = self._loop.time()
        self.quarantine.record_crash(crash, now_s=now_s)
        if not self._is_known(crash.target_id):
            self.crash_count += 1
            self._crashed_at_s = {
                target_id: at_s
                for target_id, at_s in self._crashed_at_s.items()
                if now_s - at_s <= SAME_CRASH_S
            }
            self._crashed_at_s[crash.target_id] = now_s
            self._listener.engine_crashed(crash.target_id)

    def _is_known(self, target_id: str) -> bool:
        at_s = self._crashed_at_s.get(target_id)
        return at_s is not None and self._loop.time() - at_s <= SAME_CRASH_S

    def _apply(self, states: Sequence[PartState], *, origin: str) -> None:
        self._withhold([state for state in states if state.is_withheld], origin=origin)
        for state in states:
            if not state.is_withheld:
                log_event(
                    "part_released",
                    part=state.part_id,
                    generation=state.generation,
                    origin=origin,
                )

    def _withhold(self, states: Sequence[PartState], *, origin: str) -> None:
        for state in states:
            log_event(
                "part_withheld",
                level="WARNING",
                part=state.part_id,
                generation=state.generation,
                evidence_age_s=state.evidence_age_s,
                origin=origin,
            )
        if states:
            self._listener.parts_withheld({state.part_id for state in states})

    def _broadcast(self, states: Sequence[PartState]) -> None:
        if states:
            datagram = self._link.datagram()
            datagram.part_states = list(states)
            self._link.broadcast(datagram)

    def _send(self, vm_name: str, states: Sequence[PartState]) -> None:
        if states:
            datagram = self._link.datagram()
            datagram.part_states = list(states)
            self._link.send(vm_name, datagram)

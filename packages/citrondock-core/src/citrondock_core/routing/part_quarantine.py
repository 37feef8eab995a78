"""Decides which prompt parts are withheld from engines because they crash them.

An engine crashes as it begins to respond to a prompt with such a part. A prompt whose
response has begun is therefore innocent, and so is each of its parts. What the unbegun
prompts of several crashes have in common, and what never begins, is withheld.
"""

import random
from collections import OrderedDict
from collections.abc import Collection, Iterable

import attrs

from citrondock_core.routing.engine_crash import EngineCrash

MIN_CRASHES = 3
MIN_ENGINES = 2
"""Crashes, and engines that crashed, after which a part is withheld. A rare part may be
at an engine that crashes for another reason, but hardly each time."""

MIN_UNEXPLAINED_CRASHES = 2
"""Crashes among them for which no other part is withheld."""

MIN_CRASHES_OF_ONE_ENGINE = 5
"""Crashes after which a part is withheld although all are of one engine."""

JUDGEMENT_DELAY_S = 0.05
"""Time in which the reports of all routers about one crash arrive."""

EVIDENCE_S = 120.0
"""Age at which a crash no longer counts."""

SAME_CRASH_S = 2.0
"""Reports about one engine within this time are about the same crash."""

CLEARED_S = 2.0
"""Time after a response to a prompt with a part in which the part is not suspected."""

FIRST_PROBE_S = 60.0
PROBE_GROWTH = 15.0
MAX_PROBE_S = 14_400.0
"""Time until one prompt with a withheld part is sent to an engine as a probe. It grows
with each probe, so that probes cost a few engines at most."""

PROBE_JITTER = 0.2
"""Random share added to that time, so that routers do not try at the same moment."""

RETENTION_S = 86_400.0
"""Time after which the state of a part is forgotten if it does not change. Routers tell
each other of a state during the first half of it only, so that it is not kept alive."""

MAX_CLEARED_PARTS = 4096
MAX_SUSPECTED_PARTS = 512
MAX_EXPLAINED_CRASHES = 64
MAX_WITHHELD_PARTS = 256
"""Bounds of the tables, as clients choose the parts of their prompts."""

MAX_REPORTED_STATES = 16
"""Most states in one report to another router, those that changed last."""


@attrs.frozen(kw_only=True)
class PartState:
    """State of a part, as routers report it to each other.

    Parameters
    ----------
    part_id : str
        Hashed id of the part.
    generation : int
        Number of the last change; the highest one is valid. A part is withheld if it is
        odd, and released if it is even.
    evidence_age_s : float
        Time since the first of the crashes for which the part was withheld.
    """

    part_id: str
    generation: int
    evidence_age_s: float

    @property
    def is_withheld(self) -> bool:
        """Whether the part is withheld from engines."""
        return self.generation % 2 == 1


@attrs.frozen
class MergeResult:
    """States adopted from another router, and states that it does not know yet."""

    adopted: tuple[PartState, ...]
    newer: tuple[PartState, ...]


@attrs.define
class _Evidence:
    """Crash of an engine that had an unbegun prompt with the part.

    It is explained if the engine also had one with a part that is withheld.
    """

    target_id: str
    address: str
    at_s: float
    is_explained: bool = False


@attrs.define
class _UnjudgedCrash:
    target_id: str
    address: str
    judge_at_s: float
    suspected_parts: list[str] = attrs.field(factory=list)


@attrs.define
class _KnownState:
    generation: int
    evidence_since_s: float
    changed_at_s: float
    probe_at_s: float

    @property
    def is_withheld(self) -> bool:
        return self.generation % 2 == 1


class PartQuarantine:
    """Prompt parts that are suspected, withheld or cleared, as this router knows them.

    Routers exchange crashes and states. States merge by their generation, so that
    their order of arrival does not matter.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter of probes.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._begun_at_s: OrderedDict[str, float] = OrderedDict()
        self._evidence: OrderedDict[str, list[_Evidence]] = OrderedDict()
        self._unjudged: dict[str, _UnjudgedCrash] = {}
        # When engines crashed because of a part that is withheld.
        self._explained_at_s: OrderedDict[str, float] = OrderedDict()
        self._states: dict[str, _KnownState] = {}
        self._withheld: set[str] = set()

    @property
    def withheld_count(self) -> int:
        """Number of parts that are withheld."""
        return len(self._withheld)

    def record_begun(
        self, part_ids: Iterable[str], *, now_s: float
    ) -> tuple[PartState, ...]:
        """Clear the parts of a prompt whose response has begun; return those released.

        What was known against them before no longer counts.
        """
        released = []
        for part_id in part_ids:
            self._begun_at_s[part_id] = now_s
            self._begun_at_s.move_to_end(part_id)
            self._evidence.pop(part_id, None)
            if part_id in self._withheld:
                released.append(self._advance(part_id, 1, now_s=now_s))
        while len(self._begun_at_s) > MAX_CLEARED_PARTS:
            self._begun_at_s.popitem(last=False)
        return tuple(released)

    def suspicious(self, part_ids: Iterable[str], *, now_s: float) -> tuple[str, ...]:
        """Return the parts that may have caused a crash: all but the cleared ones."""
        return tuple(
            part_id
            for part_id in dict.fromkeys(part_ids)
            if not self._is_cleared(part_id, now_s)
        )

    def record_crash(self, crash: EngineCrash, *, now_s: float) -> None:
        """Add a router's report of a crash, to be judged together with those of others.

        Several routers report one crash, each with the prompts that it had sent.
        """
        unjudged = self._unjudged.get(crash.target_id)
        if unjudged is None:
            unjudged = _UnjudgedCrash(
                crash.target_id, crash.address, now_s + JUDGEMENT_DELAY_S
            )
            self._unjudged[crash.target_id] = unjudged
        unjudged.suspected_parts.extend(crash.suspected_parts)

    def judge(self, *, now_s: float) -> tuple[PartState, ...]:
        """Judge the crashes that all routers have had time to report.

        Returns
        -------
        tuple of PartState
            Parts that are withheld from now on.
        """
        due = [crash for crash in self._unjudged.values() if now_s >= crash.judge_at_s]
        withheld = []
        for crash in due:
            del self._unjudged[crash.target_id]
            culprit = self._find_culprit(crash, now_s)
            if culprit is not None:
                withheld.append(self._withhold(culprit, now_s))
        return tuple(withheld)

    def withheld_parts(self, part_ids: Iterable[str]) -> tuple[str, ...]:
        """Return which of a prompt's parts are withheld from engines."""
        if not self._withheld:
            return ()
        return tuple(part_id for part_id in part_ids if part_id in self._withheld)

    def probe_at_s(self, part_ids: Collection[str]) -> float:
        """Return when a prompt with these withheld parts may be sent as a probe."""
        return max(self._states[part_id].probe_at_s for part_id in part_ids)

    def begin_probe(
        self, part_ids: Iterable[str], *, now_s: float
    ) -> tuple[PartState, ...]:
        """Withhold parts for longer, as a prompt with them is sent as a probe now."""
        return tuple(self._advance(part_id, 2, now_s=now_s) for part_id in part_ids)

    def states(self, *, now_s: float) -> tuple[PartState, ...]:
        """Return the states to report to another router, and forget old ones."""
        for part_id, state in list(self._states.items()):
            if now_s - state.changed_at_s > RETENTION_S:
                self._forget(part_id)
        recent = [
            part_id
            for part_id, state in self._states.items()
            if now_s - state.changed_at_s <= RETENTION_S / 2
        ]
        recent.sort(key=lambda part_id: self._states[part_id].changed_at_s)
        return tuple(
            self._report(part_id, now_s) for part_id in recent[-MAX_REPORTED_STATES:]
        )

    def merge(self, states: Iterable[PartState], *, now_s: float) -> MergeResult:
        """Adopt the newer states of another router.

        A part that has begun here since the crashes held against it is released.
        """
        adopted, newer = [], []
        for state in states:
            known = self._states.get(state.part_id)
            generation = known.generation if known else 0
            if state.generation < generation:
                newer.append(self._report(state.part_id, now_s))
            if state.generation <= generation:
                continue
            since_s = now_s - state.evidence_age_s
            step = state.generation - generation
            began_at_s = self._begun_at_s.get(state.part_id)
            if state.is_withheld and began_at_s is not None and began_at_s > since_s:
                released = self._advance(state.part_id, step + 1, now_s=now_s)
                newer.append(released)
                continue
            adopted.append(
                self._advance(
                    state.part_id, step, now_s=now_s, evidence_since_s=since_s
                )
            )
        return MergeResult(tuple(adopted), tuple(newer))

    def _find_culprit(self, crash: _UnjudgedCrash, now_s: float) -> str | None:
        suspects = self.suspicious(crash.suspected_parts, now_s=now_s)
        if any(part_id in self._withheld for part_id in suspects):
            self._explain(crash.target_id, now_s)
        explained_at_s = self._explained_at_s.get(crash.target_id)
        if explained_at_s is not None and now_s - explained_at_s <= SAME_CRASH_S:
            return None
        sufficient: list[tuple[int, int, str]] = []
        for position, part_id in enumerate(suspects):
            evidence = self._add_evidence(part_id, crash, now_s)
            if _is_sufficient(evidence):
                sufficient.append((len(evidence), position, part_id))
        while len(self._evidence) > MAX_SUSPECTED_PARTS:
            self._evidence.popitem(last=False)
        # Among parts of the same prompts, the last one is shared by the fewest.
        return max(sufficient)[2] if sufficient else None

    def _add_evidence(
        self, part_id: str, crash: _UnjudgedCrash, now_s: float
    ) -> list[_Evidence]:
        evidence = [
            item
            for item in self._evidence.get(part_id, ())
            if now_s - item.at_s <= EVIDENCE_S
        ]
        is_known = any(
            item.target_id == crash.target_id and now_s - item.at_s <= SAME_CRASH_S
            for item in evidence
        )
        if not is_known:
            evidence.append(_Evidence(crash.target_id, crash.address, now_s))
        self._evidence[part_id] = evidence
        self._evidence.move_to_end(part_id)
        return evidence

    def _withhold(self, part_id: str, now_s: float) -> PartState:
        evidence = self._evidence[part_id]
        return self._advance(part_id, 1, now_s=now_s, evidence_since_s=evidence[0].at_s)

    def _explain(self, target_id: str, now_s: float) -> None:
        """Hold a crash no longer against parts other than the one that is withheld."""
        self._explained_at_s[target_id] = now_s
        self._explained_at_s.move_to_end(target_id)
        while len(self._explained_at_s) > MAX_EXPLAINED_CRASHES:
            self._explained_at_s.popitem(last=False)
        for evidence in self._evidence.values():
            for item in evidence:
                if item.target_id == target_id:
                    item.is_explained = True

    def _is_cleared(self, part_id: str, now_s: float) -> bool:
        began_at_s = self._begun_at_s.get(part_id)
        return began_at_s is not None and now_s - began_at_s <= CLEARED_S

    def _advance(
        self,
        part_id: str,
        steps: int,
        *,
        now_s: float,
        evidence_since_s: float | None = None,
    ) -> PartState:
        state = self._states.get(part_id)
        if state is None:
            self._make_room()
            state = self._states[part_id] = _KnownState(0, now_s, now_s, now_s)
        state.generation += steps
        state.changed_at_s = now_s
        if evidence_since_s is not None:
            state.evidence_since_s = evidence_since_s
        if state.is_withheld:
            probe_count = (state.generation - 1) // 2
            delay_s = min(FIRST_PROBE_S * PROBE_GROWTH**probe_count, MAX_PROBE_S)
            jitter = 1 + PROBE_JITTER * self._rng.random()
            state.probe_at_s = now_s + delay_s * jitter
            self._withheld.add(part_id)
            for item in self._evidence.pop(part_id, ()):
                self._explain(item.target_id, item.at_s)
        else:
            self._withheld.discard(part_id)
        return self._report(part_id, now_s)

    def _report(self, part_id: str, now_s: float) -> PartState:
        state = self._states[part_id]
        return PartState(
            part_id=part_id,
            generation=state.generation,
            evidence_age_s=now_s - state.evidence_since_s,
        )

    def _make_room(self) -> None:
        """Forget a part if the table is full: a released one, else the oldest."""
        if len(self._states) < MAX_WITHHELD_PARTS:
            return
        self._forget(
            min(
                self._states,
                key=lambda part_id: (
                    self._states[part_id].is_withheld,
                    self._states[part_id].changed_at_s,
                ),
            )
        )

    def _forget(self, part_id: str) -> None:
        del self._states[part_id]
        self._withheld.discard(part_id)


def _is_sufficient(evidence: Collection[_Evidence]) -> bool:
    unexplained_count = sum(not item.is_explained for item in evidence)
    if unexplained_count < MIN_UNEXPLAINED_CRASHES:
        return False
    if len(evidence) >= MIN_CRASHES_OF_ONE_ENGINE:
        return True
    engines = {item.address for item in evidence}
    return len(evidence) >= MIN_CRASHES and len(engines) >= MIN_ENGINES

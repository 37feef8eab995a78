"""Encodes the UDP datagrams between routers with thrift's compact protocol."""

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from citrondock_core.errors import CitrondockError
from citrondock_core.routing.engine_crash import EngineCrash
from citrondock_core.routing.engine_speed import FIRST_TOKEN_BASE_S
from citrondock_core.routing.fleet_usage import ReportedUsage
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
from citrondock_core.routing.part_quarantine import PartState
from citrondock_core.routing.request_facts import PromptPart
from citrondock_core.routing.store_changes import StoreChanges
from citrondock_core.routing.store_watch_plan import StoreView
from citrondock_core.routing.target_departure import TargetDeparture
from citrondock_core.routing.target_limits import TargetLimit
from citrondock_wire.gen.citrondock_grants import ttypes

MS_PER_S = 1_000

MAX_USAGE_TOKENS = 2**31 - 1
"""Largest usage that fits into a report."""

LIMIT_STEPS_PER_REQUEST = 1_000
MAX_LIMIT_STEPS = 2**31 - 1
"""Limits are sent in thousandths of a request a second; 0 stands for no limit."""


class BadDatagramError(CitrondockError):
    """Received bytes cannot be decoded as a datagram."""


@attrs.frozen(kw_only=True)
class Presence:
    """Announcement of a router to its peers.

    Parameters
    ----------
    availability_zone : str
        Zone of the router.
    is_leaving : bool
        Whether it is shutting down and is no longer the home of any engine.
    wants_reply : bool
        Whether the receiver is to answer with its own announcement.
    is_overloaded : bool
        Whether it is short of processor time and should not be the home of engines.
    """

    availability_zone: str
    is_leaving: bool
    wants_reply: bool
    is_overloaded: bool = False


@attrs.define(kw_only=True)
class PeerDatagram:
    """Contents of one datagram between routers.

    Parameters
    ----------
    vm_name : str
        Router that sends it.
    incarnation : int
        Incarnation of that router; differs after each restart.
    grant_requests : list of GrantRequest
        Requests to the receiver as the home of engines.
    answers : list of GrantAnswer
        Answers to requests of the receiver.
    progress : list of GrantProgress
        Progress of requests that the receiver granted or queued.
    backlogs : list of EngineBacklog
        Backlogs of the engines that the sender is the home of.
    known_backlogs : list of EngineBacklog
        Backlogs of other engines that the sender has been told.
    presence : Presence or None
        Announcement of the sender.
    usage, zone_usage, fleet_usage : list of ReportedUsage
        Recent usage of accounts at the engines that the sender is the home of, at those
        of its zone's routers, and at all engines.
    crashes : list of EngineCrash
        Engines that the sender found to have crashed.
    part_states : list of PartState
        Prompt parts that the sender knows to be withheld or released.
    limits : list of TargetLimit
        Limits of targets that the sender knows.
    departures : list of TargetDeparture
        Targets that the sender knows to be leaving or gone.
    store_views : list of StoreView
        How far the sender has followed the store.
    store_changes : list of StoreChanges
        Changes that the sender has watched.
    """

    vm_name: str
    incarnation: int
    grant_requests: list[GrantRequest] = attrs.field(factory=list)
    answers: list[GrantAnswer] = attrs.field(factory=list)
    progress: list[GrantProgress] = attrs.field(factory=list)
    backlogs: list[EngineBacklog] = attrs.field(factory=list)
    known_backlogs: list[EngineBacklog] = attrs.field(factory=list)
    presence: Presence | None = None
    usage: list[ReportedUsage] = attrs.field(factory=list)
    zone_usage: list[ReportedUsage] = attrs.field(factory=list)
    fleet_usage: list[ReportedUsage] = attrs.field(factory=list)
    crashes: list[EngineCrash] = attrs.field(factory=list)
    part_states: list[PartState] = attrs.field(factory=list)
    limits: list[TargetLimit] = attrs.field(factory=list)
    departures: list[TargetDeparture] = attrs.field(factory=list)
    store_views: list[StoreView] = attrs.field(factory=list)
    store_changes: list[StoreChanges] = attrs.field(factory=list)


class GrantCodec:
    """Encodes and decodes datagrams.

    The clocks of routers are not comparable, so points in time are sent as the time
    left from now.
    """

    def __init__(self) -> None:
        self._factory = TCompactProtocolAcceleratedFactory()

    def encode(self, datagram: PeerDatagram, *, now_s: float) -> bytes:
        """Return the encoded datagram."""
        presence = datagram.presence
        return serialize(
            ttypes.Datagram(
                vm_name=datagram.vm_name,
                incarnation=datagram.incarnation,
                asks=[
                    _request_to_thrift(request, now_s)
                    for request in datagram.grant_requests
                ]
                or None,
                answers=[_answer_to_thrift(answer) for answer in datagram.answers]
                or None,
                progress=[_progress_to_thrift(item) for item in datagram.progress]
                or None,
                known_backlogs=[
                    _backlog_to_thrift(item) for item in datagram.known_backlogs
                ]
                or None,
                backlogs=[_backlog_to_thrift(item) for item in datagram.backlogs]
                or None,
                presence=ttypes.Presence(
                    availability_zone=presence.availability_zone,
                    leaving=presence.is_leaving,
                    wants_reply=presence.wants_reply,
                    overloaded=presence.is_overloaded or None,
                )
                if presence
                else None,
                usage=_usage_to_thrift(datagram.usage),
                zone_usage=_usage_to_thrift(datagram.zone_usage),
                fleet_usage=_usage_to_thrift(datagram.fleet_usage),
                crashes=[_crash_to_thrift(item) for item in datagram.crashes] or None,
                part_states=[
                    _part_state_to_thrift(item) for item in datagram.part_states
                ]
                or None,
                limits=[_limit_to_thrift(item) for item in datagram.limits] or None,
                departures=[_departure_to_thrift(item) for item in datagram.departures]
                or None,
                store_views=[
                    _store_view_to_thrift(item) for item in datagram.store_views
                ]
                or None,
                store_changes=[
                    ttypes.StoreChanges(**attrs.asdict(item))
                    for item in datagram.store_changes
                ]
                or None,
            ),
            self._factory,
        )

    def decode(
        self, data: bytes, *, now_s: float, own_incarnation: int
    ) -> PeerDatagram:
        """Return the decoded datagram.

        Raises
        ------
        BadDatagramError
            If the bytes are not a valid datagram.
        """
        try:
            decoded = deserialize(ttypes.Datagram(), data, self._factory)
            return self._from_thrift(decoded, now_s, own_incarnation)
        except (TException, TypeError, ValueError, EOFError) as error:
            raise BadDatagramError(repr(error), step="decode") from error

    def _from_thrift(
        self, decoded: ttypes.Datagram, now_s: float, own_incarnation: int
    ) -> PeerDatagram:
        presence = decoded.presence
        incarnation = decoded.incarnation
        names = [decoded.vm_name]
        if presence is not None:
            names.append(presence.availability_zone)
        if not all(isinstance(name, str) and name for name in names):
            raise ValueError("datagram lacks the name or zone of its sender")
        return PeerDatagram(
            vm_name=decoded.vm_name,
            incarnation=incarnation,
            grant_requests=[
                _request_from_thrift(ask, incarnation, now_s)
                for ask in decoded.asks or ()
            ],
            answers=[
                _answer_from_thrift(item, own_incarnation)
                for item in decoded.answers or ()
            ],
            progress=[
                _progress_from_thrift(item, incarnation)
                for item in decoded.progress or ()
            ],
            backlogs=[_backlog_from_thrift(item) for item in decoded.backlogs or ()],
            known_backlogs=[
                _backlog_from_thrift(item) for item in decoded.known_backlogs or ()
            ],
            presence=Presence(
                availability_zone=presence.availability_zone,
                is_leaving=bool(presence.leaving),
                wants_reply=bool(presence.wants_reply),
                is_overloaded=bool(presence.overloaded),
            )
            if presence
            else None,
            usage=_usage_from_thrift(decoded.usage),
            zone_usage=_usage_from_thrift(decoded.zone_usage),
            fleet_usage=_usage_from_thrift(decoded.fleet_usage),
            crashes=[_crash_from_thrift(item) for item in decoded.crashes or ()],
            part_states=[
                _part_state_from_thrift(item) for item in decoded.part_states or ()
            ],
            limits=[_limit_from_thrift(item) for item in decoded.limits or ()],
            departures=[
                _departure_from_thrift(item) for item in decoded.departures or ()
            ],
            store_views=[
                _store_view_from_thrift(item) for item in decoded.store_views or ()
            ],
            store_changes=[
                _store_changes_from_thrift(item) for item in decoded.store_changes or ()
            ],
        )


def _to_ms(seconds: float) -> int:
    return int(seconds * MS_PER_S)


def _request_to_thrift(request: GrantRequest, now_s: float) -> ttypes.Ask:
    return ttypes.Ask(
        number=request.key.number,
        target=request.target_id,
        account=request.account,
        kind=request.kind,
        continues_stream=request.continues_stream or None,
        prompt_tokens=request.prompt_tokens,
        output_tokens=request.output_tokens,
        part_ids=[int(part.part_id) for part in request.shared_parts],
        part_tokens=[part.token_count for part in request.shared_parts],
        on_time_left_ms=_to_ms(request.on_time_until_s - now_s),
        wait_left_ms=_to_ms(request.wait_until_s - now_s),
    )


def _request_from_thrift(
    ask: ttypes.Ask, incarnation: int, now_s: float
) -> GrantRequest:
    parts = zip(ask.part_ids, ask.part_tokens, strict=True)
    return GrantRequest(
        key=GrantKey(incarnation=incarnation, number=ask.number),
        target_id=ask.target,
        account=ask.account,
        kind=ask.kind,
        continues_stream=bool(ask.continues_stream),
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        shared_parts=tuple(PromptPart(str(part), count) for part, count in parts),
        on_time_until_s=now_s + ask.on_time_left_ms / MS_PER_S,
        wait_until_s=now_s + ask.wait_left_ms / MS_PER_S,
    )


def _answer_to_thrift(answer: GrantAnswer) -> ttypes.Answer:
    return ttypes.Answer(
        number=answer.key.number,
        verdict=answer.verdict.value,
        first_answer_ms=_to_ms(answer.first_answer_s),
        refusal_reason=answer.refusal_reason and answer.refusal_reason.value,
        account_tokens=answer.account_tokens,
    )


def _answer_from_thrift(answer: ttypes.Answer, own_incarnation: int) -> GrantAnswer:
    return GrantAnswer(
        key=GrantKey(incarnation=own_incarnation, number=answer.number),
        verdict=Verdict(answer.verdict),
        first_answer_s=answer.first_answer_ms / MS_PER_S,
        refusal_reason=answer.refusal_reason and RefusalReason(answer.refusal_reason),
        account_tokens=answer.account_tokens,
    )


def _progress_to_thrift(progress: GrantProgress) -> ttypes.Progress:
    return ttypes.Progress(
        number=progress.key.number,
        target=progress.target_id,
        stage=progress.stage.value,
    )


def _progress_from_thrift(progress: ttypes.Progress, incarnation: int) -> GrantProgress:
    return GrantProgress(
        key=GrantKey(incarnation=incarnation, number=progress.number),
        target_id=progress.target,
        stage=Stage(progress.stage),
    )


def _backlog_to_thrift(backlog: EngineBacklog) -> ttypes.Backlog:
    return ttypes.Backlog(
        target=backlog.target_id,
        backlog_ms=_to_ms(backlog.backlog_s),
        speed_percent=backlog.speed_percent,
        base_ms=_to_ms(backlog.first_token_base_s),
        age_ms=_to_ms(backlog.age_s) or None,
    )


def _usage_to_thrift(usage: list[ReportedUsage]) -> list[ttypes.Usage] | None:
    return [
        ttypes.Usage(account=item.account, tokens=min(item.tokens, MAX_USAGE_TOKENS))
        for item in usage
    ] or None


def _usage_from_thrift(usage: list[ttypes.Usage] | None) -> list[ReportedUsage]:
    return [ReportedUsage(item.account, item.tokens) for item in usage or ()]


def _backlog_from_thrift(backlog: ttypes.Backlog) -> EngineBacklog:
    return EngineBacklog(
        target_id=backlog.target,
        backlog_s=backlog.backlog_ms / MS_PER_S,
        speed_percent=backlog.speed_percent,
        first_token_base_s=FIRST_TOKEN_BASE_S
        if backlog.base_ms is None
        else backlog.base_ms / MS_PER_S,
        age_s=(backlog.age_ms or 0) / MS_PER_S,
    )


def _crash_to_thrift(crash: EngineCrash) -> ttypes.Crash:
    return ttypes.Crash(
        target=crash.target_id,
        address=crash.address,
        suspected_parts=[int(part_id) for part_id in crash.suspected_parts],
    )


def _crash_from_thrift(crash: ttypes.Crash) -> EngineCrash:
    return EngineCrash(
        target_id=crash.target,
        address=crash.address,
        suspected_parts=tuple(str(part_id) for part_id in crash.suspected_parts),
    )


def _part_state_to_thrift(state: PartState) -> ttypes.PartState:
    return ttypes.PartState(
        part_id=int(state.part_id),
        generation=state.generation,
        evidence_age_ms=_to_ms(state.evidence_age_s),
    )


def _part_state_from_thrift(state: ttypes.PartState) -> PartState:
    return PartState(
        part_id=str(state.part_id),
        generation=state.generation,
        evidence_age_s=state.evidence_age_ms / MS_PER_S,
    )


def _limit_to_thrift(limit: TargetLimit) -> ttypes.TargetLimit:
    steps = 0
    if limit.requests_per_s is not None:
        exact_steps = limit.requests_per_s * LIMIT_STEPS_PER_REQUEST
        steps = max(round(min(exact_steps, MAX_LIMIT_STEPS)), 1)
    return ttypes.TargetLimit(
        target=limit.target_id,
        requests_per_1000_s=steps,
        age_ms=_to_ms(limit.age_s),
    )


def _limit_from_thrift(limit: ttypes.TargetLimit) -> TargetLimit:
    steps = limit.requests_per_1000_s
    return TargetLimit(
        target_id=limit.target,
        requests_per_s=steps / LIMIT_STEPS_PER_REQUEST if steps else None,
        age_s=limit.age_ms / MS_PER_S,
    )


def _departure_to_thrift(departure: TargetDeparture) -> ttypes.Departure:
    return ttypes.Departure(
        target=departure.target_id,
        started_at_ms=departure.started_at_ms,
        registry_revision=departure.registry_revision or 0,
        age_ms=_to_ms(departure.age_s),
        registry_era=departure.registry_era,
    )


def _departure_from_thrift(departure: ttypes.Departure) -> TargetDeparture:
    return TargetDeparture(
        target_id=departure.target,
        started_at_ms=departure.started_at_ms,
        registry_revision=departure.registry_revision or None,
        age_s=departure.age_ms / MS_PER_S,
        registry_era=departure.registry_era,
    )


def _store_view_to_thrift(view: StoreView) -> ttypes.StoreView:
    return ttypes.StoreView(
        kind=view.kind,
        changed_revision=view.changed_revision,
        lost=view.is_lost,
        era=view.era,
    )


def _store_view_from_thrift(view: ttypes.StoreView) -> StoreView:
    return StoreView(
        kind=view.kind,
        changed_revision=view.changed_revision,
        is_lost=bool(view.lost),
        era=view.era,
    )


def _store_changes_from_thrift(changes: ttypes.StoreChanges) -> StoreChanges:
    numbers = (changes.era, changes.after_revision, changes.revision)
    if changes.objects is None or not all(isinstance(n, int) for n in numbers):
        raise ValueError("changes of the store lack their objects or revisions")
    return StoreChanges(
        kind=changes.kind,
        era=changes.era,
        after_revision=changes.after_revision,
        revision=changes.revision,
        objects=changes.objects,
    )

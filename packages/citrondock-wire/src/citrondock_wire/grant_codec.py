"""Datagrams between routers as thrift's compact protocol."""

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from citrondock_core.errors import CitrondockError
from citrondock_core.routing.fleet_usage import ReportedUsage
from citrondock_core.routing.grant import (
    EngineBacklog,
    GrantAnswer,
    GrantKey,
    GrantProgress,
    GrantRequest,
    Stage,
    Verdict,
)
from citrondock_core.routing.request_facts import PromptPart
from citrondock_wire.gen.citrondock_grants import ttypes

MS_PER_S = 1_000


class BadDatagramError(CitrondockError):
    """Bytes of a peer that are no datagram."""


@attrs.frozen(kw_only=True)
class Presence:
    """A router that tells of itself.

    Parameters
    ----------
    availability_zone : str
        Zone it stands in.
    is_leaving : bool
        Whether it is home of engines no longer.
    wants_reply : bool
        Whether the other should tell of itself too.
    """

    availability_zone: str
    is_leaving: bool
    wants_reply: bool


@attrs.define(kw_only=True)
class PeerDatagram:
    """What one router says to another at one moment.

    Parameters
    ----------
    vm_name : str
        Who says it.
    incarnation : int
        Its life.
    """

    vm_name: str
    incarnation: int
    grant_requests: list[GrantRequest] = attrs.field(factory=list)
    answers: list[GrantAnswer] = attrs.field(factory=list)
    progress: list[GrantProgress] = attrs.field(factory=list)
    backlogs: list[EngineBacklog] = attrs.field(factory=list)
    presence: Presence | None = None
    usage: list[ReportedUsage] = attrs.field(factory=list)


class GrantCodec:
    """Encodes and decodes datagrams; times travel as differences from now."""

    def __init__(self) -> None:
        self._factory = TCompactProtocolAcceleratedFactory()

    def encode(self, datagram: PeerDatagram, *, now_s: float) -> bytes:
        """Return a datagram as bytes."""
        presence = datagram.presence
        return serialize(
            ttypes.Datagram(
                vm_name=datagram.vm_name,
                incarnation=datagram.incarnation,
                asks=[_ask_out(ask, now_s) for ask in datagram.grant_requests] or None,
                answers=[_answer_out(answer) for answer in datagram.answers] or None,
                progress=[_progress_out(item) for item in datagram.progress] or None,
                backlogs=[_backlog_out(item) for item in datagram.backlogs] or None,
                presence=ttypes.Presence(
                    availability_zone=presence.availability_zone,
                    leaving=presence.is_leaving,
                    wants_reply=presence.wants_reply,
                )
                if presence
                else None,
                usage=[_usage_out(item) for item in datagram.usage] or None,
            ),
            self._factory,
        )

    def decode(
        self, data: bytes, *, now_s: float, own_incarnation: int
    ) -> PeerDatagram:
        """Return a datagram from bytes.

        Raises
        ------
        BadDatagramError
            If the bytes are no datagram.
        """
        try:
            read = deserialize(ttypes.Datagram(), data, self._factory)
            return self._read(read, now_s, own_incarnation)
        except (TException, TypeError, ValueError, EOFError) as error:
            raise BadDatagramError(repr(error), step="decode") from error

    def _read(
        self, read: ttypes.Datagram, now_s: float, own_incarnation: int
    ) -> PeerDatagram:
        presence = read.presence
        incarnation = read.incarnation
        return PeerDatagram(
            vm_name=read.vm_name,
            incarnation=incarnation,
            grant_requests=[
                _ask_in(ask, incarnation, now_s) for ask in read.asks or ()
            ],
            answers=[_answer_in(item, own_incarnation) for item in read.answers or ()],
            progress=[_progress_in(item, incarnation) for item in read.progress or ()],
            backlogs=[_backlog_in(item) for item in read.backlogs or ()],
            presence=Presence(
                availability_zone=presence.availability_zone,
                is_leaving=bool(presence.leaving),
                wants_reply=bool(presence.wants_reply),
            )
            if presence
            else None,
            usage=[
                ReportedUsage(item.account, item.tokens) for item in read.usage or ()
            ],
        )


def _ms(seconds: float) -> int:
    return int(seconds * MS_PER_S)


def _ask_out(ask: GrantRequest, now_s: float) -> ttypes.Ask:
    return ttypes.Ask(
        number=ask.key.number,
        target=ask.target_id,
        account=ask.account,
        kind=ask.kind,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        part_ids=[int(part.part_id) for part in ask.shared_parts],
        part_tokens=[part.token_count for part in ask.shared_parts],
        on_time_left_ms=_ms(ask.on_time_until_s - now_s),
        wait_left_ms=_ms(ask.wait_until_s - now_s),
    )


def _ask_in(ask: ttypes.Ask, incarnation: int, now_s: float) -> GrantRequest:
    parts = zip(ask.part_ids, ask.part_tokens, strict=True)
    return GrantRequest(
        key=GrantKey(incarnation=incarnation, number=ask.number),
        target_id=ask.target,
        account=ask.account,
        kind=ask.kind,
        prompt_tokens=ask.prompt_tokens,
        output_tokens=ask.output_tokens,
        shared_parts=tuple(PromptPart(str(part), count) for part, count in parts),
        on_time_until_s=now_s + ask.on_time_left_ms / MS_PER_S,
        wait_until_s=now_s + ask.wait_left_ms / MS_PER_S,
    )


def _answer_out(answer: GrantAnswer) -> ttypes.Answer:
    return ttypes.Answer(
        number=answer.key.number,
        verdict=answer.verdict.value,
        first_answer_ms=_ms(answer.first_answer_s),
    )


def _answer_in(answer: ttypes.Answer, own_incarnation: int) -> GrantAnswer:
    return GrantAnswer(
        key=GrantKey(incarnation=own_incarnation, number=answer.number),
        verdict=Verdict(answer.verdict),
        first_answer_s=answer.first_answer_ms / MS_PER_S,
    )


def _progress_out(progress: GrantProgress) -> ttypes.Progress:
    return ttypes.Progress(
        number=progress.key.number,
        target=progress.target_id,
        stage=progress.stage.value,
    )


def _progress_in(progress: ttypes.Progress, incarnation: int) -> GrantProgress:
    return GrantProgress(
        key=GrantKey(incarnation=incarnation, number=progress.number),
        target_id=progress.target,
        stage=Stage(progress.stage),
    )


def _backlog_out(backlog: EngineBacklog) -> ttypes.Backlog:
    return ttypes.Backlog(
        target=backlog.target_id,
        backlog_ms=_ms(backlog.backlog_s),
        speed_percent=backlog.speed_percent,
    )


def _usage_out(usage: ReportedUsage) -> ttypes.Usage:
    return ttypes.Usage(account=usage.account, tokens=usage.tokens)


def _backlog_in(backlog: ttypes.Backlog) -> EngineBacklog:
    return EngineBacklog(
        target_id=backlog.target,
        backlog_s=backlog.backlog_ms / MS_PER_S,
        speed_percent=backlog.speed_percent,
    )

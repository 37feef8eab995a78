"""Encodes messages between routers as a thrift `Batch` in the compact protocol."""

from collections.abc import Iterable, Iterator, Sequence

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from citrondock_core.errors import CitrondockError
from citrondock_core.heartbeat import Heartbeat
from citrondock_core.messages import (
    InFlight,
    PeerMessage,
    SlotGrant,
    SlotReturn,
    Summary,
)
from citrondock_wire.account_ids import AccountIds
from citrondock_wire.gen.citrondock_peer import ttypes
from citrondock_wire.summary_codec import BatchNames, SummaryCodec

MS_PER_S = 1_000

WireMessage = PeerMessage | Heartbeat


class BadMessageError(CitrondockError):
    """Received bytes cannot be decoded as a batch of messages."""


class MessageCodec:
    """Encodes and decodes batches of messages.

    Examples
    --------
    >>> codec = MessageCodec()
    >>> payload = codec.encode([InFlight(target="t", in_flight_count=1, sequence=1)])
    >>> codec.decode(payload)[0].in_flight_count
    1
    """

    def __init__(self) -> None:
        self._account_ids = AccountIds()
        self._summary_codec = SummaryCodec(self._account_ids)
        self._factory = TCompactProtocolAcceleratedFactory()

    def set_accounts(self, names: Iterable[str]) -> None:
        """Set the names of the configured accounts, which are sent as short ids."""
        self._account_ids.set_names(names)

    def encode(self, messages: Sequence[WireMessage]) -> bytes:
        """Return the encoded batch of messages."""
        names = BatchNames()
        batch = ttypes.Batch()
        for message in messages:
            self._add_to_batch(batch, message, names)
        batch.routers = [
            ttypes.RouterRef(vm_name=vm_name, incarnation=incarnation)
            for vm_name, incarnation in names.routers
        ] or None
        batch.accounts = names.accounts or None
        batch.pools = names.pools or None
        payload: bytes = serialize(batch, protocol_factory=self._factory)
        return payload

    def decode(self, payload: bytes, *, peer: str = "peer") -> list[WireMessage]:
        """Return the messages of a batch.

        Parameters
        ----------
        payload : bytes
            Bytes that `encode` returned at the sender.
        peer : str
            Name of the sender, for the error.

        Raises
        ------
        BadMessageError
            If the bytes are not a valid batch.
        """
        try:
            batch = deserialize(ttypes.Batch(), payload, protocol_factory=self._factory)
            return list(self._decode_batch(batch))
        except (
            TException,
            EOFError,
            IndexError,
            MemoryError,
            OverflowError,
            TypeError,
            ValueError,
        ) as error:
            reason = f"bad batch of {len(payload)} bytes: {error}"
            raise BadMessageError(reason, step="decode", peer=peer) from error

    def _add_to_batch(
        self, batch: ttypes.Batch, message: WireMessage, names: BatchNames
    ) -> None:
        match message:
            case Summary():
                summary = self._summary_codec.encode(message, names)
                batch.summaries = [*(batch.summaries or ()), summary]
            case SlotGrant():
                batch.grants = [*(batch.grants or ()), _grant_entry(message)]
            case SlotReturn():
                batch.returns = [*(batch.returns or ()), _return_entry(message)]
            case InFlight():
                in_flight = _in_flight_entry(message)
                batch.in_flights = [*(batch.in_flights or ()), in_flight]
            case Heartbeat():
                heartbeat = _heartbeat_entry(message)
                batch.heartbeats = [*(batch.heartbeats or ()), heartbeat]

    def _decode_batch(self, batch: ttypes.Batch) -> Iterator[WireMessage]:
        names = BatchNames(
            routers=[_router(entry) for entry in batch.routers or ()],
            accounts=batch.accounts or [],
            pools=batch.pools or [],
        )
        for heartbeat in batch.heartbeats or ():
            yield _require_fields(_heartbeat(heartbeat))
        for summary in batch.summaries or ():
            yield self._summary_codec.decode(summary, names)
        for grant in batch.grants or ():
            yield _require_fields(_grant(grant))
        for returned in batch.returns or ():
            yield _require_fields(_return(returned))
        for in_flight in batch.in_flights or ():
            yield _require_fields(_in_flight(in_flight))


def _router(entry: ttypes.RouterRef) -> tuple[str, int]:
    if entry.vm_name is None or entry.incarnation is None:
        raise ValueError("a router lacks its name or incarnation")
    return entry.vm_name, entry.incarnation


def _require_fields(message: WireMessage) -> WireMessage:
    """Return the message; raise ValueError if the sender omitted a field."""
    for field in attrs.fields(type(message)):
        if getattr(message, field.name) is None:
            raise ValueError(f"a {type(message).__name__} lacks {field.name}")
    return message


def _grant_entry(grant: SlotGrant) -> ttypes.GrantEntry:
    return ttypes.GrantEntry(
        grant_id=grant.grant_id,
        target=grant.target,
        pool=grant.pool,
        slot_count=grant.slot_count,
        ttl_ms=round(grant.ttl_s * MS_PER_S),
        account=grant.account or None,
    )


def _grant(entry: ttypes.GrantEntry) -> SlotGrant:
    return SlotGrant(
        grant_id=entry.grant_id,
        target=entry.target,
        pool=entry.pool,
        slot_count=entry.slot_count,
        ttl_s=entry.ttl_ms / MS_PER_S,
        account=entry.account or "",
    )


def _return_entry(message: SlotReturn) -> ttypes.ReturnEntry:
    return ttypes.ReturnEntry(
        grant_id=message.grant_id,
        target=message.target,
        returned_count=message.returned_count,
        unused=message.unused or None,
    )


def _return(entry: ttypes.ReturnEntry) -> SlotReturn:
    return SlotReturn(
        grant_id=entry.grant_id,
        target=entry.target,
        returned_count=entry.returned_count,
        unused=bool(entry.unused),
    )


def _in_flight_entry(message: InFlight) -> ttypes.InFlightEntry:
    return ttypes.InFlightEntry(
        target=message.target,
        in_flight_count=message.in_flight_count,
        sequence=message.sequence,
        first_token_ms=round(message.first_token_s * MS_PER_S) or None,
    )


def _in_flight(entry: ttypes.InFlightEntry) -> InFlight:
    return InFlight(
        target=entry.target,
        in_flight_count=entry.in_flight_count,
        sequence=entry.sequence,
        first_token_s=(entry.first_token_ms or 0) / MS_PER_S,
    )


def _heartbeat_entry(heartbeat: Heartbeat) -> ttypes.HeartbeatEntry:
    return ttypes.HeartbeatEntry(
        vm_name=heartbeat.vm_name,
        availability_zone=heartbeat.availability_zone,
        incarnation=heartbeat.incarnation,
        host=heartbeat.host,
        port=heartbeat.port,
        leaving=heartbeat.leaving,
        configuration_revision=heartbeat.configuration_revision,
        sequence=heartbeat.sequence,
        gone=heartbeat.gone or None,
    )


def _heartbeat(entry: ttypes.HeartbeatEntry) -> Heartbeat:
    return Heartbeat(
        vm_name=entry.vm_name,
        availability_zone=entry.availability_zone,
        incarnation=entry.incarnation,
        host=entry.host,
        port=entry.port,
        leaving=entry.leaving,
        configuration_revision=entry.configuration_revision,
        sequence=entry.sequence,
        gone=bool(entry.gone),
    )

import numbers

import attrs
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import serialize

from citrondock_core.event_stream import EventStreamScanner
from citrondock_core.heartbeat import Heartbeat
from citrondock_core.messages import (
    Demand,
    InFlight,
    ServiceCounter,
    ServiceTotal,
    SlotGrant,
    SlotReturn,
    Summary,
)
from citrondock_wire.body_decoder import BodyDecoder, BodyFramingError
from citrondock_wire.gen.citrondock_peer import ttypes
from citrondock_wire.message_codec import BadMessageError, MessageCodec

ROUTER = {"vm_name": "router-1", "incarnation": 7}
MESSAGES = [
    Heartbeat(
        **ROUTER,
        availability_zone="a",
        host="127.0.0.1",
        port=7000,
        leaving=False,
        configuration_revision=3,
        sequence=4,
    ),
    SlotGrant(grant_id="1.2", target="t", pool="p", slot_count=2, ttl_s=1.5),
    SlotReturn(grant_id="1.2", target="t", returned_count=1, unused=True),
    InFlight(target="t", in_flight_count=3, sequence=4, first_token_s=0.25),
    Summary(
        counters=[
            ServiceCounter(
                **ROUTER,
                account="eau",
                charged_tokens=9,
                refunded_tokens=1,
                stream=1,
            )
        ],
        demands=[
            Demand(**ROUTER, pool="p", account="eau", waiting_count=1, sequence=2)
        ],
        totals=[
            ServiceTotal(
                account="eau",
                charged_tokens=9,
                refunded_tokens=0,
                lifted_tokens=0,
                clamped_tokens=0,
            )
        ],
        sequence=9,
    ),
]
FUZZ = settings(derandomize=True, deadline=None, max_examples=300)
COLUMNS = ttypes.CounterColumns(
    router=0, accounts=[-1], charged_tokens=[1], refunded_tokens=[1]
)
PAYLOAD = MessageCodec().encode(MESSAGES)


def is_well_typed(message):
    for field in attrs.fields(type(message)):
        value = getattr(message, field.name)
        if isinstance(value, list | tuple):
            if not all(isinstance(v, int) or is_well_typed(v) for v in value):
                return False
        elif not isinstance(value, str | numbers.Real):
            return False
    return True


def assert_decoded_or_refused(payload):
    try:
        messages = MessageCodec().decode(payload)
    except BadMessageError:
        return
    assert all(is_well_typed(message) for message in messages)


class TestMessageCodec:
    @given(st.binary(max_size=300))
    @example(b"\xfc" + b"\x1c" * 100_000)
    @example(b"\xf9" + b"\x19" * 100_000)
    @FUZZ
    def test_random_bytes_are_decoded_or_refused(self, payload):
        assert_decoded_or_refused(payload)

    @given(st.integers(0, len(PAYLOAD) - 1), st.binary(max_size=4), st.integers(0, 4))
    @FUZZ
    def test_a_changed_batch_is_decoded_or_refused(self, position, inserted, removed):
        assert_decoded_or_refused(
            PAYLOAD[:position] + inserted + PAYLOAD[position + removed :]
        )

    @pytest.mark.parametrize(
        "entries",
        [
            {"heartbeats": [ttypes.HeartbeatEntry(vm_name="router-1")]},
            {"grants": [ttypes.GrantEntry(grant_id="1", ttl_ms=1)]},
            {"returns": [ttypes.ReturnEntry(target="t")]},
            {"in_flights": [ttypes.InFlightEntry(target="t")]},
            {"routers": [ttypes.RouterRef()]},
            {"summaries": [ttypes.SummaryEntry(counter_columns=[COLUMNS])]},
        ],
    )
    def test_an_entry_with_missing_fields_is_refused(self, entries):
        routers = [ttypes.RouterRef("router-1", 1)]
        batch = ttypes.Batch(**{"routers": routers, "accounts": ["eau"], **entries})
        factory = TCompactProtocolAcceleratedFactory()

        with pytest.raises(BadMessageError, match="lack"):
            MessageCodec().decode(serialize(batch, protocol_factory=factory))


class TestEventStreamScanner:
    @given(st.lists(st.binary(max_size=40) | st.sampled_from([b"\n\n", b"data: "])))
    @example([b"data: " + b"[" * 200_000 + b"\n\n"])
    @example([b'data: {"usage": {"prompt_tokens": 1e999, "completion_tokens": 1}}\n\n'])
    @FUZZ
    def test_any_bytes_are_passed_on_in_order(self, pieces):
        scanner = EventStreamScanner("r1")

        passed = b"".join(scanner.feed(piece) for piece in pieces)

        assert b"".join(pieces).startswith(passed)
        assert scanner.usage is None or scanner.usage.generated_tokens is not None


class TestBodyDecoder:
    @given(
        st.lists(st.binary(max_size=40) | st.sampled_from([b"1\r\nx\r\n", b"0\r\n"]))
    )
    @FUZZ
    def test_any_chunks_are_decoded_or_refused(self, pieces):
        decoder = BodyDecoder(chunked=True, content_length_bytes=None)
        try:
            bodies = [decoder.feed(piece) for piece in pieces]
        except BodyFramingError:
            return
        assert len(b"".join(bodies)) <= len(b"".join(pieces))

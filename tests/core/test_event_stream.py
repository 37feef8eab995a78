"""Scanning of the event streams that the first interface relays."""

import time

import pytest

from citrondock_core.event_stream import MAX_EVENT_BYTES, EventStreamScanner
from citrondock_router.relayed_call import RelayedCall
from citrondock_wire.body_decoder import BodyDecoder, BodyFramingError

TOKEN = b"tokentokentokent"
MAX_SCAN_S = 0.5


class TestEndlessEvents:
    def test_no_more_than_the_limit_is_held(self):
        scanner = EventStreamScanner("r1")
        held_bytes = 0
        for _ in range(100):
            scanner.feed(b"x" * 65_536)
            held_bytes = max(held_bytes, len(scanner._partial))
        assert scanner.is_endless
        assert held_bytes <= MAX_EVENT_BYTES

    def test_the_work_grows_with_the_size_of_an_event(self):
        scanner = EventStreamScanner("r1")
        began_s = time.process_time()
        for _ in range(MAX_EVENT_BYTES // len(TOKEN)):
            scanner.feed(TOKEN)
        assert time.process_time() - began_s < MAX_SCAN_S

    def test_a_relayed_response_with_one_is_broken(self):
        class StubCall:
            request_id = "r1"

        decoder = BodyDecoder(chunked=False, content_length_bytes=None)
        relayed = RelayedCall(
            call=StubCall(), decoder=decoder, scanner=EventStreamScanner("r1")
        )
        relayed.receive(b"data: {}\n\n")
        with pytest.raises(BodyFramingError, match="longer than"):
            for _ in range(100):
                relayed.receive(b"x" * 65_536)
        assert bytes(relayed.output) == b"data: {}\n\n"

    def test_a_resumed_stream_may_go_on(self):
        scanner = EventStreamScanner("r1")
        scanner.feed(b"x" * (MAX_EVENT_BYTES + 1))
        scanner.drop_partial()
        assert scanner.feed(b"data: [DONE]\n\n") == b"data: [DONE]\n\n"
        assert scanner.done


class TestEndsInPieces:
    @pytest.mark.parametrize("ending", [b"\n\n", b"\r\n\r\n"])
    def test_all_events_are_returned_whole(self, ending):
        data = b"data: a" + ending + b"data: b" + ending + b"data: [DONE]" + ending
        for size in range(1, len(data)):
            scanner = EventStreamScanner("r1")
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            returned = [scanner.feed(piece) for piece in pieces]
            assert b"".join(returned) == data
            assert all(piece.endswith(ending) for piece in returned if piece)
            assert scanner.done

"""The log buffer stays bounded under load, and failed requests stay in the log."""

import os

import pytest

from citrondock_router.gateway.log_filter import MAX_HELD_REQUESTS
from citrondock_router.gateway.log_writer import (
    MAX_BUFFERED_BYTES,
    SUPPRESSION_BYTES,
    LogWriter,
)


def line(event, request_id="", **fields):
    pairs = [f"request_id={request_id}"] if request_id else []
    pairs += [f"{name}={value}" for name, value in fields.items()]
    return f"time=T level=INFO event={event} {' '.join(pairs)}\n"


class Pipe:
    """A log writer on a pipe, and the reading end, which may be read slowly."""

    def __init__(self):
        self.reader, descriptor = os.pipe()
        os.set_blocking(self.reader, False)
        self.writer = LogWriter(descriptor)

    def read(self):
        parts = []
        while True:
            try:
                part = os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return b"".join(parts).decode()
            parts.append(part)

    def read_all(self):
        text = ""
        for _ in range(100):
            self.writer.drain()
            text += self.read()
        return text


@pytest.fixture
def pipe():
    return Pipe()


def fill(pipe, byte_count=SUPPRESSION_BYTES):
    """Write lines that belong to no request, by default until suppression starts."""
    text = line("target_added", target="x" * 200)
    for _ in range(byte_count // len(text) + 1):
        pipe.writer.write(text)


class TestWithoutLoad:
    def test_each_line_is_written(self, pipe):
        lines = [line("request_sent", "r1"), line("request_ended", "r1", whole=True)]
        for text in lines:
            pipe.writer.write(text)
        assert pipe.read_all() == "".join(lines)

    def test_a_stalled_reader_does_not_block_the_writer(self, pipe):
        for number in range(20_000):
            pipe.writer.write(line("target_added", target=f"t{number}"))
            pipe.writer.drain()
        assert pipe.writer.dropped_count > 0


class TestUnderLoad:
    def test_lines_of_served_requests_are_suppressed_and_counted(self, pipe):
        fill(pipe)
        for number in range(50):
            pipe.writer.write(line("engine_asked", f"r{number}"))
            pipe.writer.write(line("request_sent", f"r{number}"))
            pipe.writer.write(line("request_ended", f"r{number}", whole=True))
        text = pipe.read_all()
        assert "request_sent" not in text.replace("request_sent=50", "")
        notice = "event=log_lines_left_out engine_asked=50 request_ended=50"
        assert f"{notice} request_sent=50" in text

    def test_all_lines_of_a_failed_request_are_written(self, pipe):
        fill(pipe)
        lines = [
            line("engine_asked", "r1"),
            line("attempt_failed", "r1"),
            line("request_ended", "r1", status=502, whole=False),
        ]
        for text in lines:
            pipe.writer.write(text)
            pipe.writer.write(line("request_ended", "other", whole=True))
        assert "".join(lines) in pipe.read_all()

    def test_the_line_of_an_unanswered_request_is_not_held(self, pipe):
        fill(pipe)
        pipe.writer.write(line("request_unanswered", "r1", reason="idle"))
        assert "event=request_unanswered request_id=r1" in pipe.read_all()

    def test_lines_held_under_load_come_before_later_ones(self, pipe):
        fill(pipe)
        pipe.writer.write(line("engine_asked", "r1"))
        text = pipe.read_all()
        pipe.writer.write(line("request_sent", "r1"))
        text += pipe.read_all()
        assert text.index("engine_asked") < text.index("request_sent")

    def test_the_last_drain_writes_held_lines(self, pipe):
        fill(pipe)
        pipe.writer.write(line("request_sent", "r1"))
        pipe.read_all()
        pipe.writer.drain(is_last=True)
        assert "event=request_sent request_id=r1" in pipe.read()

    def test_the_number_of_held_requests_is_bounded(self, pipe):
        fill(pipe)
        for number in range(MAX_HELD_REQUESTS + 10):
            pipe.writer.write(line("request_sent", f"r{number}"))
        assert "log_lines_left_out request_sent=10" in pipe.read_all()

    def test_lines_beyond_the_buffer_are_dropped_and_counted(self, pipe):
        fill(pipe, 2 * MAX_BUFFERED_BYTES)
        assert pipe.writer.dropped_count > 0
        assert "event=log_lines_dropped count=" in pipe.read_all()

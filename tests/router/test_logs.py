import io
import json
import logging
import re
import sys
import threading
import warnings
from datetime import datetime

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from loguru import logger

from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.log import configure_logging, log_event
from citrondock_router.refusal_log import RefusalLog
from citrondock_standins.fleet import SHARED_KEY, EnginePlan, Fleet, FleetPlan
from citrondock_standins.raw_http_client import head, send
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"=]*)')
LINE = re.compile(rf"{PAIR.pattern}( {PAIR.pattern})*")
SECRET = "take-down-the-appeal"


@pytest.fixture
def stream():
    hooks = sys.excepthook, threading.excepthook
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    output = io.StringIO()
    configure_logging(level="DEBUG", stream=output)
    yield output
    logger.remove()
    logging.captureWarnings(False)
    sys.excepthook, threading.excepthook = hooks
    root.handlers[:], root.level = handlers, level


def fields_of(text):
    (line,) = text.splitlines()
    assert LINE.fullmatch(line)
    return {name: value for name, value in PAIR.findall(line)}


class TestDirectLines:
    def lines_of(self, *, is_direct):
        output = io.StringIO()
        configure_logging(level="INFO", stream=output, is_direct=is_direct)
        try:
            log_event("seen", caller='a "b"\n', share=0.25, ran=None)
            log_event("late", level="WARNING", lag_s=1.5)
            log_event("hidden", level="DEBUG")
        finally:
            configure_logging()
        lines = output.getvalue().splitlines()
        return [fields_of(line) for line in lines]

    def test_they_are_the_same_as_through_loguru(self, stream):
        direct, through_loguru = (
            self.lines_of(is_direct=is_direct) for is_direct in (True, False)
        )
        assert [line["event"] for line in direct] == ["seen", "late"]
        for line, expected in zip(direct, through_loguru, strict=True):
            assert list(line) == list(expected)
            written_at = datetime.fromisoformat(line.pop("time"))
            delay = datetime.fromisoformat(expected.pop("time")) - written_at
            assert abs(delay.total_seconds()) < 1
            assert line == expected


class TestEvents:
    @given(st.text(max_size=80))
    @example('x" event=forged ran="no')
    @example("x\nevent=forged")
    @example("x\r\u2028\u0085\x1c\x0bevent=forged")
    @example("\\")
    @example('\\" event=forged')
    @example("\ud800")
    @example("{event} <red>")
    @settings(derandomize=True, deadline=None)
    def test_a_value_cannot_forge_a_line_or_a_field(self, text):
        output = io.StringIO()
        logger.remove()
        logger.add(output, format="{message}", colorize=False)
        log_event("seen", caller=text, ran="maybe")
        logger.remove()

        fields = fields_of(output.getvalue())

        assert list(fields) == ["event", "caller", "ran"]
        assert (fields["event"], fields["ran"]) == ("seen", "maybe")

    def test_library_messages_have_the_same_format(self, stream):
        logging.getLogger("urllib3").warning("a\nevent=%s", "forged")

        fields = fields_of(stream.getvalue())
        assert (fields["event"], fields["logger"]) == ("library_message", "urllib3")

    def test_an_exception_that_a_library_logs_is_one_line(self, stream):
        try:
            raise ValueError("a\nb")
        except ValueError:
            logging.getLogger("pykka").exception("actor %s ended")

        assert fields_of(stream.getvalue())["error"] == "ValueError"

    def test_warnings_are_logged_as_events(self, stream):
        warnings.warn("a\nb", stacklevel=1)

        assert fields_of(stream.getvalue())["event"] == "library_message"

    def test_an_exception_that_ends_a_thread_is_one_line(self, stream):
        thread = threading.Thread(target=lambda: {}["a\nb"], name="worker")
        thread.start()
        thread.join()

        fields = fields_of(stream.getvalue())
        assert (fields["event"], fields["thread"]) == ("uncaught_exception", "worker")


class TestRefusalLog:
    def test_a_flood_of_one_reason_hides_no_other(self, stream):
        now_s = [0.0]
        log = RefusalLog(max_lines_per_s=2, clock=lambda: now_s[0])

        def refuse(cause, count):
            error = RequestRefusedError("full", step="queue", cause=cause)
            for _ in range(count):
                log.write(error, request_id="r1", caller="127.0.0.1")

        refuse(RefusalReason.ACCOUNT_QUEUE_FULL, 100)
        refuse(RefusalReason.UNKNOWN_KEY, 1)
        now_s[0] = 1.5
        refuse(RefusalReason.ACCOUNT_QUEUE_FULL, 1)

        lines = stream.getvalue().splitlines()
        causes = [fields_of(line)["cause"] for line in lines]
        assert causes.count("unknown_key") == 1
        assert causes.count("account_queue_full") == 4
        assert fields_of(lines[3])["event"] == "refusals_unlogged"
        assert fields_of(lines[3])["count"] == "98"


class TestRouterLog:
    def test_no_line_contains_a_secret_or_breaks_the_format(self):
        plan = FleetPlan(
            router_zones=("a",),
            engines=(EnginePlan(availability_zone="a", speed=8),),
            application_zones=("a",),
            settings={
                "log": {"level": "TRACE"},
                "shutdown": {"drain_grace_s": 0.1, "deadline_s": 5},
            },
        )
        message = {"role": "user", "content": SECRET}
        chat = json.dumps({"model": "small", "messages": [message], "max_tokens": 2})
        with Fleet(plan, publish=configuration_publisher()) as fleet:
            fleet.wait_ready()
            process = fleet.routers["router-a1"].process
            requests = [
                ("POST /v1/chat/completions HTTP/1.1", chat),
                ("POST /v1/chat/completions HTTP/1.1", chat[:-1]),
                ("POST /works HTTP/1.1", SECRET),
                ("POST /works/%0aevent=forged%22 HTTP/1.1", SECRET),
                ("POST /nowhere%0aevent=forged HTTP/1.1", SECRET),
            ]
            for line, body in requests:
                length = f"Content-Length: {len(body)}"
                hostile_header = 'X-Affinity: "\x85event=forged'
                send(
                    process.callers_port,
                    head(line, length, hostile_header) + body.encode(),
                )
            wrong_key_head = head(account="alice.wrong")
            assert send(process.callers_port, wrong_key_head).status == 401
            assert send(process.callers_port, head() + b"\x00" * 9).status == 200
        lines = list(process.lines)

        assert any("event=call_ended" in line for line in lines)
        assert any("event=request_refused" in line for line in lines)
        assert [line for line in lines if not LINE.fullmatch(line)] == []
        for secret in (
            SECRET,
            SHARED_KEY,
            account_api_key("alice"),
            account_api_key("alice.wrong"),
        ):
            assert [line for line in lines if secret in line] == []

"""The operators' page leads from a failed request to its cause.

Tests make requests fail, run ``citrondock story`` on the log, and check that it has
every event and field that the page's tables name.
"""

import asyncio
import io
import re
from pathlib import Path

import pytest
from harness import (
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    event,
    request,
    reset_connection,
    run,
    stream_head,
)

from citrondock_cli.exit_code import ExitCode
from citrondock_cli.log_lines import parse_log_lines
from citrondock_cli.main import execute
from citrondock_router.log import configure_logging

PAGE = Path(__file__).resolve().parents[2] / "docs" / "OPERATIONS.md"
STEP_ROW = re.compile(r"^\| `(\w+)` \| `(\w+)` \| (.+) \|$", re.MULTILINE)


def steps(title):
    """Return the page's steps for one kind of failure: event, field and meaning."""
    section = PAGE.read_text().split(f"## {title}\n", 1)[1].split("\n## ", 1)[0]
    found = STEP_ROW.findall(section)
    assert len(found) >= 4
    return found


@pytest.fixture
def log(tmp_path):
    """Collect log lines in a file, as a router's output is saved."""
    path = tmp_path / "edge-1.log"
    with path.open("w") as file:
        configure_logging(stream=file)
        yield path
    configure_logging()


def story(request_id, path):
    """Return the lines that the command prints for a request, as fields."""
    out = io.StringIO()
    code = execute(
        ["citrondock", "story", request_id, str(path)], environment={}, out=out
    )
    assert code is ExitCode.DONE
    printed = out.getvalue()
    lines = list(parse_log_lines("edge-1.log", path.read_text().splitlines()))
    lines = [line for line in lines if line.request_id == request_id]
    assert all(line.event in printed for line in lines)
    return lines


def follow(title, request_id, path):
    """Check that the story has every event and field that the page names.

    Returns
    -------
    dict
        Values of the story's fields, by event and field.
    """
    lines = story(request_id, path)
    for name, field, _meaning in steps(title):
        values = [line.fields.get(field) for line in lines if line.event == name]
        assert values, f"no {name} in the story"
        assert None not in values, f"{name} has no {field}"
    return {
        (line.event, field): value
        for line in lines
        for field, value in line.fields.items()
    }


class TestStories:
    def test_the_story_of_a_refused_request(self, log):
        async def never_answer(_got, _writer):
            await asyncio.sleep(20)

        async def check():
            target = ScriptedTarget("t0", never_answer, "llm")
            async with Harness([target]) as fleet:
                facts = {"Model": "m", "Token_Usage": "40000,40", "Prefix_Hash": "a:1"}
                first = asyncio.ensure_future(fleet.get("/model/x", "r0", **facts))
                await asyncio.sleep(0.05)
                assert (await fleet.get("/model/x", "r1", **facts)).status == 503
                first.cancel()

        run(check())
        found = follow("Refused as not run", "r1", log)
        assert found["request_ended", "reason"] == "no_room_in_time"
        assert found["request_ended", "attempts"] == "0"
        assert found["engine_asked", "target"] == "t0"

    def test_the_story_of_a_call_that_may_have_run(self, log):
        async def reset(_got, writer):
            reset_connection(writer)

        async def check():
            async with Harness([ScriptedTarget("t0", reset)]) as fleet:
                assert (await fleet.get("/unsafe/x", "r1")).status == 502

        run(check())
        title = "A call that runs at most once failed and may have run"
        found = follow(title, "r1", log)
        assert found["attempt_failed", "reason"] == "reset"
        assert found["attempt_failed", "proof"] == "may_have_run"
        assert found["request_sent", "target"] == "t0"

    def test_the_story_of_a_stream_resumed_at_another_target(self, log):
        async def cut(got, writer):
            writer.write(stream_head(got))
            after = got.headers.get("last-event-id")
            if after is None:
                writer.write(chunk(event(0)))
                await writer.drain()
                await asyncio.sleep(0.05)
                reset_connection(writer)
                return
            writer.write(chunk(event(1)) + b"0\r\n\r\n")

        async def check():
            targets = [ScriptedTarget("t0", cut), ScriptedTarget("t1", cut)]
            async with Harness(targets) as fleet:
                assert (await fleet.get("/resumable/x", "r1")).is_complete

        run(check())
        found = follow("A stream was cut or resumed late", "r1", log)
        assert found["attempt_failed", "reason"] == "reset"
        assert found["request_sent", "resumed_after"] == "0"
        assert float(found["request_ended", "longest_pause_s"]) > 0.03


class TestPage:
    def test_every_metric_of_the_page_is_served(self):
        names = re.findall(r"^\| `(citrondock_\w+)`", PAGE.read_text(), re.MULTILINE)
        assert len(names) >= 8

        async def check():
            async with Harness([]) as fleet:
                metrics = fleet.process.metrics
                metrics.count_rejected("x")
                metrics.count_denied_retry("s")
                metrics.count_stall("s")
                metrics.observe_first_answer("s", 0.1)
                metrics.observe_prediction("s", 0.1)
                await fleet.get("/safe/x")
                client = await Client.connect(fleet.metrics_port)
                client.writer.write(request("/metrics"))
                text = (await client.read()).body.decode()
                client.writer.close()
                for name in names:
                    assert name in text

        run(check())

    def test_an_unknown_request_id_is_reported_as_not_found(self, log):
        log.write_text('time=1 level=INFO event=started\ncut off time=2 event="x\n')
        err = io.StringIO()
        code = execute(["citrondock", "story", "r9", str(log)], environment={}, err=err)
        assert code is ExitCode.NOT_FOUND
        assert "r9" in err.getvalue()

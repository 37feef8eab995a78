"""The log names the prompt's parts of a failed attempt and whether it had begun."""

import io
import re

from harness import (
    Harness,
    ScriptedTarget,
    chunk,
    event,
    reset_connection,
    run,
    stream_head,
)

from citrondock_router.log import configure_logging

PROMPT = {"Model": "m", "Token_Usage": "900,40", "Prefix_Hash": "a:500,b:300,c:100"}


async def crash_unbegun(got, writer):
    reset_connection(writer)


async def crash_in_stream(got, writer):
    writer.write(stream_head(got) + chunk(event(0)))
    await writer.drain()
    reset_connection(writer)


class TestFailedAttempts:
    def failures(self, script):
        async def check():
            targets = [ScriptedTarget("t0", script, "llm")]
            async with Harness(targets) as harness:
                await harness.get("/model/x", **PROMPT)

        log = io.StringIO()
        configure_logging(stream=log)
        try:
            run(check())
        finally:
            configure_logging()
        return [
            line for line in log.getvalue().splitlines() if "attempt_failed" in line
        ]

    def test_an_attempt_without_a_response_is_logged_as_not_begun(self):
        first = self.failures(crash_unbegun)[0]
        assert "attempt=1 begun=False" in first
        parts = re.search(r"parts=(\S+)", first).group(1)
        # The last part is the request's own.
        assert len(parts.split(",")) == 2

    def test_an_attempt_whose_stream_was_cut_off_is_logged_as_begun(self):
        assert "attempt=1 begun=True" in self.failures(crash_in_stream)[0]

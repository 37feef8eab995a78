"""No whole request ends without an answer because of a decision of the gateway."""

import asyncio
import io
import sys

import pytest
from harness import (
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    event,
    request,
    run,
    send_complete_response,
    stream_head,
)

from citrondock_cli.log_lines import parse_log_lines
from citrondock_router.gateway import gateway as gateway_module
from citrondock_router.log import configure_logging


class Log:
    """Collects the events of a test."""

    def __init__(self):
        self.stream = io.StringIO()

    def events(self, name):
        lines = parse_log_lines("log", self.stream.getvalue().splitlines())
        return [line.fields for line in lines if line.event == name]


@pytest.fixture
def log():
    collected = Log()
    configure_logging(stream=collected.stream)
    yield collected
    configure_logging(stream=sys.stderr)


async def break_stream_off(got, writer):
    writer.write(stream_head(got) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.1)
    writer.close()


async def open_idle_client(harness):
    """Return a client whose connection had one request, which was answered."""
    client = await Client.connect(harness.port)
    client.writer.write(request("/safe/x", "first"))
    assert (await client.read()).status == 200
    return client


class TestObservability:
    def test_a_request_read_while_closing_is_reported(self, log):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                harness.gateway.start_draining()
                client.writer.write(request("/safe/x", "r1"))
                assert (await client.read()).headers["connection"] == "close"
                client.writer.write(request("/safe/x", "r2"))
                await asyncio.sleep(0.1)
                page = harness.process.metrics.render().decode()

            (found,) = log.events("request_unanswered")
            assert found["request_id"] == "r2"
            assert found["reason"] == "close_announced"
            assert found["stage"] == "discarded"
            labels = '{reason="close_announced",stage="discarded"}'
            assert f"citrondock_unanswered_total{labels} 1" in page

        run(check())

    def test_a_request_behind_a_broken_response_is_reported(self, log):
        async def check():
            target = ScriptedTarget("t0", break_stream_off)
            async with Harness([target]) as harness:
                await harness.send_and_receive(
                    request("/stream/x", "r1") + request("/safe/x", "r2")
                )
                await asyncio.sleep(0.05)

            (found,) = log.events("request_unanswered")
            assert found["request_id"] == "r2"
            assert found["reason"] == "response_broken_off"
            assert found["stage"] == "queued"

        run(check())

    def test_closed_idle_connections_are_reported(self, log, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                monkeypatch.setattr(gateway_module, "IDLE_GRACE_S", -5.0)
                client = await open_idle_client(harness)
                await asyncio.sleep(0.01)
                harness.gateway.close_idle_clients()
                client.writer.close()

            (found,) = log.events("idle_clients_closed")
            assert found["count"] == "1"
            assert float(found["max_idle_s"]) > 0

        run(check())

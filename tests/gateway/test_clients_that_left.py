"""A request that waited is not sent once its client has left (GONE).

An event loop that is late handles the grant of a waiting request before it reads the
end of the client's connection.
"""

import asyncio

import pytest
from harness import (
    Client,
    Harness,
    ScriptedTarget,
    complete_response,
    patient_configuration,
    request,
    run,
)

from citrondock_router.gateway.client_connection import ClientConnection
from citrondock_router.gateway.exchange import LEFT_CHECK_S


class HoldingTarget(ScriptedTarget):
    """A target that answers once the test says so."""

    def __init__(self):
        super().__init__("t1", self.hold)
        self.may_answer = asyncio.Event()

    async def hold(self, got, writer):
        await self.may_answer.wait()
        writer.write(complete_response(got))


class TestWaitingRequest:
    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    def test_it_is_not_sent_after_its_client_has_left(self, monkeypatch, path):
        async def check():
            target = HoldingTarget()
            configured = patient_configuration()
            async with Harness([target], configured=configured) as harness:
                slots = target.entry.max_concurrency
                busy = [
                    asyncio.ensure_future(harness.get(path, f"b{number}"))
                    for number in range(slots)
                ]
                while len(target.received) < slots:
                    await asyncio.sleep(0.01)
                client = await Client.connect(harness.port)
                client.writer.write(request(path, "waits"))
                while harness.gateway.live_count == slots:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(LEFT_CHECK_S - 0.05)
                # The end of the connection has arrived and is not read yet.
                monkeypatch.setattr(ClientConnection, "has_left", True)
                await asyncio.sleep(0.1)
                target.may_answer.set()
                await asyncio.gather(*busy)
                await asyncio.sleep(0.05)
                received = [got.request_id for got in target.received]
                assert "waits" not in received
                assert harness.gateway.live_count == 0
                client.writer.close()

        run(check())

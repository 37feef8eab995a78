"""A client that reads slowly is no reason to take its target for silent."""

import asyncio

from harness import (
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    configuration,
    request,
    run,
    stream_head,
)

EVENT_COUNT = 400
EVENT_BYTES = 50_000
PAUSE_S = 1.0


def long_event(number):
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * EVENT_BYTES)


async def stream_long_events(got, writer):
    after = got.headers.get("last-event-id")
    first = int(after) + 1 if after is not None else 0
    writer.write(stream_head(got))
    for number in range(first, EVENT_COUNT):
        writer.write(chunk(long_event(number)))
        await writer.drain()
    writer.write(chunk(b""))


class TestPausedStream:
    def test_it_stays_at_its_target_and_ends_when_the_client_reads(self):
        async def check():
            targets = [ScriptedTarget(f"t{n}", stream_long_events) for n in range(2)]
            configured = configuration(timeout_s=8.0)
            async with Harness(targets, configured=configured) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/resumable/x"))
                await asyncio.sleep(PAUSE_S)
                assert sum(len(target.received) for target in targets) == 1
                reply = await client.read()
                assert reply.is_complete
                assert reply.body == b"".join(map(long_event, range(EVENT_COUNT)))
                assert sum(len(target.received) for target in targets) == 1
                client.writer.close()

        run(check())

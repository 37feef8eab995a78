"""Clients and targets that stop reading for a while are served all the same."""

import asyncio

import attrs
from harness import (
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    configuration,
    request,
    run,
    send_complete_response,
    stream_head,
)

EVENT_COUNT = 400
EVENT_BYTES = 50_000
PAUSE_S = 1.0
LONG_PAUSE_S = 3.0
LONG_BODY_BYTES = 20_000_000
FIRST_BODY_BYTES = 250_000
FIRST_COUNT = 60


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


class TestNextRequest:
    def test_it_is_not_read_from_its_target_while_the_client_is_slow(self):
        async def check():
            sent = []

            async def count_events(got, writer):
                writer.write(stream_head(got))
                for number in range(EVENT_COUNT):
                    writer.write(chunk(long_event(number)))
                    await writer.drain()
                    sent.append(got.request_id)
                writer.write(chunk(b""))

            async def answer_long(got, writer):
                writer.write(complete_response(got, b"x" * FIRST_BODY_BYTES))

            async def script(got, writer):
                is_first = got.request_id != "last"
                await (answer_long if is_first else count_events)(got, writer)

            target = ScriptedTarget("t0", script)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                for number in range(FIRST_COUNT):
                    client.writer.write(request("/safe/x", f"r{number}"))
                client.writer.write(request("/resumable/x", "last"))
                await asyncio.sleep(PAUSE_S)
                assert len(target.received) == FIRST_COUNT + 1
                assert len(sent) < EVENT_COUNT
                client.writer.close()

        run(check())


class TestLongPause:
    def test_a_stream_is_not_cut_when_its_client_reads_nothing_for_seconds(self):
        async def check():
            target = ScriptedTarget("t0", stream_long_events)
            configured = configuration(timeout_s=9.0)
            async with Harness([target], configured=configured) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/resumable/x"))
                await asyncio.sleep(LONG_PAUSE_S)
                assert (await client.read()).is_complete
                client.writer.close()

        run(check())

    def test_a_request_is_not_cut_when_its_target_reads_nothing_for_seconds(self):
        class LateTarget(ScriptedTarget):
            async def _serve(self, reader, writer):
                await asyncio.sleep(LONG_PAUSE_S)
                await super()._serve(reader, writer)

        async def check():
            configured = configuration(timeout_s=9.0)
            limits = attrs.evolve(configured.limits, max_body_bytes=LONG_BODY_BYTES)
            configured = attrs.evolve(configured, limits=limits)
            target = LateTarget("t0", send_complete_response)
            async with Harness([target], configured=configured) as harness:
                body = b"x" * LONG_BODY_BYTES
                got = request("/unsafe/x", method="POST", body=body)
                assert (await harness.send_and_receive(got)).status == 200

        run(check())

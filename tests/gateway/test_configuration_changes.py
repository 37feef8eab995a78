"""Each request that a change of the configuration or of targets meets is answered."""

import asyncio

import attrs
import pytest
from harness import (
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    configuration,
    event,
    request,
    run,
    send_complete_response,
    stream_head,
)

from citrondock_core.routing.store_position import StorePosition


async def answer_later(got, writer):
    await asyncio.sleep(0.3)
    writer.write(complete_response(got))


async def answer_with_event(got, writer):
    await asyncio.sleep(0.3)
    writer.write(complete_response(got, event(1)))


async def break_stream_off(got, writer):
    writer.write(stream_head(got) + chunk(event(1)))
    await writer.drain()
    await asyncio.sleep(0.1)
    writer.close()


def without_routes(version):
    return attrs.evolve(configuration(version), routes=())


def without_services(version):
    configured = configuration(version)
    return attrs.evolve(configured, routes=(), services={})


def with_other_keys(version):
    return configuration(version, accounts={"other": "a"})


def with_short_timeouts(version):
    return configuration(version, timeout_s=0.05)


CHANGES = [without_routes, without_services, with_other_keys, with_short_timeouts]


class TestConfigurationChanges:
    @pytest.mark.parametrize("change", CHANGES)
    def test_a_request_that_was_sent_is_answered(self, change):
        async def check():
            target = ScriptedTarget("t0", answer_later)
            async with Harness([target]) as harness:
                sent = asyncio.ensure_future(harness.get("/unsafe/x", "r1"))
                while not target.received:
                    await asyncio.sleep(0.01)
                harness.gateway.configure(change(2))
                reply = await asyncio.wait_for(sent, 3)
                assert (reply.status, reply.is_complete) == (200, True)

        run(check())

    @pytest.mark.parametrize("change", CHANGES)
    def test_requests_that_wait_are_answered(self, change):
        async def check():
            target = ScriptedTarget("t0", answer_later)
            async with Harness([target]) as harness:
                sent = [
                    asyncio.ensure_future(harness.get("/unsafe/x", f"r{number}"))
                    for number in range(40)
                ]
                while harness.gateway.live_count < len(sent):
                    await asyncio.sleep(0.01)
                harness.gateway.configure(change(2))
                replies = await asyncio.wait_for(asyncio.gather(*sent), 4)
                received = {got.request_id for got in target.received}
                for number, reply in enumerate(replies):
                    expected = 200 if f"r{number}" in received else 503
                    assert (reply.status, reply.is_complete) == (expected, True)

        run(check())

    @pytest.mark.parametrize("change", CHANGES)
    def test_a_prompt_that_waits_for_a_grant_is_answered(self, change):
        async def check():
            target = ScriptedTarget("t0", answer_with_event, service="llm")
            async with Harness([target]) as harness:
                sent = [
                    asyncio.ensure_future(
                        harness.get("/model/x", f"r{number}", Token_Usage="500,10")
                    )
                    for number in range(40)
                ]
                while harness.gateway.live_count < len(sent):
                    await asyncio.sleep(0.01)
                harness.gateway.configure(change(2))
                replies = await asyncio.wait_for(asyncio.gather(*sent), 4)
                assert {reply.status for reply in replies} <= {200, 503}
                assert harness.gateway.live_count == 0

        run(check())

    @pytest.mark.parametrize("change", CHANGES)
    def test_a_stream_that_is_being_resumed_ends(self, change):
        async def check():
            target = ScriptedTarget("t0", break_stream_off)
            async with Harness([target]) as harness:
                sent = asyncio.ensure_future(harness.get("/resumable/x", "r1"))
                while not target.received:
                    await asyncio.sleep(0.01)
                harness.gateway.configure(change(2))
                reply = await asyncio.wait_for(sent, 4)
                assert reply.status == 200
                # It cannot be completed, which the client can see.
                assert not reply.is_complete
                assert harness.gateway.live_count == 0

        run(check())

    def test_requests_are_answered_if_their_target_is_removed(self):
        async def check():
            target = ScriptedTarget("t0", answer_later)
            async with Harness([target]) as harness:
                sent = [
                    asyncio.ensure_future(harness.get("/unsafe/x", f"r{number}"))
                    for number in range(40)
                ]
                while not target.received or harness.gateway.live_count < len(sent):
                    await asyncio.sleep(0.01)
                change = harness.process.directory.replace(
                    [], position=StorePosition(0, 2), now_s=1
                )
                harness.gateway.targets_changed(change)
                replies = await asyncio.wait_for(asyncio.gather(*sent), 4)
                assert {reply.status for reply in replies} <= {200, 503}
                answered = sum(reply.status == 200 for reply in replies)
                assert answered == len(target.received)

        run(check())

    def test_a_request_that_is_being_read_is_answered(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                for change, status in (
                    (without_routes, 404),
                    (without_services, 404),
                    (with_other_keys, 401),
                ):
                    client = await Client.connect(harness.port)
                    whole = request("/safe/x", "r1", "PUT", body=b"x" * 500)
                    client.writer.write(whole[:-200])
                    await asyncio.sleep(0.05)
                    version = harness.gateway.configuration.version + 1
                    harness.gateway.configure(change(version))
                    client.writer.write(whole[-200:])
                    reply = await asyncio.wait_for(client.read(), 3)
                    assert reply.status == status
                    client.writer.close()

        run(check())

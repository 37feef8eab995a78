"""Nothing is sent to the targets of an evacuated zone until it is taken back (EVAC)."""

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
    send_many,
    stream_head,
)

from citrondock_core.routing.route import ServiceOptions
from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.warm_up import WarmUpOptions

PROMPT = {"Model": "m", "Token_Usage": "400,10", "Prefix_Hash": "a1:100,b:300"}
WARM_UP_PER_S = 4.0


async def answer(got, writer):
    if got.first_line.split()[1].startswith("/model"):
        writer.write(stream_head(got) + chunk(event(0)) + b"0\r\n\r\n")
    else:
        writer.write(complete_response(got))


class ZoneTarget(ScriptedTarget):
    """A target in a zone of its own."""

    def __init__(self, target_id, zone, service="app", script=answer):
        super().__init__(target_id, script, service)
        self.zone = zone

    @property
    def entry(self):
        return attrs.evolve(super().entry, availability_zone=self.zone)


def evacuate(harness, *zones):
    """Apply a listing of evacuations, as the housekeeping goes by the last one."""
    position = StorePosition(0, 1)
    harness.process.evacuations.replace(zones, position=position, now_s=0)
    harness.process.evacuations_changed()


def zone_pair(service):
    return [ZoneTarget("t1", "z1", service), ZoneTarget("t2", "z2", service)]


class TestEvacuatedZone:
    @pytest.mark.parametrize(
        ("service", "path", "headers"),
        [("app", "/safe/x", {}), ("app", "/unsafe/x", {}), ("llm", "/model/x", PROMPT)],
    )
    def test_its_targets_get_nothing_until_it_is_taken_back(
        self, service, path, headers
    ):
        async def check():
            targets = zone_pair(service)
            async with Harness(targets) as harness:
                evacuate(harness, "z1")
                for number in range(20):
                    reply = await harness.get(path, f"r{number}", **headers)
                    assert reply.status == 200
                assert targets[0].received == []
                evacuate(harness, "z2")
                for number in range(20):
                    reply = await harness.get(path, f"s{number}", **headers)
                    assert reply.status == 200
                assert len(targets[1].received) == 20
                assert len(targets[0].received) == 20

        run(check())

    def test_a_stream_that_runs_there_goes_on(self):
        async def check():
            go_on = asyncio.Event()

            async def slowly(got, writer):
                writer.write(stream_head(got) + chunk(event(0)))
                await writer.drain()
                await go_on.wait()
                writer.write(chunk(event(1)) + b"0\r\n\r\n")

            targets = [ZoneTarget("t1", "z1", script=slowly)]
            async with Harness(targets) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/stream/x"))
                await client.reader.readuntil(b"id: 0")
                evacuate(harness, "z1")
                go_on.set()
                rest = await client.reader.readuntil(b"0\r\n\r\n")
                assert b"id: 1" in rest
                client.writer.close()

        run(check())

    def test_a_failed_request_is_not_repeated_there(self):
        async def check():
            async def fail(got, writer):
                evacuate(harness, "z1")
                writer.write(complete_response(got, status="500 Oops"))

            targets = [ZoneTarget("t1", "z1"), ZoneTarget("t2", "z2", script=fail)]
            async with Harness(targets) as harness:
                evacuate(harness, "z1")
                reply = await harness.get("/safe/x")
                assert reply.status in (500, 503)
                assert targets[0].received == []

        run(check())

    def test_a_request_that_waits_for_its_target_is_placed_anew(self):
        async def check():
            started = asyncio.Event()

            async def hold(got, writer):
                started.set()
                await asyncio.sleep(1.0)
                writer.write(complete_response(got))

            targets = [
                ZoneTarget("t1", "z1", script=hold),
                ZoneTarget("t2", "z2"),
            ]
            async with Harness(targets) as harness:
                evacuate(harness, "z2")
                busy = [
                    asyncio.ensure_future(harness.get("/safe/x", f"b{number}"))
                    for number in range(targets[0].entry.max_concurrency)
                ]
                await started.wait()
                waiting = asyncio.ensure_future(harness.get("/safe/x", "waits"))
                await asyncio.sleep(0.05)
                evacuate(harness, "z1")
                assert (await waiting).status == 200
                assert [got.request_id for got in targets[1].received] == ["waits"]
                await asyncio.gather(*busy)

        run(check())

    def test_without_another_zone_requests_are_refused_as_not_run(self):
        async def check():
            targets = [ZoneTarget("t1", "z1")]
            async with Harness(targets) as harness:
                evacuate(harness, "z1")
                reply = await harness.get("/unsafe/x")
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0
                assert targets[0].received == []

        run(check())

    def test_its_engines_count_as_cold_when_it_is_taken_back(self):
        async def check():
            configured = configuration()
            warm_up = WarmUpOptions(requests_per_s=WARM_UP_PER_S, expected_s=3.0)
            services = {
                **configured.services,
                "app": ServiceOptions(name="app", warm_up=warm_up),
            }
            targets = [ZoneTarget("t1", "z1"), ZoneTarget("t2", "z2")]
            configured = attrs.evolve(configured, services=services)
            async with Harness(targets, configured=configured) as harness:
                evacuate(harness, "z1")
                await send_many(harness, 5)
                evacuate(harness)
                began_s = asyncio.get_running_loop().time()
                await send_many(harness, 100, prefix="s")
                lasted_s = asyncio.get_running_loop().time() - began_s
                assert lasted_s < 2.0
                assert len(targets[0].received) <= 1 + WARM_UP_PER_S * (lasted_s + 0.5)
                assert len(targets[1].received) >= 90

        run(check())

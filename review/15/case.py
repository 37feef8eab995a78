"""Waiting watches are cut off just before an engine leaves."""

import asyncio
import time
from pathlib import Path

from testbed import (
    Engine,
    Router,
    Store,
    call,
    configuration,
    machine_address,
    play,
    trouble,
)

FOLDER = Path(__file__).resolve().parent

CALM_S = 6.0
LENGTH_S = 14.0
PERIOD_S = 0.02
LEAVES_AFTER_S = 0.15
"""When the engine's entry is removed, from the cut."""

SERVES_ON_S = 4.0
DRAIN_S = 2.0
MEASURING_S = 0.02
"""For what lies between a router's send and the engine's record of it."""

ROUTERS = 3


class RecordingEngine(Engine):
    """An engine that remembers when requests reach it."""

    def __init__(self, *args, **options) -> None:
        super().__init__(*args, **options)
        self.arrivals = []

    async def _respond(self, first, headers, body, writer):
        self.arrivals.append((time.monotonic(), headers.get("request-id", "")))
        await super()._respond(first, headers, body, writer)


async def case(temporary, record, stack):
    """Play the case; return whether the rule held."""
    store = Store()
    await store.start("127.0.0.1")
    await store.put("config", "main", configuration())
    engines = [
        RecordingEngine(store, record, f"i-app-{n}", "app", slots=6) for n in range(3)
    ]
    for engine in engines:
        await engine.start()
    routers = [
        Router(temporary, f"v{n}", machine_address(n), store.address)
        for n in range(ROUTERS)
    ]
    for router in routers:
        stack.push_async_callback(router.kill)
    await asyncio.gather(*(router.start() for router in routers))
    began_s = time.monotonic()
    removed_at_s = 0.0

    async def leave():
        nonlocal removed_at_s
        await asyncio.sleep(CALM_S)
        if trouble():
            await store.cut_watches()
            record.write("the waiting watches are cut off")
        await asyncio.sleep(LEAVES_AFTER_S)
        await store.delete("servers", engines[0].name)
        removed_at_s = time.monotonic()
        record.write(f"the entry of {engines[0].name} is removed; it serves on")
        await asyncio.sleep(SERVES_ON_S)
        engines[0].crash()

    async def read(number):
        request_id = f"read-{number}"
        router = routers[number % ROUTERS]
        answer = await call(router, "/read/1", request_id, method="GET", deadline_s=1.5)
        record.write(f"{request_id} at {router.name} status={answer.status}")

    tasks = [asyncio.create_task(leave())]
    number = 0
    while time.monotonic() < began_s + LENGTH_S:
        number += 1
        tasks.append(asyncio.create_task(read(number)))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*tasks)

    late = [
        (at_s - removed_at_s, request_id)
        for at_s, request_id in engines[0].arrivals
        if at_s > removed_at_s + DRAIN_S + MEASURING_S
    ]
    for late_s, request_id in late:
        record.write(
            f"{request_id} reached the engine {late_s:.3f} s after its removal"
        )
    after = sum(at_s > removed_at_s for at_s, _ in engines[0].arrivals)
    record.write(
        f"{after} of {number} requests reached the engine after its removal,"
        f" {len(late)} of them later than {DRAIN_S} s"
    )
    return not late


play(FOLDER, case)

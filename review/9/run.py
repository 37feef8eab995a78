"""A late write to the store removes the records of streams that were written after it.

Engines of two software versions serve side by side. `router-x` records each stream of
the new version in the store. One of its writes is not answered, and done seconds later:
it puts an older state of these records back. Then `router-x` is stopped as planned, and
clients take their streams up at `router-y`.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

import signal

from bed import ENGINE_POOL, GRACE_S, configuration, play, route
from client import Stream
from engine import Engine
from store import Store

STREAMS_PER_S = 30
STREAMS_FOR_S = 6.5
SIGTERM_AT_S = 4.0
EVENTS = 140
SLOTS = 128
LOST_AT_S = 1.5
LATE_S = 5.0
"""The store does a write whose answer is lost at most 6 s later."""

ALLOWED_MIXED = 2
"""The rule is broken by more than two streams."""


async def case(bed, record, trouble) -> bool:
    """Play the case; return whether the rule held."""
    store = Store()
    store.late_s = LATE_S
    store.on_lost = record
    stream_route = route("stream", "streaming", resumable=True, sticky=True)
    engine_options = {**ENGINE_POOL["engine"], "maxBatchSize": SLOTS}
    pool = {**ENGINE_POOL, "engine": engine_options}
    await store.put("config", "main", configuration([stream_route], [pool]))

    async def add_engine(engine_id, version, zone):
        engine = Engine(
            engine_id,
            "pool",
            version,
            record,
            event_count=EVENTS,
            pace_s=0.1,
            slots=SLOTS,
            zone=zone,
        )
        await engine.start()
        await store.put("servers", engine_id, engine.entry())
        record(f"engine {engine_id} of version {version} joins")

    for number, zone in enumerate(("zone-a", "zone-b")):
        await add_engine(f"i-old-{number}", "v1", zone)
    x, y, z = [
        bed.router(f"router-{name}", await store.add_door(), zone=zone)
        for name, zone in (("x", "zone-a"), ("y", "zone-a"), ("z", "zone-b"))
    ]
    for router in (x, y, z):
        await router.start()
    for router in (x, y, z):
        await router.wait_ready()
    await asyncio.sleep(8)
    for number, zone in enumerate(("zone-a", "zone-b")):
        await add_engine(f"i-new-{number}", "v2", zone)
    await asyncio.sleep(4)

    async def fetch(stream):
        await stream.fetch(x.port, record)
        if not stream.is_complete and stream.events:
            await stream.fetch(y.port, record)

    async def lose_answer():
        await asyncio.sleep(LOST_AT_S)
        record("the answer to the next write is lost")
        store.lose_next = 1

    async def stop_x():
        await asyncio.sleep(SIGTERM_AT_S)
        x.send(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if x.process.returncode is None:
            x.send(signal.SIGKILL)

    tasks = [asyncio.create_task(stop_x())]
    if trouble:
        tasks.append(asyncio.create_task(lose_answer()))
    streams = []
    for number in range(1, int(STREAMS_PER_S * STREAMS_FOR_S) + 1):
        streams.append(Stream(f"{number:08x}"))
        tasks.append(asyncio.create_task(fetch(streams[-1])))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks)
    taken_up = [stream for stream in streams if len(stream.statuses) > 1]
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    refused = [stream for stream in taken_up if stream.statuses[-1] != 200]
    record(
        f"{len(mixed)} streams hold events of two software versions, "
        f"{len(refused)} take-ups were refused"
    )
    print(f"{len(mixed)} of {len(taken_up)} streams taken up hold two versions")
    return len(mixed) <= ALLOWED_MIXED


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))

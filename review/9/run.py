"""A router that the store turns away takes a stream up at the wrong software version.

Routers x and y in one zone, z in another. The store turns `router-y` away. Meanwhile
engines of a new version join in the other zone, and `router-x` is stopped as planned.
Clients whose streams it cannot end in its grace take them up at `router-y`.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

import signal

from bed import ENGINE_POOL, configuration, play, route
from client import Stream
from engine import Engine
from store import Store

TURNED_AWAY_S = 9.0
CLIENTS = 60
OLD_ENGINES = 8
NEW_ENGINES = 2
"""The sheet has scale_out for a share of 0.25."""

EVENTS = 100
ALLOWED_MIXED = 2
"""The rule is broken by more than two streams."""


async def case(bed, record, trouble) -> bool:
    """Play the case; return whether the rule held."""
    store = Store()
    stream_route = route("stream", "streaming", resumable=True, sticky=True)
    await store.put("config", "main", configuration([stream_route], [ENGINE_POOL]))
    engines = {}

    async def add_engine(engine_id, version, zone):
        engine = Engine(
            engine_id,
            "pool",
            version,
            record,
            event_count=EVENTS,
            pace_s=0.1,
            zone=zone,
        )
        await engine.start()
        engines[engine_id] = engine
        await store.put("servers", engine_id, engine.entry())
        record(f"engine {engine_id} of version {version} joins")

    for number in range(OLD_ENGINES):
        zone = "zone-b" if number % 2 else "zone-a"
        await add_engine(f"i-old-{number}", "v1", zone)
    x, y, z = [
        bed.router(f"router-{name}", await store.add_door(), zone=zone)
        for name, zone in (("x", "zone-a"), ("y", "zone-a"), ("z", "zone-b"))
    ]
    for router in (x, y, z):
        await router.start()
    for router in (x, y, z):
        await router.wait_ready()
    # Traffic starts 12 s after the machines.
    await asyncio.sleep(12)

    async def turn_y_away():
        record("the store turns router-y away")
        y.door.turn_away()
        await asyncio.sleep(TURNED_AWAY_S)
        y.door.mode = "serve"
        record("the store serves router-y again")

    if trouble:
        outage = asyncio.create_task(turn_y_away())
    await asyncio.sleep(0.2)
    for number in range(NEW_ENGINES):
        await add_engine(f"i-new-{number}", "v2", "zone-b")
    x.send(signal.SIGTERM)
    await asyncio.sleep(0.8)
    streams = [Stream(f"{number:08x}") for number in range(1, CLIENTS + 1)]
    await asyncio.gather(*(stream.fetch(x.port, record) for stream in streams))
    broken = [stream for stream in streams if not stream.is_complete and stream.events]
    record(f"{len(broken)} of {len(streams)} streams were broken off; taken up now")
    await asyncio.gather(*(stream.fetch(y.port, record) for stream in broken))
    if trouble:
        await outage
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    refused = [stream for stream in broken if stream.statuses[-1] != 200]
    record(
        f"{len(mixed)} streams hold events of two software versions, "
        f"{len(refused)} take-ups were refused"
    )
    print(f"{len(mixed)} of {len(broken)} streams taken up hold two versions")
    return len(mixed) <= ALLOWED_MIXED


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))

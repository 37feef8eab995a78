"""Streams of a version that has just left are taken up at another version.

One engine of a new version serves beside seven of the old one for over a minute, while
nothing else changes. Then it leaves as some engines do: its entry is removed, and it
serves on for `drainMs` and a little longer. Clients whose streams end with it take them
up.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

from bed import BOUNDS, ENGINE_POOL, configuration, play, route
from client import Stream
from engine import Engine
from store import Store

CLIENTS = 80
OLD_ENGINES = 7
"""One of eight engines leaves: the sheet has scale_in for a share of 0.13."""

EVENTS = 80
QUIET_S = 63.0
"""Time for which both versions serve before the new one leaves."""

SERVES_ON_S = BOUNDS["drainMs"] / 1000 + 1.0
ALLOWED_MIXED = 2
"""The rule is broken by more than two streams."""


async def case(bed, record, trouble) -> bool:
    """Play the case; return whether the rule held."""
    store = Store()
    stream_route = route("stream", "streaming", resumable=True, sticky=True)
    await store.put("config", "main", configuration([stream_route], [ENGINE_POOL]))

    async def add_engine(engine_id, version):
        engine = Engine(
            engine_id, "pool", version, record, event_count=EVENTS, pace_s=0.1
        )
        await engine.start()
        await store.put("servers", engine_id, engine.entry())
        record(f"engine {engine_id} of version {version} joins")
        return engine

    for number in range(OLD_ENGINES):
        await add_engine(f"i-old-{number}", "v1")
    x, y, z = [
        bed.router(f"router-{name}", await store.add_door()) for name in ("x", "y", "z")
    ]
    for router in (x, y, z):
        await router.start()
    for router in (x, y, z):
        await router.wait_ready()
    await asyncio.sleep(8)
    new = await add_engine("i-new-0", "v2")
    await asyncio.sleep(QUIET_S)

    async def fetch(stream):
        await stream.fetch(x.port, record)
        if not stream.is_complete and stream.events:
            await stream.fetch(y.port, record)

    streams = [Stream(f"{number:08x}") for number in range(1, CLIENTS + 1)]
    begun = [asyncio.create_task(fetch(stream)) for stream in streams]
    await asyncio.sleep(1.0)
    if trouble:
        record("the entry of i-new-0 is removed")
        await store.delete("servers", "i-new-0")
        await asyncio.sleep(SERVES_ON_S)
        record("engine i-new-0 exits")
        new.exit()
    await asyncio.gather(*begun)
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

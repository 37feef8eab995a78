"""Another writer leaves odd entries among those of the engines; routers hang."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from routers import LIMITS, STABLE_WINDOW_S, Fleet, run_case
from standins import (
    Answer,
    Engine,
    RawJson,
    Record,
    Store,
    send_request,
    send_steadily,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent

ZONES = ["z1", "z2", "z3"]
HOST_NAME, KEY = "shop.example", "key-of-tenant-1"
STATUS_TIMEOUT_S = 0.8
ANSWER_MARGIN_S = 0.5
STATUS_DEADLINE_S = 1.5
SENT_FOR_S = 20.0
TROUBLE_AT_S = 5.0
WRITE_COUNT = 5
HEARTBEAT_S = 1.2
"""Period in which the other writer writes its entries, as engines do."""
ENTRY_COUNT = 3
VALUE_BYTES = 1_048_576
"""Largest size of an object."""
NESTING = (VALUE_BYTES - 48_576) // 2
MIN_COUNTED = 8


def configuration() -> dict:
    """Return the configuration."""
    common = {"host": HOST_NAME, "priority": 1, "maxAttempts": 2, "public": False}
    routes = [
        {
            **common,
            "name": "r-status",
            "pathPrefix": "/status/",
            "routeType": "safe",
            "timeoutMs": int(STATUS_TIMEOUT_S * 1000),
            "targetLatencyMs": 125,
            "service": "board-app",
            "sticky": False,
            "resumable": False,
        }
    ]
    services = [{"name": "board-app", "healthPath": "/healthz", "maxConnections": 100}]
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
    }


async def write_odd_entries(store: Store, record: Record) -> None:
    """Write entries that are nested deeply and can't be read, a few times."""
    await asyncio.sleep(TROUBLE_AT_S)
    spec = RawJson("[" * NESTING + "]" * NESTING)
    for _ in range(WRITE_COUNT):
        for number in range(ENTRY_COUNT):
            await store.put("servers", f"i-odd-{number}", spec)
        record.add("odd_entries_written", count=ENTRY_COUNT, bytes=2 * NESTING)
        await asyncio.sleep(HEARTBEAT_S)
    record.add("trouble_ends")


async def watch_readiness(fleet: Fleet, record: Record) -> None:
    """Ask each router once a second whether it is ready, as the platform does."""
    while True:
        await asyncio.sleep(1.0)
        ready = await asyncio.gather(*(router.is_ready() for router in fleet.routers))
        for router, is_ready in zip(fleet.routers, ready, strict=True):
            if not is_ready:
                record.add("not_ready", router=router.name)


def judge(answers: list[Answer], record: Record) -> bool:
    """Return whether the rule is broken for the requests to the sound service."""
    unanswered = missing = 0
    for answer in answers:
        took_s = (answer.ended_s or 0.0) - answer.sent_s
        if answer.status is not None and took_s <= STATUS_TIMEOUT_S:
            continue
        unanswered += 1
        if answer.status is None or took_s > STATUS_TIMEOUT_S + ANSWER_MARGIN_S:
            missing += 1
    is_broken = unanswered >= MIN_COUNTED and missing > unanswered / 2
    record.add(
        "result",
        rule="CONFIG",
        broken=is_broken,
        sent=len(answers),
        unanswered_at_timeout=unanswered,
        unanswered_half_a_second_later=missing,
    )
    print(f"CONFIG broken: {is_broken} ({missing} of {unanswered})")
    return is_broken


async def main() -> int:
    """Play the case; return the exit code."""
    record = Record(str(HERE / "record.txt"))
    store = Store()
    await store.start()
    engines = [Engine(f"i-board-{zone}", "board-app", zone, record) for zone in ZONES]
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.engine_id, engine.entry())
    await store.put("config", "main", configuration())
    fleet = Fleet(ZONES, store.port)

    def send_status(number: int) -> asyncio.Future[Answer]:
        router = fleet.routers[number % len(fleet.routers)]
        return asyncio.ensure_future(
            send_request(
                record,
                router.port,
                "GET",
                f"/status/{number}",
                host=HOST_NAME,
                key=KEY,
                deadline_s=STATUS_DEADLINE_S,
            )
        )

    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        tasks.append(asyncio.ensure_future(watch_readiness(fleet, record)))
        if TROUBLE:
            tasks.append(asyncio.ensure_future(write_odd_entries(store, record)))
        statuses = await send_steadily(send_status, per_s=48.0, for_s=SENT_FOR_S)
        return int(judge(statuses, record))
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
        for server in (store, *engines):
            await server.stop()
        record.close()


if __name__ == "__main__":
    run_case(main)

"""Two of three engines of a service leave together, without a word of their own."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from routers import DRAIN_S, LIMITS, STABLE_WINDOW_S, Fleet, run_case
from standins import Answer, Engine, Record, Store, send_request, send_steadily

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent

ZONES = ["z1", "z1", "z2", "z2", "z3", "z3"]
HOST_NAME, KEY = "shop.example", "key-of-tenant-1"
SENT_FOR_S = 12.0
LEAVE_AT_S = 4.0
SERVED_AFTER_S = DRAIN_S + 0.3
"""Time from its removal for which a leaving engine serves: `drainMs` and a little."""


def configuration() -> dict:
    """Return the configuration."""
    common = {
        "host": HOST_NAME,
        "timeoutMs": 800,
        "targetLatencyMs": 125,
        "priority": 2,
        "service": "board-app",
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    routes = [
        {
            **common,
            "name": "r-status",
            "pathPrefix": "/status/",
            "routeType": "safe",
            "maxAttempts": 2,
        },
        {
            **common,
            "name": "r-booking",
            "pathPrefix": "/booking/",
            "routeType": "unsafe",
            "maxAttempts": 1,
        },
    ]
    engine = {"maxBatchSize": 96, "kvCapacity": 444000, "models": [{"name": "m"}]}
    services = [
        {
            "name": "model-pool",
            "healthPath": "/healthz",
            "maxConnections": 490,
            "engine": engine,
        },
        {"name": "board-app", "healthPath": "/healthz", "maxConnections": 100},
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
    }


async def leave(
    engine: Engine, store: Store, record: Record, acked_s: dict[str, float]
) -> None:
    """Let an engine remove its entry, serve on for a while, and exit."""
    await store.delete("servers", engine.engine_id)
    acked_s[engine.engine_id] = record.add("removal_acked", engine=engine.engine_id)
    await asyncio.sleep(SERVED_AFTER_S)
    record.add("exits", engine=engine.engine_id)
    await engine.stop()


def judge(
    engines: list[Engine],
    acked_s: dict[str, float],
    answers: list[Answer],
    record: Record,
) -> bool:
    """Return whether requests reached an engine too long after its removal."""
    late_s = [
        at_s - acked_s[engine.engine_id]
        for engine in engines
        if engine.engine_id in acked_s
        for at_s, _ in engine.arrivals
        if at_s > acked_s[engine.engine_id] + DRAIN_S
    ]
    failed = [answer for answer in answers if answer.status != 200]
    record.add(
        "result",
        rule="DRAIN",
        broken=bool(late_s),
        reached_late=len(late_s),
        last_after_ack_s=f"{max(late_s, default=0.0):.2f}",
        sent=len(answers),
        not_answered_200=len(failed),
    )
    print(f"DRAIN broken: {bool(late_s)} ({len(late_s)} requests)")
    return bool(late_s)


async def main() -> int:
    """Play the case; return the exit code."""
    record = Record(str(HERE / "record.txt"))
    store = Store()
    await store.start()
    engines = [
        Engine(f"i-model-{number}", "model-pool", f"z{number % 3 + 1}", record)
        for number in range(9)
    ]
    boards = [
        Engine(f"i-board-{zone}", "board-app", zone, record, work_s=0.045)
        for zone in ("z1", "z2", "z3")
    ]
    engines += boards
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.engine_id, engine.entry())
    await store.put("config", "main", configuration())
    fleet = Fleet(ZONES, store.port)

    def send(number: int) -> asyncio.Future[Answer]:
        router = fleet.routers[number % len(fleet.routers)]
        is_booking = number % 4 != 0
        return asyncio.ensure_future(
            send_request(
                record,
                router.port,
                "POST" if is_booking else "GET",
                f"/booking/{number}" if is_booking else f"/status/{number}",
                host=HOST_NAME,
                key=KEY,
                deadline_s=1.5,
            )
        )

    acked_s: dict[str, float] = {}
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        sending = asyncio.ensure_future(
            send_steadily(send, per_s=120.0, for_s=SENT_FOR_S)
        )
        await asyncio.sleep(LEAVE_AT_S)
        if TROUBLE:
            tasks = [
                asyncio.ensure_future(leave(engine, store, record, acked_s))
                for engine in boards[:2]
            ]
        answers = await sending
        return int(judge(engines, acked_s, answers, record))
    finally:
        for task in tasks:
            task.cancel()
        fleet.stop()
        for server in (store, *engines):
            await server.stop()
        record.close()


if __name__ == "__main__":
    run_case(main)

"""Open connections go silent; then an engine leaves without a word of its own."""

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
SENT_FOR_S = 16.0
SILENCE_AT_S = 4.0
LEAVE_AFTER_S = 1.0
"""Time from the silence to the removal of the engine's entry."""
TOUCH_MARGIN_S = 0.05
SERVED_AFTER_S = DRAIN_S + 3.0
"""Time from its removal for which a leaving engine serves, at times many seconds."""


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


def judge(
    engine: Engine, acked_s: float, due_s: float, answers: list[Answer], record: Record
) -> bool:
    """Return whether requests reached an engine too long after its removal."""
    late_s = [at_s - acked_s for at_s, _ in engine.arrivals if at_s > due_s]
    failed = [answer for answer in answers if answer.status != 200]
    record.add(
        "result",
        rule="DRAIN",
        broken=bool(late_s),
        due_after_ack_s=f"{due_s - acked_s:.2f}",
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

    try:
        await fleet.wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        sending = asyncio.ensure_future(
            send_steadily(send, per_s=120.0, for_s=SENT_FOR_S)
        )
        await asyncio.sleep(SILENCE_AT_S)
        in_touch_s = 0.0
        if TROUBLE:
            in_touch_s = record.now_s() + STABLE_WINDOW_S + TOUCH_MARGIN_S
            count = sum(
                server.silence_open_connections() for server in (store, *engines)
            )
            record.add("silenced", connections=count)
        await asyncio.sleep(LEAVE_AFTER_S)
        leaving = boards[0]
        await store.delete("servers", leaving.engine_id)
        acked_s = record.add("removal_acked", engine=leaving.engine_id)
        due_s = max(acked_s + DRAIN_S, in_touch_s)
        await asyncio.sleep(SERVED_AFTER_S)
        record.add("exits", engine=leaving.engine_id)
        await leaving.stop()
        answers = await sending
        return int(judge(leaving, acked_s, due_s, answers, record))
    finally:
        fleet.stop()
        for server in (store, *engines):
            await server.stop()
        record.close()


if __name__ == "__main__":
    run_case(main)

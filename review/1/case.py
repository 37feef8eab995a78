"""An engine in trouble sends an event without end; other requests get no answer."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from routers import LIMITS, STABLE_WINDOW_S, Fleet, run_case
from standins import (
    Answer,
    Engine,
    Message,
    Record,
    Store,
    send_request,
    send_steadily,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent

ZONES = ["z1", "z2", "z3"]
HOST_NAME, KEY = "shop.example", "key-of-tenant-1"
STATUS_TIMEOUT_S, DRAFT_TIMEOUT_S = 0.8, 6.0
ANSWER_MARGIN_S = 0.5
STATUS_DEADLINE_S = 1.5
SENT_FOR_S = 20.0
TROUBLE_AT_S, TROUBLE_FOR_S = 5.0, 5.5
SPOILED_ONE_IN = 50
"""Of the answers that the engine gives in its trouble, only this one is spoiled."""
DRAFTS_PER_S = 60.0
MIN_COUNTED = 8
EVENTS, EVENT_PAUSE_S = 13, 0.03

TOKEN = b"tokentokentokent"
BLOCK = b"%x\r\n%b\r\n" % (len(TOKEN), TOKEN) * 2000
"""Chunks of one token each, without the end of a line."""


class ModelEngine(Engine):
    """An engine that streams events; in trouble, one of its events has no end.

    Attributes
    ----------
    is_in_trouble : bool
        Whether it may spoil an answer.
    """

    is_in_trouble = False
    _troubled_count = 0

    async def run(
        self, request: Message, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Stream the answer to a request."""
        head = self.head(
            request_id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
        )
        first = int(request.headers.get("last-event-id", "-1")) + 1
        await asyncio.sleep(0.05)
        writer.write(head)
        if self.is_in_trouble:
            self._troubled_count += 1
            if self._troubled_count == SPOILED_ONE_IN:
                await self._spoil(request_id, writer)
        for number in range(first, EVENTS):
            event = b"id: %d\ndata: some words\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def _spoil(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        """Send an event without end until the caller closes."""
        self.record.add("spoils", engine=self.engine_id, id=request_id)
        begin = b"id: 0\ndata: "
        writer.write(b"%x\r\n%b\r\n" % (len(begin), begin))
        sent_bytes = 0
        try:
            while True:
                writer.write(BLOCK)
                sent_bytes += len(BLOCK)
                await writer.drain()
        finally:
            self.record.add(
                "spoiled", engine=self.engine_id, id=request_id, sent_bytes=sent_bytes
            )


def configuration() -> dict:
    """Return the configuration."""
    common = {"host": HOST_NAME, "priority": 1, "maxAttempts": 2, "public": False}
    routes = [
        {
            **common,
            "name": "r-draft",
            "pathPrefix": "/draft/",
            "routeType": "streaming",
            "timeoutMs": int(DRAFT_TIMEOUT_S * 1000),
            "targetLatencyMs": 600,
            "targetGapMs": 300,
            "service": "model-pool",
            "sticky": True,
            "resumable": True,
        },
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


async def trouble(engine: ModelEngine, record: Record) -> None:
    """Put an engine into trouble for a while."""
    await asyncio.sleep(TROUBLE_AT_S)
    record.add("trouble_begins", engine=engine.engine_id)
    engine.is_in_trouble = True
    await asyncio.sleep(TROUBLE_FOR_S)
    engine.is_in_trouble = False
    record.add("trouble_ends", engine=engine.engine_id)


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
    engines: list[Engine] = []
    for zone in ZONES:
        engines.append(ModelEngine(f"i-model-{zone}", "model-pool", zone, record))
        engines.append(Engine(f"i-board-{zone}", "board-app", zone, record))
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

    def send_draft(number: int) -> asyncio.Future[Answer]:
        router = fleet.routers[number % len(fleet.routers)]
        shared = f"aa{number % 4:02x}:300,bb{number % 9:02x}:400"
        headers = (
            "Model: m",
            "Token-Usage: 900,52",
            f"Prefix-Hash: {shared},{number:x}:200",
        )
        return asyncio.ensure_future(
            send_request(
                record,
                router.port,
                "POST",
                f"/draft/{number}",
                host=HOST_NAME,
                key=KEY,
                deadline_s=DRAFT_TIMEOUT_S,
                headers=headers,
            )
        )

    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        tasks.append(asyncio.ensure_future(watch_readiness(fleet, record)))
        if TROUBLE:
            model_engine = engines[0]
            assert isinstance(model_engine, ModelEngine)
            tasks.append(asyncio.ensure_future(trouble(model_engine, record)))
        statuses, drafts = await asyncio.gather(
            send_steadily(send_status, per_s=24.0, for_s=SENT_FOR_S),
            send_steadily(send_draft, per_s=DRAFTS_PER_S, for_s=SENT_FOR_S),
        )
        whole = sum(answer.status == 200 for answer in drafts)
        record.add("drafts", sent=len(drafts), answered=whole)
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

"""A router is stopped in calm while an engine is silent for a second or so."""

import asyncio
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from routers import BOUNDS, LIMITS, STABLE_WINDOW_S, Fleet, run_case
from standins import Answer, Engine, Message, Record, Store, send_request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HERE = Path(__file__).resolve().parent

ZONES = ["z1", "z1"]
HOST_NAME, KEY = "shop.example", "key-of-tenant-1"
ENGINE_COUNT = 3
SLOTS, QUEUE = 16, 2
STREAMS = ENGINE_COUNT * SLOTS * 2
"""Streams that are asked for, so that all slots are taken; the rest is refused."""
EVENTS, EVENT_PAUSE_S = 40, 0.1
ROUTE_TIMEOUT_S = 15.0
STOP_AT_S, SILENCE_AFTER_S, SILENCE_S = 1.5, 0.3, 1.3
GRACE_S = float(BOUNDS["graceS"])


class SlotEngine(Engine):
    """An engine that streams events, with slots and a short queue.

    Attributes
    ----------
    silent_until_s : float
        Loop time until which it sends nothing.
    """

    silent_until_s = 0.0

    def __init__(self, engine_id: str, zone: str, record: Record) -> None:
        super().__init__(engine_id, "model-pool", zone, record)
        self._slots = asyncio.Semaphore(SLOTS)
        self._taken = 0

    def entry(self) -> dict:
        """Return its entry in the store."""
        return {**super().entry(), "maxBatchSize": SLOTS}

    async def run(
        self, request: Message, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Stream the answer to a request, or turn it away if the engine is full."""
        if self._taken >= SLOTS + QUEUE:
            self.record.add("full", engine=self.engine_id, id=request_id)
            head = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
            head += f"Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
            writer.write(head.encode())
            await writer.drain()
            return
        self._taken += 1
        try:
            async with self._slots:
                await self._stream(request, request_id, writer)
        finally:
            self._taken -= 1

    async def _stream(
        self, request: Message, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        head = self.head(
            request_id, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
        )
        first = int(request.headers.get("last-event-id", "-1")) + 1
        self.record.add("runs", engine=self.engine_id, id=request_id, first=first)
        await asyncio.sleep(0.05)
        writer.write(head)
        for number in range(first, EVENTS):
            while loop.time() < self.silent_until_s:
                self._check_caller(writer, request_id, number)
                await asyncio.sleep(0.01)
            self._check_caller(writer, request_id, number)
            event = b"id: %d\ndata: some words\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.record.add("ran", engine=self.engine_id, id=request_id)

    def _check_caller(
        self, writer: asyncio.StreamWriter, request_id: str, number: int
    ) -> None:
        """End a run whose caller has closed the connection."""
        if writer.transport.is_closing():
            self.record.add(
                "caller_left", engine=self.engine_id, id=request_id, before=number
            )
            raise ConnectionResetError


def configuration() -> dict:
    """Return the configuration."""
    route = {
        "name": "r-chat",
        "host": HOST_NAME,
        "pathPrefix": "/chat/",
        "routeType": "streaming",
        "timeoutMs": int(ROUTE_TIMEOUT_S * 1000),
        "targetLatencyMs": 400,
        "targetGapMs": 300,
        "priority": 1,
        "service": "model-pool",
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
    }
    engine = {"maxBatchSize": SLOTS, "kvCapacity": 444000, "models": [{"name": "m"}]}
    service = {
        "name": "model-pool",
        "healthPath": "/healthz",
        "maxConnections": 490,
        "engine": engine,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [service],
        "limits": LIMITS,
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1}],
    }


def judge(
    answers: list[Answer], engines: list[SlotEngine], stop_s: float, record: Record
) -> bool:
    """Return whether requests that were passed on ended without a whole answer.

    Those that are still at work in the last sixth of the grace are left out.
    """
    passed_on = {id for engine in engines for _, id in engine.arrivals}
    lost = [
        answer
        for answer in answers
        if answer.status is None
        and answer.request_id in passed_on
        and answer.ended_s is not None
        and answer.ended_s < stop_s + GRACE_S * 5 / 6
    ]
    refused = sum(answer.status == 503 for answer in answers)
    whole = sum(answer.status == 200 for answer in answers)
    record.add(
        "result",
        rule="LOST",
        broken=bool(lost),
        lost=len(lost),
        whole=whole,
        refused=refused,
        sent=len(answers),
    )
    print(f"LOST broken: {bool(lost)} ({len(lost)} of {whole + len(lost)} streams)")
    return bool(lost)


async def main() -> int:
    """Play the case; return the exit code."""
    loop = asyncio.get_running_loop()
    record = Record(str(HERE / "record.txt"))
    store = Store()
    await store.start()
    engines = [SlotEngine(f"i-model-{n}", "z1", record) for n in range(ENGINE_COUNT)]
    for engine in engines:
        await engine.start()
        await store.put("servers", engine.engine_id, engine.entry())
    await store.put("config", "main", configuration())
    fleet = Fleet(ZONES, store.port)
    stopped, other = fleet.routers

    def send(number: int) -> asyncio.Future[Answer]:
        router = stopped if number % 2 else other
        headers = (
            "Model: m",
            "Token-Usage: 300,160",
            f"Prefix-Hash: aa{number % 9:02x}:100,{number:x}:200",
        )
        return asyncio.ensure_future(
            send_request(
                record,
                router.port,
                "POST",
                f"/chat/{number}",
                host=HOST_NAME,
                key=KEY,
                deadline_s=ROUTE_TIMEOUT_S,
                headers=headers,
            )
        )

    try:
        await fleet.wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        began_s = loop.time()
        sent = []
        for number in range(STREAMS):
            sent.append(send(number))
            await asyncio.sleep(0.01)
        await asyncio.sleep(max(began_s + STOP_AT_S - loop.time(), 0.0))
        stop_s = record.add("sigterm" if TROUBLE else "no_sigterm", router=stopped.name)
        if TROUBLE:
            stopped.signal(signal.SIGTERM)
        await asyncio.sleep(SILENCE_AFTER_S)
        record.add("silent", engine=engines[0].engine_id, for_s=SILENCE_S)
        engines[0].silent_until_s = loop.time() + SILENCE_S
        answers = await asyncio.gather(*sent)
        taken = [answer for number, answer in enumerate(answers) if number % 2]
        return int(judge(taken, engines, stop_s, record))
    finally:
        fleet.stop()
        for server in (store, *engines):
            await server.stop()
        record.close()


if __name__ == "__main__":
    run_case(main)

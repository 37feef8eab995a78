"""Clients send heads of many short fields and stop just short of their bodies' end."""

import asyncio
import contextlib
import time
from pathlib import Path

from testbed import (
    HOST_NAME,
    KEY,
    Engine,
    Router,
    Store,
    call,
    configuration,
    message,
    play,
    trouble,
)

FOLDER = Path(__file__).resolve().parent

LENGTH_S = 60.0
MEMORY_MB = 150
CHECK_S = 0.05
RESTART_S = 1.0
ORDINARY_PERIOD_S = 0.25
CROWD = 600
"""Connections to each router, of the 4,000 that its descriptors allow."""

CROWD_PERIOD_S = 0.005
SHORT_FIELDS = 2_250
"""They take 13,500 bytes, and 15,750 if each field counts with one spare byte, so that
the head is below `maxHeaderBytes` however that is counted."""

BODY_BYTES = 1_000
MISSING_BYTES = 1
ENDS, MACHINES = 3, 2
"""The day counts 0 if on so many machines processes end by themselves so often."""


def unfinished_request(number):
    """Return a request within the limits that lacks the end of its body."""
    fields = {
        "Host": HOST_NAME,
        "Request-Id": f"crowd-{number}",
        "Deadline-Ms": 30_000,
        "Authorization": f"Bearer {KEY}",
        "Content-Length": BODY_BYTES,
    }
    head = message("POST /read/1 HTTP/1.1", fields)[:-2]
    short = b"xy:z\r\n"
    head += short * SHORT_FIELDS + b"\r\n"
    return head + b"x" * (BODY_BYTES - MISSING_BYTES)


async def case(temporary, record, stack):
    """Play the case; return whether the rule held."""
    store = Store()
    await store.start("127.0.0.1")
    await store.put("config", "main", configuration())
    servers = [Engine(store, record, f"i-app-{n}", "app", slots=6) for n in range(2)]
    for server in servers:
        await server.start()
    routers = [
        Router(
            temporary, f"v{n}", f"127.0.0.{n + 11}", store.address, memory_mb=MEMORY_MB
        )
        for n in range(MACHINES)
    ]
    for router in routers:
        stack.push_async_callback(router.kill)
    await asyncio.gather(*(router.start() for router in routers))
    await asyncio.sleep(1.0)

    ends = dict.fromkeys((router.name for router in routers), 0)
    peak_mb = dict.fromkeys(ends, 0.0)
    sent = {"crowd": 0, "ordinary": 0}
    served = 0
    ends_at_s = time.monotonic() + LENGTH_S

    def is_over():
        return time.monotonic() >= ends_at_s or min(ends.values()) >= ENDS

    async def watch(router):
        """Kill the process when it exceeds the machine's memory, and restart it."""
        while not is_over():
            used_mb = router.memory_used_mb
            peak_mb[router.name] = max(peak_mb[router.name], used_mb)
            has_ended = router.process.returncode is not None
            if used_mb > MEMORY_MB or has_ended:
                record.write(f"{router.name} uses {used_mb:.0f} MB, ended={has_ended}")
                await router.kill()
                ends[router.name] += 1
                await asyncio.sleep(RESTART_S)
                await router.start()
                record.write(f"{router.name} is back")
            await asyncio.sleep(CHECK_S)

    async def crowd(router):
        """Keep a number of connections open, and open lost ones anew."""
        connections = []
        number = 0
        while not is_over():
            connections = [
                (reader, writer)
                for reader, writer in connections
                if not (reader.at_eof() or reader.exception() or writer.is_closing())
            ]
            if len(connections) < CROWD:
                with contextlib.suppress(OSError):
                    reader, writer = await asyncio.open_connection(
                        router.host, router.port
                    )
                    number += 1
                    writer.write(unfinished_request(f"{router.name}-{number}"))
                    await writer.drain()
                    connections.append((reader, writer))
                    sent["crowd"] += 1
            if number % 100 == 0:
                record.write(f"{len(connections)} of the crowd are at {router.name}")
            await asyncio.sleep(CROWD_PERIOD_S)
        for _, writer in connections:
            writer.transport.abort()

    async def ordinary(router):
        nonlocal served
        number = 0
        while not is_over():
            number += 1
            request_id = f"ordinary-{router.name}-{number}"
            answer = await call(
                router, "/read/1", request_id, method="GET", deadline_s=1.5
            )
            sent["ordinary"] += 1
            served += answer.is_served
            record.write(f"{request_id} status={answer.status}")
            await asyncio.sleep(ORDINARY_PERIOD_S)

    await asyncio.gather(
        *(watch(router) for router in routers),
        *(ordinary(router) for router in routers),
        *(crowd(router) for router in routers if trouble()),
    )
    record.write(f"sent {sent}, {served} ordinary requests served")
    record.write(f"ends by memory {ends}, peak MB {peak_mb}")
    return sum(count >= ENDS for count in ends.values()) < MACHINES


play(FOLDER, case)

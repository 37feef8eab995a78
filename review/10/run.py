"""A client that reads nothing for two seconds loses its answer in a planned stop.

Clients with small receive windows send requests on kept connections just after
SIGTERM, and read their answers late. The router gives up a connection whose peer has
had no room for 1.5 s, although it acknowledges all along.
"""

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins_2"))

from bed import ENGINE_POOL, configuration, play, route
from client import new_request_id, request
from engine import Engine
from store import HOST, Store

CLIENTS = 12
EVENTS = 70
PADDING = "x" * 170
"""An event is then about 200 bytes long, and a stream 14 KB."""

WINDOW_BYTES = 2048
PAUSE_S = 2.5
END = b"\r\n0\r\n\r\n"


class SlowClient:
    """A client that may wait before it reads an answer.

    Parameters
    ----------
    number : int
        Number of the client.
    record : Record
        Record of the case.
    """

    def __init__(self, number: int, record) -> None:
        self._part = f"{number:08x}"
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self._socket.setblocking(False)

    async def connect(self, port: int) -> None:
        """Connect to a router."""
        await self._loop.sock_connect(self._socket, (HOST, port))

    async def fetch(self, *, pause_s: float) -> bool:
        """Send a request and read its answer after a pause; return if it is whole."""
        request_id = new_request_id()
        headers = {
            "Model": "m",
            "Token-Usage": "715,280",
            "Prefix-Hash": f"{self._part}:172,{request_id}:543",
        }
        sent = request("POST", "/stream/2f", request_id, headers=headers)
        self._record(f"client sends {request_id}, reads after {pause_s} s")
        await self._loop.sock_sendall(self._socket, sent)
        await asyncio.sleep(pause_s)
        data, end = b"", "end of the connection"
        try:
            while not data.endswith(END):
                got = await self._loop.sock_recv(self._socket, 4096)
                if not got:
                    break
                data += got
        except OSError as error:
            end = repr(error)
        is_whole = data.endswith(END)
        self._record(
            f"client has {request_id}: {data[:15]!r}, {len(data)} bytes, "
            f"{'whole' if is_whole else end}"
        )
        return is_whole


async def case(bed, record, trouble) -> bool:
    """Play the case; return whether the rule held."""
    store = Store()
    stream_route = route("stream", "streaming", sticky=True)
    await store.put("config", "main", configuration([stream_route], [ENGINE_POOL]))
    engines = []
    for number in range(2):
        engine = Engine(
            f"i-{number}",
            "pool",
            "v1",
            record,
            event_count=EVENTS,
            pace_s=0.02,
            padding=PADDING,
        )
        await engine.start()
        engines.append(engine)
        await store.put("servers", engine.engine_id, engine.entry())
    x, y, z = [
        bed.router(f"router-{name}", await store.add_door()) for name in ("x", "y", "z")
    ]
    for router in (x, y, z):
        await router.start()
    for router in (x, y, z):
        await router.wait_ready()
    await asyncio.sleep(8)

    clients = [SlowClient(number, record) for number in range(1, CLIENTS + 1)]
    for client in clients:
        await client.connect(x.port)
    first = await asyncio.gather(*(client.fetch(pause_s=0.0) for client in clients))
    record(f"{sum(first)} of {CLIENTS} first answers are whole")
    await asyncio.sleep(0.5)
    run_count = sum(len(engine.runs) for engine in engines)
    x.send(signal.SIGTERM)
    await asyncio.sleep(0.3)
    pause_s = PAUSE_S if trouble else 0.0
    whole = await asyncio.gather(*(client.fetch(pause_s=pause_s) for client in clients))
    passed_on = sum(len(engine.runs) for engine in engines) - run_count
    lost = CLIENTS - sum(whole)
    line = (
        f"{passed_on} of {CLIENTS} requests sent after SIGTERM were passed on, "
        f"{lost} connections ended without a complete answer"
    )
    record(line)
    print(line)
    return lost == 0


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent))

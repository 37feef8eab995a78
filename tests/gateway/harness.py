"""Runs a gateway process, scripted targets and clients on one event loop."""

import asyncio
import os
import socket
import struct
from collections.abc import Awaitable, Callable

import attrs
from memory_store import MemoryStore, StoreDoor

from citrondock_core.routing.route import (
    ClientLimits,
    ModelEngineOptions,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceOptions,
    ServiceShare,
)
from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_platform.headers import PlatformHeaderCodec
from citrondock_router.gateway import event_loop
from citrondock_router.gateway.gateway_process import GatewayProcess
from citrondock_router.gateway.gateway_settings import Address, GatewaySettings
from citrondock_router.gateway.log_writer import LogWriter
from citrondock_router.gateway.store_era import StoreEra

HOST = "127.0.0.1"
KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "stream": RouteKind.STREAM,
    "resumable": RouteKind.RESUMABLE_STREAM,
}


@attrs.define
class ReceivedRequest:
    """A request as a target received it."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


def parse_headers(lines):
    """Return the headers in the lines of a head, by lower-case name."""
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return headers


class ScriptedTarget:
    """A target that runs a script for each request and keeps the requests."""

    def __init__(self, target_id: str, script: Script, service: str = "app") -> None:
        self.target_id = target_id
        self.script = script
        self.service = service
        self.received: list[ReceivedRequest] = []
        self.disconnected_at_s: list[float] = []
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    @property
    def entry(self) -> TargetEntry:
        return TargetEntry(
            target_id=self.target_id,
            service=self.service,
            host=HOST,
            port=self.port,
            availability_zone="z1",
            max_concurrency=8,
            is_leaving=False,
        )

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = parse_headers(lines)
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                got = ReceivedRequest(lines[0], headers, body)
                self.received.append(got)
                await self.script(got, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.disconnected_at_s.append(asyncio.get_running_loop().time())
            writer.close()


def reset_connection(writer) -> None:
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def complete_response(
    got: ReceivedRequest, body=b"done", status="200 OK", extra="", signed=True
):
    """Return a complete response to a request."""
    signature = "Response-Signature: sig\r\n" if signed else ""
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {got.request_id}\r\n{signature}{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def stream_head(got: ReceivedRequest, extra="") -> bytes:
    """Return the head of a chunked event stream."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {got.request_id}\r\n"
        f"Response-Signature: sig\r\nContent-Type: text/event-stream\r\n{extra}"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return data as a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return a server-sent event with its number as id."""
    return b"id: %d\ndata: word%d\n\n" % (number, number)


async def send_complete_response(got: ReceivedRequest, writer) -> None:
    writer.write(complete_response(got))


def endless(start, block):
    """Return a script that sends ``block`` for as long as the connection is open."""

    async def script(got, writer):
        writer.write(start(got) if callable(start) else start)
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()

    return script


async def send_many(harness, count, path="/safe/x", prefix="r"):
    """Send requests one after the other; return the replies."""
    return [await harness.get(path, f"{prefix}{number}") for number in range(count)]


def configuration(version=1, accounts=None, timeout_s=2.0, max_attempts=2):
    routes = tuple(
        Route(
            name=name,
            host="h.example",
            path_prefix=f"/{name}/",
            kind=kind,
            shares=(ServiceShare("app", 1),),
            timeout_s=timeout_s,
            first_answer_target_s=0.2,
            max_pause_s=0.1,
            max_attempts=max_attempts,
            is_public=accounts is None,
        )
        for name, kind in KINDS.items()
    )
    model = Route(
        name="model",
        host="h.example",
        path_prefix="/model/",
        kind=RouteKind.RESUMABLE_STREAM,
        shares=(ServiceShare("llm", 1),),
        timeout_s=timeout_s,
        first_answer_target_s=0.5,
        max_pause_s=0.3,
        max_attempts=max_attempts,
        is_public=accounts is None,
    )
    engine = ModelEngineOptions(max_batch_size=8, memory_tokens=100_000)
    return RoutingConfiguration(
        version=version,
        routes=(*routes, model),
        services={
            "app": ServiceOptions(name="app"),
            "llm": ServiceOptions(name="llm", engine=engine),
        },
        limits=ClientLimits(
            max_header_bytes=4096,
            max_body_bytes=10_000,
            header_timeout_s=0.6,
            idle_timeout_s=5.0,
        ),
        account_by_key=accounts,
    )


def patient_configuration():
    """Return a configuration whose requests may wait for seconds."""
    configured = configuration(timeout_s=5.0)
    routes = [
        attrs.evolve(route, first_answer_target_s=3.0) for route in configured.routes
    ]
    return attrs.evolve(configured, routes=tuple(routes))


class Harness:
    """A gateway with its targets; opens client connections to it.

    Parameters
    ----------
    targets : sequence of ScriptedTarget
        Targets that the gateway knows.
    configured : RoutingConfiguration or None
        Configuration; None for that of `configuration`.
    spare_retries : float
        Retries that the gateway may make without any earlier requests.
    shed_lag_s : float
        Event loop lag above which the gateway refuses requests.
    vm_name : str
        Name of the gateway's VM; the gateways of one test need different ones.
    store : MemoryStore or None
        Store for the versions of streams, if gateways of one test share it.
    """

    def __init__(
        self,
        targets,
        *,
        configured=None,
        spare_retries=20.0,
        shed_lag_s=10.0,
        vm_name="v1",
        store=None,
    ) -> None:
        self.vm_name = vm_name
        self.store = store
        # A busy machine may delay tests for longer than a router would tolerate.
        self.shed_lag_s = shed_lag_s
        self.targets = targets
        self.configured = configured or configuration()
        self.spare_retries = spare_retries

    async def __aenter__(self):
        for target in self.targets:
            await target.start()
        settings = GatewaySettings(
            vm_name=self.vm_name,
            availability_zone="z1",
            client_address=Address(HOST, 0),
            readiness_address=Address(HOST, 0),
            metrics_address=Address(HOST, 0),
            peer_address=Address(HOST, 0),
            store_address=Address(HOST, 1),
            grace_s=4.0,
            registry_grace_s=2.0,
            retry_ratio=0.2,
            retry_window_s=10,
            fleet_spare_retries=self.spare_retries * 16,
            shed_lag_s=self.shed_lag_s,
        )
        self._null = os.open(os.devnull, os.O_WRONLY)
        self.process = GatewayProcess(
            settings,
            PlatformHeaderCodec(),
            LogWriter(self._null),
            readiness_path=b"/ready",
            metrics_path=b"/metrics",
        )
        self.gateway = self.process.gateway
        self.store = self.store or MemoryStore()
        era = self.store.era if isinstance(self.store, StoreDoor) else StoreEra()
        self.process.use_store(self.store, era)
        self._running = asyncio.ensure_future(self.process.run([]))
        if self.configured is not None:
            self.gateway.configure(self.configured)
        entries = [target.entry for target in self.targets]
        self.gateway.targets_changed(
            self.process.directory.replace(
                entries, position=StorePosition(0, 1), now_s=0
            )
        )
        await self.process.is_listening.wait()
        self.port = self.process.client_port
        self.readiness_port = self.process.readiness_port
        self.metrics_port = self.process.metrics_port
        return self

    async def __aexit__(self, *_error) -> None:
        self._running.cancel()
        for target in self.targets:
            target.stop()
        os.close(self._null)

    async def send_and_receive(self, request: bytes, *, until_close=False) -> "Reply":
        """Send bytes on a new connection and return the response."""
        client = await Client.connect(self.port)
        try:
            client.writer.write(request)
            return await asyncio.wait_for(client.read(until_close), 10)
        finally:
            client.writer.close()

    async def get(self, path: str, request_id="r1", **headers) -> "Reply":
        return await self.send_and_receive(request(path, request_id, **headers))


@attrs.define
class Reply:
    """A response as a client received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class Client:
    """A client connection to the gateway."""

    def __init__(self, reader, writer) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> "Client":
        return cls(*await asyncio.open_connection(HOST, port))

    async def read(self, until_close=False) -> Reply:
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply(0, {}, b"", False)
        lines = head.decode("latin-1").split("\r\n")
        headers = parse_headers(lines)
        status = int(lines[0].split()[1])
        body = b""
        try:
            if headers.get("transfer-encoding") == "chunked":
                while True:
                    size = int(await self.reader.readline(), 16)
                    data = await self.reader.readexactly(size + 2)
                    if size == 0:
                        break
                    body += data[:-2]
            else:
                length = int(headers.get("content-length", 0))
                body = await self.reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return Reply(status, headers, body, False)
        return Reply(status, headers, body, True)


def request(path, request_id="r1", method="GET", body=b"", **headers) -> bytes:
    """Return the bytes of a request; underscores in header names become hyphens."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
    if request_id:
        lines.append(f"Request-Id: {request_id}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run(coroutine) -> None:
    """Run the coroutine of a test with a timeout of 30 s."""

    async def bounded() -> None:
        await asyncio.wait_for(coroutine, 30)

    event_loop.run(bounded())

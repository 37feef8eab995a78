"""A TCP proxy that causes faults between two processes."""

import asyncio
import socket
import struct
import threading
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Self, TypeVar

from absl import flags

from citrondock_standins.fault import (
    EVERY_SENDER,
    ActiveFaults,
    Direction,
    Fault,
    FaultKind,
)
from citrondock_standins.http_server import HttpRequest, Reply, StandIn

LISTEN = flags.DEFINE_integer("listen", 0, "Port of the proxy; 0 is a free one.")
TARGET = flags.DEFINE_string("target", "", "HOST:PORT to connect to.")

READ_BYTES = 65_536
QUEUE_PARTS = 64
BACKLOG = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
T = TypeVar("T")
SenderOf = Callable[[tuple[str, int]], str]


class _Pump:
    """Moves the bytes of one direction of one connection."""

    def __init__(
        self,
        faults: ActiveFaults,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.byte_count = 0
        self._faults = faults
        self.sender = EVERY_SENDER
        self._direction = direction
        self._reader = reader
        self._writer = writer
        self._parts: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(QUEUE_PARTS)

    async def run(self) -> None:
        """Move bytes until the sender ends; raise ConnectionError on a cut."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read())
            group.create_task(self._write())

    def end(self) -> None:
        """Tell the receiver that no more bytes will come."""
        if self._writer.can_write_eof():
            self._writer.write_eof()

    async def _read(self) -> None:
        while True:
            data = await self._reader.read(READ_BYTES)
            delay = self._find(FaultKind.DELAY)
            delay_s = delay.delay_ms / 1000 if delay else 0.0
            await self._parts.put((time.monotonic() + delay_s, data))
            if not data:
                return

    async def _write(self) -> None:
        while True:
            due_s, data = await self._parts.get()
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            while self._find(FaultKind.BLACKHOLE) or self._find(FaultKind.LOSS):
                await self._faults.changed.wait()
            if not data:
                self.end()
                return
            await self._forward(data)

    async def _forward(self, data: bytes) -> None:
        cut = self._find(FaultKind.CUT_AFTER)
        left = len(data) if cut is None else max(0, cut.byte_count - self.byte_count)
        self._writer.write(data[:left])
        self.byte_count += min(left, len(data))
        await self._writer.drain()
        if cut is not None and self.byte_count >= cut.byte_count:
            raise ConnectionResetError("cut after its bytes")
        slow = self._find(FaultKind.BANDWIDTH)
        if slow is not None:
            await asyncio.sleep(len(data) / slow.bandwidth_bytes_per_s)

    def _find(self, kind: FaultKind) -> Fault | None:
        return self._faults.find(kind, self.sender, self._direction)


class _Connection:
    """A client's connection and the one to the target."""

    def __init__(
        self,
        faults: ActiveFaults,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self.sender: str | None = None
        self._writers = (client[1], target[1])
        to_target, to_client = Direction.TO_TARGET, Direction.TO_CLIENT
        self.pumps = {
            to_target: _Pump(faults, to_target, client[0], target[1]),
            to_client: _Pump(faults, to_client, target[0], client[1]),
        }

    async def run(self) -> None:
        """Move bytes both ways until both ends are done or one breaks."""
        try:
            async with asyncio.TaskGroup() as group:
                for pump in self.pumps.values():
                    group.create_task(pump.run())
            for writer in self._writers:
                writer.close()
        except* OSError:
            self.reset()

    @property
    def client_address(self) -> tuple[str, int]:
        """Address from which the client connected."""
        address: tuple[str, int] = self._writers[0].get_extra_info("peername")
        return address

    def set_sender(self, sender: str) -> None:
        """Note who opened it."""
        self.sender = sender
        for pump in self.pumps.values():
            pump.sender = sender

    def suffer(self, faults: Sequence[Fault]) -> None:
        """Take in that faults were put in force."""
        for direction, pump in self.pumps.items():
            pump.byte_count = 0
            for fault in faults:
                if fault.kind is FaultKind.HALF_CLOSE and fault.applies_to(direction):
                    pump.end()
        if any(fault.kind is FaultKind.CUT for fault in faults):
            self.reset()

    def reset(self) -> None:
        """Reset both sides."""
        for writer in self._writers:
            _reset(writer)


class _ProxyLoop:
    """The proxy's work inside an event loop."""

    def __init__(
        self,
        host: str,
        port: int,
        target: tuple[str, int],
        sender_of: SenderOf | None = None,
    ) -> None:
        self.target = target
        self._sender_of = sender_of
        self._faults = ActiveFaults()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._held = _bound(host, port)
        self.address: tuple[str, int] = self._held.getsockname()[:2]

    async def open(self) -> None:
        """Accept connections."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._accept, sock=self._held, backlog=BACKLOG
            )

    async def close(self) -> None:
        """Reset all connections and give the port up."""
        self._refuse_new()
        self._held.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def replace(
        self, faults: Sequence[Fault], sender: str = EVERY_SENDER
    ) -> None:
        """Put faults in force in place of the former ones."""
        self._faults.replace(faults, sender)
        for connection in list(self._connections):
            await self._identify(connection)
            if sender in (EVERY_SENDER, connection.sender):
                connection.suffer(faults)
        if self._faults.find(FaultKind.CUT, EVERY_SENDER):
            self._refuse_new()
        else:
            await self.open()

    async def _identify(self, connection: _Connection) -> None:
        if connection.sender is None:
            sender = await self._sender(connection.client_address)
            if sender is not None:
                connection.set_sender(sender)

    async def _sender(self, address: tuple[str, int]) -> str | None:
        # Finding out is slow; it waits until some fault asks for it.
        if self._sender_of is None or not self._faults.has_sender_faults:
            return None
        return await asyncio.to_thread(self._sender_of, address)

    def _refuse_new(self) -> None:
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self._held = _bound(*self.address)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._carry(reader, writer)
        except asyncio.CancelledError:
            _reset(writer)
        finally:
            self._tasks.discard(task)

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        address: tuple[str, int] = writer.get_extra_info("peername")
        sender = await self._sender(address)
        named = sender or EVERY_SENDER
        while self._faults.find(FaultKind.BLACKHOLE, named):
            await self._faults.changed.wait()
        try:
            if self._faults.find(FaultKind.CUT, named):
                raise ConnectionResetError("cut")
            target = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        connection = _Connection(self._faults, (reader, writer), target)
        if sender is not None:
            connection.set_sender(sender)
        self._connections.add(connection)
        try:
            # A cut may have come while the target was being connected to.
            if not self._faults.find(FaultKind.CUT, named):
                await connection.run()
        finally:
            self._connections.discard(connection)
            connection.reset()


class _LoopThread:
    """An event loop in a thread of its own, shared by a process's proxies."""

    _shared: "_LoopThread | None" = None

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    @classmethod
    def shared(cls) -> "_LoopThread":
        if cls._shared is None:
            cls._shared = cls()
        return cls._shared

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(10.0)


class FaultProxy:
    """A proxy inside this process, for tests.

    Parameters
    ----------
    target_host, target_port : str, int
        Where to connect to.
    sender_of : callable, optional
        Names the sender at a client's address, for faults that concern one sender.

    Examples
    --------
    >>> proxy = FaultProxy("127.0.0.1", 7000).start()
    >>> proxy.set_faults(Fault(kind=FaultKind.DELAY, delay_ms=50))
    >>> proxy.stop()
    """

    def __init__(
        self, target_host: str, target_port: int, *, sender_of: SenderOf | None = None
    ) -> None:
        target = (target_host, target_port)
        self._proxy = _ProxyLoop("127.0.0.1", 0, target, sender_of)

    @property
    def port(self) -> int:
        """Port on which it listens."""
        return self._proxy.address[1]

    def start(self) -> Self:
        """Accept connections."""
        _LoopThread.shared().run(self._proxy.open())
        return self

    def stop(self) -> None:
        """Reset all connections and stop listening."""
        _LoopThread.shared().run(self._proxy.close())

    def set_target(self, host: str, port: int) -> None:
        """Connect new clients to another address."""
        self._proxy.target = (host, port)

    def set_faults(self, *faults: Fault, sender: str = EVERY_SENDER) -> None:
        """Replace the faults in force; none given lets everything pass.

        Replacing those of every sender ends those of single ones. A cut of a single
        sender resets its new connections, since their sender shows only then.
        """
        _LoopThread.shared().run(self._proxy.replace(faults, sender))

    def __enter__(self) -> Self:
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.stop()


class ProxyStandIn(StandIn):
    """A proxy in a process of its own, with its control port."""

    def __init__(self, proxy: _ProxyLoop) -> None:
        self._proxy = proxy
        self._control_port = 0

    async def start(self, host: str, port: int) -> int:
        """Listen for control and for clients, and return the clients' port."""
        await self._proxy.open()
        self._control_port = await super().start(host, port)
        return self._proxy.address[1]

    def details(self) -> str:
        """Return the control port for the listening line."""
        return f" control_port={self._control_port}"

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Replace the faults in force."""
        faults = [Fault(**fields) for fields in request.json().get("faults", ())]
        await self._proxy.replace(faults)
        reply.send_json(200, {})


def create() -> ProxyStandIn:
    """Create the stand-in from its flags."""
    host, _, port = TARGET.value.rpartition(":")
    return ProxyStandIn(_ProxyLoop("127.0.0.1", LISTEN.value, (host, int(port))))


def _bound(host: str, port: int) -> socket.socket:
    """Return a socket that holds a port, and refuses connections until it listens."""
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind((host, port))
    return held


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    if writer.is_closing():
        return
    held = writer.get_extra_info("socket")
    held.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()

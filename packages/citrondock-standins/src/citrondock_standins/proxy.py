"""TCP proxy that simulates network faults between a client and a target."""

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

LISTEN = flags.DEFINE_integer("listen", 0, "Port of the proxy; 0 picks a free one.")
TARGET = flags.DEFINE_string("target", "", "HOST:PORT of the target.")

READ_BYTES = 65_536
MAX_QUEUED_PARTS = 64
BACKLOG = 256
# SO_LINGER option: with a timeout of 0, closing a socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
T = TypeVar("T")
SenderOf = Callable[[tuple[str, int]], str]


class _Forwarder:
    """Forwards the bytes of a connection in one direction."""

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
        self._parts: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            MAX_QUEUED_PARTS
        )

    async def run(self) -> None:
        """Forward bytes until the end of the stream.

        Raises
        ------
        ExceptionGroup
            With an OSError, when a connection breaks or a fault cuts it.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._read())
            group.create_task(self._write())

    def end(self) -> None:
        """Send an end of stream to the receiver."""
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
        allowed_count = (
            len(data) if cut is None else max(0, cut.byte_count - self.byte_count)
        )
        self._writer.write(data[:allowed_count])
        self.byte_count += min(allowed_count, len(data))
        await self._writer.drain()
        if cut is not None and self.byte_count >= cut.byte_count:
            raise ConnectionResetError("byte limit of the CUT_AFTER fault reached")
        limit = self._find(FaultKind.BANDWIDTH)
        if limit is not None:
            await asyncio.sleep(len(data) / limit.bandwidth_bytes_per_s)

    def _find(self, kind: FaultKind) -> Fault | None:
        return self._faults.find(kind, self.sender, self._direction)


class _Connection:
    """A client connection paired with a connection to the target."""

    def __init__(
        self,
        faults: ActiveFaults,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        target: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    ) -> None:
        self.sender: str | None = None
        self._writers = (client[1], target[1])
        to_target, to_client = Direction.TO_TARGET, Direction.TO_CLIENT
        self.forwarders = {
            to_target: _Forwarder(faults, to_target, client[0], target[1]),
            to_client: _Forwarder(faults, to_client, target[0], client[1]),
        }

    async def run(self) -> None:
        """Forward bytes both ways until both streams end or a connection breaks."""
        try:
            async with asyncio.TaskGroup() as group:
                for forwarder in self.forwarders.values():
                    group.create_task(forwarder.run())
            for writer in self._writers:
                writer.close()
        except* OSError:
            self.reset()

    @property
    def client_address(self) -> tuple[str, int]:
        """Address that the client connected from."""
        address: tuple[str, int] = self._writers[0].get_extra_info("peername")
        return address

    def set_sender(self, sender: str) -> None:
        """Set the sender whose faults apply to this connection."""
        self.sender = sender
        for forwarder in self.forwarders.values():
            forwarder.sender = sender

    def apply_faults(self, faults: Sequence[Fault]) -> None:
        """Apply newly set faults to this open connection."""
        for direction, forwarder in self.forwarders.items():
            forwarder.byte_count = 0
            for fault in faults:
                if fault.kind is FaultKind.HALF_CLOSE and fault.applies_to(direction):
                    forwarder.end()
        if any(fault.kind is FaultKind.CUT for fault in faults):
            self.reset()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self._writers:
            _reset(writer)


class _ProxyServer:
    """Proxy server; its methods run in the event loop."""

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
        self._listen_socket = _bind_socket(host, port)
        self.address: tuple[str, int] = self._listen_socket.getsockname()[:2]

    async def open(self) -> None:
        """Start accepting connections."""
        if self._server is None:
            self._server = await asyncio.start_server(
                self._accept, sock=self._listen_socket, backlog=BACKLOG
            )

    async def close(self) -> None:
        """Reset all connections and release the port."""
        self._refuse_new_connections()
        self._listen_socket.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def replace(
        self, faults: Sequence[Fault], sender: str = EVERY_SENDER
    ) -> None:
        """Replace the faults of a sender, or of all senders."""
        self._faults.replace(faults, sender)
        for connection in list(self._connections):
            await self._identify_sender(connection)
            if sender in (EVERY_SENDER, connection.sender):
                connection.apply_faults(faults)
        if self._faults.find(FaultKind.CUT, EVERY_SENDER):
            self._refuse_new_connections()
        else:
            await self.open()

    async def _identify_sender(self, connection: _Connection) -> None:
        if connection.sender is None:
            sender = await self._find_sender(connection.client_address)
            if sender is not None:
                connection.set_sender(sender)

    async def _find_sender(self, address: tuple[str, int]) -> str | None:
        # The lookup is slow, so it is skipped until a fault needs the sender.
        if self._sender_of is None or not self._faults.has_sender_faults:
            return None
        return await asyncio.to_thread(self._sender_of, address)

    def _refuse_new_connections(self) -> None:
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self._listen_socket = _bind_socket(*self.address)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._serve_client(reader, writer)
        except asyncio.CancelledError:
            _reset(writer)
        finally:
            self._tasks.discard(task)

    async def _serve_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        address: tuple[str, int] = writer.get_extra_info("peername")
        sender = await self._find_sender(address)
        fault_sender = sender or EVERY_SENDER
        while self._faults.find(FaultKind.BLACKHOLE, fault_sender):
            await self._faults.changed.wait()
        try:
            if self._faults.find(FaultKind.CUT, fault_sender):
                raise ConnectionResetError("connection refused by the CUT fault")
            target = await asyncio.open_connection(*self.target)
        except OSError:
            _reset(writer)
            return
        connection = _Connection(self._faults, (reader, writer), target)
        if sender is not None:
            connection.set_sender(sender)
        self._connections.add(connection)
        try:
            # A cut may have been set while the connection to the target was opened.
            if not self._faults.find(FaultKind.CUT, fault_sender):
                await connection.run()
        finally:
            self._connections.discard(connection)
            connection.reset()


class _LoopThread:
    """Event loop in a background thread, shared by all proxies of this process."""

    _shared: "_LoopThread | None" = None

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    @classmethod
    def shared(cls) -> "_LoopThread":
        if cls._shared is None:
            cls._shared = cls()
        return cls._shared

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)


class FaultProxy:
    """Fault proxy that runs in a thread of this process.

    Parameters
    ----------
    target_host, target_port : str, int
        Address of the target.
    sender_of : callable, optional
        Returns the name of the sender that connects from a client address, for faults
        that apply to a single sender.

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
        self._proxy = _ProxyServer("127.0.0.1", 0, target, sender_of)

    @property
    def port(self) -> int:
        """Port that the proxy listens on."""
        return self._proxy.address[1]

    def start(self) -> Self:
        """Start accepting connections."""
        _LoopThread.shared().run(self._proxy.open())
        return self

    def stop(self) -> None:
        """Reset all connections and stop listening."""
        _LoopThread.shared().run(self._proxy.close())

    def set_target(self, host: str, port: int) -> None:
        """Change the target address for new connections."""
        self._proxy.target = (host, port)

    def set_faults(self, *faults: Fault, sender: str = EVERY_SENDER) -> None:
        """Replace the faults of a sender, by default of all; none given clears them.

        Setting the faults of all senders clears those of single senders too. A cut of a
        single sender accepts its new connections and then resets them, because the
        sender is unknown before.
        """
        _LoopThread.shared().run(self._proxy.replace(faults, sender))

    def __enter__(self) -> Self:
        return self.start()

    def __exit__(self, *_: object) -> None:
        self.stop()


class ProxyStandIn(StandIn):
    """Fault proxy that runs in its own process and is controlled over HTTP."""

    def __init__(self, proxy: _ProxyServer) -> None:
        self._proxy = proxy
        self._control_port = 0

    async def start(self, host: str, port: int) -> int:
        """Open the proxy port and the control port, and return the proxy port."""
        await self._proxy.open()
        self._control_port = await super().start(host, port)
        return self._proxy.address[1]

    def details(self) -> str:
        """Return the control port, as a field of the listening line."""
        return f" control_port={self._control_port}"

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Replace the faults of all senders by those of the request body."""
        faults = [Fault(**fields) for fields in request.json().get("faults", ())]
        await self._proxy.replace(faults)
        reply.send_json(200, {})


def create() -> ProxyStandIn:
    """Create the proxy that the flags describe."""
    host, _, port = TARGET.value.rpartition(":")
    return ProxyStandIn(_ProxyServer("127.0.0.1", LISTEN.value, (host, int(port))))


def _bind_socket(host: str, port: int) -> socket.socket:
    """Return a bound socket; it reserves the port but refuses connections."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a TCP reset."""
    if writer.is_closing():
        return
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()

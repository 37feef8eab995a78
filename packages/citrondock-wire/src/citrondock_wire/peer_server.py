"""The thrift service by which routers talk to each other."""

import logging
import socket
import ssl
import threading
from abc import ABC, abstractmethod

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.server.TServer import TThreadedServer
from thrift.Thrift import TException
from thrift.transport.TSocket import TServerSocket, TSocket
from thrift.transport.TTransport import TFramedTransportFactory

from citrondock_wire.envelope import EnvelopeError, EnvelopeVerifier, Sender
from citrondock_wire.gen.citrondock_peer import PeerService
from citrondock_wire.gen.citrondock_peer.ttypes import (
    ConfigurationCopy,
    Envelope,
    ExplainAnswer,
    PeerRefused,
)

MAX_FRAME_BYTES = 4_000_000
_MAX_CONNECTIONS = 256
_MAX_UNPROVEN_CONNECTIONS = 32
_UNPROVEN_TIMEOUT_MS = 5_000
_IDLE_TIMEOUT_MS = 60_000

# thrift logs each broken frame with a traceback of its own.
logging.getLogger("thrift").setLevel(logging.CRITICAL)
_current = threading.local()


class PeerHandler(ABC):
    """What a router does for its peers; called in a thread of each connection."""

    @abstractmethod
    def deliver(self, sender: Sender, payload: bytes) -> None:
        """Take messages in; raises ValueError when they can't be decoded."""

    @abstractmethod
    def configuration_copy(self, after_revision: int) -> ConfigurationCopy:
        """Return the configuration in force if it is newer."""

    @abstractmethod
    def explain(self, subject: str) -> list[str]:
        """Return what is known of a request or account."""


@attrs.define
class _Service:
    """Opens envelopes and passes their content on."""

    handler: PeerHandler
    verifier: EnvelopeVerifier
    incarnation: int

    def deliver(self, envelope: Envelope) -> int:
        sender = self._open(envelope, "deliver")
        try:
            self.handler.deliver(sender, envelope.payload)
        except (ValueError, TException, EOFError) as error:
            raise PeerRefused(reason=str(error), step="decode") from error
        return self.incarnation

    def fetch_configuration(
        self, envelope: Envelope, after_revision: int
    ) -> ConfigurationCopy:
        self._open(envelope, "fetch_configuration")
        return self.handler.configuration_copy(after_revision)

    def explain(self, envelope: Envelope, subject: str) -> ExplainAnswer:
        self._open(envelope, "explain")
        return ExplainAnswer(lines=self.handler.explain(subject))

    def _open(self, envelope: Envelope | None, method: str) -> Sender:
        if envelope is None:
            raise PeerRefused(reason="no envelope", step="envelope")
        try:
            sender = self.verifier.verify(envelope, method=method)
        except EnvelopeError as error:
            raise PeerRefused(reason=error.reason, step=error.step) from error
        _current.client.prove()
        return sender


class _Client(TSocket):
    """A peer's connection, unproven until an envelope of it was opened."""

    is_proven = False

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._socket = sock
        self.setHandle(sock)
        self.setTimeout(_UNPROVEN_TIMEOUT_MS)

    def prove(self) -> None:
        if not self.is_proven:
            self.is_proven = True
            self.setTimeout(_IDLE_TIMEOUT_MS)

    def is_closed(self) -> bool:
        return self._socket.fileno() < 0

    def cut(self) -> None:
        """Wake the thread that reads; it closes the connection."""
        try:
            # Not the TLS method, which another thread must not call while one reads.
            socket.socket.shutdown(self._socket, socket.SHUT_RDWR)
        except OSError:
            return


class _BoundedServerSocket(TServerSocket):
    """A listening socket whose connections are bounded in number and idle time.

    Of connections whose envelope is still awaited, the oldest makes room.
    """

    def __init__(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        super().__init__(host=host, port=port)
        self._tls = tls
        self._clients: list[_Client] = []
        self._lock = threading.Lock()

    @property
    def bound_port(self) -> int:
        return int(self.handle.getsockname()[1])

    def accept(self) -> _Client | None:
        accepted, _ = self.handle.accept()
        if not self._make_room():
            accepted.close()
            return None
        accepted.settimeout(_UNPROVEN_TIMEOUT_MS / 1000)
        if self._tls is not None:
            # The handshake runs with the first read, in the connection's own thread.
            accepted = self._tls.wrap_socket(
                accepted, server_side=True, do_handshake_on_connect=False
            )
        client = _Client(accepted)
        with self._lock:
            self._clients.append(client)
        return client

    def _make_room(self) -> bool:
        with self._lock:
            self._clients = [each for each in self._clients if not each.is_closed()]
            unproven = [each for each in self._clients if not each.is_proven]
            if len(unproven) >= _MAX_UNPROVEN_CONNECTIONS:
                unproven[0].cut()
                self._clients.remove(unproven[0])
            return len(self._clients) < _MAX_CONNECTIONS

    def close(self) -> None:
        if self.handle is not None:
            # Wakes the thread that waits in accept.
            self.handle.shutdown(socket.SHUT_RDWR)
            self.handle.close()
        with self._lock:
            clients, self._clients = self._clients, []
        for client in clients:
            client.cut()


class _Server(TThreadedServer):
    """A threaded server that can be stopped."""

    stopping = False

    def serve(self) -> None:
        while not self.stopping:
            try:
                client = self.serverTransport.accept()
            except OSError:
                continue
            if client is not None:
                threading.Thread(
                    target=self._handle_quietly, args=(client,), daemon=True
                ).start()

    def _handle_quietly(self, client: _Client) -> None:
        _current.client = client
        try:
            self.handle(client)
        except (OSError, TException):
            client.close()


class PeerServer:
    """Serves other routers.

    Parameters
    ----------
    host, port : str, int
        Address; port 0 binds an ephemeral one.
    handler : PeerHandler
        Does the work.
    verifier : EnvelopeVerifier
        Refuses what was not sealed under the shared key.
    incarnation : int
        Of the own router.
    tls : ssl.SSLContext or None
        Context that also checks the certificates of peers.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: PeerHandler,
        verifier: EnvelopeVerifier,
        incarnation: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = _BoundedServerSocket(host, port, tls)
        service = _Service(handler=handler, verifier=verifier, incarnation=incarnation)
        self._server = _Server(
            PeerService.Processor(service),
            self._socket,
            TFramedTransportFactory(MAX_FRAME_BYTES),
            TCompactProtocolAcceleratedFactory(string_length_limit=MAX_FRAME_BYTES),
            daemon=True,
        )
        self._thread = threading.Thread(
            target=self._server.serve, name="peer-server", daemon=True
        )

    def bind(self) -> int:
        """Bind the port and return it."""
        self._socket.listen()
        return self._socket.bound_port

    def start(self) -> None:
        """Serve from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Close all connections."""
        self._server.stopping = True
        self._socket.close()

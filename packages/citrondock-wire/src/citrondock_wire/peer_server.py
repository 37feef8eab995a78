"""Thrift server for the calls of peer routers."""

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
_MAX_UNAUTHENTICATED_CONNECTIONS = 32
_AUTHENTICATION_TIMEOUT_MS = 5_000
_IDLE_TIMEOUT_MS = 60_000

# Otherwise thrift would log each malformed frame with a traceback.
logging.getLogger("thrift").setLevel(logging.CRITICAL)
_thread_state = threading.local()


class PeerHandler(ABC):
    """Handles the calls of peers, in the thread of each connection."""

    @abstractmethod
    def deliver(self, sender: Sender, payload: bytes) -> None:
        """Process an encoded batch; raise ValueError if it cannot be decoded."""

    @abstractmethod
    def configuration_copy(self, after_revision: int) -> ConfigurationCopy:
        """Return the configuration in force if newer than ``after_revision``."""

    @abstractmethod
    def explain(self, subject: str) -> list[str]:
        """Return what this router knows about a request or account."""


@attrs.define
class _Service:
    """Verifies envelopes and passes the calls on to the handler."""

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
        _thread_state.connection.mark_authenticated()
        return sender


class _PeerConnection(TSocket):
    """A peer's connection, authenticated by its first valid envelope."""

    is_authenticated = False

    def __init__(self, sock: socket.socket) -> None:
        super().__init__()
        self._socket = sock
        self.setHandle(sock)
        self.setTimeout(_AUTHENTICATION_TIMEOUT_MS)

    def mark_authenticated(self) -> None:
        if not self.is_authenticated:
            self.is_authenticated = True
            self.setTimeout(_IDLE_TIMEOUT_MS)

    def is_closed(self) -> bool:
        return self._socket.fileno() < 0

    def shut_down(self) -> None:
        """Shut the socket down; the thread that reads from it then closes it."""
        try:
            # Not the TLS socket's method, which must not be called while another
            # thread reads.
            socket.socket.shutdown(self._socket, socket.SHUT_RDWR)
        except OSError:
            return


class _BoundedServerSocket(TServerSocket):
    """A listening socket that limits the number and idle time of its connections.

    When too many connections are not authenticated yet, the oldest of them is closed.
    """

    def __init__(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        super().__init__(host=host, port=port)
        self._tls = tls
        self._connections: list[_PeerConnection] = []
        self._lock = threading.Lock()

    @property
    def bound_port(self) -> int:
        return int(self.handle.getsockname()[1])

    def accept(self) -> _PeerConnection | None:
        accepted, _ = self.handle.accept()
        if not self._evict_if_needed():
            accepted.close()
            return None
        accepted.settimeout(_AUTHENTICATION_TIMEOUT_MS / 1000)
        if self._tls is not None:
            # The handshake runs at the first read, in the thread of the connection.
            accepted = self._tls.wrap_socket(
                accepted, server_side=True, do_handshake_on_connect=False
            )
        connection = _PeerConnection(accepted)
        with self._lock:
            self._connections.append(connection)
        return connection

    def _evict_if_needed(self) -> bool:
        """Close the oldest unauthenticated connection of too many.

        Returns whether the total leaves room for another connection.
        """
        with self._lock:
            self._connections = [
                connection
                for connection in self._connections
                if not connection.is_closed()
            ]
            unauthenticated = [
                connection
                for connection in self._connections
                if not connection.is_authenticated
            ]
            if len(unauthenticated) >= _MAX_UNAUTHENTICATED_CONNECTIONS:
                unauthenticated[0].shut_down()
                self._connections.remove(unauthenticated[0])
            return len(self._connections) < _MAX_CONNECTIONS

    def close(self) -> None:
        if self.handle is not None:
            # Wakes the thread that is blocked in accept.
            self.handle.shutdown(socket.SHUT_RDWR)
            self.handle.close()
        with self._lock:
            connections, self._connections = self._connections, []
        for connection in connections:
            connection.shut_down()


class _StoppableServer(TThreadedServer):
    """A threaded server that can be stopped."""

    stopping = False

    def serve(self) -> None:
        while not self.stopping:
            try:
                connection = self.serverTransport.accept()
            except OSError:
                continue
            if connection is not None:
                threading.Thread(
                    target=self._serve_connection, args=(connection,), daemon=True
                ).start()

    def _serve_connection(self, connection: _PeerConnection) -> None:
        _thread_state.connection = connection
        try:
            self.handle(connection)
        except (OSError, TException):
            connection.close()


class PeerServer:
    """Serves the calls of peer routers, one thread for each connection.

    Parameters
    ----------
    host, port : str, int
        Address; port 0 binds an ephemeral one.
    handler : PeerHandler
        Handles the calls.
    verifier : EnvelopeVerifier
        Checks the envelope of each call.
    incarnation : int
        Incarnation of this router.
    tls : ssl.SSLContext or None
        TLS context that also checks the peers' certificates; None for plain TCP.
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
        self._server = _StoppableServer(
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
        """Start to accept connections."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting connections and close all open ones."""
        self._server.stopping = True
        self._socket.close()

"""The thrift service by which routers talk to each other."""

import logging
import ssl
import threading
from abc import ABC, abstractmethod
from typing import Any

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.server.TServer import TThreadedServer
from thrift.Thrift import TException
from thrift.transport.TSocket import TServerSocket, TSocket
from thrift.transport.TTransport import TFramedTransportFactory

from citrondock_wire.envelope import EnvelopeError, EnvelopeOpener, Sender
from citrondock_wire.gen.citrondock_peer import PeerService
from citrondock_wire.gen.citrondock_peer.ttypes import (
    ConfigurationCopy,
    Envelope,
    ExplainAnswer,
    PeerRefused,
)

MAX_FRAME_BYTES = 4_000_000
_MAX_CONNECTIONS = 256
_IDLE_TIMEOUT_MS = 60_000

# thrift logs each broken frame with a traceback of its own.
logging.getLogger("thrift").setLevel(logging.CRITICAL)


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
    opener: EnvelopeOpener
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
            return self.opener.open(envelope, method=method)
        except EnvelopeError as error:
            raise PeerRefused(reason=error.reason, step=error.step) from error


class _BoundedServerSocket(TServerSocket):
    """A listening socket whose connections are bounded in number and idle time."""

    def __init__(self, host: str, port: int, tls: ssl.SSLContext | None) -> None:
        super().__init__(host=host, port=port)
        self._tls = tls
        self._clients: set[TSocket] = set()
        self._lock = threading.Lock()

    @property
    def bound_port(self) -> int:
        return int(self.handle.getsockname()[1])

    def accept(self) -> TSocket | None:
        accepted, _ = self.handle.accept()
        with self._lock:
            self._clients = {client for client in self._clients if client.isOpen()}
            if len(self._clients) >= _MAX_CONNECTIONS:
                accepted.close()
                return None
        accepted.settimeout(_IDLE_TIMEOUT_MS / 1000)
        if self._tls is not None:
            # The handshake runs with the first read, in the connection's own thread.
            accepted = self._tls.wrap_socket(
                accepted, server_side=True, do_handshake_on_connect=False
            )
        client = TSocket()
        client.setHandle(accepted)
        client.setTimeout(_IDLE_TIMEOUT_MS)
        with self._lock:
            self._clients.add(client)
        return client

    def close(self) -> None:
        if self.handle is not None:
            # Wakes the thread that waits in accept.
            self.handle.shutdown(2)
            self.handle.close()
        with self._lock:
            clients, self._clients = self._clients, set()
        for client in clients:
            client.close()


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

    def _handle_quietly(self, client: Any) -> None:
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
    opener : EnvelopeOpener
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
        opener: EnvelopeOpener,
        incarnation: int,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._socket = _BoundedServerSocket(host, port, tls)
        service = _Service(handler=handler, opener=opener, incarnation=incarnation)
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

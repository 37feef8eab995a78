"""Client of another router's thrift service."""

import ssl

import attrs
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.Thrift import TException
from thrift.transport.TSocket import TSocket
from thrift.transport.TSSLSocket import TSSLSocket
from thrift.transport.TTransport import TFramedTransport

from citrondock_core.errors import CitrondockError
from citrondock_wire.envelope import EnvelopeSigner
from citrondock_wire.gen.citrondock_peer import PeerService
from citrondock_wire.gen.citrondock_peer.ttypes import ConfigurationCopy, PeerRefused
from citrondock_wire.peer_server import MAX_FRAME_BYTES


class PeerUnavailableError(CitrondockError):
    """A peer could not be reached, or did not answer in time."""


class PeerRefusedError(CitrondockError):
    """A peer refused an envelope or could not decode its payload."""


@attrs.frozen(kw_only=True)
class PeerAddress:
    """Address of a router's peer service."""

    vm_name: str
    host: str
    port: int


class _CountingSocket(TSocket):
    """A socket that counts the bytes sent and received."""

    sent_bytes = 0
    received_bytes = 0

    def write(self, buff: bytes) -> None:
        super().write(buff)
        self.sent_bytes += len(buff)

    def read(self, sz: int) -> bytes:
        data: bytes = super().read(sz)
        self.received_bytes += len(data)
        return data


class _CountingTlsSocket(TSSLSocket):
    """A TLS socket that counts the bytes sent and received before encryption."""

    sent_bytes = 0
    received_bytes = 0

    def write(self, buff: bytes) -> None:
        super().write(buff)
        self.sent_bytes += len(buff)

    def read(self, sz: int) -> bytes:
        data: bytes = super().read(sz)
        self.received_bytes += len(data)
        return data

    def close(self) -> None:
        # The base class fails if no handshake has succeeded.
        if self.handle is not None:
            super().close()


class PeerClient:
    """Calls the thrift service of one peer; not thread-safe.

    Parameters
    ----------
    address : PeerAddress
        Address of the peer.
    signer : EnvelopeSigner
        Signs what is sent.
    timeout_s : float
        Timeout of connecting and of each read and write, in seconds.
    tls : ssl.SSLContext or None
        TLS context with this router's certificate; None for plain TCP.
    """

    def __init__(
        self,
        address: PeerAddress,
        *,
        signer: EnvelopeSigner,
        timeout_s: float = 1.0,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.address = address
        self._signer = signer
        if tls is None:
            sock = _CountingSocket(address.host, address.port)
        else:
            sock = _CountingTlsSocket(
                address.host,
                address.port,
                ssl_context=tls,
                server_hostname=address.host,
                validate_callback=lambda *_: None,
            )
        sock.setTimeout(timeout_s * 1000)
        self._socket = sock
        self._transport = TFramedTransport(sock, MAX_FRAME_BYTES)
        self._client = PeerService.Client(TCompactProtocolAccelerated(self._transport))

    @property
    def sent_bytes(self) -> int:
        """Bytes written so far, including envelopes and framing."""
        return int(self._socket.sent_bytes)

    @property
    def received_bytes(self) -> int:
        """Bytes read so far, including framing."""
        return int(self._socket.received_bytes)

    def deliver(self, payload: bytes) -> int:
        """Deliver an encoded batch and return the peer's incarnation."""
        envelope = self._signer.sign(
            payload, receiver=self.address.vm_name, method="deliver"
        )
        return int(self._call("deliver", lambda: self._client.deliver(envelope)))

    def fetch_configuration(self, after_revision: int) -> ConfigurationCopy:
        """Return the peer's configuration if newer than ``after_revision``."""
        method = "fetch_configuration"
        envelope = self._signer.sign(b"", receiver=self.address.vm_name, method=method)
        return self._call(
            method, lambda: self._client.fetch_configuration(envelope, after_revision)
        )

    def explain(self, subject: str) -> list[str]:
        """Return what the peer knows about a request or account."""
        envelope = self._signer.sign(
            b"", receiver=self.address.vm_name, method="explain"
        )
        answer = self._call("explain", lambda: self._client.explain(envelope, subject))
        return list(answer.lines)

    def close(self) -> None:
        """Close the connection."""
        self._transport.close()

    def _call(self, step: str, call):  # type: ignore[no-untyped-def]
        try:
            if not self._transport.isOpen():
                self._transport.open()
            return call()
        except PeerRefused as error:
            raise PeerRefusedError(
                error.reason or "refused", step=step, peer=self.address.vm_name
            ) from error
        except (OSError, TException, EOFError) as error:
            self.close()
            raise PeerUnavailableError(
                str(error) or type(error).__name__, step=step, peer=self.address.vm_name
            ) from error

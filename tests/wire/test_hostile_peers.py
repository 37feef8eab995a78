import datetime
import socket
import ssl
import struct
import threading

import pytest
import trustme
from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_wire.envelope import EnvelopeSigner, EnvelopeVerifier, Sender
from citrondock_wire.gen.citrondock_peer.ttypes import ConfigurationCopy
from citrondock_wire.peer_client import (
    PeerAddress,
    PeerClient,
    PeerRefusedError,
    PeerUnavailableError,
)
from citrondock_wire.peer_server import MAX_FRAME_BYTES, PeerHandler, PeerServer

KEY = b"shared-key"
AUTHORITY = trustme.CA()


class RecordingHandler(PeerHandler):
    def __init__(self):
        self.payloads = []

    def deliver(self, sender, payload):
        if payload == b"bad":
            raise ValueError("no batch")
        if payload == b"broken":
            raise RuntimeError("broken")
        self.payloads.append(payload)

    def configuration_copy(self, after_revision):
        return ConfigurationCopy(revision=1, document=b"{}")

    def explain(self, subject):
        return [subject]


def tls_context(authority, protocol, *, trusted=AUTHORITY, **options):
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    trusted.configure_trust(context)
    authority.issue_cert("127.0.0.1", **options).configure_cert(context)
    return context


def serve(tls=None):
    server = PeerServer(
        host="127.0.0.1",
        port=0,
        handler=RecordingHandler(),
        verifier=EnvelopeVerifier("router-2", shared_key=KEY),
        incarnation=5,
        tls=tls,
    )
    port = server.bind()
    server.start()
    return server, port


@pytest.fixture(scope="module")
def port():
    server, port = serve()
    yield port
    server.stop()


@pytest.fixture(scope="module")
def tls_port():
    server, port = serve(tls_context(AUTHORITY, ssl.PROTOCOL_TLS_SERVER))
    yield port
    server.stop()


def client(port, *, vm_name="router-1", key=KEY, tls=None, timeout_s=10.0):
    sender = Sender(vm_name=vm_name, incarnation=1)
    return PeerClient(
        PeerAddress(vm_name="router-2", host="127.0.0.1", port=port),
        signer=EnvelopeSigner(sender, shared_key=key),
        timeout_s=timeout_s,
        tls=tls,
    )


def connect(port):
    return socket.create_connection(("127.0.0.1", port), timeout=10.0)


def answer_to(port, data):
    with connect(port) as sock:
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            return sock.recv(4096)
        except OSError:
            return b""


class TestHostileFrames:
    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\n\r\n",
            struct.pack("!i", -1),
            struct.pack("!i", MAX_FRAME_BYTES + 1) + b"x" * 100,
            struct.pack("!i", 100) + b"short",
            struct.pack("!i", 0) * 1_000,
            struct.pack("!i", 200_000) + b"\x82\x21\x01\x07deliver" + b"\x1c" * 199_990,
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        ],
    )
    def test_a_malformed_frame_affects_only_its_connection(self, port, data):
        answer_to(port, data)

        assert client(port).deliver(b"hello") == 5

    @given(st.binary(max_size=300))
    @settings(derandomize=True, deadline=None, max_examples=60)
    def test_random_bytes_in_a_frame_are_harmless(self, port, data):
        answer_to(port, struct.pack("!i", len(data)) + data)
        call = b"\x82\x21\x01\x07deliver" + data
        answer_to(port, struct.pack("!i", len(call)) + call)

        assert client(port).deliver(b"hello") == 5

    @pytest.mark.parametrize("size_bytes", [MAX_FRAME_BYTES + 1, 3 * MAX_FRAME_BYTES])
    def test_a_frame_that_is_too_long_is_refused(self, port, size_bytes):
        with pytest.raises(PeerUnavailableError):
            client(port).deliver(b"x" * size_bytes)

        assert client(port).deliver(b"hello") == 5


class TestUnauthenticatedPeers:
    def test_another_key_is_refused(self, port):
        with pytest.raises(PeerRefusedError, match="wrong tag"):
            client(port, key=b"another-key").deliver(b"hello")
        with pytest.raises(PeerRefusedError):
            client(port, key=b"another-key").explain("alice")
        with pytest.raises(PeerRefusedError):
            client(port, key=b"another-key").fetch_configuration(0)

    def test_an_undecodable_batch_is_refused(self, port):
        with pytest.raises(PeerRefusedError, match="no batch"):
            client(port).deliver(b"bad")

    def test_an_error_in_the_handler_is_not_shown_to_the_peer(self, port):
        with pytest.raises(PeerUnavailableError) as error:
            client(port).deliver(b"broken")

        assert "broken" not in str(error.value)

    def test_unauthenticated_connections_are_evicted(self, port):
        authenticated = client(port, vm_name="router-9")
        authenticated.deliver(b"hello")
        flood = [connect(port) for _ in range(300)]
        try:
            assert client(port).deliver(b"hello") == 5
            assert authenticated.deliver(b"again") == 5
        finally:
            for sock in flood:
                sock.close()
            authenticated.close()


class TestTls:
    def test_peers_with_certificates_of_one_authority_connect(self, tls_port):
        tls = tls_context(AUTHORITY, ssl.PROTOCOL_TLS_CLIENT)

        assert client(tls_port, tls=tls).deliver(b"hello") == 5

    @pytest.mark.parametrize(
        "tls",
        [
            pytest.param(
                tls_context(trustme.CA(), ssl.PROTOCOL_TLS_CLIENT),
                id="another-authority",
            ),
            pytest.param(
                tls_context(
                    AUTHORITY,
                    ssl.PROTOCOL_TLS_CLIENT,
                    not_after=datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC),
                    not_before=datetime.datetime(2019, 1, 1, tzinfo=datetime.UTC),
                ),
                id="expired",
            ),
            pytest.param(
                tls_context(AUTHORITY, ssl.PROTOCOL_TLS_CLIENT, trusted=trustme.CA()),
                id="server-not-trusted",
            ),
            pytest.param(None, id="plain"),
        ],
    )
    def test_untrusted_connections_are_refused(self, tls_port, tls):
        with pytest.raises(PeerUnavailableError):
            client(tls_port, tls=tls).deliver(b"hello")

    def test_a_certificate_does_not_replace_the_key(self, tls_port):
        tls = tls_context(AUTHORITY, ssl.PROTOCOL_TLS_CLIENT)

        with pytest.raises(PeerRefusedError):
            client(tls_port, tls=tls, key=b"another-key").deliver(b"hello")

    def test_slow_handshakes_do_not_block_other_peers(self, tls_port):
        slow = [connect(tls_port) for _ in range(20)]
        try:
            for sock in slow:
                sock.sendall(b"\x16\x03\x01")
            tls = tls_context(AUTHORITY, ssl.PROTOCOL_TLS_CLIENT)
            assert client(tls_port, tls=tls).deliver(b"hello") == 5
        finally:
            for sock in slow:
                sock.close()

    def test_many_peers_at_once(self, tls_port):
        tls = tls_context(AUTHORITY, ssl.PROTOCOL_TLS_CLIENT)
        results = []

        def deliver(number):
            peer = client(tls_port, vm_name=f"router-{number}", tls=tls)
            results.append(peer.deliver(b"hello"))

        threads = [threading.Thread(target=deliver, args=(n,)) for n in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert results == [5] * 20

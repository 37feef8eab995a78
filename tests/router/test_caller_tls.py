import ssl

import pytest
import trustme

from citrondock_core.configuration import ClientAccount
from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.caller_response import render_refusal
from citrondock_router.caller_server import CallerServer
from citrondock_router.request_gatherer import GathererOptions
from citrondock_standins.raw_http_client import connect, head, read_response

AUTHORITY = trustme.CA()


@pytest.fixture(scope="module")
def port(tmp_path_factory):
    """Port of a server that answers each request with a refusal."""
    folder = tmp_path_factory.mktemp("tls")
    certificate = AUTHORITY.issue_cert("localhost")
    certificate.cert_chain_pems[0].write_to_path(folder / "certificate.pem")
    certificate.private_key_pem.write_to_path(folder / "key.pem")

    def refuse(request, connection, error):
        data = render_refusal(request, error, "r1")
        server.response_sender.send(
            connection, data, keep_alive=not request.close_connection
        )

    def handle(request, connection):
        connection.detach()
        body = request.rfile.read()
        reason = f"{len(body)} bytes"
        cause = RefusalReason.NO_TARGET
        refuse(request, connection, RequestRefusedError(reason, step="s", cause=cause))
        request.close_connection = True
        request.sent_headers = True

    server = CallerServer(
        host="127.0.0.1",
        port=0,
        handler=handle,
        refuse=refuse,
        check_head=lambda _: ClientAccount(name="alice"),
        check_capacity=lambda *_: None,
        options=GathererOptions(max_connections=60, head_timeout_s=2.0),
        worker_count=2,
        tls_certificate_path=str(folder / "certificate.pem"),
        tls_key_path=str(folder / "key.pem"),
    )
    yield server.start_serving()
    server.stop_serving()


def wrap_tls(sock, *, authority=AUTHORITY, version=None):
    context = ssl.create_default_context()
    authority.configure_trust(context)
    if version is not None:
        context.maximum_version = version
    return context.wrap_socket(sock, server_hostname="localhost")


@pytest.fixture(autouse=True)
def check_still_serving(port):
    yield
    with wrap_tls(connect(port)) as sock:
        sock.sendall(head())
        assert read_response(sock).status == 503


class TestCallerTls:
    def test_connection_serves_long_and_short_requests(self, port):
        with wrap_tls(connect(port)) as sock:
            for size_bytes in (0, 200_000, 1):
                length = f"Content-Length: {size_bytes}"
                sock.sendall(head("POST /works HTTP/1.1", length) + b"x" * size_bytes)
                response = read_response(sock)
                assert response.refusal[1] == "no_target"
                assert f"{size_bytes} bytes".encode() in response.body

    def test_malformed_request_gets_a_typed_refusal(self, port):
        with wrap_tls(connect(port)) as sock:
            sock.sendall(b"rubbish\r\n\r\n")
            assert read_response(sock).refusal[1:3] == ("bad_request", "no")

    @pytest.mark.parametrize(
        "data",
        [
            head(),
            b"\x16\x03\x01\x00\x05hello",
            b"\x16\x03\x01",
            b"\x80\x2e\x01\x00\x02",
        ],
    )
    def test_failed_handshake_does_not_affect_other_connections(self, port, data):
        with connect(port) as sock:
            sock.sendall(data)

    def test_slow_handshakes_do_not_block_others(self, port):
        slow = [connect(port) for _ in range(30)]
        try:
            for sock in slow:
                sock.sendall(b"\x16\x03\x01")
            with wrap_tls(connect(port)) as sock:
                sock.sendall(head())
                assert read_response(sock).status == 503
        finally:
            for sock in slow:
                sock.close()

    def test_caller_that_distrusts_the_authority_fails_its_handshake(self, port):
        with connect(port) as sock, pytest.raises(ssl.SSLCertVerificationError):
            wrap_tls(sock, authority=trustme.CA())

    @pytest.mark.filterwarnings("ignore::DeprecationWarning")
    def test_old_tls_versions_are_refused(self, port):
        with connect(port) as sock, pytest.raises((ssl.SSLError, ConnectionError)):
            wrap_tls(sock, version=ssl.TLSVersion.TLSv1_1)

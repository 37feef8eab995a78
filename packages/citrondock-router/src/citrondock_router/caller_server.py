"""HTTP server for callers and operators; a gatherer collects, cheroot parses."""

import math
import ssl
import threading
from collections.abc import Callable
from typing import Any

from cheroot.server import Gateway, HTTPRequest, HTTPServer
from cheroot.ssl.builtin import BuiltinSSLAdapter
from cheroot.workers.threadpool import ThreadPool

from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.caller_connection import CallerConnection
from citrondock_router.intake_quota import CapacityCheck
from citrondock_router.log import log_event
from citrondock_router.request_gatherer import (
    GathererOptions,
    HeadCheck,
    RequestGatherer,
)
from citrondock_router.response_sender import ResponseSender

RequestHandler = Callable[[HTTPRequest, CallerConnection], None]
RefusalHandler = Callable[[HTTPRequest, CallerConnection, RequestRefusedError], None]

_TOO_LONG_STATUSES = ("413", "414")


class _LazyHandshakeAdapter(BuiltinSSLAdapter):
    """TLS whose handshake runs in the gatherer, so that a slow one blocks nobody."""

    def wrap(self, sock: Any) -> tuple[Any, dict[str, str]]:
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {}


class _CallerGateway(Gateway):
    """Hands a parsed request to the router's handler."""

    def respond(self) -> None:
        self.req.server.handle_request(self.req, self.req.conn)


class _CallerRequest(HTTPRequest):
    """A request whose refusals all have the form that callers know."""

    method = b""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse in place of cheroot's plain text."""
        text = str(status)
        too_long = text.startswith(_TOO_LONG_STATUSES)
        cause = RefusalReason.TOO_LARGE if too_long else RefusalReason.BAD_REQUEST
        reason = f"{text}: {msg}" if msg else text
        self.conn.detach()
        self.refuse(RequestRefusedError(reason, step="parse", cause=cause))

    def refuse(self, error: RequestRefusedError) -> None:
        """Answer a request that was not parsed, or not wholly."""
        self.response_protocol = "HTTP/1.1"
        self.close_connection = True
        self.sent_headers = True
        self.server.refuse(self, self.conn, error)


class _CheckedConnection(CallerConnection):
    """A connection whose requests are checked for ambiguous framing."""

    RequestHandlerClass = _CallerRequest


class CallerServer(HTTPServer):
    """Accepts clients; never waits for one of them in a worker thread.

    Parameters
    ----------
    host, port : str, int
        Address; port 0 binds an ephemeral one.
    handler : callable
        Runs in a worker thread with a parsed request and its connection.
    refuse : callable
        Given a request that is refused unparsed, its connection, which is taken over,
        and the reason; must not block.
    check_head, check_capacity : callable
        See `RequestGatherer`.
    worker_count : int
        Threads that parse and admit.
    tls_certificate_path, tls_key_path : str
        PEM files; empty for plain HTTP.
    """

    ConnectionClass = _CheckedConnection

    def __init__(
        self,
        *,
        host: str,
        port: int,
        handler: RequestHandler,
        refuse: RefusalHandler,
        check_head: HeadCheck,
        check_capacity: CapacityCheck,
        options: GathererOptions,
        worker_count: int = 8,
        tls_certificate_path: str = "",
        tls_key_path: str = "",
    ) -> None:
        super().__init__((host, port), gateway=_CallerGateway)
        self.requests = ThreadPool(self, min=worker_count, max=worker_count)
        self.handle_request = handler
        self.refuse = refuse
        self.server_name = "citrondock"
        self.timeout = math.ceil(options.idle_timeout_s)
        self.max_request_header_size = options.max_head_bytes
        # The gatherer and admission bound bodies, with refusals that callers can read.
        self.max_request_body_size = 0
        self.keep_alive_conn_limit = options.max_connections
        self.request_queue_size = 1024
        if tls_certificate_path:
            self.ssl_adapter = _LazyHandshakeAdapter(tls_certificate_path, tls_key_path)
            self.ssl_adapter.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self.gatherer = RequestGatherer(
            on_ready=super().process_conn,
            on_refused=lambda conn, error: _CallerRequest(self, conn).refuse(error),
            check_head=check_head,
            check_capacity=check_capacity,
            options=options,
        )
        self.response_sender = ResponseSender()
        self._thread = threading.Thread(target=self.serve, name="caller-server")

    def start_serving(self) -> int:
        """Bind, start all threads and return the port."""
        self.gatherer.start()
        self.response_sender.start()
        self.prepare()
        self._thread.start()
        return int(self.bind_addr[1])

    def stop_serving(self) -> None:
        """Accept nothing more and end all threads."""
        self.stop()
        self._thread.join()
        self.gatherer.stop()
        self.response_sender.stop()

    def process_conn(self, conn: CallerConnection) -> None:
        """Gather a request before any worker is bothered."""
        self.gatherer.add(conn)

    def put_conn(self, conn: CallerConnection) -> None:
        """Wait for the next request of a connection in the gatherer."""
        if self.ready:
            self.gatherer.add(conn)
        else:
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Write cheroot's messages as events."""
        name = "ERROR" if traceback else "DEBUG"
        log_event("caller_server", level=name, message=str(msg))

"""HTTP server for callers and operators, built on cheroot.

A `RequestGatherer` receives each request; cheroot parses it once it is complete.
"""

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
    """TLS adapter that leaves the handshake to the gatherer.

    A slow handshake thus blocks no other connection.
    """

    def wrap(self, sock: Any) -> tuple[Any, dict[str, str]]:
        wrapped = self.context.wrap_socket(
            sock, do_handshake_on_connect=False, server_side=True
        )
        return wrapped, {}


class _CallerGateway(Gateway):
    """Passes a parsed request to the server's handler."""

    def respond(self) -> None:
        self.req.server.handle_request(self.req, self.req.conn)


class _CallerRequest(HTTPRequest):
    """A request whose parse errors become the router's typed refusals."""

    method = b""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request instead of sending cheroot's plain-text error."""
        text = str(status)
        too_long = text.startswith(_TOO_LONG_STATUSES)
        cause = RefusalReason.TOO_LARGE if too_long else RefusalReason.BAD_REQUEST
        reason = f"{text}: {msg}" if msg else text
        self.conn.detach()
        self.refuse(RequestRefusedError(reason, step="parse", cause=cause))

    def refuse(self, error: RequestRefusedError) -> None:
        """Refuse a request that was not parsed, or only in part."""
        self.response_protocol = "HTTP/1.1"
        self.close_connection = True
        self.sent_headers = True
        self.server.refuse(self, self.conn, error)


class _CheckedConnection(CallerConnection):
    """A caller connection whose requests cheroot parses as `_CallerRequest`."""

    RequestHandlerClass = _CallerRequest


class CallerServer(HTTPServer):
    """HTTP server whose worker threads never wait for a client.

    Parameters
    ----------
    host, port : str, int
        Address to bind; port 0 chooses a free port.
    handler : callable
        Called in a worker thread with a parsed request and its connection.
    refuse : callable
        Called with a request that is refused before it was parsed, its connection,
        which the callee owns from then on, and the error; must not block.
    check_head, check_capacity : callable
        See `RequestGatherer`.
    options : GathererOptions
        Limits and timeouts of requests and connections.
    worker_count : int
        Threads that parse requests and run the handler.
    tls_certificate_path, tls_key_path : str
        Paths of PEM files; empty for plain HTTP.
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
        # No limit in cheroot: the gatherer and admission limit bodies, with refusals
        # that callers can read.
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
        """Bind the port, start all threads and return the port."""
        self.gatherer.start()
        self.response_sender.start()
        self.prepare()
        self._thread.start()
        return int(self.bind_addr[1])

    def stop_serving(self) -> None:
        """Stop accepting connections and end all threads."""
        self.stop()
        self._thread.join()
        self.gatherer.stop()
        self.response_sender.stop()

    def process_conn(self, conn: CallerConnection) -> None:
        """Pass a new connection to the gatherer instead of a worker."""
        self.gatherer.add(conn)

    def put_conn(self, conn: CallerConnection) -> None:
        """Return a connection to the gatherer, to wait for its next request."""
        if self.ready:
            self.gatherer.add(conn)
        else:
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a message of cheroot."""
        name = "ERROR" if traceback else "DEBUG"
        log_event("caller_server", level=name, message=str(msg))

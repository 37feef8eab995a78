"""HTTP server for operators: health, readiness, metrics, status, explain and drain."""

import copy
import json
from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any
from urllib.parse import unquote

import attrs
from attrs.validators import and_, instance_of, max_len
from cheroot.server import HTTPRequest

from citrondock_core.configuration import ClientAccount
from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.caller_connection import CallerConnection
from citrondock_router.caller_response import render_head
from citrondock_router.caller_server import CallerServer
from citrondock_router.log import log_event
from citrondock_router.request_gatherer import GathererOptions

_JSON = "application/json"
_MAX_TEXT_CHARACTERS = 200
_OPTIONS = GathererOptions(
    max_head_bytes=8_192,
    max_body_bytes=65_536,
    max_total_bytes=1_000_000,
    max_connections=200,
)
_is_short_text = and_(instance_of(str), max_len(_MAX_TEXT_CHARACTERS))
_OPERATORS = ClientAccount(name="operators")


@attrs.frozen(kw_only=True)
class OperatorResponse:
    """Response to an operator's request.

    Parameters
    ----------
    status : str
        HTTP status code and reason phrase.
    content_type : str
        Media type of the body.
    body : bytes
        Body.
    """

    status: str = "200 OK"
    content_type: str = _JSON
    body: bytes = b"{}\n"


@attrs.frozen(kw_only=True)
class DrainRequest:
    """An operator's request to stop a router gracefully.

    Parameters
    ----------
    vm_name : str
        VM of the router to drain; empty for the router that gets the request.
    author, reason : str
        Who asks for the drain, and why; both go into the audit trail.
    """

    vm_name: str = attrs.field(default="", validator=_is_short_text)
    author: str = attrs.field(default="", validator=_is_short_text)
    reason: str = attrs.field(default="", validator=_is_short_text)


class OperatorHandler(ABC):
    """Interface through which the server reads the state of a router and drains it."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this router."""

    @abstractmethod
    def metrics(self) -> bytes:
        """Return all metrics in the Prometheus text format."""

    @abstractmethod
    def status(self) -> Mapping[str, Any]:
        """Return the router's state as a JSON document."""

    @abstractmethod
    def explain(self, subject: str) -> list[str]:
        """Return what is known of a request."""

    @abstractmethod
    def drain(self, request: "DrainRequest") -> bool:
        """Start a graceful stop; return False if the request names another router."""


class OperatorsServer:
    """Serves operators on a port of its own, separate from the callers' port.

    Slow or idle clients occupy no worker thread, so that the load balancer's health
    checks are still answered.

    Parameters
    ----------
    host, port : str, int
        Address to listen on; port 0 binds an ephemeral port.
    handler : OperatorHandler
        Provides the content of the responses.
    worker_count : int
        Number of worker threads.
    """

    def __init__(
        self, *, host: str, port: int, handler: OperatorHandler, worker_count: int = 4
    ) -> None:
        self._handler = handler
        self._server = CallerServer(
            host=host,
            port=port,
            handler=self._handle,
            refuse=self._refuse,
            check_head=_check_head,
            check_capacity=lambda *_: None,
            options=_OPTIONS,
            worker_count=worker_count,
        )

    def start(self) -> int:
        """Start serving and return the port."""
        return self._server.start_serving()

    def stop(self) -> None:
        """Stop serving and end all threads."""
        self._server.stop_serving()

    def _handle(self, request: HTTPRequest, connection: CallerConnection) -> None:
        detached_request = copy.copy(request)
        request.sent_headers = True
        request.close_connection = True
        connection.detach()
        try:
            response = self._route_request(detached_request)
        except Exception as error:
            log_event(
                "operators_error",
                level="ERROR",
                error=type(error).__name__,
                detail=str(error),
            )
            response = _json_response(
                {"error": "internal"}, status="500 Internal Server Error"
            )
        self._send(detached_request, connection, response)

    def _refuse(
        self,
        request: HTTPRequest,
        connection: CallerConnection,
        error: RequestRefusedError,
    ) -> None:
        log_event(
            "operator_refused", client=connection.remote_addr, detail=error.reason
        )
        status = "400 Bad Request"
        if error.cause is RefusalReason.TOO_LARGE:
            status = "413 Request Entity Too Large"
        request.close_connection = True
        self._send(
            request, connection, _json_response({"error": error.reason}, status=status)
        )

    def _send(
        self,
        request: HTTPRequest,
        connection: CallerConnection,
        response: OperatorResponse,
    ) -> None:
        headers = {
            "Content-Type": response.content_type,
            "Content-Length": str(len(response.body)),
        }
        code, _, reason = response.status.partition(" ")
        data = render_head(request, status=int(code), headers=headers, reason=reason)
        if request.method != b"HEAD":
            data += response.body
        keep_alive = not request.close_connection
        self._server.response_sender.send(connection, data, keep_alive=keep_alive)

    def _route_request(self, request: HTTPRequest) -> OperatorResponse:
        method = request.method.decode("latin-1")
        raw_path = request.uri.partition(b"?")[0].decode("latin-1")
        path = unquote(raw_path)
        body = request.rfile.read()
        if method == "POST" and path == "/v1/drain":
            return self._drain(request, body)
        return self._serve_page(method, path)

    def _serve_page(self, method: str, path: str) -> OperatorResponse:
        if method != "GET":
            return _json_response({"error": "use GET"}, status="405 Method Not Allowed")
        if path == "/healthz":
            return _json_response({"healthy": True})
        if path == "/readyz":
            return self._readiness_response()
        if path == "/metrics":
            content_type = "text/plain; version=0.0.4; charset=utf-8"
            return OperatorResponse(
                content_type=content_type, body=self._handler.metrics()
            )
        if path == "/v1/status":
            return _json_response(self._handler.status())
        if path.startswith("/v1/explain/"):
            subject = path.removeprefix("/v1/explain/")
            return _json_response(
                {"subject": subject, "lines": self._handler.explain(subject)}
            )
        return _json_response({"error": f"no page {path!r}"}, status="404 Not Found")

    def _drain(self, request: HTTPRequest, body: bytes) -> OperatorResponse:
        if not _is_csrf_safe(request):
            error = "send application/json from a tool; browsers may not drain"
            return _json_response({"error": error}, status="403 Forbidden")
        try:
            drain_request = _parse_drain_request(body)
        except (ValueError, TypeError, RecursionError) as error:
            return _json_response({"error": str(error)}, status="400 Bad Request")
        if not self._handler.drain(drain_request):
            return _json_response({"error": "another router"}, status="409 Conflict")
        return _json_response({"draining": True}, status="202 Accepted")

    def _readiness_response(self) -> OperatorResponse:
        if self._handler.is_ready():
            return _json_response({"ready": True})
        return _json_response({"ready": False}, status="503 Service Unavailable")


def _json_response(
    document: Mapping[str, Any], *, status: str = "200 OK"
) -> OperatorResponse:
    return OperatorResponse(status=status, body=json.dumps(document).encode() + b"\n")


def _check_head(_headers: Mapping[str, str]) -> ClientAccount:
    return _OPERATORS


def _is_csrf_safe(request: HTTPRequest) -> bool:
    """Whether no web page of another site can have made a browser send the request."""
    content_type = request.inheaders.get(b"Content-Type", _JSON.encode())
    return b"Origin" not in request.inheaders and content_type == _JSON.encode()


def _parse_drain_request(body: bytes) -> DrainRequest:
    document = json.loads(body)
    if not isinstance(document, dict):
        raise ValueError("the body is no JSON object")
    return DrainRequest(**document)

"""The operators' port: health, readiness, metrics, status and explanations."""

import json
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import unquote

import attrs
import cattrs
from cheroot.wsgi import Server

from citrondock_router.log import log_event

_JSON = "application/json"
_MAX_BODY_BYTES = 65_536


@attrs.frozen(kw_only=True)
class OperatorAnswer:
    """What an operator gets.

    Parameters
    ----------
    status : str
        HTTP status line.
    content_type : str
        Type of the body.
    body : bytes
        Body.
    """

    status: str = "200 OK"
    content_type: str = _JSON
    body: bytes = b"{}\n"


@attrs.frozen(kw_only=True)
class DrainRequest:
    """An operator's order to stop gracefully.

    Parameters
    ----------
    vm_name : str
        Router that is meant; empty for whoever gets the order.
    author, reason : str
        Who and why.
    """

    vm_name: str = ""
    author: str = ""
    reason: str = ""


class OperatorHandler(ABC):
    """What a router tells its operators."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Whether the balancer may send callers here."""

    @abstractmethod
    def metrics(self) -> bytes:
        """Return all metrics as text."""

    @abstractmethod
    def status(self) -> Mapping[str, Any]:
        """Return the router's state as a JSON document."""

    @abstractmethod
    def explain(self, subject: str) -> list[str]:
        """Return what is known of a request or account."""

    @abstractmethod
    def drain(self, request: "DrainRequest") -> bool:
        """Begin a graceful stop; False when another router is meant."""


class _QuietServer(Server):
    """A WSGI server that writes its messages as events."""

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        name = "ERROR" if traceback else "DEBUG"
        log_event("operators_server", level=name, message=str(msg))


class OperatorsServer:
    """Serves operators on a port that callers never reach.

    Parameters
    ----------
    host, port : str, int
        Address; port 0 binds an ephemeral one.
    handler : OperatorHandler
        Answers.
    worker_count : int
        Threads.
    """

    def __init__(
        self, *, host: str, port: int, handler: OperatorHandler, worker_count: int = 4
    ) -> None:
        self._handler = handler
        self._server = _QuietServer(
            (host, port), self._application, numthreads=worker_count, max=worker_count
        )
        self._server.server_name = "citrondock-operators"
        self._server.max_request_body_size = _MAX_BODY_BYTES
        self._thread = threading.Thread(
            target=self._server.serve, name="operators", daemon=True
        )

    def start(self) -> int:
        """Serve from now on and return the port."""
        self._server.prepare()
        self._thread.start()
        return int(self._server.bind_addr[1])

    def stop(self) -> None:
        """End all threads."""
        self._server.stop()
        self._thread.join()

    def _application(
        self,
        environ: Mapping[str, Any],
        start_response: Callable[[str, list[tuple[str, str]]], Any],
    ) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        path = unquote(environ["PATH_INFO"])
        if method == "POST" and path == "/v1/drain":
            answer = self._drain(environ["wsgi.input"].read())
        else:
            answer = self._answer(method, path)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
        ]
        start_response(answer.status, headers)
        return [answer.body]

    def _answer(self, method: str, path: str) -> OperatorAnswer:
        if method != "GET":
            return _json({"error": "use GET"}, status="405 Method Not Allowed")
        if path == "/healthz":
            return _json({"healthy": True})
        if path == "/readyz":
            return self._readiness()
        if path == "/metrics":
            text = "text/plain; version=0.0.4; charset=utf-8"
            return OperatorAnswer(content_type=text, body=self._handler.metrics())
        if path == "/v1/status":
            return _json(self._handler.status())
        if path.startswith("/v1/explain/"):
            subject = path.removeprefix("/v1/explain/")
            return _json({"subject": subject, "lines": self._handler.explain(subject)})
        return _json({"error": f"no page {path!r}"}, status="404 Not Found")

    def _drain(self, body: bytes) -> OperatorAnswer:
        try:
            request = cattrs.structure(json.loads(body or b"{}"), DrainRequest)
        except (ValueError, cattrs.BaseValidationError) as error:
            return _json({"error": str(error)}, status="400 Bad Request")
        if not self._handler.drain(request):
            return _json({"error": "another router"}, status="409 Conflict")
        return _json({"draining": True}, status="202 Accepted")

    def _readiness(self) -> OperatorAnswer:
        if self._handler.is_ready():
            return _json({"ready": True})
        return _json({"ready": False}, status="503 Service Unavailable")


def _json(document: Mapping[str, Any], *, status: str = "200 OK") -> OperatorAnswer:
    return OperatorAnswer(status=status, body=json.dumps(document).encode() + b"\n")

"""Renders the router's own responses, and the heads of relayed responses."""

import json
import math
from collections.abc import Mapping

from cheroot.server import HTTPRequest

from citrondock_core.claim import ClaimOutcome
from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.call import Call

_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    409: "409 Conflict",
    413: "413 Request Entity Too Large",
    429: "429 Too Many Requests",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
_STATUS_OF_REASON = {
    RefusalReason.NOT_READY: 503,
    RefusalReason.UNKNOWN_KEY: 401,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.ACCOUNT_QUEUE_FULL: 429,
    RefusalReason.ROUTER_QUEUE_FULL: 503,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.NO_TARGET: 503,
    RefusalReason.TARGET_FAILED: 502,
    RefusalReason.TARGET_REFUSED: 503,
    RefusalReason.CLAIM_UNAVAILABLE: 503,
    RefusalReason.CLAIM_HELD: 409,
    RefusalReason.CALLER_GONE: 503,
    RefusalReason.SHUTTING_DOWN: 503,
}


class _HeadCapture:
    """Collects the bytes that cheroot would write to the socket."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data += data


def render_head(
    request: HTTPRequest, *, status: int, headers: Mapping[str, str], reason: str = ""
) -> bytes:
    """Return the head of a response; cheroot chooses the body framing."""
    line = _STATUS_LINES.get(status, f"{status} {reason or 'Status'}")
    # cheroot joins the status line with bytes but declares it as text.
    request.status = line.encode("latin-1")  # type: ignore[assignment]
    request.outheaders = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]
    capture = _HeadCapture()
    writer = request.conn.wfile
    request.conn.wfile = capture
    try:
        request.send_headers()
    finally:
        request.conn.wfile = writer
    return capture.data


def refusal_document(error: RequestRefusedError, request_id: str) -> bytes:
    """Return the JSON document of a refusal, encoded."""
    document = {
        "error": {
            "reason": error.cause.value,
            "step": error.step,
            "peer": error.peer,
            "ran": error.ran.value,
            "retry_after_s": error.retry_after_s,
            "message": error.reason,
            "request_id": request_id,
        }
    }
    return json.dumps(document).encode()


def render_refusal(
    request: HTTPRequest, error: RequestRefusedError, request_id: str
) -> bytes:
    """Return the complete response that refuses a request."""
    body = refusal_document(error, request_id) + b"\n"
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "X-Request-Id": request_id,
    }
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    status = _STATUS_OF_REASON[error.cause]
    head = render_head(request, status=status, headers=headers)
    return head if request.method == b"HEAD" else head + body


def render_outcome(call: Call, outcome: ClaimOutcome) -> bytes:
    """Return the stored response of an earlier attempt with the same key."""
    headers = {header.name: header.value for header in outcome.headers}
    headers["Content-Length"] = str(len(outcome.body))
    headers["X-Request-Id"] = call.request_id
    headers["Idempotency-Replayed"] = "true"
    head = render_head(call.http_request, status=outcome.status, headers=headers)
    return head if call.method == "HEAD" else head + outcome.body


def error_event(error: RequestRefusedError, request_id: str) -> bytes:
    """Return the server-sent event that ends a stream with an error."""
    return b"event: error\ndata: " + refusal_document(error, request_id) + b"\n\n"

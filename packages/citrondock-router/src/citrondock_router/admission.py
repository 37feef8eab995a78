"""Authenticates, checks and routes caller requests."""

import json
import time
import uuid
from collections.abc import Mapping
from urllib.parse import unquote

import attrs
from cheroot.server import HTTPRequest

from citrondock_core.account_keys import account_of_key, key_matches
from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    Service,
    ServiceKind,
)
from citrondock_core.request import RefusalReason, RequestRefusedError, WaitingRequest
from citrondock_router.call import Call
from citrondock_router.caller_connection import CallerConnection
from citrondock_router.intake_quota import CapacityCheck

CHAT_PATH = "/v1/chat/completions"
_STEP = "admission"
_BEARER = "bearer "
_MAX_KEY_CHARACTERS = 200
_MAX_DIGITS = 12
_MAX_QUOTED_CHARACTERS = 100
_NOT_READY_RETRY_S = 2.0
_FORWARDED_HEADERS = ("accept", "content-type", "accept-language", "user-agent")


@attrs.frozen(kw_only=True)
class RequestHead:
    """Request line and headers of a caller's request.

    Parameters
    ----------
    method, path, query : str
        Parts of the request line; the path is without the query.
    headers : mapping of str
        Headers by lower-case name.
    """

    method: str
    path: str
    query: str
    headers: Mapping[str, str]

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name, "")


class Admission:
    """Turns parsed requests into calls, according to the active configuration.

    Parameters
    ----------
    max_body_bytes : int
        Maximum length of a body.
    check_capacity : callable
        See `CapacityCheck`.
    """

    def __init__(self, *, max_body_bytes: int, check_capacity: CapacityCheck) -> None:
        self._max_body_bytes = max_body_bytes
        self.check_capacity = check_capacity
        self._configuration = Configuration()
        self._closed = False

    def set_configuration(self, configuration: Configuration) -> None:
        """Use a new configuration for all further requests."""
        self._configuration = configuration

    def close(self) -> None:
        """Refuse all further requests."""
        self._closed = True

    def check_head(self, headers: Mapping[str, str]) -> ClientAccount:
        """Return the account that sent a request, from the headers alone.

        Raises
        ------
        RequestRefusedError
            When the key is unknown or the declared body is too long.
        """
        account = self.authenticate(headers.get("authorization", ""))
        limit_bytes = min(self._max_body_bytes, account.max_waiting_bytes)
        length = headers.get("content-length", "")
        if length.isdecimal() and int(length) > limit_bytes:
            raise _refusal(
                RefusalReason.TOO_LARGE,
                f"Content-Length is {length} bytes; the limit is {limit_bytes} bytes",
            )
        return account

    def authenticate(self, authorization: str) -> ClientAccount:
        """Return the account whose key is in the Authorization header.

        Raises
        ------
        RequestRefusedError
            When the key is unknown, or the router has no configuration or is leaving.
        """
        if self._closed:
            raise _refusal(RefusalReason.SHUTTING_DOWN, "this router is shutting down")
        if self._configuration.revision == 0:
            raise _refusal(
                RefusalReason.NOT_READY,
                "this router has no configuration yet",
                retry_after_s=_NOT_READY_RETRY_S,
            )
        key = ""
        if authorization[: len(_BEARER)].lower() == _BEARER:
            key = authorization[len(_BEARER) :].strip()
        account = self._configuration.accounts.get(account_of_key(key))
        hashes = account.key_hashes if account is not None else ()
        matches = [key_matches(key, key_hash) for key_hash in hashes]
        if account is None or not any(matches):
            raise _refusal(
                RefusalReason.UNKNOWN_KEY,
                "the Authorization header has no key of a client account",
            )
        return account

    def admit(
        self, request: HTTPRequest, connection: CallerConnection, request_id: str
    ) -> Call:
        """Return the call for a request, with its service chosen.

        Raises
        ------
        RequestRefusedError
            When the request is refused; ``ran`` is always `Ran.NO`.
        """
        head = _parse_head(request)
        account = self.check_head(head.headers)
        body = request.rfile.read()
        self._check_body(head, body, account)
        self.check_capacity(account.name, 1, len(body))
        service, document = self._route(head, body)
        return self._new_call(
            request, connection, request_id, head, account, service, body, document
        )

    def _check_body(
        self, head: RequestHead, body: bytes, account: ClientAccount
    ) -> None:
        length = head.header("content-length")
        if length.isdecimal() and len(body) != int(length):
            raise _refusal(
                RefusalReason.BAD_REQUEST,
                f"the body has {len(body)} bytes; Content-Length is {length}",
            )
        if len(body) > min(self._max_body_bytes, account.max_waiting_bytes):
            raise _refusal(
                RefusalReason.TOO_LARGE,
                f"the body has {len(body)} bytes, more than the router or the account "
                f"{account.name} allows",
            )

    def _route(self, head: RequestHead, body: bytes) -> tuple[Service, "_ChatDocument"]:
        _check_path(head.path)
        if head.path == CHAT_PATH:
            document = _parse_chat_body(head, body)
            return self._chat_service(document.model), document
        for service in self._configuration.services.values():
            if service.kind is ServiceKind.PLAIN and _under(head.path, service.path):
                return service, _ChatDocument()
        raise _refusal(
            RefusalReason.UNKNOWN_SERVICE,
            f"no service is configured for the path {_quoted(head.path)}",
        )

    def _chat_service(self, model: str) -> Service:
        for service in self._configuration.services.values():
            if service.kind is ServiceKind.CHAT and model in (
                service.model,
                service.name,
            ):
                return service
        raise _refusal(
            RefusalReason.UNKNOWN_SERVICE,
            f"no chat service is configured for the model {_quoted(model)}",
        )

    def _new_call(
        self,
        request: HTTPRequest,
        connection: CallerConnection,
        request_id: str,
        head: RequestHead,
        account: ClientAccount,
        service: Service,
        body: bytes,
        document: "_ChatDocument",
    ) -> Call:
        now_s = time.monotonic()
        waiting = WaitingRequest(
            request_id=request_id,
            account=account.name,
            service=service.name,
            pool=service.pool,
            arrived_at_s=now_s,
            deadline_s=now_s + _timeout_s(head, service),
            body_bytes=len(body),
            cost_hint_tokens=_cost_hint_tokens(head),
            affinity_key=head.header("x-affinity")[:_MAX_KEY_CHARACTERS],
        )
        forwarded = {
            name.title(): head.header(name)
            for name in _FORWARDED_HEADERS
            if head.header(name)
        }
        path = head.path if not head.query else f"{head.path}?{head.query}"
        return Call(
            request_id=request_id,
            account=account,
            service=service,
            method=head.method,
            path=path,
            headers=forwarded,
            body=body,
            waiting=waiting,
            streaming=document.streams,
            idempotency_key=_idempotency_key(head),
            http_request=request,
            connection=connection,
        )


@attrs.frozen(kw_only=True)
class _ChatDocument:
    model: str = ""
    streams: bool = False


def new_request_id() -> str:
    """Return a new unique request id."""
    return f"req-{uuid.uuid4().hex}"


def _parse_head(request: HTTPRequest) -> RequestHead:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in request.inheaders.items()
    }
    raw_path = request.uri.partition(b"?")[0]
    return RequestHead(
        method=request.method.decode("latin-1"),
        path=raw_path.decode("latin-1"),
        query=request.qs.decode("latin-1"),
        headers=headers,
    )


def _under(path: str, prefix: str) -> bool:
    prefix = prefix.rstrip("/")
    return path == prefix or path.startswith(f"{prefix}/")


def _check_path(path: str) -> None:
    """Refuse a path that a target could resolve to one of another service."""
    segments = unquote(path).replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise _refusal(
            RefusalReason.BAD_REQUEST,
            f"the path {_quoted(path)} has a '.' or '..' segment",
        )


def _quoted(text: str) -> str:
    return repr(text[:_MAX_QUOTED_CHARACTERS])


def _parse_chat_body(head: RequestHead, body: bytes) -> _ChatDocument:
    if head.method != "POST":
        raise _refusal(RefusalReason.BAD_REQUEST, f"{CHAT_PATH} accepts only POST")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refusal(
            RefusalReason.BAD_REQUEST, f"the body is not JSON: {error}"
        ) from error
    if not isinstance(document, dict) or not isinstance(document.get("model"), str):
        raise _refusal(
            RefusalReason.BAD_REQUEST, "the field 'model' of the body must be a string"
        )
    streams = document.get("stream", False)
    if not isinstance(streams, bool):
        raise _refusal(
            RefusalReason.BAD_REQUEST,
            "the field 'stream' of the body must be a boolean",
        )
    return _ChatDocument(model=document["model"], streams=streams)


def _timeout_s(head: RequestHead, service: Service) -> float:
    requested_ms = _whole_number(head, "x-deadline-ms")
    if requested_ms is None:
        return service.timeout_s
    return min(requested_ms / 1000, service.timeout_s)


def _cost_hint_tokens(head: RequestHead) -> float | None:
    hint_tokens = _whole_number(head, "x-cost-hint-tokens")
    return None if hint_tokens is None else float(hint_tokens)


def _whole_number(head: RequestHead, name: str) -> int | None:
    value = head.header(name)
    if not value:
        return None
    digits = value.isascii() and value.isdecimal()
    if not digits or len(value) > _MAX_DIGITS:
        raise _refusal(
            RefusalReason.BAD_REQUEST,
            f"the header {name} must be a whole number of at most {_MAX_DIGITS} digits",
        )
    return int(value)


def _idempotency_key(head: RequestHead) -> str:
    key = head.header("idempotency-key")
    if len(key) > _MAX_KEY_CHARACTERS:
        raise _refusal(
            RefusalReason.BAD_REQUEST,
            f"the header Idempotency-Key exceeds {_MAX_KEY_CHARACTERS} characters",
        )
    return key


def _refusal(
    cause: RefusalReason, reason: str, *, retry_after_s: float | None = None
) -> RequestRefusedError:
    return RequestRefusedError(
        reason, step=_STEP, cause=cause, retry_after_s=retry_after_s
    )

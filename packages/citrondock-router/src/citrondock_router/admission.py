"""Decides whether a caller's request is taken in, and as what."""

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
_MAX_IDEMPOTENCY_KEY_CHARACTERS = 200
_MAX_DIGITS = 12
_MAX_SHOWN_CHARACTERS = 100
_NOT_READY_RETRY_S = 2.0
_PASSED_HEADERS = ("accept", "content-type", "accept-language", "user-agent")


@attrs.frozen(kw_only=True)
class RequestHead:
    """Line and headers of a caller's request.

    Parameters
    ----------
    method, path, query : str
        Request line; the path has no query.
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
    """Turns parsed requests into calls, under the configuration in force.

    Parameters
    ----------
    max_body_bytes : int
        Longest body that is taken.
    check_capacity : callable
        See `CapacityCheck`.
    """

    def __init__(self, *, max_body_bytes: int, check_capacity: CapacityCheck) -> None:
        self._max_body_bytes = max_body_bytes
        self.check_capacity = check_capacity
        self._configuration = Configuration()
        self._closed = False

    def set_configuration(self, configuration: Configuration) -> None:
        """Admit by another configuration from now on."""
        self._configuration = configuration

    def close(self) -> None:
        """Refuse everything from now on."""
        self._closed = True

    def check_head(self, headers: Mapping[str, str]) -> ClientAccount:
        """Return who sends a request, from its headers alone.

        Raises
        ------
        RequestRefusedError
            When the body is not worth reading.
        """
        account = self.account_of(headers.get("authorization", ""))
        longest_bytes = min(self._max_body_bytes, account.max_waiting_bytes)
        length = headers.get("content-length", "")
        if length.isdecimal() and int(length) > longest_bytes:
            raise _refused(
                RefusalReason.TOO_LARGE,
                f"the body has {length} bytes, of at most {longest_bytes}",
            )
        return account

    def account_of(self, authorization: str) -> ClientAccount:
        """Return the account whose key a request carries.

        Raises
        ------
        RequestRefusedError
            When there is no configuration or no such key.
        """
        if self._closed:
            raise _refused(RefusalReason.SHUTTING_DOWN, "this router is leaving")
        if self._configuration.revision == 0:
            raise _refused(
                RefusalReason.NOT_READY,
                "no configuration yet",
                retry_after_s=_NOT_READY_RETRY_S,
            )
        key = ""
        if authorization[: len(_BEARER)].lower() == _BEARER:
            key = authorization[len(_BEARER) :].strip()
        account = self._configuration.accounts.get(account_of_key(key))
        hashes = account.key_hashes if account is not None else ()
        matches = [key_matches(key, key_hash) for key_hash in hashes]
        if account is None or not any(matches):
            raise _refused(
                RefusalReason.UNKNOWN_KEY,
                "the Authorization header carries no key of a client account",
            )
        return account

    def admit(
        self, request: HTTPRequest, connection: CallerConnection, request_id: str
    ) -> Call:
        """Return the call that a request asks for.

        Raises
        ------
        RequestRefusedError
            With ``ran`` always ``Ran.NO``.
        """
        head = _head_of(request)
        account = self.check_head(head.headers)
        body = request.rfile.read()
        self._check_whole(head, body, account)
        self.check_capacity(account.name, 1, len(body))
        service, document = self._route(head, body)
        return self._call(
            request, connection, request_id, head, account, service, body, document
        )

    def _check_whole(
        self, head: RequestHead, body: bytes, account: ClientAccount
    ) -> None:
        length = head.header("content-length")
        if length.isdecimal() and len(body) != int(length):
            raise _refused(RefusalReason.BAD_REQUEST, "the body was cut short")
        if len(body) > min(self._max_body_bytes, account.max_waiting_bytes):
            raise _refused(RefusalReason.TOO_LARGE, "the body is too long")

    def _route(self, head: RequestHead, body: bytes) -> tuple[Service, "_ChatDocument"]:
        _check_path(head.path)
        if head.path == CHAT_PATH:
            document = _chat_document(head, body)
            return self._chat_service(document.model), document
        for service in self._configuration.services.values():
            if service.kind is ServiceKind.PLAIN and _under(head.path, service.path):
                return service, _ChatDocument()
        raise _refused(
            RefusalReason.UNKNOWN_SERVICE,
            f"no service has the path {_shown(head.path)}",
        )

    def _chat_service(self, model: str) -> Service:
        for service in self._configuration.services.values():
            if service.kind is ServiceKind.CHAT and model in (
                service.model,
                service.name,
            ):
                return service
        raise _refused(
            RefusalReason.UNKNOWN_SERVICE,
            f"no chat service has the model {_shown(model)}",
        )

    def _call(
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
            affinity_key=head.header("x-affinity")[:_MAX_IDEMPOTENCY_KEY_CHARACTERS],
        )
        passed = {
            name.title(): head.header(name)
            for name in _PASSED_HEADERS
            if head.header(name)
        }
        path = head.path if not head.query else f"{head.path}?{head.query}"
        return Call(
            request_id=request_id,
            account=account,
            service=service,
            method=head.method,
            path=path,
            headers=passed,
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
    """Return a fresh id for a request."""
    return f"req-{uuid.uuid4().hex}"


def _head_of(request: HTTPRequest) -> RequestHead:
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
    """Refuse a path that a target may take for one of another service."""
    segments = unquote(path).replace("\\", "/").split("/")
    if "." in segments or ".." in segments:
        raise _refused(
            RefusalReason.BAD_REQUEST, "a path has no segments of '.' or '..'"
        )


def _shown(text: str) -> str:
    return repr(text[:_MAX_SHOWN_CHARACTERS])


def _chat_document(head: RequestHead, body: bytes) -> _ChatDocument:
    if head.method != "POST":
        raise _refused(RefusalReason.BAD_REQUEST, "chat completions take POST")
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _refused(
            RefusalReason.BAD_REQUEST, f"the body is not JSON: {error}"
        ) from error
    if not isinstance(document, dict) or not isinstance(document.get("model"), str):
        raise _refused(
            RefusalReason.BAD_REQUEST, "the body needs a string under 'model'"
        )
    streams = document.get("stream", False)
    if not isinstance(streams, bool):
        raise _refused(RefusalReason.BAD_REQUEST, "'stream' is true or false")
    return _ChatDocument(model=document["model"], streams=streams)


def _timeout_s(head: RequestHead, service: Service) -> float:
    given_ms = _whole_number(head, "x-deadline-ms")
    if given_ms is None:
        return service.timeout_s
    return min(given_ms / 1000, service.timeout_s)


def _cost_hint_tokens(head: RequestHead) -> float | None:
    hint_tokens = _whole_number(head, "x-cost-hint-tokens")
    return None if hint_tokens is None else float(hint_tokens)


def _whole_number(head: RequestHead, name: str) -> int | None:
    given = head.header(name)
    if not given:
        return None
    digits = given.isascii() and given.isdecimal()
    if not digits or len(given) > _MAX_DIGITS:
        raise _refused(
            RefusalReason.BAD_REQUEST,
            f"{name} is a whole number of at most {_MAX_DIGITS} digits",
        )
    return int(given)


def _idempotency_key(head: RequestHead) -> str:
    key = head.header("idempotency-key")
    if len(key) > _MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise _refused(
            RefusalReason.BAD_REQUEST,
            f"Idempotency-Key has more than {_MAX_IDEMPOTENCY_KEY_CHARACTERS} "
            "characters",
        )
    return key


def _refused(
    cause: RefusalReason, reason: str, *, retry_after_s: float | None = None
) -> RequestRefusedError:
    return RequestRefusedError(
        reason, step=_STEP, cause=cause, retry_after_s=retry_after_s
    )

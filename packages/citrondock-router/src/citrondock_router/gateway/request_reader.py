"""Reads the requests of one HTTP/1.1 connection within the limits."""

from collections.abc import Callable, Sequence
from http import HTTPStatus

import attrs
import httptools

from citrondock_router.gateway.header_codec import Header, RequestHead
from citrondock_router.gateway.request_handler import ClientRequest, RequestHandler
from citrondock_router.log import log_event, raised_at


@attrs.frozen(kw_only=True)
class ReceivedRequest:
    """A whole request and what it says about the connection.

    Parameters
    ----------
    request : ClientRequest
        The request.
    keeps_alive : bool
        Whether the connection stays open after the response.
    is_http_1_1 : bool
        Whether the client understands responses in chunks.
    byte_count : int
        Bytes of its head and body.
    """

    request: ClientRequest
    keeps_alive: bool
    is_http_1_1: bool
    byte_count: int


@attrs.frozen
class Rejection:
    """Why received bytes are not a valid request within the limits.

    Parameters
    ----------
    status : int
        Status of the response.
    reason : str
        Reason for the log.
    retry_after_s : float or None
        Time after which the client may try again, if another try may succeed.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class RequestReader:
    """Parses received bytes and passes on each whole request.

    Parameters
    ----------
    handler : RequestHandler
        Knows the limits that apply now.
    clock : callable
        Monotonic time in seconds.
    on_request : callable
        Called with each whole request, also with one after rejected bytes.
    on_expect : callable
        Called when a client waits for consent before it sends a body.

    Attributes
    ----------
    rejection : Rejection or None
        Why bytes were rejected, if any were.
    is_reading_message, is_reading_head : bool
        Whether a request, and whether its head, has arrived in part.
    head_began_at_s : float
        When the latest head began to arrive.
    """

    def __init__(
        self,
        handler: RequestHandler,
        clock: Callable[[], float],
        *,
        on_request: Callable[[ReceivedRequest], None],
        on_expect: Callable[[], None],
    ) -> None:
        self.rejection: Rejection | None = None
        self.is_reading_message = False
        self.is_reading_head = False
        self.head_began_at_s = 0.0
        self._handler = handler
        self._clock = clock
        self._on_request = on_request
        self._on_expect = on_expect
        self._parser = httptools.HttpRequestParser(self)
        self._can_parse = True
        self._url = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        # Bytes since the last one of the body: chunk extensions and trailers.
        self._framing_bytes = 0
        self._keeps_alive = True
        self._is_http_1_1 = True

    def feed(self, data: bytes) -> None:
        """Parse received bytes; nothing can be told in those after malformed ones."""
        if not self._can_parse:
            return
        unfinished_head = self._headers if self.is_reading_head else None
        is_in_body = self.is_reading_body
        body_bytes_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__ or error
            log_event(
                "request_error",
                level="ERROR",
                error=repr(cause),
                place=raised_at(cause.__traceback__),
            )
            self.stop()
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE, "router_error")
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.stop()
            self._reject(HTTPStatus.BAD_REQUEST, "malformed_request")
        if self.is_reading_head and self._headers is unfinished_head:
            # Part of it may be in the parser, which passes on complete headers only.
            self._header_bytes += len(data)
        elif is_in_body and self._body_bytes == body_bytes_before:
            self._framing_bytes += len(data)
        else:
            self._framing_bytes = 0
        if self.is_reading_message and self._is_too_large():
            self.stop()

    @property
    def is_reading_body(self) -> bool:
        """Whether a request's head has arrived, and its body in part."""
        return self.is_reading_message and not self.is_reading_head

    @property
    def held_bytes(self) -> int:
        """Bytes of the request that has arrived in part."""
        if not self.is_reading_message:
            return 0
        return self._header_bytes + self._framing_bytes + len(self._body)

    @property
    def headers(self) -> Sequence[Header]:
        """Headers of the latest request, as far as they have arrived."""
        return self._headers

    def stop(self) -> None:
        """Ignore all further bytes, and drop those of an unfinished request."""
        self._can_parse = False
        self._headers = []
        self._body = bytearray()
        self._header_bytes = self._framing_bytes = 0

    # Callbacks of `httptools.HttpRequestParser`.

    def on_message_begin(self) -> None:
        """Start reading a request."""
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_bytes = self._framing_bytes = 0
        self.is_reading_head = self.is_reading_message = True
        self.head_began_at_s = self._clock()

    def on_url(self, url: bytes) -> None:
        """Add part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are dropped, as no target is sent any."""
        if self.is_reading_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Finish the head."""
        self.is_reading_head = False
        self._header_bytes = len(self._url) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        self._keeps_alive = self._parser.should_keep_alive()
        self._is_http_1_1 = self._parser.get_http_version() == "1.1"
        if any(name.lower() == b"expect" for name, _ in self._headers):
            self._on_expect()

    def on_body(self, data: bytes) -> None:
        """Add part of the body, unless it is over the limit."""
        self._body_bytes += len(data)
        if self._body_bytes <= self._handler.limits.max_body_bytes:
            self._body += data

    def on_message_complete(self) -> None:
        """Pass the whole request on, unless it is over a limit."""
        self.is_reading_message = False
        if self._is_too_large():
            return
        head = RequestHead(
            method=self._parser.get_method(), target=self._url, headers=self._headers
        )
        request = ClientRequest(head=head, body=bytes(self._body))
        byte_count = self._header_bytes + len(self._body)
        self._body = bytearray()
        self._on_request(
            ReceivedRequest(
                request=request,
                keeps_alive=self._keeps_alive,
                is_http_1_1=self._is_http_1_1,
                byte_count=byte_count,
            )
        )

    def _is_too_large(self) -> bool:
        """Return whether the latest request is over a limit, and reject it then."""
        limits = self._handler.limits
        if self._header_bytes > limits.max_header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
        elif self._framing_bytes > limits.max_header_bytes:
            # Trailers and chunk extensions may have as many bytes as a head.
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "framing_too_long")
        elif self._body_bytes > limits.max_body_bytes:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large")
        else:
            return False
        return True

    def _reject(self, status: int, reason: str) -> None:
        self.rejection = self.rejection or Rejection(status, reason)

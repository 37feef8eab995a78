"""Tells from the bytes so far how far a caller's request has come."""

from collections import Counter

import httptools

_SINGLE_HEADERS = (
    "authorization",
    "content-type",
    "host",
    "idempotency-key",
    "x-affinity",
    "x-cost-hint-tokens",
    "x-deadline-ms",
)
_HTTP_1_1 = "1.1"


class RequestScanner:
    """Follows one request, and names what makes it ambiguous.

    cheroot parses the request later. What the two parsers could read differently is a
    fault here, so that no bytes of one request are taken for another.

    Attributes
    ----------
    head : dict of str
        Headers by lower-case name.
    head_complete, complete : bool
        Whether the head, and the whole request, is there.
    fault : str
        Why the request is refused; empty when it isn't.
    """

    def __init__(self) -> None:
        self.head: dict[str, str] = {}
        self.head_complete = False
        self.complete = False
        self.fault = ""
        self._counts: Counter[str] = Counter()
        self._parser = httptools.HttpRequestParser(self)

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for a sign before it sends the body."""
        return self.head.get("expect", "").lower() == "100-continue"

    @property
    def declared_body_bytes(self) -> int:
        """Length of the body as the head tells it; 0 where it doesn't."""
        length = self.head.get("content-length", "0")
        return int(length) if length.isdecimal() else 0

    def feed(self, data: bytes) -> None:
        """Take bytes that followed those before."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.complete = True
        except httptools.HttpParserError as error:
            if not self.complete:
                self.fault = self.fault or f"malformed request: {error}"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header from the parser."""
        if self.complete:
            return
        if self.head_complete:
            self.fault = "trailers are not accepted"
            return
        key = name.decode("latin-1").lower()
        self.head[key] = value.decode("latin-1")
        self._counts[key] += 1

    def on_headers_complete(self) -> None:
        """Check the framing that the head declares."""
        if self.complete or self.head_complete:
            return
        self.head_complete = True
        self.fault = self.fault or self._ambiguity()

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self.complete = True

    def _ambiguity(self) -> str:
        repeated = [name for name in _SINGLE_HEADERS if self._counts[name] > 1]
        if repeated:
            return f"the header {repeated[0]!r} stands there twice"
        coding = self.head.get("transfer-encoding")
        if coding is not None and coding.lower() != "chunked":
            return f"the transfer coding {coding[:40]!r} is not accepted"
        if coding is not None and self._parser.get_http_version() != _HTTP_1_1:
            return "a transfer coding needs HTTP/1.1"
        if self._parser.should_upgrade() and (coding or self.declared_body_bytes):
            return "a request to upgrade the protocol has no body"
        return ""

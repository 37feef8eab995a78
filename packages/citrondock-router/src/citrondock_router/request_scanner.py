"""Finds the end of a caller's request in the bytes received so far."""

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
    """Scans one request as its bytes arrive, and rejects ambiguous framing.

    cheroot parses the request again later. A request that the two parsers could read
    differently is refused, to prevent request smuggling.

    Attributes
    ----------
    head : dict of str
        Headers by lower-case name.
    head_complete, complete : bool
        Whether the head, and the whole request, has been received.
    fault : str
        Reason to refuse the request; empty if there is none.
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
        """Whether the caller waits for ``100 Continue`` before it sends the body."""
        return self.head.get("expect", "").lower() == "100-continue"

    @property
    def declared_body_bytes(self) -> int:
        """Body length as the head declares it; 0 if it doesn't."""
        length = self.head.get("content-length", "0")
        return int(length) if length.isdecimal() else 0

    def feed(self, data: bytes) -> None:
        """Scan the next bytes of the request."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.complete = True
        except httptools.HttpParserError as error:
            if not self.complete:
                self.fault = self.fault or f"malformed request: {error}"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header; called by the parser."""
        if self.complete:
            return
        if self.head_complete:
            self.fault = "trailers are not supported"
            return
        key = name.decode("latin-1").lower()
        self.head[key] = value.decode("latin-1")
        self._counts[key] += 1

    def on_headers_complete(self) -> None:
        """Check the framing that the head declares; called by the parser."""
        if self.complete or self.head_complete:
            return
        self.head_complete = True
        self.fault = self.fault or self._framing_fault()

    def on_message_complete(self) -> None:
        """Handle the end of the request; called by the parser."""
        self.complete = True

    def _framing_fault(self) -> str:
        repeated = [name for name in _SINGLE_HEADERS if self._counts[name] > 1]
        if repeated:
            return f"the header {repeated[0]!r} occurs more than once"
        coding = self.head.get("transfer-encoding")
        if coding is not None and coding.lower() != "chunked":
            return f"the transfer coding {coding[:40]!r} is not supported"
        if coding is not None and self._parser.get_http_version() != _HTTP_1_1:
            return "a transfer coding requires HTTP/1.1"
        if self._parser.should_upgrade() and (coding or self.declared_body_bytes):
            return "a protocol upgrade request must not have a body"
        return ""

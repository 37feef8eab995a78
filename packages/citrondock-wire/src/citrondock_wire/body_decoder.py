"""Incremental decoder of HTTP response bodies, chunked or of a given length."""

import httptools


class BodyFramingError(Exception):
    """The transfer encoding of a body is malformed."""


class BodyDecoder:
    """Removes the transfer encoding of a body that arrives in pieces.

    Parameters
    ----------
    chunked : bool
        Whether the body has the chunked transfer encoding.
    content_length_bytes : int or None
        Value of the Content-Length header; None if the response has none.

    Attributes
    ----------
    complete : bool
        Whether the end of the body was received: the last chunk or the last byte of
        the length.
    has_surplus : bool
        Whether bytes followed the end of the body. They belong to no response, so the
        connection must not be reused.
    delimited : bool
        Whether the headers determine the end of the body; otherwise the end of the
        connection is its end.

    Notes
    -----
    urllib3 has already read the real response headers. The parser is fed a minimal
    response head that only states how the body is framed.
    """

    def __init__(self, *, chunked: bool, content_length_bytes: int | None) -> None:
        self.complete = False
        self.has_surplus = False
        self.delimited = chunked or content_length_bytes is not None
        self._pieces: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        head = b"HTTP/1.1 200 OK\r\n"
        if chunked:
            head += b"Transfer-Encoding: chunked\r\n"
        elif content_length_bytes is not None:
            head += b"Content-Length: %d\r\n" % content_length_bytes
        self._parser.feed_data(head + b"\r\n")
        if not chunked and content_length_bytes == 0:
            self.complete = True

    def feed(self, data: bytes) -> bytes:
        """Return the decoded body bytes in ``data``.

        Raises
        ------
        BodyFramingError
            If the encoding is malformed before the end of the body.
        """
        if self.complete:
            self.has_surplus |= bool(data)
            return b""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            if not self.complete:
                raise BodyFramingError(str(error)) from error
            self.has_surplus = True
        body = b"".join(self._pieces)
        self._pieces.clear()
        return body

    def on_message_begin(self) -> None:
        """Note that another response follows the complete one (parser callback)."""
        self.has_surplus |= self.complete

    def on_body(self, body: bytes) -> None:
        """Collect decoded body bytes (parser callback)."""
        if not self.complete:
            self._pieces.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the body (parser callback)."""
        self.complete = True

"""Removes the transfer framing of a response body without waiting for its socket."""

import httptools


class BodyFramingError(Exception):
    """The body's framing is broken."""


class BodyDecoder:
    """Decodes a body that arrives in pieces.

    Parameters
    ----------
    chunked : bool
        Whether the body is in chunks.
    content_length_bytes : int or None
        Length where the head told one.

    Attributes
    ----------
    complete : bool
        Whether the target marked the end of the body.
    has_surplus : bool
        Whether bytes came behind the end; they belong to no answer, and the connection
        must not be used again.

    Notes
    -----
    The head was read by urllib3 already; the parser gets a short head of its own that
    says how the body is framed.
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
        """Return the body bytes in ``data``.

        Raises
        ------
        BodyFramingError
            When the framing is broken before the end.
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
        """Note an answer behind the end of this one."""
        self.has_surplus |= self.complete

    def on_body(self, body: bytes) -> None:
        """Take body bytes from the parser."""
        if not self.complete:
            self._pieces.append(body)

    def on_message_complete(self) -> None:
        """Note the end that the target marked."""
        self.complete = True

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

    Notes
    -----
    The head was read by urllib3 already; the parser gets a short head of its own that
    says how the body is framed.
    """

    def __init__(self, *, chunked: bool, content_length_bytes: int | None) -> None:
        self.complete = False
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
            When the framing is broken or bytes follow the end.
        """
        if self.complete:
            raise BodyFramingError("bytes after the end of the body")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise BodyFramingError(str(error)) from error
        body = b"".join(self._pieces)
        self._pieces.clear()
        return body

    def on_body(self, body: bytes) -> None:
        """Take body bytes from the parser."""
        self._pieces.append(body)

    def on_message_complete(self) -> None:
        """Note the end that the target marked."""
        self.complete = True

"""Passes a target's response on to the client."""

from citrondock_router.gateway.client_connection import ClientConnection
from citrondock_router.gateway.header_codec import HeaderCodec, ResponseHead

MAX_BUFFERED_BYTES = 262_144
"""Plain responses up to this size are sent only once they are complete."""


class ClientResponse:
    """Writes one response to a client, either buffered or streamed.

    A plain response is buffered, so that the request can still be retried at another
    target until the response is complete. One that outgrows `MAX_BUFFERED_BYTES` is
    streamed from then on. Event streams are never buffered.

    Parameters
    ----------
    client : ClientConnection
        Connection that the response is written to.
    header_codec : HeaderCodec
        Makes the headers for the client.
    is_head : bool
        Whether the request's method is HEAD, so that the response has no body.
    """

    def __init__(
        self, client: ClientConnection, header_codec: HeaderCodec, *, is_head: bool
    ) -> None:
        self._client = client
        self._header_codec = header_codec
        self._is_head = is_head
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._begun_head: ResponseHead | None = None
        self.is_buffer_exceeded = False

    @property
    def has_begun(self) -> bool:
        """Whether the client has the head of the response."""
        return self._begun_head is not None

    def can_continue_with(self, head: ResponseHead) -> bool:
        """Return whether another target's response may continue what was written."""
        begun = self._begun_head
        if begun is None:
            return True
        return (head.status, head.content_type) == (begun.status, begun.content_type)

    def discard_buffer(self) -> None:
        """Drop what a failed attempt left, before another target's response."""
        self._buffer = []
        self._buffered_bytes = 0

    def fits(self, data: bytes) -> bool:
        """Return whether more of a plain response can be buffered."""
        return self._buffered_bytes + len(data) <= MAX_BUFFERED_BYTES

    def write_plain(self, head: ResponseHead, data: bytes) -> None:
        """Buffer part of a plain response, or stream it once it is too large."""
        if self.is_buffer_exceeded:
            self.write_stream(head, data)
            return
        fits = self.fits(data)
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if not fits:
            self.is_buffer_exceeded = True
            buffered = b"".join(self._buffer)
            self.discard_buffer()
            self.write_stream(head, buffered)

    def write_stream(self, head: ResponseHead, data: bytes) -> None:
        """Write part of a response whose length is not known, its head first."""
        if self.has_begun:
            self._client.write_data(data)
            return
        self._begun_head = head
        headers = self._header_codec.client_headers(head)
        self._client.begin_stream(head.status, head.reason, headers, data)

    def end_stream(self, head: ResponseHead) -> None:
        """End an event stream."""
        if not self.has_begun:
            self.write_stream(head, b"")
        self._client.end_stream()

    def end_plain(self, head: ResponseHead) -> None:
        """Write a buffered response, or end one that outgrew the buffer."""
        if self.is_buffer_exceeded:
            self._client.end_stream()
            return
        headers = self._header_codec.client_headers(head)
        body = b"" if self._is_head else b"".join(self._buffer)
        self._client.send_response(
            head.status,
            head.reason,
            headers,
            body,
            content_length=_content_length(head) if self._is_head else None,
        )


def _content_length(head: ResponseHead) -> int | None:
    """Return the length that a response's headers state, or None."""
    for name, value in head.headers:
        if name.lower() == b"content-length" and value.strip().isdigit():
            return int(value)
    return None

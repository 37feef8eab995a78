"""The answer that a client gets from a target."""

from citrondock_router.gateway.client_connection import ClientConnection
from citrondock_router.gateway.header_codec import HeaderCodec, ResponseHead

MAX_COLLECTED_BYTES = 262_144
"""Plain answers up to this size are passed on only when they are whole."""


class ClientResponse:
    """Collects a plain answer, or passes a stream on, under one head.

    Parameters
    ----------
    client : ClientConnection
        Where the answer goes.
    header_codec : HeaderCodec
        Gives the client's headers.
    is_head : bool
        Whether the client wants no body.
    """

    def __init__(
        self, client: ClientConnection, header_codec: HeaderCodec, *, is_head: bool
    ) -> None:
        self._client = client
        self._header_codec = header_codec
        self._is_head = is_head
        self._collected: list[bytes] = []
        self._collected_bytes = 0
        self.has_begun = False
        self.passes_through = False

    def forget_collected(self) -> None:
        """Drop what an attempt left that goes on elsewhere."""
        self._collected = []
        self._collected_bytes = 0

    def collect(self, head: ResponseHead, data: bytes) -> None:
        """Take part of a plain answer; a long one is passed on from here."""
        if self.passes_through:
            self.pass_on(head, data)
            return
        self._collected.append(data)
        self._collected_bytes += len(data)
        if self._collected_bytes > MAX_COLLECTED_BYTES:
            self.passes_through = True
            collected = b"".join(self._collected)
            self.forget_collected()
            self.pass_on(head, collected)

    def pass_on(self, head: ResponseHead, data: bytes) -> None:
        """Write part of an answer whose length is not known."""
        if self.has_begun:
            self._client.write_data(data)
            return
        self.has_begun = True
        headers = self._header_codec.client_headers(head)
        self._client.begin_stream(head.status, head.reason, headers, data)

    def end(self, head: ResponseHead) -> None:
        """End a stream whose events were passed on."""
        if not self.has_begun:
            self.pass_on(head, b"")
        self._client.end_stream()

    def deliver(self, head: ResponseHead) -> None:
        """Write a whole plain answer, or the end of a long one."""
        if self.passes_through:
            self._client.end_stream()
            return
        headers = self._header_codec.client_headers(head)
        body = b"" if self._is_head else b"".join(self._collected)
        self._client.send_response(
            head.status,
            head.reason,
            headers,
            body,
            announced_bytes=_announced_bytes(head) if self._is_head else None,
        )


def _announced_bytes(head: ResponseHead) -> int | None:
    """Return the length that an answer announces, if it announces one."""
    for name, value in head.headers:
        if name.lower() == b"content-length" and value.strip().isdigit():
            return int(value)
    return None

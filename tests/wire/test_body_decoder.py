import pytest

from citrondock_wire.body_decoder import BodyDecoder, BodyFramingError

LATE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"


class TestEndOfBody:
    @pytest.mark.parametrize(
        "late", [LATE_RESPONSE, b"noise", b"HTTP/1.1 204 No\r\n\r\n"]
    )
    @pytest.mark.parametrize("in_one_piece", [True, False])
    @pytest.mark.parametrize(
        ("body", "chunked"), [(b"own", False), (b"3\r\nown\r\n0\r\n\r\n", True)]
    )
    def test_bytes_after_the_end_are_reported_and_not_returned(
        self, body, chunked, late, in_one_piece
    ):
        length_bytes = None if chunked else len(body)
        decoder = BodyDecoder(chunked=chunked, content_length_bytes=length_bytes)

        pieces = [body + late] if in_one_piece else [body, late]
        decoded = b"".join(decoder.feed(piece) for piece in pieces)

        assert decoded == b"own"
        assert decoder.complete
        assert decoder.has_surplus

    def test_broken_framing_before_the_end_is_an_error(self):
        decoder = BodyDecoder(chunked=True, content_length_bytes=None)

        with pytest.raises(BodyFramingError):
            decoder.feed(b"3\r\nown\r\nxyz\r\n")

"""Responses that a target begins before it has read the request, and breaks off."""

import asyncio

import attrs
import pytest
from harness import (
    Harness,
    ScriptedTarget,
    configuration,
    request,
    reset_connection,
    run,
)

UPLOAD = b"x" * 4_000_000
"""More than the buffers of the sockets hold."""

PART = b"part of the answer"


def configuration_for_uploads():
    configured = configuration(max_attempts=1)
    limits = attrs.evolve(configured.limits, max_body_bytes=2 * len(UPLOAD))
    return attrs.evolve(configured, limits=limits)


class EarlyTarget(ScriptedTarget):
    """A target that responds, without a length, before it has read the request's body.

    It then ends the connection, or its own side of it before that.
    """

    def __init__(self, *, closes_own_side):
        super().__init__("t1", None)
        self.closes_own_side = closes_own_side

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        request_id = next(line for line in lines if line.startswith("Request-Id"))
        lines = ["HTTP/1.1 200 OK", request_id, "Response-Signature: sig"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + PART)
        await writer.drain()
        if self.closes_own_side:
            writer.write_eof()
        await asyncio.sleep(0.02)
        reset_connection(writer)


class TestUploadsAnsweredEarly:
    @pytest.mark.parametrize("closes_own_side", [True, False])
    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    def test_a_part_of_an_answer_without_length_is_not_complete(
        self, path, closes_own_side
    ):
        async def check():
            target = EarlyTarget(closes_own_side=closes_own_side)
            configured = configuration_for_uploads()
            async with Harness([target], configured=configured) as harness:
                for number in range(5):
                    sent = request(path, f"r{number}", method="POST", body=UPLOAD)
                    reply = await harness.send_and_receive(sent)
                    assert reply.status == 502

        run(check())

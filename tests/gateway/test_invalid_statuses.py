"""Responses with a status that does not exist."""

import pytest
from harness import Harness, ScriptedTarget, run


class TestStatuses:
    @pytest.mark.parametrize("status", ["000", "099", "600", "999"])
    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/resumable/x"])
    def test_a_status_that_does_not_exist_is_no_answer(self, path, status):
        async def answer(got, writer):
            writer.write(
                f"HTTP/1.1 {status} X\r\nRequest-Id: {got.request_id}\r\n"
                "Response-Signature: sig\r\nContent-Length: 4\r\n\r\nbody".encode()
            )

        async def check():
            async with Harness([ScriptedTarget("t1", answer)]) as harness:
                reply = await harness.get(path)
                assert reply.status == 502
                assert reply.body == b""

        run(check())

"""Targets that ask for a pause get no requests until it is over (BUDGET)."""

import asyncio

import pytest
from harness import (
    Harness,
    ScriptedTarget,
    complete_response,
    run,
    send_complete_response,
    send_many,
)

PAUSE_S = 1.2


class PausingTarget(ScriptedTarget):
    """A target that answers each request with 503 and ``Retry-After``."""

    def __init__(self, target_id, retry_after):
        super().__init__(target_id, self.answer)
        self.retry_after = retry_after
        self.received_at_s = []

    async def answer(self, got, writer):
        self.received_at_s.append(asyncio.get_running_loop().time())
        extra = f"Not-Executed: 1\r\nRetry-After: {self.retry_after}\r\n"
        status = "503 Service Unavailable"
        writer.write(complete_response(got, status=status, extra=extra))


class TestTargetThatAsksForAPause:
    def test_it_gets_no_requests_until_the_pause_is_over(self):
        async def check():
            pausing = PausingTarget("t1", PAUSE_S)
            sound = ScriptedTarget("t2", send_complete_response)
            async with Harness([pausing, sound]) as harness:
                loop = asyncio.get_running_loop()
                end_s = loop.time() + PAUSE_S + 1
                while loop.time() < end_s:
                    reply = await harness.get("/safe/x", f"r{loop.time()}")
                    assert reply.status == 200
                    await asyncio.sleep(0.02)
                first_s, *later_s = pausing.received_at_s
                assert later_s
                assert min(later_s) >= first_s + PAUSE_S

        run(check())

    def test_requests_are_refused_at_once_if_all_targets_ask_for_one(self):
        async def check():
            targets = [PausingTarget("t1", 3), PausingTarget("t2", PAUSE_S)]
            async with Harness(targets) as harness:
                await send_many(harness, 3)
                loop = asyncio.get_running_loop()
                started_at_s = loop.time()
                reply = await harness.get("/safe/x", "last")
                assert loop.time() - started_at_s < 0.1
                assert reply.status == 503
                assert 0 < float(reply.headers["retry-after"]) <= PAUSE_S
                assert [len(target.received) for target in targets] == [1, 1]

        run(check())

    @pytest.mark.parametrize(
        "value", ["soon", "-4", "nan", "9" * 5000, "Fri, 31 Dec 2027 23:59:59 GMT"]
    )
    def test_a_value_that_cannot_be_read_asks_for_a_short_pause(self, value):
        async def check():
            async with Harness([PausingTarget("t1", value)]) as harness:
                await harness.get("/safe/x", "r1")
                reply = await harness.get("/safe/x", "r2")
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) <= 60

        run(check())

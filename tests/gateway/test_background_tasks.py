"""An unexpected error in a background task does not end the router."""

import asyncio

from citrondock_router.gateway import gateway_process
from citrondock_router.gateway.gateway_process import keep_running


class TestBackgroundTasks:
    def test_one_that_fails_is_started_again(self):
        async def check():
            runs = []

            async def fail():
                runs.append(len(runs))
                raise RecursionError("unexpected")

            running = asyncio.ensure_future(keep_running(fail))
            await asyncio.sleep(0.4)
            assert len(runs) >= 2
            assert not running.done()
            running.cancel()

        asyncio.run(check())

    def test_one_that_fails_again_and_again_is_still_started(self, monkeypatch):
        async def check():
            runs = []
            yield_once = asyncio.sleep

            async def fail():
                runs.append(len(runs))
                raise ValueError("again")

            monkeypatch.setattr(
                gateway_process.asyncio, "sleep", lambda _: yield_once(0)
            )
            monkeypatch.setattr(gateway_process, "log_event", lambda *_, **__: None)
            running = asyncio.ensure_future(keep_running(fail))
            for _ in range(3_000):
                await yield_once(0)
            assert len(runs) > 1_100
            assert not running.done()
            running.cancel()

        asyncio.run(check())

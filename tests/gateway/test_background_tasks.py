"""An unexpected error in a background task does not end the router."""

import asyncio

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

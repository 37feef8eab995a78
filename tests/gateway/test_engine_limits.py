"""Targets that name a limit get no more requests from all routers together (LIMIT)."""

import asyncio

from harness import (
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    event,
    run,
    stream_head,
)

from citrondock_core.routing.store_position import StorePosition

LIMIT_PER_S = 2.0
WINDOW_S = 4.0
LOAD_S = 6.0
STABLE_S = 1.0
"""Time from the first requests until the limit is judged."""

MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""The users' rule."""


class LimitedTarget(ScriptedTarget):
    """A target that names its limit in each response, and notes when requests came."""

    def __init__(self, target_id, service, limit_per_s=LIMIT_PER_S):
        super().__init__(target_id, self.answer, service)
        self.limit_per_s = limit_per_s
        self.received_at_s = []

    async def answer(self, got, writer):
        self.received_at_s.append(asyncio.get_running_loop().time())
        extra = f"Server-Limit: {self.limit_per_s}\r\n" if self.limit_per_s else ""
        if self.service == "llm":
            body = chunk(event(0)) + chunk(event(1)) + b"0\r\n\r\n"
            writer.write(stream_head(got, extra) + body)
        else:
            writer.write(complete_response(got, extra=extra))

    def most_in_window(self, from_s):
        times = [at_s for at_s in self.received_at_s if at_s >= from_s]
        return max(
            (
                sum(start_s <= at_s < start_s + WINDOW_S for at_s in times)
                for start_s in times
            ),
            default=0,
        )


class TwoGateways:
    """Two gateways that know each other, in front of the same targets."""

    def __init__(self, targets):
        self.targets = targets
        self.gateways = [Harness(targets), Harness([], vm_name="v2")]

    async def __aenter__(self):
        for gateway in self.gateways:
            await gateway.__aenter__()
        first, second = self.gateways
        entries = [target.entry for target in self.targets]
        second.gateway.targets_changed(
            second.process.directory.replace(
                entries, position=StorePosition(0, 1), now_s=0
            )
        )
        second.process.broker.announce([first.process.broker.link.socket.address])
        await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *error):
        for gateway in reversed(self.gateways):
            await gateway.__aexit__(*error)

    async def load(self, path, per_s, **headers):
        """Send requests through both gateways for `LOAD_S`; return the replies."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + LOAD_S
        replies = []
        number = 0
        while loop.time() < end_s:
            number += 1
            gateway = self.gateways[number % 2]
            sent = gateway.get(path, f"r{number}", **headers)
            replies.append(asyncio.ensure_future(sent))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*replies)


class TestLimits:
    def check_load(self, targets, path, per_s, **headers):
        async def check():
            async with TwoGateways(targets) as gateways:
                judged_from_s = asyncio.get_running_loop().time() + STABLE_S
                replies = await gateways.load(path, per_s, **headers)
                return judged_from_s, replies

        results = []

        async def collect():
            results.append(await check())

        run(collect())
        return results[0]

    def test_engines_get_no_more_than_their_limit_from_all_routers(self):
        targets = [LimitedTarget(f"e{number}", "llm") for number in range(2)]
        free = LimitedTarget("e9", "llm", limit_per_s=None)
        prompt = {"Model": "m", "Token_Usage": "400,10", "Prefix_Hash": "a1:100,b:300"}
        from_s, replies = self.check_load([*targets, free], "/model/x", 25, **prompt)
        for target in targets:
            assert 0 < target.most_in_window(from_s) <= MAX_IN_WINDOW
        served = [reply.status for reply in replies].count(200)
        assert served > 0.9 * len(replies)

    def test_plain_targets_get_no_more_than_their_limit_from_all_routers(self):
        targets = [LimitedTarget(f"e{number}", "app") for number in range(2)]
        from_s, replies = self.check_load(targets, "/safe/x", 25)
        for target in targets:
            # The limit is used, and kept.
            lowest = 0.7 * LIMIT_PER_S * WINDOW_S
            assert lowest < target.most_in_window(from_s) <= MAX_IN_WINDOW
        refused = [reply for reply in replies if reply.status == 503]
        assert refused
        assert all("retry-after" in reply.headers for reply in refused)

"""A request that crashes its targets costs two of them."""

import attrs
from harness import Harness, ScriptedTarget, run


class TestRequestThatCrashesItsTargets:
    def test_it_is_not_sent_to_a_third(self):
        async def check():
            async def crash(_got, writer):
                writer.transport.abort()

            targets = [ScriptedTarget(f"t{number}", crash) for number in range(4)]
            harness = Harness(targets)
            harness.configured = attrs.evolve(
                harness.configured,
                routes=tuple(
                    attrs.evolve(route, max_attempts=4)
                    for route in harness.configured.routes
                ),
            )
            async with harness:
                reply = await harness.get("/resumable/x", "r1")
                assert reply.status == 502
                assert sum(len(target.received) for target in targets) == 2

        run(check())

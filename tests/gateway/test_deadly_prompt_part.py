"""A prompt part that crashes each engine is shut out by all routers (BUDGET, LOST)."""

import asyncio

from harness import (
    HOST,
    Harness,
    ScriptedTarget,
    chunk,
    event,
    run,
    stream_head,
)

from citrondock_core.routing.store_position import StorePosition

MAX_CRASHES = 5
MAX_FURTHER_REQUESTS = 3
"""The users' rule: so many more requests with the part may reach engines."""

ENGINES = 5
RESTART_S = 0.3


class CrashingEngine(ScriptedTarget):
    """An engine that crashes when it begins to answer a prompt with a deadly part."""

    def __init__(self, target_id):
        super().__init__(target_id, self.answer, "llm")
        self.writers = set()
        self.deadly_count = 0
        self.on_restart = lambda: None

    async def answer(self, got, writer):
        self.writers.add(writer)
        await asyncio.sleep(0.02)
        if "dead" in got.headers["prefix-hash"]:
            self.deadly_count += 1
            self.crash()
            raise ConnectionError
        writer.write(stream_head(got))
        for number in range(3):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")

    def crash(self):
        self.stop()
        for writer in self.writers:
            writer.close()
        self.writers = set()
        asyncio.get_running_loop().call_later(
            RESTART_S, lambda: asyncio.ensure_future(self.restart())
        )

    async def restart(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.target_id += "+"
        self.on_restart()


class Fleet:
    """Two gateways in front of the same engines."""

    async def __aenter__(self):
        self.engines = [CrashingEngine(f"e{number}") for number in range(ENGINES)]
        self.first, self.second = Harness(self.engines), Harness([], vm_name="v2")
        await self.first.__aenter__()
        await self.second.__aenter__()
        self.register()
        for engine in self.engines:
            engine.on_restart = self.register
        first, second = self.first.process.broker, self.second.process.broker
        second.announce([first.link.socket.address])
        await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *error):
        await self.second.__aexit__(*error)
        await self.first.__aexit__(*error)

    def register(self):
        entries = [engine.entry for engine in self.engines]
        for gateway in (self.first, self.second):
            gateway.gateway.targets_changed(
                gateway.process.directory.replace(
                    entries, position=StorePosition(0, 1), now_s=0
                )
            )

    async def send(self, number, parts):
        """Send a prompt to one of the gateways in turn."""
        gateway = (self.first, self.second)[number % 2]
        headers = {"Model": "m", "Token_Usage": "400,10", "Prefix_Hash": parts}
        return await gateway.get("/model/x", f"r{number}", **headers)

    @property
    def deadly_count(self):
        return sum(engine.deadly_count for engine in self.engines)


class TestDeadlyPromptPart:
    def test_it_is_shut_out_after_a_few_crashes_and_sound_prompts_are_served(self):
        async def check():
            async with Fleet() as fleet:
                served = 0
                for number in range(40):
                    # The last part is each request's own.
                    deadly, sound = await asyncio.gather(
                        fleet.send(number, f"a1:100,dead:200,{number}:100"),
                        fleet.send(number + 1, f"a1:100,b{number % 3}:200,5{number}:9"),
                    )
                    assert deadly.status in (502, 503)
                    served += number >= 20 and sound.status == 200
                    await asyncio.sleep(0.05)
                assert fleet.deadly_count <= MAX_CRASHES + MAX_FURTHER_REQUESTS
                assert served == 20

        run(check())

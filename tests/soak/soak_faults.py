"""Faults of a soak, drawn by its seed; they come in series and overlap."""

import asyncio
import signal

from soak_world import GRACE_S, World, configuration

from citrondock_standins.fault import Direction, Fault, FaultKind

DRAIN_S = 4.0
"""Time after which a leaving target gets nothing: two seconds that are promised, and as
much again for a busy machine."""

PROXY_FAULTS = (
    Fault(kind=FaultKind.CUT),
    Fault(kind=FaultKind.BLACKHOLE),
    Fault(kind=FaultKind.LOSS, direction=Direction.TO_CLIENT),
    Fault(kind=FaultKind.LOSS, direction=Direction.TO_TARGET),
    Fault(kind=FaultKind.DELAY, delay_ms=80),
    Fault(kind=FaultKind.CUT_AFTER, direction=Direction.TO_CLIENT, byte_count=300),
)


async def spoil_target(world: World) -> None:
    """Have a target reject, fail or spoil some of its answers."""
    target = world.rng.choice(list(world.targets.values()))
    target.fault_share = world.rng.uniform(0.1, 0.5)
    await asyncio.sleep(world.rng.uniform(0.5, 2.0))
    target.fault_share = 0.0


async def cut_target(world: World) -> None:
    """Harm the connections of a target."""
    proxy = world.rng.choice(list(world.proxies.values()))
    await world.fault_proxy(proxy, world.rng.choice(PROXY_FAULTS))
    await asyncio.sleep(world.rng.uniform(0.3, 2.0))
    await world.fault_proxy(proxy)


async def cut_store(world: World) -> None:
    """Harm one router's connections to the store."""
    router = world.rng.choice(world.routers)
    await world.fault_proxy(router.store, world.rng.choice(PROXY_FAULTS))
    await asyncio.sleep(world.rng.uniform(0.5, 3.0))
    await world.fault_proxy(router.store)


async def lose_store(world: World) -> None:
    """Take the store down for all."""
    world.store.fault = world.rng.choice(("busy", "reset", "silent"))
    await asyncio.sleep(world.rng.uniform(0.5, 2.5))
    world.store.fault = ""


async def forget_history(world: World) -> None:
    """Have the store forget its history."""
    world.store.forget_history()


async def change_configuration(world: World) -> None:
    """Accept some configurations in quick succession."""
    for _ in range(world.rng.randrange(1, 4)):
        world.version += world.rng.randrange(1, 3)
        await world.store.put("config", "main", configuration(world.version))
        await asyncio.sleep(world.rng.uniform(0.0, 0.3))


async def replace_target(world: World) -> None:
    """Have a target leave, reported or not, and another come."""
    name = world.rng.choice(list(world.targets))
    target = world.targets.pop(name)
    await world.add_target()
    if world.rng.random() < 0.6:
        await world.register(name, "draining")
        await asyncio.sleep(1.0)
    await world.store.put("servers", name, None, deleted=True)
    is_calm = all(router.stopped_until_s == 0.0 for router in world.routers)
    await asyncio.sleep(DRAIN_S)
    if is_calm and not world.store_was_harmed:
        target.gone_at_s = asyncio.get_running_loop().time()
    await asyncio.sleep(1.0)
    target.stop()


async def restart_router(world: World) -> None:
    """Stop a router gracefully, or kill it, and start it again."""
    router = world.rng.choice(world.routers)
    if router.stopped_until_s:
        return
    router.stopped_until_s = float("inf")
    number = world.rng.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGKILL))
    router.send(number)
    await router.wait(GRACE_S + 1.5)
    await asyncio.sleep(world.rng.uniform(0.0, 0.5))
    await router.start()
    router.stopped_until_s = 0.0


async def pause_router(world: World) -> None:
    """Freeze a router for a while."""
    router = world.rng.choice(world.routers)
    if router.stopped_until_s:
        return
    router.stopped_until_s = float("inf")
    router.send(signal.SIGSTOP)
    await asyncio.sleep(world.rng.uniform(0.3, 2.0))
    router.send(signal.SIGCONT)
    await asyncio.sleep(0.2)
    router.stopped_until_s = 0.0


async def reload_settings(world: World) -> None:
    """Ask all routers to read their settings."""
    for router in world.routers:
        router.send(signal.SIGHUP)


FAULTS = (
    spoil_target,
    spoil_target,
    cut_target,
    cut_target,
    cut_store,
    lose_store,
    forget_history,
    change_configuration,
    replace_target,
    restart_router,
    pause_router,
    reload_settings,
)


async def cause_faults(world: World, duration_s: float) -> None:
    """Cause faults until the time is over, and wait for the last to end."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    async with asyncio.TaskGroup() as group:
        while loop.time() < end_s:
            fault = world.rng.choice(FAULTS)
            world.store_was_harmed |= fault in (cut_store, lose_store)
            group.create_task(fault(world))
            await asyncio.sleep(world.rng.uniform(0.1, 0.8))
    await world.heal()

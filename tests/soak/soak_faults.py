"""Random faults of a soak; several may be in force at once."""

import asyncio
import signal

from soak_testbed import GRACE_S, Testbed, configuration

from citrondock_standins.fault import Direction, Fault, FaultKind

DRAIN_WAIT_S = 4.0
"""Time after which a leaving target must get no request: the guaranteed two seconds,
and as much again for a busy machine."""

LOST_HEARTBEATS = 3
"""Times that each target writes its entry within the seconds that the store loses."""

PROXY_FAULTS = (
    Fault(kind=FaultKind.CUT),
    Fault(kind=FaultKind.BLACKHOLE),
    Fault(kind=FaultKind.LOSS, direction=Direction.TO_CLIENT),
    Fault(kind=FaultKind.LOSS, direction=Direction.TO_TARGET),
    Fault(kind=FaultKind.DELAY, delay_ms=80),
    Fault(kind=FaultKind.CUT_AFTER, direction=Direction.TO_CLIENT, byte_count=300),
)


async def inject_target_faults(testbed: Testbed) -> None:
    """Make a target mishandle a share of its requests for a while."""
    target = testbed.rng.choice(list(testbed.targets.values()))
    target.fault_probability = testbed.rng.uniform(0.1, 0.5)
    await asyncio.sleep(testbed.rng.uniform(0.5, 2.0))
    target.fault_probability = 0.0


async def inject_target_proxy_fault(testbed: Testbed) -> None:
    """Put a fault on the connections to a target for a while."""
    proxy = testbed.rng.choice(list(testbed.proxies.values()))
    await testbed.set_proxy_faults(proxy, testbed.rng.choice(PROXY_FAULTS))
    await asyncio.sleep(testbed.rng.uniform(0.3, 2.0))
    await testbed.set_proxy_faults(proxy)


async def inject_store_proxy_fault(testbed: Testbed) -> None:
    """Put a fault on one router's connections to the store for a while."""
    router = testbed.rng.choice(testbed.routers)
    await testbed.set_proxy_faults(router.store_proxy, testbed.rng.choice(PROXY_FAULTS))
    await asyncio.sleep(testbed.rng.uniform(0.5, 3.0))
    await testbed.set_proxy_faults(router.store_proxy)


async def fail_store(testbed: Testbed) -> None:
    """Make the store fail for all routers for a while."""
    testbed.store.fault = testbed.rng.choice(("busy", "reset", "silent"))
    await asyncio.sleep(testbed.rng.uniform(0.5, 2.5))
    testbed.store.fault = ""


async def drop_store_history(testbed: Testbed) -> None:
    """Make the store drop its history of changes."""
    testbed.store.forget_history()


async def restore_store(testbed: Testbed) -> None:
    """Let the store come back from a copy some seconds old, in some cases silently.

    The targets write again what they wrote last, the operator a newer configuration.
    """
    rng = testbed.restore_rng
    copy = testbed.store.copy()
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    # Most revisions that the store loses are heartbeats.
    for _ in range(LOST_HEARTBEATS):
        await testbed.write_again()
    testbed.version += rng.randrange(2)
    await testbed.store.put("config", "main", configuration(testbed.version))
    # Longer than a follower's pause after a change, so that most watches wait.
    await asyncio.sleep(rng.uniform(0.4, 1.0))
    is_silent = rng.random() < 0.5
    if not is_silent:
        testbed.store.fault = "reset"
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        testbed.store.fault = ""
    await testbed.store.restore(copy, cuts_watches=not is_silent)
    testbed.restored_at_s = asyncio.get_running_loop().time()
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    testbed.version += 1
    await testbed.write_again()


async def change_configuration(testbed: Testbed) -> None:
    """Publish up to three configurations in quick succession."""
    for _ in range(testbed.rng.randrange(1, 4)):
        testbed.version += testbed.rng.randrange(1, 3)
        await testbed.store.put("config", "main", configuration(testbed.version))
        await asyncio.sleep(testbed.rng.uniform(0.0, 0.3))


async def replace_target(testbed: Testbed) -> None:
    """Add a target and remove another, in some cases with a draining state before."""
    name = testbed.rng.choice(list(testbed.targets))
    target = testbed.targets.pop(name)
    await testbed.add_target()
    if testbed.rng.random() < 0.6:
        await testbed.register(name, "draining")
        await asyncio.sleep(1.0)
    await testbed.deregister(name)
    removed_at_s = asyncio.get_running_loop().time()
    all_routers_run = all(router.stopped_until_s == 0.0 for router in testbed.routers)
    await asyncio.sleep(DRAIN_WAIT_S)
    was_brought_back = testbed.restored_at_s >= removed_at_s
    if all_routers_run and not testbed.store_had_faults and not was_brought_back:
        target.late_after_s = asyncio.get_running_loop().time()
    await asyncio.sleep(1.0)
    target.stop()


async def restart_router(testbed: Testbed) -> None:
    """Stop a router gracefully, or kill it, and start it again."""
    router = testbed.rng.choice(testbed.routers)
    if router.stopped_until_s:
        return
    router.stopped_until_s = float("inf")
    signal_number = testbed.rng.choice((signal.SIGTERM, signal.SIGTERM, signal.SIGKILL))
    router.send(signal_number)
    await router.wait(GRACE_S + 1.5)
    await asyncio.sleep(testbed.rng.uniform(0.0, 0.5))
    await router.start()
    router.stopped_until_s = 0.0


async def pause_router(testbed: Testbed) -> None:
    """Pause a router for a while with SIGSTOP."""
    router = testbed.rng.choice(testbed.routers)
    if router.stopped_until_s:
        return
    router.stopped_until_s = float("inf")
    router.send(signal.SIGSTOP)
    await asyncio.sleep(testbed.rng.uniform(0.3, 2.0))
    router.send(signal.SIGCONT)
    await asyncio.sleep(0.2)
    router.stopped_until_s = 0.0


async def reload_settings(testbed: Testbed) -> None:
    """Make all routers reload their settings with SIGHUP."""
    for router in testbed.routers:
        router.send(signal.SIGHUP)


FAULTS = (
    inject_target_faults,
    inject_target_faults,
    inject_target_proxy_fault,
    inject_target_proxy_fault,
    inject_store_proxy_fault,
    fail_store,
    drop_store_history,
    change_configuration,
    replace_target,
    restart_router,
    pause_router,
    reload_settings,
)


async def restore_at_times(testbed: Testbed, duration_s: float) -> None:
    """Restore the store in half of the soaks, amid the other faults and after them."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    rng = testbed.restore_rng
    if rng.random() < 0.5:
        return
    await asyncio.sleep(rng.uniform(0.0, duration_s / 2))
    await restore_store(testbed)
    # Later faults could lead to the listing that a router must make by itself.
    await asyncio.sleep(max(end_s - loop.time(), 0.0))
    await restore_store(testbed)


async def inject_faults(testbed: Testbed, duration_s: float) -> None:
    """Inject random faults for a time, wait until all have ended, then heal."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    async with asyncio.TaskGroup() as group:
        group.create_task(restore_at_times(testbed, duration_s))
        while loop.time() < end_s:
            fault = testbed.rng.choice(FAULTS)
            testbed.store_had_faults |= fault in (inject_store_proxy_fault, fail_store)
            group.create_task(fault(testbed))
            await asyncio.sleep(testbed.rng.uniform(0.1, 0.8))
    await testbed.heal()

"""A soak of real router processes under faults that a seed draws.

Run by hand: ``python tests/soak/soak.py --first_seed=1 --seeds=50``.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

from absl import app, flags

HERE = Path(__file__).parent
sys.path[:0] = [str(HERE), str(HERE.parent / "platform")]

from soak_clients import CLIENT_COUNT, SoakClient  # noqa: E402
from soak_faults import cause_faults  # noqa: E402
from soak_ledger import Ledger  # noqa: E402
from soak_world import World  # noqa: E402

FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "Seed of the first soak.")
SEEDS = flags.DEFINE_integer("seeds", 1, "Soaks to run, with seeds that follow.")
SECONDS = flags.DEFINE_float("seconds", 8.0, "Time for which faults are caused.")
KEEP = flags.DEFINE_string("keep", "", "Folder that keeps the routers' logs.")

EVENT_COUNT = 8
RECOVERY_S = 3.0
"""Time from the last fault until all must be served again."""

CALM_S = 1.5


async def soak(seed: int, seconds: float, path: Path) -> Ledger:
    """Run one soak and return what was seen."""
    ledger = Ledger(event_count=EVENT_COUNT)
    world = World(random.Random(seed), ledger, path)
    try:
        await world.start()
        clients = [SoakClient(n, world, ledger) for n in range(CLIENT_COUNT)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await cause_faults(world, seconds)
        await asyncio.sleep(RECOVERY_S)
        for client in clients:
            client.is_after_faults = True
        await asyncio.sleep(CALM_S)
        for client in clients:
            client.is_done = True
        await asyncio.gather(*tasks)
    finally:
        await world.close()
    return ledger


def run_seed(seed: int, seconds: float, path: Path) -> tuple[list[str], str]:
    """Run one soak; return the broken promises and a line of figures."""
    ledger = asyncio.run(soak(seed, seconds, path))
    statuses: dict[int, int] = {}
    for seen in ledger.seen:
        statuses[seen.status] = statuses.get(seen.status, 0) + 1
    counts = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    repeated = sum(len(runs) > 1 for runs in ledger.runs.values())
    figures = f"{len(ledger.seen)} requests, {repeated} ran again, answers {counts}"
    return ledger.broken_promises(), figures


def main(_arguments: list[str]) -> int:
    """Run the seeds; the exit code is 1 if a promise was broken."""
    failed = []
    for seed in range(FIRST_SEED.value, FIRST_SEED.value + SEEDS.value):
        folder = KEEP.value or tempfile.mkdtemp(prefix="citrondock-soak-")
        path = Path(folder) / f"seed-{seed}"
        path.mkdir(parents=True, exist_ok=True)
        broken, figures = run_seed(seed, SECONDS.value, path)
        print(f"seed {seed}: {'BROKEN' if broken else 'kept'}; {figures}", flush=True)
        for line in broken[:10]:
            print(f"  {line} (logs: {path})", flush=True)
        if broken:
            failed.append(seed)
    print(f"{SEEDS.value} seeds, {len(failed)} with a broken promise: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    app.run(main)

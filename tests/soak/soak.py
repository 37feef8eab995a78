"""Runs real router processes under random faults that a seed determines.

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
from soak_faults import inject_faults  # noqa: E402
from soak_record import SoakRecord  # noqa: E402
from soak_testbed import Testbed  # noqa: E402

FIRST_SEED = flags.DEFINE_integer("first_seed", 1, "Seed of the first soak.")
SEEDS = flags.DEFINE_integer("seeds", 1, "Number of soaks, with consecutive seeds.")
SECONDS = flags.DEFINE_float(
    "seconds", 8.0, "Seconds during which faults are injected."
)
KEEP = flags.DEFINE_string(
    "keep", "", "Folder for the routers' logs; by default a new temporary one."
)

EVENT_COUNT = 8
RECOVERY_S = 3.0
"""Time from the last fault until requests must be served again."""

FAULT_FREE_S = 1.5
"""Time after the recovery in which requests must be served."""


async def soak(seed: int, seconds: float, path: Path) -> SoakRecord:
    """Run one soak and return its record."""
    record = SoakRecord(event_count=EVENT_COUNT)
    restore_rng = random.Random(f"restore {seed}")
    testbed = Testbed(random.Random(seed), restore_rng, record, path)
    try:
        await testbed.start()
        clients = [SoakClient(n, testbed, record) for n in range(CLIENT_COUNT)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await inject_faults(testbed, seconds)
        await asyncio.sleep(RECOVERY_S)
        for client in clients:
            client.is_after_faults = True
        await asyncio.sleep(FAULT_FREE_S)
        await testbed.check_routers()
        for client in clients:
            client.is_stopping = True
        await asyncio.gather(*tasks)
    finally:
        await testbed.close()
    return record


def run_seed(seed: int, seconds: float, path: Path) -> tuple[list[str], str]:
    """Run one soak; return the violations and a line that sums up the requests."""
    record = asyncio.run(soak(seed, seconds, path))
    statuses: dict[int, int] = {}
    for request in record.requests:
        statuses[request.status] = statuses.get(request.status, 0) + 1
    counts = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    repeated = sum(len(runs) > 1 for runs in record.runs.values())
    summary = f"{len(record.requests)} requests, {repeated} ran again, answers {counts}"
    return record.violations(), summary


def main(_arguments: list[str]) -> int:
    """Run the seeds; the exit code is 1 if an invariant was violated."""
    failed_seeds = []
    for seed in range(FIRST_SEED.value, FIRST_SEED.value + SEEDS.value):
        folder = KEEP.value or tempfile.mkdtemp(prefix="citrondock-soak-")
        path = Path(folder) / f"seed-{seed}"
        path.mkdir(parents=True, exist_ok=True)
        violations, summary = run_seed(seed, SECONDS.value, path)
        print(f"seed {seed}: {'FAILED' if violations else 'ok'}; {summary}", flush=True)
        for line in violations[:10]:
            print(f"  {line} (logs: {path})", flush=True)
        if violations:
            failed_seeds.append(seed)
    print(f"{SEEDS.value} seeds, {len(failed_seeds)} with violations: {failed_seeds}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    app.run(main)

"""Compares calls through one router with calls made directly to the engines."""

import time
from collections.abc import Sequence

import attrs

from citrondock_bench.answer import Outcome
from citrondock_bench.bench_fleet import BenchFleet, FleetOptions
from citrondock_bench.capacity_document import DataPathFigures
from citrondock_bench.data_path import EngineRun, PathDelays, path_delays
from citrondock_bench.deployment import PLUME_NORDIQUE, Deployment, account_key
from citrondock_bench.load_run import START_DELAY_S, run_load
from citrondock_bench.node_usage import cpu_seconds, peak_memory_mb
from citrondock_bench.plan import (
    AccountLoad,
    Endpoint,
    LoadPlan,
    RequestShape,
    TokenDistribution,
)
from citrondock_bench.report import LoadReport
from citrondock_bench.spread import Spread
from citrondock_bench.timeline import TimedAction, Timeline
from citrondock_core.configuration import ServiceKind

STEP_MS = 33.0
ANSWER_TOKENS = 256
PROMPT_TOKENS = 100
RAMP_S = ANSWER_TOKENS * STEP_MS / 1000
ENGINE_COUNT = 4
BATCH_SIZE = 128
CLIENT_COUNT = 4
TOKENS_PER_UNIT = 1000


@attrs.frozen(kw_only=True)
class PathRun:
    """Figures of calls made either directly to the engines or through the router."""

    delays: PathDelays
    tokens_per_s: float
    stream_count: float
    not_whole_count: int
    cpu_s_per_1000_tokens: float = 0.0
    peak_memory_mb: float = 0.0


@attrs.frozen(kw_only=True)
class BenchRun:
    """A direct and a routed measurement with the same seed."""

    direct: PathRun
    routed: PathRun

    @property
    def first_token_overhead_ms(self) -> float:
        """First-token delay added by the router: difference of the 95th percentiles."""
        return (
            self.routed.delays.first_token_p95_ms
            - self.direct.delays.first_token_p95_ms
        )

    @property
    def pause_overhead_ms(self) -> float:
        """Longest pause of a stream minus the engine's step, 95th percentile."""
        return self.routed.delays.longest_pause_p95_ms - STEP_MS


class DataPathBench:
    """Runs the same load directly on the engines and through one router.

    Parameters
    ----------
    fleet : BenchFleet
        Fleet of one router and several engine processes.
    rate_per_s : float
        Requests per second.
    full_rate_s : float
        Duration of the load after the ramp, when streams end as fast as they start.
    """

    def __init__(
        self, fleet: BenchFleet, *, rate_per_s: float, full_rate_s: float
    ) -> None:
        self._fleet = fleet
        self._rate_per_s = rate_per_s
        self._full_rate_s = full_rate_s
        self._router = fleet.nodes[0]

    def run(self, *, seed: int) -> BenchRun:
        """Measure the direct path, then the routed one."""
        direct = self._run_path(self._plan(self._fleet.engines, seed), is_routed=False)
        routed = self._run_path(self._plan(self._fleet.routers, seed), is_routed=True)
        return BenchRun(direct=direct, routed=routed)

    def _plan(self, endpoints: Sequence[Endpoint], seed: int) -> LoadPlan:
        deployment = self._fleet.options.deployment
        account = next(iter(deployment.configuration.accounts))
        shape = RequestShape(
            name="chat",
            model=deployment.services(ServiceKind.CHAT)[0].model,
            prompt_tokens=TokenDistribution(median_tokens=PROMPT_TOKENS),
            generated_tokens=TokenDistribution(median_tokens=ANSWER_TOKENS),
        )
        load = AccountLoad(
            name=account,
            key=account_key(account),
            rate_per_s=self._rate_per_s,
            shapes=[shape.name],
        )
        return LoadPlan(
            endpoints=endpoints,
            accounts=[load],
            shapes=[shape],
            seed=seed,
            duration_s=RAMP_S + self._full_rate_s,
            drain_s=2 * RAMP_S,
            worker_count=CLIENT_COUNT,
            keeps_calls=True,
            prompt_token_weight=0.0,
        )

    def _run_path(self, plan: LoadPlan, *, is_routed: bool) -> PathRun:
        cpu_s: list[float] = []
        starts_at_s = time.monotonic() + START_DELAY_S
        read_cpu = [
            TimedAction(
                at_s=at_s, action=lambda: cpu_s.append(cpu_seconds(self._router.pid))
            )
            for at_s in (RAMP_S, plan.duration_s)
        ]
        with Timeline(read_cpu, starts_at_s=starts_at_s):
            report = run_load(plan, starts_at_s=starts_at_s)
        tokens_per_s = _full_rate_tokens_per_s(report)
        used_s = cpu_s[1] - cpu_s[0] if is_routed else 0.0
        tokens = max(1.0, tokens_per_s * self._full_rate_s)
        return PathRun(
            delays=path_delays(report.accounts[0].calls, self._journal(is_routed)),
            tokens_per_s=tokens_per_s,
            stream_count=tokens_per_s * STEP_MS / 1000,
            not_whole_count=report.accounts[0].sent_count - report.count(Outcome.WHOLE),
            cpu_s_per_1000_tokens=used_s / tokens * TOKENS_PER_UNIT,
            peak_memory_mb=peak_memory_mb(self._router.pid) if is_routed else 0.0,
        )

    def _journal(self, is_routed: bool) -> dict[tuple[str, str], EngineRun]:
        """Return the engines' journals by the client's endpoint and the request id."""
        router = self._router.name
        runs = {}
        for engine in self._fleet.fleet.engines:
            journal = engine.process.read("/control/runs", index=engine.index)["runs"]
            endpoint = router if is_routed else engine.target.name
            for run in journal:
                if run["first_token_s"] is not None:
                    runs[endpoint, run["request_id"]] = EngineRun(
                        arrived_s=run["arrived_s"], first_token_s=run["first_token_s"]
                    )
        return runs


def _full_rate_tokens_per_s(report: LoadReport) -> float:
    """Return the rate of generated tokens after the ramp."""
    series = report.accounts[0].series
    full = series.service_tokens[int(RAMP_S / series.bucket_s) :]
    return sum(full) / (len(full) * series.bucket_s)


def summarise(runs: Sequence[BenchRun]) -> DataPathFigures:
    """Return median and range of each figure over the runs."""
    return DataPathFigures(
        first_token_overhead_p95_ms=Spread.of(
            [run.first_token_overhead_ms for run in runs]
        ),
        pause_overhead_p95_ms=Spread.of([run.pause_overhead_ms for run in runs]),
        tokens_per_s=Spread.of([run.routed.tokens_per_s for run in runs]),
        cpu_s_per_1000_tokens=Spread.of(
            [run.routed.cpu_s_per_1000_tokens for run in runs]
        ),
        peak_memory_mb=Spread.of([run.routed.peak_memory_mb for run in runs]),
    )


def fleet_options() -> FleetOptions:
    """Return the options of a fleet with one router and several engine processes."""
    return FleetOptions(
        deployment=Deployment.read(PLUME_NORDIQUE),
        router_count=1,
        engine_count=ENGINE_COUNT,
        application_count=1,
        batch_size=BATCH_SIZE,
        step_ms=STEP_MS,
    )


def run_bench(
    *, run_count: int, rate_per_s: float, full_rate_s: float
) -> list[BenchRun]:
    """Start the processes and measure the data path several times."""
    with BenchFleet(fleet_options()) as fleet:
        fleet.wait_for_models()
        bench = DataPathBench(fleet, rate_per_s=rate_per_s, full_rate_s=full_rate_s)
        return [bench.run(seed=seed) for seed in range(1, run_count + 1)]

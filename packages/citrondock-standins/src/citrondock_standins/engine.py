"""HTTP stand-in for a model engine, with simulated speed, cache and faults."""

import asyncio
import itertools
import time
from collections import OrderedDict, deque

import attrs
from absl import flags

from citrondock_standins.engine_batch import Batch, EngineSpeed, ModelRun
from citrondock_standins.engine_orders import Order, OrderHandler, WeightStore
from citrondock_standins.engine_stream import TokenStream
from citrondock_standins.engine_text import plan_generation
from citrondock_standins.http_server import (
    NOT_RUN_HEADERS,
    CountedFaults,
    HttpRequest,
    Reply,
    StandIn,
)
from citrondock_standins.prefix_cache import PrefixCache

ENGINES = flags.DEFINE_integer("engines", 1, "Number of engines, each on its own port.")
SPEEDS = flags.DEFINE_list(
    "speeds", ["1"], "Speed factors, assigned to the engines in turn."
)
STEP_MS = flags.DEFINE_float("step_ms", 20.0, "Milliseconds per step at factor 1.")
STEP_PER_SEQUENCE_MS = flags.DEFINE_float(
    "step_per_sequence_ms",
    0.8,
    "Milliseconds that each running request adds to a step.",
)
PROMPT_TOKENS_PER_S = flags.DEFINE_float(
    "prompt_tokens_per_s", 8000.0, "Prompt tokens processed per second at factor 1."
)
MAX_BATCH = flags.DEFINE_integer("max_batch", 16, "Requests that run at once.")
LOAD_LAG_S = flags.DEFINE_float(
    "load_lag_s", 0.5, "Minimum age of load reports, in seconds."
)
RESUME_GRACE_S = flags.DEFINE_float(
    "resume_grace_s", 0.0, "Seconds that a run continues after its client disconnects."
)
CACHE_BLOCKS = flags.DEFINE_integer(
    "cache_blocks", 2000, "Blocks that the prefix cache holds."
)
CACHE_EVENT_LAG_S = flags.DEFINE_float(
    "cache_event_lag_s", 0.5, "Seconds until a cache event is published."
)
CACHE_EVENT_GAP_PROBABILITY = flags.DEFINE_float(
    "cache_event_gap_probability", 0.05, "Probability that an event is never published."
)
CHECKS_FENCING = flags.DEFINE_bool(
    "checks_fencing", True, "Refuse orders with an outdated fencing token."
)
LOAD_S = flags.DEFINE_float("load_s", 1.0, "Seconds to load a model.")
LOADS_PER_S = flags.DEFINE_float(
    "loads_per_s", 2.0, "Loads that the weight store starts per second."
)
MODELS = flags.DEFINE_list(
    "models", [], "Models loaded at the start; if empty, any is served."
)
SEED = flags.DEFINE_integer("seed", 0, "Seed of the cache event gaps.")

MAX_RUNS = 50_000
SAMPLE_PERIOD_S = 0.05
NO_SUCH_REQUEST = {"error": "no such request"}


@attrs.define(kw_only=True)
class EngineFaults(CountedFaults):
    """Faults of an engine; counts apply to the next requests.

    Parameters
    ----------
    die_after_tokens, die_count : int
        The next ``die_count`` connections are closed after ``die_after_tokens``
        tokens.
    freeze : bool
        Whether the engine neither generates nor responds, control paths excepted.
    refuse_count : int
        Requests to refuse with status 503 and ``X-Ran: no``.
    wrong_id_count : int
        Requests whose response carries a wrong request id.
    close_delimited : bool
        Whether responses end when the connection closes, without a length.
    says_leaving : bool
        Whether the load report says that the engine is leaving.
    """

    die_after_tokens: int = 0
    die_count: int = 0
    freeze: bool = False
    refuse_count: int = 0
    wrong_id_count: int = 0
    close_delimited: bool = False
    says_leaving: bool = False


class EngineStandIn(StandIn):
    """HTTP server that behaves like a model engine.

    Parameters
    ----------
    batch : Batch
        Schedules requests and their tokens.
    cache : PrefixCache
        Prefix cache that the batch uses.
    orders : OrderHandler
        Handles orders such as loading a model.
    load_lag_s : float
        Minimum age of the load that is reported.
    resume_grace_s : float
        Seconds that a run continues after its client disconnects.
    """

    def __init__(
        self,
        batch: Batch,
        cache: PrefixCache,
        orders: OrderHandler,
        *,
        load_lag_s: float,
        resume_grace_s: float,
    ) -> None:
        self._batch = batch
        self._cache = cache
        self._orders = orders
        self._load_lag_s = load_lag_s
        self._resume_grace_s = resume_grace_s
        self._faults = EngineFaults()
        self._thawed = asyncio.Event()
        self._run_log: deque[ModelRun] = deque(maxlen=MAX_RUNS)
        self._runs: OrderedDict[str, ModelRun] = OrderedDict()
        self._streams: dict[ModelRun, TokenStream] = {}
        self._run_numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        self._sample_load()
        return await super().start(host, port)

    def details(self) -> str:
        """Return the speed factor, as a field of the listening line."""
        return f" speed={self._batch.speed.factor:g}"

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Handle a request to the engine API or to a control path."""
        if request.path == "/control/faults":
            self._set_faults(EngineFaults(**request.json()))
            reply.send_json(200, {})
        elif request.path == "/control/runs":
            runs = [run.log_entry() for run in self._run_log]
            reply.send_json(200, {"runs": runs})
        else:
            while self._faults.freeze:
                await self._thawed.wait()
            await self._serve(request, reply)

    async def _serve(self, request: HttpRequest, reply: Reply) -> None:
        now_s = time.monotonic()
        match request.path.strip("/").split("/"):
            case ["v1", "chat", "completions"]:
                await self._chat(request, reply)
            case ["v1", "requests", request_id, "stream"]:
                await self._resume(request_id, request, reply)
            case ["v1", "requests", request_id, "cancel"]:
                self._cancel_by_id(request_id, reply)
            case ["v1", "load"]:
                self._report_load(reply)
            case ["v1", "kv"]:
                blocks = [str(block) for block in request.json()["blocks"]]
                self._cache.store(blocks, now_s=now_s)
                reply.send_json(200, {"imported": len(blocks)})
            case ["v1", "kv", request_id]:
                self._export_cache(request_id, reply)
            case ["v1", "cache_events"]:
                after = int(request.query.get("after", -1))
                events = self._cache.events(after=after, now_s=now_s)
                reply.send_json(200, {"events": [attrs.asdict(e) for e in events]})
            case ["v1", "orders"]:
                outcome = self._orders.receive(Order(**request.json()), now_s=now_s)
                reply.send_json(outcome.status, attrs.asdict(outcome))
            case ["v1", "state"]:
                reply.send_json(200, self._orders.state(now_s=now_s))
            case _:
                reply.send_json(404, {"error": "no such path"})

    async def _chat(self, request: HttpRequest, reply: Reply) -> None:
        now_s = time.monotonic()
        body = request.json()
        if self._faults.take("refuse_count"):
            reply.send_json(503, {"error": "refused"}, NOT_RUN_HEADERS)
            return
        if not self._orders.serves(str(body.get("model", "")), now_s=now_s):
            reply.send_json(503, {"error": "model is not loaded"}, NOT_RUN_HEADERS)
            return
        run = ModelRun(
            request_id=request.headers.get(
                "x-request-id", f"run-{next(self._run_numbers)}"
            ),
            account=request.headers.get("x-client-account", ""),
            generation=plan_generation(body),
            arrived_s=now_s,
        )
        id_prefix = "wrong-" if self._faults.take("wrong_id_count") else ""
        closes_early = self._faults.take("die_count")
        stream = TokenStream(
            run,
            reply,
            response_id=id_prefix + run.request_id,
            is_streamed=bool(body.get("stream", False)),
            die_after_tokens=self._faults.die_after_tokens if closes_early else None,
            close_delimited=self._faults.close_delimited,
        )
        self._record(run)
        self._batch.add(run, now_s=now_s)
        self._schedule()
        await self._follow(run, stream)

    async def _resume(
        self, request_id: str, request: HttpRequest, reply: Reply
    ) -> None:
        run = self._runs.get(request_id)
        if run is None or run.outcome == "cancelled":
            reply.send_json(404, NO_SUCH_REQUEST)
            return
        if run in self._streams:
            self._streams[run].abandon()
        next_index = int(request.query["after"]) + 1
        stream = TokenStream(run, reply, response_id=request_id, next_index=next_index)
        await self._follow(run, stream)

    async def _follow(self, run: ModelRun, stream: TokenStream) -> None:
        self._streams[run] = stream
        stream.open()
        stream.advance()
        try:
            await stream.finished
        finally:
            if self._streams.get(run) is stream:
                del self._streams[run]
                self._schedule_cancel(run)

    def _schedule_cancel(self, run: ModelRun) -> None:
        if run.is_over:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._resume_grace_s, self._cancel_if_unread, run)

    def _cancel_if_unread(self, run: ModelRun) -> None:
        if run not in self._streams:
            self._batch.cancel(run, now_s=time.monotonic())

    def _cancel_by_id(self, request_id: str, reply: Reply) -> None:
        run = self._runs.get(request_id)
        if run is None:
            reply.send_json(404, NO_SUCH_REQUEST)
            return
        self._batch.cancel(run, now_s=time.monotonic())
        if run in self._streams:
            self._streams[run].advance()
        reply.send_json(200, run.log_entry())

    def _report_load(self, reply: Reply) -> None:
        now_s = time.monotonic()
        load = self._batch.reported_load(now_s=now_s, lag_s=self._load_lag_s)
        document = {
            "running": load.running,
            "waiting": load.waiting,
            "token_rate_per_s": load.token_rate_per_s,
            "age_s": now_s - load.taken_at_s,
            "leaving": self._faults.says_leaving,
        }
        reply.send_json(200, document)

    def _export_cache(self, request_id: str, reply: Reply) -> None:
        run = self._runs.get(request_id)
        if run is None:
            reply.send_json(404, NO_SUCH_REQUEST)
            return
        blocks = run.generation.blocks
        cached = blocks[: self._cache.hit_count(blocks)]
        reply.send_json(200, {"blocks": list(cached)})

    def _record(self, run: ModelRun) -> None:
        self._run_log.append(run)
        self._runs[run.request_id] = run
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)

    def _set_faults(self, faults: EngineFaults) -> None:
        self._faults = faults
        if not faults.freeze:
            self._thawed.set()
            self._thawed = asyncio.Event()
            self._schedule()

    def _schedule(self) -> None:
        due_s = self._batch.next_step_s
        if self._timer is None and due_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due_s, self._step)

    def _step(self) -> None:
        self._timer = None
        if self._faults.freeze:
            return
        for run in self._batch.step(now_s=time.monotonic()):
            stream = self._streams.get(run)
            if stream is not None:
                stream.advance()
        self._schedule()

    def _sample_load(self) -> None:
        self._batch.sample(now_s=time.monotonic())
        asyncio.get_running_loop().call_later(SAMPLE_PERIOD_S, self._sample_load)


def create() -> list[EngineStandIn]:
    """Create the engines that the flags describe."""
    weights = WeightStore(loads_per_s=LOADS_PER_S.value)
    factors = itertools.cycle(float(speed) for speed in SPEEDS.value)
    return [_create_one(next(factors), weights, n) for n in range(ENGINES.value)]


def _create_one(factor: float, weights: WeightStore, number: int) -> EngineStandIn:
    speed = EngineSpeed(
        factor=factor,
        step_ms=STEP_MS.value,
        step_per_sequence_ms=STEP_PER_SEQUENCE_MS.value,
        prompt_tokens_per_s=PROMPT_TOKENS_PER_S.value,
        max_batch=MAX_BATCH.value,
    )
    cache = PrefixCache(
        capacity_blocks=CACHE_BLOCKS.value,
        event_lag_s=CACHE_EVENT_LAG_S.value,
        event_gap_probability=CACHE_EVENT_GAP_PROBABILITY.value,
        seed=SEED.value + number,
    )
    orders = OrderHandler(
        checks_fencing=CHECKS_FENCING.value,
        load_s=LOAD_S.value,
        weights=weights,
        models=MODELS.value,
    )
    return EngineStandIn(
        Batch(speed, cache),
        cache,
        orders,
        load_lag_s=LOAD_LAG_S.value,
        resume_grace_s=RESUME_GRACE_S.value,
    )

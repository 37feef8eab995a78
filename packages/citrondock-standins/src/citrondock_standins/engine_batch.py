"""Simulated continuous batching: which requests run and when tokens are due."""

from collections import deque
from collections.abc import Mapping, Sequence

import attrs

from citrondock_standins.engine_text import Generation
from citrondock_standins.prefix_cache import PrefixCache

LOAD_HISTORY_COUNT = 64


@attrs.frozen(kw_only=True)
class EngineSpeed:
    """Speed and batch limit of an engine.

    Parameters
    ----------
    factor : float
        Speed factor that divides all times.
    step_ms, step_per_sequence_ms : float
        Time of a decoding step, which generates one token for every running request,
        and the time that each running request adds to it.
    prompt_tokens_per_s : float
        Rate at which prompts are processed.
    max_batch : int
        Requests that run at once; further ones wait in order of arrival.
    """

    factor: float = 1.0
    step_ms: float = 20.0
    step_per_sequence_ms: float = 0.8
    prompt_tokens_per_s: float = 8000.0
    max_batch: int = 16

    def step_s(self, batch_size: int) -> float:
        """Return the time between two tokens of a request in a batch of this size."""
        step_ms = self.step_ms + self.step_per_sequence_ms * batch_size
        return step_ms / 1000 / self.factor

    def prompt_s(self, prompt_tokens: int) -> float:
        """Return the time to process a prompt."""
        return prompt_tokens / self.prompt_tokens_per_s / self.factor


@attrs.define(kw_only=True, eq=False)
class ModelRun:
    """State of one request at an engine, with the times for the log of runs."""

    request_id: str
    account: str
    generation: Generation
    arrived_s: float
    started_s: float | None = None
    prompt_done_s: float = 0.0
    first_token_s: float | None = None
    ended_s: float | None = None
    cached_blocks: int = 0
    generated_tokens: int = 0
    outcome: str = "waiting"

    @property
    def is_over(self) -> bool:
        """Whether the run is done or cancelled."""
        return self.ended_s is not None

    def log_entry(self) -> Mapping[str, object]:
        """Return the fields of this run that the log of runs shows."""
        shown = attrs.asdict(self, filter=lambda field, _: field.name != "generation")
        return {**shown, "prompt_tokens": self.generation.prompt_tokens}


@attrs.frozen(kw_only=True)
class LoadSample:
    """Load of an engine at one point in time."""

    taken_at_s: float
    running: int
    waiting: int
    token_rate_per_s: float


class Batch:
    """Running requests and the queue of waiting ones.

    Notes
    -----
    The user of this class calls `step` once the time `next_step_s` has come.
    """

    def __init__(self, speed: EngineSpeed, cache: PrefixCache) -> None:
        self.speed = speed
        self._cache = cache
        self._waiting: deque[ModelRun] = deque()
        self._running: list[ModelRun] = []
        self._samples: deque[LoadSample] = deque(maxlen=LOAD_HISTORY_COUNT)
        self._step_due_s: float | None = None

    @property
    def next_step_s(self) -> float | None:
        """Time at which the next step is due, None while nothing runs."""
        return self._step_due_s

    def add(self, run: ModelRun, *, now_s: float) -> None:
        """Add a request, which starts now or waits for a free place in the batch."""
        self._waiting.append(run)
        self._admit(now_s)

    def cancel(self, run: ModelRun, *, now_s: float) -> None:
        """Cancel a waiting or running request."""
        if not run.is_over:
            self._end(run, "cancelled", now_s)
            self._admit(now_s)

    def step(self, *, now_s: float) -> Sequence[ModelRun]:
        """Generate one token for each request whose prompt is processed.

        Returns
        -------
        sequence of ModelRun
            The requests that got a token.
        """
        assert self._step_due_s is not None
        advanced = [each for each in self._running if each.prompt_done_s <= now_s]
        for run in advanced:
            run.generated_tokens += 1
            if run.first_token_s is None:
                run.first_token_s = now_s
            if run.generated_tokens >= run.generation.token_count:
                self._end(run, "done", now_s)
        self._admit(now_s)
        step_s = self.speed.step_s(len(self._running))
        if self._running:
            self._step_due_s = max(self._step_due_s + step_s, now_s)
        else:
            self._step_due_s = None
        return advanced

    def sample(self, *, now_s: float) -> None:
        """Record the current load for later reports."""
        batch_size = len(self._running)
        rate = batch_size / self.speed.step_s(batch_size) if batch_size else 0.0
        sample = LoadSample(
            taken_at_s=now_s,
            running=batch_size,
            waiting=len(self._waiting),
            token_rate_per_s=rate,
        )
        self._samples.append(sample)

    def reported_load(self, *, now_s: float, lag_s: float) -> LoadSample:
        """Return the newest sample at least ``lag_s`` old, or an idle one."""
        idle = LoadSample(
            taken_at_s=now_s - lag_s, running=0, waiting=0, token_rate_per_s=0.0
        )
        old = [each for each in self._samples if each.taken_at_s <= now_s - lag_s]
        return old[-1] if old else idle

    def _admit(self, now_s: float) -> None:
        while self._waiting and len(self._running) < self.speed.max_batch:
            run = self._waiting.popleft()
            generation = run.generation
            run.cached_blocks = self._cache.hit_count(generation.blocks)
            self._cache.store(generation.blocks, now_s=now_s)
            tokens = generation.uncached_tokens(run.cached_blocks)
            run.started_s = now_s
            run.prompt_done_s = now_s + self.speed.prompt_s(tokens)
            run.outcome = "running"
            self._running.append(run)
        if self._running and self._step_due_s is None:
            self._step_due_s = now_s + self.speed.step_s(len(self._running))

    def _end(self, run: ModelRun, outcome: str, now_s: float) -> None:
        run.outcome = outcome
        run.ended_s = now_s
        if run in self._running:
            self._running.remove(run)
        else:
            self._waiting.remove(run)

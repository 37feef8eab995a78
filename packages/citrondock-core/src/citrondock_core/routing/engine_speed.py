"""Prefill rate of one engine, learned from times to first token."""

import math

import attrs

NOMINAL_PREFILL_TOKENS_PER_S = 48_000.0
"""Rate assumed before the first samples: that of a large accelerator which decodes at
the same time."""

FIRST_TOKEN_BASE_S = 0.12
"""Time to the first token of an empty prompt on an idle engine, before the first
samples."""

MIN_BASE_S = 0.05
MAX_BASE_S = 0.3
"""Bounds of the learned base time."""

BASE_GAIN = 0.1
BUSY_BASE_GAIN = 0.5
"""Weight of one sample in the learned base time: of a prompt, and of the shortest delay
in a window of a busy engine."""

MIN_FACTOR = 0.25
MAX_FACTOR = 2.5
"""Bounds of a sample as a multiple of the nominal rate; a rate beyond them is taken for
a measurement error."""

LEARNING_GAIN = 0.06
"""Weight of one sample in the learned rate; the first samples weigh more."""

MIN_SAMPLE_TOKENS = 1500
"""Fewest prompt tokens of a sample of the rate. With fewer, the base time hides the
prefill, so that the sample shows the base time."""

MIN_SAMPLE_S = 0.01
"""Least prefill time of a sample, for delays at or below the base time."""

THROUGHPUT_WINDOW_S = 1.0
"""Time over which the tokens of started prompts are counted."""

BUSY_LOSS_GAIN = 0.1
"""Weight of a throughput below the rate. One above it counts in full: an engine that is
taken for slower than it is runs dry."""

SPEED_STEP = 0.25
"""Step of the rounded speed, as a share of the nominal rate. The rounded speed changes
only when the learned rate is a whole step away, so that placements stay stable."""


@attrs.define
class _Window:
    """Started prompts of a busy engine."""

    began_at_s: float | None = None
    tokens: int = 0
    least_excess_s: float = math.inf


class EngineSpeed:
    """Moving averages of an engine's prefill rate and base time.

    Attributes
    ----------
    tokens_per_s : float
        Prefill rate.
    base_s : float
        Time to the first token of an empty prompt on an idle engine.
    """

    def __init__(self) -> None:
        self.tokens_per_s = NOMINAL_PREFILL_TOKENS_PER_S
        self.base_s = FIRST_TOKEN_BASE_S
        self._rounded_factor = 1.0
        self._sample_count = 0
        self._window = _Window()

    @property
    def percent(self) -> int:
        """Rounded speed in percent of the nominal rate."""
        return round(self._rounded_factor * 100)

    def learn(self, tokens: float, delay_s: float) -> None:
        """Add a sample of an engine that is not busy to the rate or the base time.

        Parameters
        ----------
        tokens : float
            Prompt tokens that the engine had to read before the first token.
        delay_s : float
            Time from the grant to the first token.
        """
        self._window = _Window()
        if tokens < MIN_SAMPLE_TOKENS:
            self._learn_base(delay_s - tokens / self.tokens_per_s, BASE_GAIN)
            return
        prefill_s = max(delay_s - self.base_s, MIN_SAMPLE_S)
        low = NOMINAL_PREFILL_TOKENS_PER_S * MIN_FACTOR
        high = NOMINAL_PREFILL_TOKENS_PER_S * MAX_FACTOR
        rate = min(max(tokens / prefill_s, low), high)
        # The nominal rate weighs as much as two samples.
        self._sample_count += 1
        gain = max(1 / (self._sample_count + 2), LEARNING_GAIN)
        self._set_rate(self.tokens_per_s + (rate - self.tokens_per_s) * gain)

    def record_busy(self, tokens: int, delay_s: float, *, now_s: float) -> None:
        """Count a prompt of a busy engine, one for which others wait.

        The rate is at least the throughput. Delays of single prompts say too little
        here: routers that are short of processor time report starts late, and an engine
        that is taken for slow because of that runs dry.

        Parameters
        ----------
        tokens : int
            Prompt tokens that the engine had to read.
        delay_s : float
            Time from the grant to the first token.
        now_s : float
            Monotonic time.
        """
        window = self._window
        if window.began_at_s is None:
            window.began_at_s = now_s
            return
        window.tokens += tokens
        excess_s = delay_s - tokens / self.tokens_per_s
        window.least_excess_s = min(window.least_excess_s, excess_s)
        window_s = now_s - window.began_at_s
        if window_s < THROUGHPUT_WINDOW_S:
            return
        throughput = window.tokens / window_s
        gain = 1.0 if throughput > self.tokens_per_s else BUSY_LOSS_GAIN
        rate = self.tokens_per_s + (throughput - self.tokens_per_s) * gain
        self._set_rate(min(rate, NOMINAL_PREFILL_TOKENS_PER_S * MAX_FACTOR))
        self._learn_base(window.least_excess_s, BUSY_BASE_GAIN)
        self._window = _Window(began_at_s=now_s)

    def _learn_base(self, sample_s: float, gain: float) -> None:
        sample_s = min(max(sample_s, MIN_BASE_S), MAX_BASE_S)
        self.base_s += (sample_s - self.base_s) * gain

    def _set_rate(self, tokens_per_s: float) -> None:
        self.tokens_per_s = tokens_per_s
        factor = self.tokens_per_s / NOMINAL_PREFILL_TOKENS_PER_S
        if abs(factor - self._rounded_factor) >= SPEED_STEP:
            self._rounded_factor = max(
                round(factor / SPEED_STEP) * SPEED_STEP, SPEED_STEP
            )

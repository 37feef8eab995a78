"""Prefill rate of one engine, learned from times to first token."""

NOMINAL_PREFILL_TOKENS_PER_S = 48_000.0
"""Rate assumed before the first samples: that of a large accelerator which decodes at
the same time."""

FIRST_TOKEN_BASE_S = 0.12
"""Time to the first token of an empty prompt on an idle engine."""

MIN_FACTOR = 0.25
MAX_FACTOR = 2.5
"""Bounds of a sample as a multiple of the nominal rate; a rate beyond them is taken for
a measurement error."""

LEARNING_GAIN = 0.06
"""Weight of one sample in the learned rate; the first samples weigh more."""

MIN_SAMPLE_TOKENS = 1500
"""Fewest prompt tokens of a sample; with fewer, the base time hides the prefill."""

MIN_SAMPLE_S = 0.01
"""Least prefill time of a sample, for delays at or below the base time."""

SPEED_STEP = 0.25
"""Step of the rounded speed, as a share of the nominal rate. The rounded speed changes
only when the learned rate is a whole step away, so that placements stay stable."""


class EngineSpeed:
    """Moving average of an engine's prefill rate, and its rounded speed."""

    def __init__(self) -> None:
        self.tokens_per_s = NOMINAL_PREFILL_TOKENS_PER_S
        self._rounded_factor = 1.0
        self._sample_count = 0

    @property
    def percent(self) -> int:
        """Rounded speed in percent of the nominal rate."""
        return round(self._rounded_factor * 100)

    def learn(self, tokens: float, delay_s: float) -> None:
        """Add a sample to the rate.

        Parameters
        ----------
        tokens : float
            Prompt tokens that the engine had to read before the first token.
        delay_s : float
            Time from the grant to the first token.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        prefill_s = max(delay_s - FIRST_TOKEN_BASE_S, MIN_SAMPLE_S)
        low = NOMINAL_PREFILL_TOKENS_PER_S * MIN_FACTOR
        high = NOMINAL_PREFILL_TOKENS_PER_S * MAX_FACTOR
        rate = min(max(tokens / prefill_s, low), high)
        # The nominal rate weighs as much as two samples.
        self._sample_count += 1
        gain = max(1 / (self._sample_count + 2), LEARNING_GAIN)
        self.tokens_per_s += (rate - self.tokens_per_s) * gain
        factor = self.tokens_per_s / NOMINAL_PREFILL_TOKENS_PER_S
        if abs(factor - self._rounded_factor) >= SPEED_STEP:
            self._rounded_factor = max(
                round(factor / SPEED_STEP) * SPEED_STEP, SPEED_STEP
            )

"""Prefill rate of one engine, learned from the time of first tokens."""

NOMINAL_PREFILL_TOKENS_PER_S = 48_000.0
"""Assumed until answers tell; what a large accelerator does beside decoding."""

FIRST_TOKEN_BASE_S = 0.12
"""Time to the first token of an empty prompt at an idle engine."""

MIN_FACTOR = 0.25
MAX_FACTOR = 2.5
"""Rates beyond these, against the usual one, are taken for errors of measurement."""

LEARNING_GAIN = 0.06
"""Weight of one answer in the learned rate; the first ones count for more."""

MIN_SAMPLE_TOKENS = 1500
"""Smaller amounts say little about the rate beside the base."""

MIN_SAMPLE_S = 0.01

SPEED_STEP = 0.25
"""Step of the coarse speed, as a share of the usual one. It moves only when the rate is
a whole step away, so that placements stay."""


class EngineSpeed:
    """Learned prefill rate."""

    def __init__(self) -> None:
        self.tokens_per_s = NOMINAL_PREFILL_TOKENS_PER_S
        self._coarse = 1.0
        self._sample_count = 0

    @property
    def percent(self) -> int:
        """Coarse speed; the usual one is 100."""
        return round(self._coarse * 100)

    def learn(self, tokens: float, delay_s: float) -> None:
        """Take the delay of a first token that ``tokens`` had to be read for."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        prefill_s = max(delay_s - FIRST_TOKEN_BASE_S, MIN_SAMPLE_S)
        low = NOMINAL_PREFILL_TOKENS_PER_S * MIN_FACTOR
        high = NOMINAL_PREFILL_TOKENS_PER_S * MAX_FACTOR
        rate = min(max(tokens / prefill_s, low), high)
        # The usual rate counts as two answers.
        self._sample_count += 1
        gain = max(1 / (self._sample_count + 2), LEARNING_GAIN)
        self.tokens_per_s += (rate - self.tokens_per_s) * gain
        factor = self.tokens_per_s / NOMINAL_PREFILL_TOKENS_PER_S
        if abs(factor - self._coarse) >= SPEED_STEP:
            self._coarse = max(round(factor / SPEED_STEP) * SPEED_STEP, SPEED_STEP)

"""Prefill rate and base time of one engine, learned from times to first token."""

import itertools
import statistics
from collections import deque

NOMINAL_PREFILL_TOKENS_PER_S = 48_000.0
"""Rate assumed before the first samples: that of a large accelerator which decodes at
the same time."""

FIRST_TOKEN_BASE_S = 0.12
"""Time to the first token of an empty prompt on an idle engine, until it is learned."""

MAX_FIRST_TOKEN_BASE_S = 0.5
"""Bound of a learned base time; a longer one is taken for a measurement error."""

SAME_BASE_SHARE = 0.3
"""A learned base time this close to `FIRST_TOKEN_BASE_S`, as a share of it, counts as
the same, so that engines near it are not moved by noise."""

BASE_SAMPLES = 16
BASE_SAMPLE_STEP = 4
"""Prompts that found an engine idle from which its base time is learned, and number of
new ones after which it is learned again."""

MIN_TOKEN_DIFFERENCE = 800
"""Difference in tokens of two prompts from which a rate is taken."""

BASE_QUANTILE = 0.25
"""Quantile of the base times of single prompts: reports that come late make some of
them longer, and nothing makes them shorter."""

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
    """Moving average of an engine's prefill rate, its rounded speed and base time.

    Engines of other models take from some milliseconds to more than 0.1 s until the
    first token, besides reading. A base time that is too long makes an engine look
    faster than it is, so that prompts queue inside it; one that is too short makes it
    run dry.

    Attributes
    ----------
    tokens_per_s : float
        Learned prefill rate.
    first_token_base_s : float
        Learned time to the first token of an empty prompt on an idle engine.
    """

    def __init__(self) -> None:
        self.tokens_per_s = NOMINAL_PREFILL_TOKENS_PER_S
        self.first_token_base_s = FIRST_TOKEN_BASE_S
        self._idle_samples: deque[tuple[float, float]] = deque(maxlen=BASE_SAMPLES)
        self._new_idle_samples = 0
        self._rounded_factor = 1.0
        self._sample_count = 0

    @property
    def percent(self) -> int:
        """Rounded speed in percent of the nominal rate."""
        return round(self._rounded_factor * 100)

    def adopt(self, *, speed: float, first_token_base_s: float) -> None:
        """Begin with what another home router has learned.

        Parameters
        ----------
        speed : float
            Prefill rate as a multiple of the nominal rate.
        first_token_base_s : float
            Base time.
        """
        self.tokens_per_s = NOMINAL_PREFILL_TOKENS_PER_S * speed
        self._rounded_factor = speed
        self.first_token_base_s = first_token_base_s

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
        prefill_s = max(delay_s - self.first_token_base_s, MIN_SAMPLE_S)
        rate = _bounded(tokens / prefill_s)
        # The nominal rate weighs as much as two samples.
        self._sample_count += 1
        gain = max(1 / (self._sample_count + 2), LEARNING_GAIN)
        self.tokens_per_s += (rate - self.tokens_per_s) * gain
        self._round()

    def learn_base(self, tokens: float, delay_s: float) -> None:
        """Add a sample of a prompt that found the engine idle; see `learn`."""
        self._idle_samples.append((tokens, delay_s))
        self._new_idle_samples += 1
        is_due = self._new_idle_samples >= BASE_SAMPLE_STEP
        if not is_due or len(self._idle_samples) < BASE_SAMPLES:
            return
        self._new_idle_samples = 0
        # The median of the slopes between samples (Theil-Sen) bears late reports.
        slopes = [
            (second[1] - first[1]) / (second[0] - first[0])
            for first, second in itertools.combinations(self._idle_samples, 2)
            if abs(second[0] - first[0]) >= MIN_TOKEN_DIFFERENCE
        ]
        if not slopes:
            return
        s_per_token = max(statistics.median(slopes), 0.0)
        bases_s = sorted(
            delay - tokens * s_per_token for tokens, delay in self._idle_samples
        )
        base_s = bases_s[int(len(bases_s) * BASE_QUANTILE)]
        base_s = min(max(base_s, 0.0), MAX_FIRST_TOKEN_BASE_S)
        tolerance_s = SAME_BASE_SHARE * FIRST_TOKEN_BASE_S
        if abs(base_s - FIRST_TOKEN_BASE_S) <= tolerance_s:
            base_s = FIRST_TOKEN_BASE_S
        if abs(base_s - self.first_token_base_s) > tolerance_s and s_per_token > 0:
            # The rate was learned with another base time.
            self.tokens_per_s = _bounded(1 / s_per_token)
            self._round()
        self.first_token_base_s = base_s

    def _round(self) -> None:
        factor = self.tokens_per_s / NOMINAL_PREFILL_TOKENS_PER_S
        if abs(factor - self._rounded_factor) >= SPEED_STEP:
            self._rounded_factor = max(
                round(factor / SPEED_STEP) * SPEED_STEP, SPEED_STEP
            )


def _bounded(tokens_per_s: float) -> float:
    low = NOMINAL_PREFILL_TOKENS_PER_S * MIN_FACTOR
    high = NOMINAL_PREFILL_TOKENS_PER_S * MAX_FACTOR
    return min(max(tokens_per_s, low), high)

"""What one worker saw: latencies, outcomes and service over time, by account."""

import itertools
import math

import attrs
from hdrh.histogram import HdrHistogram

from citrondock_bench.answer import Judgement, Outcome

BUCKET_S = 0.05
LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _record(histogram: HdrHistogram, seconds: float) -> None:
    microseconds = max(LOWEST_US, round(seconds * MICROSECONDS_PER_S))
    histogram.record_value(min(HIGHEST_US, microseconds))


@attrs.frozen(kw_only=True)
class OutcomeCount:
    """Calls that ended alike.

    Parameters
    ----------
    outcome : Outcome
        What became of them.
    reason, ran : str
        Of a refusal, or the fault found.
    count : int
        How many.
    """

    outcome: Outcome
    reason: str
    ran: str
    count: int


@attrs.frozen(kw_only=True)
class CallSample:
    """One whole streamed answer.

    Parameters
    ----------
    endpoint, request_id : str
        Where it was sent, and the id that its answer carried.
    sent_s, first_token_s : float
        Monotonic times.
    longest_pause_s : float
        Longest time between two of its tokens.
    """

    endpoint: str
    request_id: str
    sent_s: float
    first_token_s: float
    longest_pause_s: float


@attrs.frozen(kw_only=True)
class CallEnd:
    """How a call ended.

    Parameters
    ----------
    judgement : Judgement
        Outcome.
    sent_s, ended_s : float
        Monotonic times.
    token_times_s : list of float
        Monotonic times of its tokens.
    prompt_tokens, generated_tokens : int
        Usage that the target reported.
    service_tokens : float
        Service that it makes.
    endpoint, request_id : str
        Where it was sent, and the id that its answer carried.
    """

    judgement: Judgement
    sent_s: float
    ended_s: float
    token_times_s: list[float]
    prompt_tokens: int
    generated_tokens: int
    service_tokens: float
    endpoint: str = ""
    request_id: str = ""

    @property
    def is_whole(self) -> bool:
        """Whether the answer was whole."""
        return self.judgement.outcome is Outcome.WHOLE

    @property
    def pauses_s(self) -> list[float]:
        """Times between tokens."""
        return [
            later - former for former, later in itertools.pairwise(self.token_times_s)
        ]

    def sample(self) -> CallSample:
        """Return what is kept of a whole streamed answer."""
        return CallSample(
            endpoint=self.endpoint,
            request_id=self.request_id,
            sent_s=self.sent_s,
            first_token_s=self.token_times_s[0],
            longest_pause_s=max(self.pauses_s, default=0.0),
        )


@attrs.frozen(kw_only=True)
class AccountRecord:
    """What one worker saw of one account.

    Parameters
    ----------
    account : str
        Name.
    sent_count, prompt_tokens, generated_tokens : int
        Totals.
    largest_request_tokens : float
        Service of the most expensive answer.
    outcomes : list of OutcomeCount
        Calls by outcome.
    first_token, between_tokens, whole : str
        Encoded histograms in microseconds.
    service_tokens : list of float
        Tokens received in each bucket of `BUCKET_S`.
    least_waiting : list of int
        Fewest requests that waited for their first token in each bucket.
    calls : list of CallSample
        Whole streamed answers, where the plan keeps them.
    """

    account: str
    sent_count: int
    prompt_tokens: int
    generated_tokens: int
    largest_request_tokens: float
    outcomes: list[OutcomeCount]
    first_token: str
    between_tokens: str
    whole: str
    service_tokens: list[float]
    least_waiting: list[int]
    calls: list[CallSample]


class AccountRecorder:
    """Collects the calls of one account.

    Parameters
    ----------
    account : str
        Name.
    duration_s : float
        Part of the run that the series cover.
    keeps_calls : bool
        Whether each whole streamed answer is kept.
    """

    def __init__(
        self, account: str, *, duration_s: float, keeps_calls: bool = False
    ) -> None:
        buckets = math.ceil(duration_s / BUCKET_S)
        self._account = account
        self._service_tokens = [0.0] * buckets
        self._least_waiting = [0] * buckets
        self._filled_count = 0
        self._waiting_count = 0
        self._bucket_low = 0
        self._sent_count = 0
        self._prompt_tokens = 0
        self._generated_tokens = 0
        self._largest_tokens = 0.0
        self._outcomes: dict[tuple[Outcome, str, str], int] = {}
        self._first_token = new_histogram()
        self._between_tokens = new_histogram()
        self._whole = new_histogram()
        self._keeps_calls = keeps_calls
        self._calls: list[CallSample] = []

    def sent(self, *, at_s: float) -> None:
        """Note a request that waits from now on; times count from the start."""
        self._advance(at_s)
        self._sent_count += 1
        self._waiting_count += 1

    def stopped_waiting(self, *, at_s: float) -> None:
        """Note the first token of a request, or its end without one."""
        self._advance(at_s)
        self._waiting_count -= 1
        self._bucket_low = min(self._bucket_low, self._waiting_count)

    def received(self, tokens: float, *, at_s: float) -> None:
        """Note service received."""
        bucket = int(at_s / BUCKET_S)
        if 0 <= bucket < len(self._service_tokens):
            self._service_tokens[bucket] += tokens

    def ended(self, end: CallEnd) -> None:
        """Note the end of a call."""
        self._count(end.judgement)
        if end.token_times_s:
            _record(self._first_token, end.token_times_s[0] - end.sent_s)
        for pause_s in end.pauses_s:
            _record(self._between_tokens, pause_s)
        if end.is_whole:
            _record(self._whole, end.ended_s - end.sent_s)
        if end.is_whole and end.token_times_s and self._keeps_calls:
            self._calls.append(end.sample())
        self._prompt_tokens += end.prompt_tokens
        self._generated_tokens += end.generated_tokens
        self._largest_tokens = max(self._largest_tokens, end.service_tokens)

    def _count(self, judgement: Judgement) -> None:
        refusal = judgement.refusal
        reason = refusal.reason if refusal else judgement.fault
        key = (judgement.outcome, reason, refusal.ran if refusal else "")
        self._outcomes[key] = self._outcomes.get(key, 0) + 1

    def _advance(self, at_s: float) -> None:
        bucket = min(int(at_s / BUCKET_S), len(self._least_waiting))
        while self._filled_count < bucket:
            self._least_waiting[self._filled_count] = self._bucket_low
            self._filled_count += 1
            self._bucket_low = self._waiting_count

    def record(self, *, at_s: float) -> AccountRecord:
        """Return all that was collected up to ``at_s``."""
        self._advance(at_s)
        return AccountRecord(
            account=self._account,
            sent_count=self._sent_count,
            prompt_tokens=self._prompt_tokens,
            generated_tokens=self._generated_tokens,
            largest_request_tokens=self._largest_tokens,
            outcomes=[
                OutcomeCount(outcome=outcome, reason=reason, ran=ran, count=count)
                for (outcome, reason, ran), count in sorted(
                    self._outcomes.items(), key=str
                )
            ],
            first_token=self._first_token.encode().decode(),
            between_tokens=self._between_tokens.encode().decode(),
            whole=self._whole.encode().decode(),
            service_tokens=self._service_tokens,
            least_waiting=self._least_waiting,
            calls=self._calls,
        )

"""Records latencies, outcomes and service over time, per account, in one worker."""

import itertools
import math

import attrs
from hdrh.histogram import HdrHistogram

from citrondock_bench.answer import CallResult, Outcome

BUCKET_S = 0.05
MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_S = 1_000_000


def new_histogram() -> HdrHistogram:
    """Return an empty latency histogram in microseconds."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


def _record_duration(histogram: HdrHistogram, seconds: float) -> None:
    microseconds = max(MIN_US, round(seconds * MICROSECONDS_PER_S))
    histogram.record_value(min(MAX_US, microseconds))


@attrs.frozen(kw_only=True)
class OutcomeCount:
    """Number of calls with the same outcome and reason.

    Parameters
    ----------
    outcome : Outcome
        Outcome of the calls.
    reason, ran : str
        Reason of the refusal and whether the request ran; without a refusal the error
        that was found, and empty.
    count : int
        Number of calls.
    """

    outcome: Outcome
    reason: str
    ran: str
    count: int


@attrs.frozen(kw_only=True)
class CallSample:
    """Times of one complete streamed answer.

    Parameters
    ----------
    endpoint, request_id : str
        Name of the endpoint, and the request id in the answer.
    sent_s, first_token_s : float
        Monotonic times of sending and of the first token.
    longest_pause_s : float
        Longest time between two successive tokens.
    """

    endpoint: str
    request_id: str
    sent_s: float
    first_token_s: float
    longest_pause_s: float


@attrs.frozen(kw_only=True)
class CallEnd:
    """Result, times and usage of a call that has ended.

    Parameters
    ----------
    judgement : CallResult
        Outcome of the call, with the refusal or error.
    sent_s, ended_s : float
        Monotonic times of sending and of the end.
    token_times_s : list of float
        Monotonic times of its tokens.
    prompt_tokens, generated_tokens : int
        Usage that the target reported.
    service_tokens : float
        Cost of the call by that usage.
    endpoint, request_id : str
        Name of the endpoint, and the request id in the answer.
    """

    judgement: CallResult
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
        """Whether the answer was complete and correct."""
        return self.judgement.outcome is Outcome.WHOLE

    @property
    def pauses_s(self) -> list[float]:
        """Times between successive tokens."""
        return [
            later - former for former, later in itertools.pairwise(self.token_times_s)
        ]

    def sample(self) -> CallSample:
        """Return the times of a complete streamed answer."""
        return CallSample(
            endpoint=self.endpoint,
            request_id=self.request_id,
            sent_s=self.sent_s,
            first_token_s=self.token_times_s[0],
            longest_pause_s=max(self.pauses_s, default=0.0),
        )


@attrs.frozen(kw_only=True)
class AccountRecord:
    """Measurements of one account by one worker.

    Parameters
    ----------
    account : str
        Name of the account.
    sent_count, prompt_tokens, generated_tokens : int
        Number of requests sent, and tokens by the reported usage.
    largest_request_tokens : float
        Cost of the most expensive call.
    outcomes : list of OutcomeCount
        Number of calls by outcome and reason.
    first_token, between_tokens, whole : str
        Encoded histograms in microseconds: time to the first token, time between
        tokens, time of the whole call.
    service_tokens : list of float
        Tokens received in each bucket of `BUCKET_S`.
    least_waiting : list of int
        Smallest number of requests in each bucket that waited for a first token.
    calls : list of CallSample
        Complete streamed answers, if the plan asks for them.
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
    """Collects the measurements of one account.

    Parameters
    ----------
    account : str
        Name of the account.
    duration_s : float
        Time that the series over time cover, from the start of the run.
    keeps_calls : bool
        Whether each complete streamed answer is recorded.
    """

    def __init__(
        self, account: str, *, duration_s: float, keeps_calls: bool = False
    ) -> None:
        buckets = math.ceil(duration_s / BUCKET_S)
        self._account = account
        self._service_tokens = [0.0] * buckets
        self._least_waiting = [0] * buckets
        self._filled_bucket_count = 0
        self._waiting_count = 0
        self._bucket_least_waiting = 0
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

    def record_sent(self, *, at_s: float) -> None:
        """Record that a request was sent and waits for its first token.

        All times are seconds since the start of the run.
        """
        self._fill_buckets(at_s)
        self._sent_count += 1
        self._waiting_count += 1

    def record_wait_end(self, *, at_s: float) -> None:
        """Record the first token of a request, or its end without one."""
        self._fill_buckets(at_s)
        self._waiting_count -= 1
        self._bucket_least_waiting = min(
            self._bucket_least_waiting, self._waiting_count
        )

    def record_service(self, tokens: float, *, at_s: float) -> None:
        """Add received service to the bucket of this time."""
        bucket = int(at_s / BUCKET_S)
        if 0 <= bucket < len(self._service_tokens):
            self._service_tokens[bucket] += tokens

    def record_end(self, end: CallEnd) -> None:
        """Record the outcome, latencies and usage of an ended call."""
        self._count_outcome(end.judgement)
        if end.token_times_s:
            _record_duration(self._first_token, end.token_times_s[0] - end.sent_s)
        for pause_s in end.pauses_s:
            _record_duration(self._between_tokens, pause_s)
        if end.is_whole:
            _record_duration(self._whole, end.ended_s - end.sent_s)
        if end.is_whole and end.token_times_s and self._keeps_calls:
            self._calls.append(end.sample())
        self._prompt_tokens += end.prompt_tokens
        self._generated_tokens += end.generated_tokens
        self._largest_tokens = max(self._largest_tokens, end.service_tokens)

    def _count_outcome(self, result: CallResult) -> None:
        refusal = result.refusal
        reason = refusal.reason if refusal else result.error
        key = (result.outcome, reason, refusal.ran if refusal else "")
        self._outcomes[key] = self._outcomes.get(key, 0) + 1

    def _fill_buckets(self, at_s: float) -> None:
        bucket = min(int(at_s / BUCKET_S), len(self._least_waiting))
        while self._filled_bucket_count < bucket:
            self._least_waiting[self._filled_bucket_count] = self._bucket_least_waiting
            self._filled_bucket_count += 1
            self._bucket_least_waiting = self._waiting_count

    def build_record(self, *, at_s: float) -> AccountRecord:
        """Return the measurements up to ``at_s``."""
        self._fill_buckets(at_s)
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

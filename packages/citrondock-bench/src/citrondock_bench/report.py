"""Merges the records of all workers into a report, as JSON and as tables."""

from collections.abc import Sequence
from pathlib import Path

import attrs
import cattrs
import orjson
from hdrh.histogram import HdrHistogram

from citrondock_bench.answer import Outcome
from citrondock_bench.plan import LoadPlan
from citrondock_bench.recorder import (
    BUCKET_S,
    AccountRecord,
    CallSample,
    OutcomeCount,
    new_histogram,
)
from citrondock_bench.table import format_table

MICROSECONDS_PER_MS = 1000


@attrs.frozen(kw_only=True)
class Latency:
    """Percentiles of a latency, in milliseconds."""

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float

    @classmethod
    def of(cls, histogram: HdrHistogram) -> "Latency":
        """Return the percentiles of a histogram of microseconds."""

        def at(percentile: float) -> float:
            return histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_MS

        return cls(
            count=histogram.get_total_count(),
            p50_ms=at(50),
            p95_ms=at(95),
            p99_ms=at(99),
            max_ms=at(100),
        )


@attrs.frozen(kw_only=True)
class ServiceSeries:
    """Service and waiting requests of an account over time.

    Parameters
    ----------
    bucket_s : float
        Length of a bucket in seconds.
    service_tokens : list of float
        Tokens received in each bucket.
    least_waiting : list of int
        Smallest number of waiting requests in each bucket; above 0 the account was
        backlogged throughout the bucket.
    """

    bucket_s: float
    service_tokens: list[float]
    least_waiting: list[int]


@attrs.frozen(kw_only=True)
class AccountReport:
    """Measurements of one account, summed over all workers."""

    account: str
    weight: float
    sent_count: int
    prompt_tokens: int
    generated_tokens: int
    largest_request_tokens: float
    outcomes: list[OutcomeCount]
    first_token: Latency
    between_tokens: Latency
    whole: Latency
    series: ServiceSeries
    calls: list[CallSample]

    def count(self, outcome: Outcome) -> int:
        """Return the number of calls with this outcome."""
        return sum(one.count for one in self.outcomes if one.outcome is outcome)


@attrs.frozen(kw_only=True)
class LoadReport:
    """Report of a load run.

    Parameters
    ----------
    plan : LoadPlan
        Plan of the run.
    run_id : str
        Random id of the run.
    started_at_s : float
        Monotonic time of the start.
    accounts : list of AccountReport
        Measurements of each account.
    first_token, between_tokens, whole : Latency
        Latencies over all accounts.
    """

    plan: LoadPlan
    run_id: str
    started_at_s: float
    accounts: list[AccountReport]
    first_token: Latency
    between_tokens: Latency
    whole: Latency

    def count(self, outcome: Outcome) -> int:
        """Return the number of calls of all accounts with this outcome."""
        return sum(account.count(outcome) for account in self.accounts)

    def write(self, path: Path) -> None:
        """Write the report as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(
            orjson.dumps(cattrs.unstructure(self), option=orjson.OPT_INDENT_2)
        )

    def table(self) -> str:
        """Return a table with one row for each account."""
        header = (
            "account", "sent", "whole", "refused", "other", "tokens",
            "first p50 ms", "first p95 ms", "between p95 ms", "whole p95 ms",
        )  # fmt: skip
        return format_table(header, [_row(account) for account in self.accounts])

    def outcome_table(self) -> str:
        """Return a table of the calls without a complete answer, by reason."""
        totals = _sum_outcomes(self.accounts)
        rows = [
            (one.outcome.value, one.reason, one.ran, str(one.count))
            for one in totals
            if one.outcome is not Outcome.WHOLE
        ]
        return format_table(("outcome", "reason", "ran", "count"), rows)


def _row(account: AccountReport) -> tuple[str, ...]:
    whole = account.count(Outcome.WHOLE)
    refused = account.count(Outcome.REFUSED)
    ended = sum(one.count for one in account.outcomes)
    return (
        account.account,
        str(account.sent_count),
        str(whole),
        str(refused),
        str(ended - whole - refused),
        str(account.prompt_tokens + account.generated_tokens),
        f"{account.first_token.p50_ms:.1f}",
        f"{account.first_token.p95_ms:.1f}",
        f"{account.between_tokens.p95_ms:.1f}",
        f"{account.whole.p95_ms:.1f}",
    )


def _sum_outcomes(
    parts: Sequence[AccountReport] | Sequence[AccountRecord],
) -> list[OutcomeCount]:
    totals: dict[tuple[Outcome, str, str], int] = {}
    for part in parts:
        for one in part.outcomes:
            key = (one.outcome, one.reason, one.ran)
            totals[key] = totals.get(key, 0) + one.count
    return [
        OutcomeCount(outcome=outcome, reason=reason, ran=ran, count=count)
        for (outcome, reason, ran), count in sorted(totals.items(), key=str)
    ]


def _merge_histograms(encoded: Sequence[str]) -> HdrHistogram:
    total = new_histogram()
    for one in encoded:
        total.decode_and_add(one)
    return total


def _account_report(
    name: str, weight: float, records: Sequence[AccountRecord]
) -> AccountReport:
    return AccountReport(
        account=name,
        weight=weight,
        sent_count=sum(one.sent_count for one in records),
        prompt_tokens=sum(one.prompt_tokens for one in records),
        generated_tokens=sum(one.generated_tokens for one in records),
        largest_request_tokens=max(one.largest_request_tokens for one in records),
        outcomes=_sum_outcomes(records),
        first_token=Latency.of(_merge_histograms([one.first_token for one in records])),
        between_tokens=Latency.of(
            _merge_histograms([one.between_tokens for one in records])
        ),
        whole=Latency.of(_merge_histograms([one.whole for one in records])),
        series=ServiceSeries(
            bucket_s=BUCKET_S,
            service_tokens=[
                sum(parts)
                for parts in zip(*(one.service_tokens for one in records), strict=True)
            ],
            least_waiting=[
                sum(parts)
                for parts in zip(*(one.least_waiting for one in records), strict=True)
            ],
        ),
        calls=[call for one in records for call in one.calls],
    )


def merge_records(
    plan: LoadPlan,
    workers: Sequence[Sequence[AccountRecord]],
    *,
    run_id: str,
    started_at_s: float,
) -> LoadReport:
    """Return the report that sums up the records of all workers."""
    records = [record for worker in workers for record in worker]
    accounts = [
        _account_report(
            account.name,
            account.weight,
            [record for record in records if record.account == account.name],
        )
        for account in plan.accounts
    ]
    return LoadReport(
        plan=plan,
        run_id=run_id,
        started_at_s=started_at_s,
        accounts=accounts,
        first_token=Latency.of(_merge_histograms([one.first_token for one in records])),
        between_tokens=Latency.of(
            _merge_histograms([one.between_tokens for one in records])
        ),
        whole=Latency.of(_merge_histograms([one.whole for one in records])),
    )

"""Extracts from a load report the series that fairness and utilisation need."""

from collections.abc import Sequence

import attrs

from citrondock_bench.measures import AccountService
from citrondock_bench.report import LoadReport
from citrondock_bench.scenario import ZONE_SEPARATOR


def work_waited(report: LoadReport) -> list[bool]:
    """Return for each bucket whether at least one request waited throughout it."""
    series = [account.series.least_waiting for account in report.accounts]
    return [any(bucket) for bucket in zip(*series, strict=True)]


def largest_request_tokens(report: LoadReport) -> float:
    """Return the largest cost of a request over the weight of its account."""
    return max(
        account.largest_request_tokens / account.weight for account in report.accounts
    )


def account_services(report: LoadReport) -> list[AccountService]:
    """Return the service of each account over time, for the fairness gap."""
    return [
        AccountService(
            account=account.account,
            weight=account.weight,
            service_tokens=account.series.service_tokens,
            backlogged=[count > 0 for count in account.series.least_waiting],
        )
        for account in report.accounts
    ]


def slice_buckets(service: AccountService, buckets: slice) -> AccountService:
    """Return the service in some of the buckets only."""
    return attrs.evolve(
        service,
        service_tokens=service.service_tokens[buckets],
        backlogged=service.backlogged[buckets],
    )


def sum_by_account(parts: Sequence[AccountService]) -> list[AccountService]:
    """Sum the per-zone parts of each account.

    The account counts as backlogged in a bucket if any of its parts was.
    """
    totals: dict[str, AccountService] = {}
    for part in parts:
        name = part.account.partition(ZONE_SEPARATOR)[0]
        total = totals.get(name)
        if total is None:
            totals[name] = attrs.evolve(part, account=name)
            continue
        totals[name] = attrs.evolve(
            total,
            service_tokens=[
                a + b
                for a, b in zip(total.service_tokens, part.service_tokens, strict=True)
            ],
            backlogged=[
                a or b for a, b in zip(total.backlogged, part.backlogged, strict=True)
            ],
        )
    return list(totals.values())

"""Prometheus metrics of one gateway process."""

from collections.abc import Mapping

import attrs

from citrondock_router.gateway.outcome import Outcome
from citrondock_router.metric_registry import MetricRegistry

_DELAY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0)
_ERROR_BUCKETS_S = (-0.2, -0.1, -0.05, 0.0, 0.05, 0.1, 0.2, 0.4, 1.0)
_LAG_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)

MAX_ACCOUNT_LABELS = 64
"""Accounts with a label of their own; each adds some lines to every scrape."""

OTHER_ACCOUNTS_LABEL = "other"
"""Label that all further accounts share."""


@attrs.frozen(kw_only=True)
class RouterState:
    """Values of a router's gauges at one moment.

    Parameters
    ----------
    configuration_version : int
        Version of the active configuration.
    target_count : int
        Known targets.
    peer_bytes : int
        Bytes sent to other routers since the start.
    opened_connections : int
        Connections to targets opened since the start.
    home_waiting_count, home_granted_count : int
        Prompts of all routers that wait for, or were granted for, engines whose home is
        this router.
    silent_home_count, late_answer_count : int
        Home routers that were taken for silent, and answers to grant requests that came
        after these had ended, since the start.
    expired_grant_count : int
        Grants of this router whose end was not reported, since the start.
    engine_crash_count : int
        Crashes of engines that this router found or was told of, since the start.
    withheld_part_count : int
        Prompt parts that are withheld from engines.
    dropped_log_line_count : int
        Log lines that were dropped since the log last reported drops.
    evacuated_zone_count, cold_target_count : int
        Zones whose targets get no requests, and targets that are warming up.
    held_bytes : int
        Bytes that are held for clients.
    memory_released_count, memory_refused_count : int
        Clients whose bytes were dropped, and complete requests that were refused, for
        lack of memory since the start.
    waiting_by_service : mapping of str to int
        Requests that wait on this router for a target, by service.
    retries_left_by_service : mapping of str to float
        Retries that the budget allows now, by service.
    store_age_s_by_kind : mapping of str to float
        Seconds since the last answer of the store, by kind of objects.
    """

    configuration_version: int
    target_count: int
    peer_bytes: int
    opened_connections: int
    home_waiting_count: int
    home_granted_count: int
    silent_home_count: int
    late_answer_count: int
    expired_grant_count: int
    engine_crash_count: int
    withheld_part_count: int
    dropped_log_line_count: int
    evacuated_zone_count: int
    cold_target_count: int
    held_bytes: int
    memory_released_count: int
    memory_refused_count: int
    waiting_by_service: Mapping[str, int]
    retries_left_by_service: Mapping[str, float]
    store_age_s_by_kind: Mapping[str, float]


class GatewayMetrics:
    """Collects the metrics of one router and renders them for Prometheus."""

    def __init__(self) -> None:
        self._registry = MetricRegistry()
        self._requests = self._registry.counter(
            "requests", "Requests by service and outcome."
        )
        self._rejected = self._registry.counter(
            "rejected", "Bytes that were no request."
        )
        self._unanswered = self._registry.counter(
            "unanswered", "Whole requests whose connection ended without an answer."
        )
        self._denied_retries = self._registry.counter(
            "repeats_denied", "Repeats over the budget."
        )
        self._stalls = self._registry.counter(
            "silences", "Answers that stopped coming."
        )
        self._account_requests = self._registry.counter(
            "account_requests", "Requests by account and outcome."
        )
        self._accounts: set[str] = set()
        self._configuration = self._registry.gauge(
            "configuration_version", "Configuration in force."
        )
        self._targets = self._registry.gauge("targets", "Targets known.")
        self._totals = self._registry.gauge(
            "totals", "Peer bytes sent and target connections opened so far."
        )
        self._retries_left = self._registry.gauge(
            "repeats_left", "Repeats that the budget allows now."
        )
        self._waiting = self._registry.gauge(
            "requests_waiting", "Requests without a target."
        )
        self._home_requests = self._registry.gauge(
            "home_requests", "Prompts at the engines homed here."
        )
        self._grant_faults = self._registry.gauge(
            "grant_faults", "Silent homes, late answers and expired grants so far."
        )
        self._engine_crashes = self._registry.gauge(
            "engine_crashes", "Crashes of engines known so far."
        )
        self._withheld_parts = self._registry.gauge(
            "withheld_parts", "Prompt parts that are withheld from engines."
        )
        self._store_age = self._registry.gauge(
            "store_age_seconds", "Time since the store last answered."
        )
        self._log_lines_dropped = self._registry.gauge(
            "log_lines_dropped", "Lines dropped and not yet told of in the log."
        )
        self._evacuated_zones = self._registry.gauge(
            "evacuated_zones", "Zones whose targets get no requests."
        )
        self._cold_targets = self._registry.gauge(
            "cold_targets", "Targets that are warming up."
        )
        self._held_bytes = self._registry.gauge("held_bytes", "Bytes held for clients.")
        self._memory_shortages = self._registry.gauge(
            "memory_shortages", "Clients released and requests refused so far."
        )
        self._first_answer = self._registry.histogram(
            "first_answer_seconds", "Arrival to first bytes.", _DELAY_BUCKETS_S
        )
        self._loop_lag = self._registry.histogram(
            "loop_lag_seconds", "Lateness of timers.", _LAG_BUCKETS_S
        )
        self._prediction = self._registry.histogram(
            "prediction_error_seconds", "First answer less predicted.", _ERROR_BUCKETS_S
        )

    def count_request(self, service: str, account: str, outcome: Outcome) -> None:
        """Count a request that ended, by status and reason, and by account."""
        reason = outcome.reason.partition(":")[0]
        labels = {"service": service, "status": str(outcome.status), "reason": reason}
        self._requests.inc(labels)
        result = "failed"
        if outcome.is_complete:
            result = "served"
        elif outcome.is_refusal:
            result = "refused"
        account_label = self._account_label(account)
        labels = {"account": account_label, "service": service, "outcome": result}
        self._account_requests.inc(labels)

    def count_rejected(self, reason: str) -> None:
        """Count received bytes that could not be parsed as a request."""
        self._rejected.inc({"reason": reason})

    def count_unanswered(self, reason: str, stage: str) -> None:
        """Count a whole request that got no answer as its connection ended."""
        self._unanswered.inc({"reason": reason, "stage": stage})

    def count_denied_retry(self, service: str) -> None:
        """Count a retry that the retry budget did not allow."""
        self._denied_retries.inc({"service": service})

    def count_stall(self, service: str) -> None:
        """Count a request whose target sent no data for too long."""
        self._stalls.inc({"service": service})

    def observe_first_answer(self, service: str, delay_s: float) -> None:
        """Record the time from a request's arrival to the first response bytes."""
        self._first_answer.observe({"service": service}, delay_s)

    def observe_prediction(self, service: str, error_s: float) -> None:
        """Record how much later than predicted the first response bytes came."""
        self._prediction.observe({"service": service}, error_s)

    def observe_loop_lag(self, lag_s: float) -> None:
        """Record how late a timer of the event loop ran."""
        self._loop_lag.observe({}, lag_s)

    def set_state(self, state: RouterState) -> None:
        """Set the gauges of the router as a whole."""
        self._totals.set({"kind": "peer_bytes_sent"}, state.peer_bytes)
        opened = state.opened_connections
        self._totals.set({"kind": "target_connections_opened"}, opened)
        self._configuration.set({}, state.configuration_version)
        self._targets.set({}, state.target_count)
        self._home_requests.set({"state": "waiting"}, state.home_waiting_count)
        self._home_requests.set({"state": "granted"}, state.home_granted_count)
        self._grant_faults.set({"kind": "home_silent"}, state.silent_home_count)
        self._grant_faults.set({"kind": "answer_late"}, state.late_answer_count)
        self._grant_faults.set({"kind": "grant_expired"}, state.expired_grant_count)
        self._engine_crashes.set({}, state.engine_crash_count)
        self._withheld_parts.set({}, state.withheld_part_count)
        self._log_lines_dropped.set({}, state.dropped_log_line_count)
        self._evacuated_zones.set({}, state.evacuated_zone_count)
        self._cold_targets.set({}, state.cold_target_count)
        self._held_bytes.set({}, state.held_bytes)
        self._memory_shortages.set({"kind": "released"}, state.memory_released_count)
        self._memory_shortages.set({"kind": "refused"}, state.memory_refused_count)
        for service, count in state.waiting_by_service.items():
            self._waiting.set({"service": service}, count)
        for service, left in state.retries_left_by_service.items():
            self._retries_left.set({"service": service}, left)
        for kind, age_s in state.store_age_s_by_kind.items():
            self._store_age.set({"kind": kind}, age_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._registry.render()

    def _account_label(self, account: str) -> str:
        if account not in self._accounts:
            if len(self._accounts) >= MAX_ACCOUNT_LABELS:
                return OTHER_ACCOUNTS_LABEL
            self._accounts.add(account)
        return account

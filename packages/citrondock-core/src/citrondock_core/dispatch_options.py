"""Tuning parameters of the dispatcher."""

import attrs
from attrs.validators import ge, gt


@attrs.frozen(kw_only=True)
class DispatchOptions:
    """Parameters of fair shares, slot lending and the exchange of summaries.

    Parameters
    ----------
    band_tokens : float
        Tolerance band: lead in normalised service that a local account may have over
        one waiting at another router before a slot is lent to that router.
    quantum_tokens : float
        Smallest change of a counter that is sent.
    clamp_tokens : float
        Largest lead in normalised service over the lowest waiting account that is kept
        after a network partition.
    band_requests, quantum_requests, clamp_requests : float
        The same limits in multiples of the largest recent request; the smaller of the
        two limits applies.
    exchange_period_s, max_period_s : float
        Shortest and longest time between summaries.
    budget_bytes_per_s : float
        Rate of summaries in bytes per second; above it they are sent less often.
    refresh_period_s : float
        Longest time between two refreshes, which send everything again, changed or not.
        The time is shorter with few accounts.
    grant_ttl_s : float
        How long new requests may be started on a lent slot.
    in_flight_report_period_s : float
        Time between two reports of the requests in flight at targets of other routers.
    prompt_token_weight : float
        Cost of a prompt token, where a generated token costs 1.
    slot_second_tokens : float
        Cost of one second on a slot of a plain service.
    affinity_hold_s : float
        Wait of an account's first request after which no later request overtakes it
        for cache affinity.
    penalty_s : float
        How long a target gets no work after a failed connection, before it is tried
        again.
    max_waiting_requests, max_waiting_bytes : int
        Limits on the number and total body size of requests waiting at this router.
    """

    band_tokens: float = attrs.field(default=1_000.0, validator=ge(0))
    quantum_tokens: float = attrs.field(default=100.0, validator=ge(0))
    clamp_tokens: float = attrs.field(default=4_000.0, validator=gt(0))
    band_requests: float = attrs.field(default=1.0, validator=ge(0))
    quantum_requests: float = attrs.field(default=0.05, validator=ge(0))
    clamp_requests: float = attrs.field(default=2.0, validator=gt(0))
    exchange_period_s: float = attrs.field(default=0.5, validator=gt(0))
    max_period_s: float = attrs.field(default=4.0, validator=gt(0))
    budget_bytes_per_s: float = attrs.field(default=1_300.0, validator=gt(0))
    refresh_period_s: float = attrs.field(default=60.0, validator=gt(0))
    grant_ttl_s: float = attrs.field(default=30.0, validator=gt(0))
    in_flight_report_period_s: float = attrs.field(default=2.0, validator=gt(0))
    prompt_token_weight: float = attrs.field(default=0.2, validator=ge(0))
    slot_second_tokens: float = attrs.field(default=30.0, validator=gt(0))
    affinity_hold_s: float = attrs.field(default=0.5, validator=ge(0))
    penalty_s: float = attrs.field(default=2.0, validator=gt(0))
    max_waiting_requests: int = attrs.field(default=2_000, validator=ge(1))
    max_waiting_bytes: int = attrs.field(default=48_000_000, validator=ge(1))

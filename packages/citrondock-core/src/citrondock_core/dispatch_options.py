"""Settings of the dispatcher that operators rarely touch."""

import attrs
from attrs.validators import ge, gt


@attrs.frozen(kw_only=True)
class DispatchOptions:
    """Tuning of shares, slots and exchange.

    Parameters
    ----------
    band_tokens : float
        Lead in normalised service that an account may have over one that waits
        elsewhere before a slot is lent away from it.
    quantum_tokens : float
        Change of a counter below which it is not sent.
    clamp_tokens : float
        Largest lead over the lowest waiting account that outlasts a partition.
    band_requests, quantum_requests, clamp_requests : float
        The same in multiples of the largest request seen; the smaller one counts.
    exchange_period_s, max_period_s : float
        Shortest and longest time between summaries.
    budget_bytes_per_s : float
        Summaries sent, in bytes, beyond which they slow down.
    refresh_period_s : float
        Longest time after which everything is sent again, changed or not; with few
        accounts it is shorter.
    grant_ttl_s : float
        How long a lent slot may be used for new requests.
    statement_period_s : float
        Time between statements of what is in flight at targets of other homes.
    prompt_token_weight : float
        Cost of a prompt token; a generated token costs 1.
    slot_second_tokens : float
        Cost of holding a slot of a plain service for a second.
    affinity_hold_s : float
        Longest wait after which affinity no longer lets others go first.
    penalty_s : float
        How long a target whose connects fail gets no work before it is probed.
    max_waiting_requests, max_waiting_bytes : int
        Caps on all requests that wait at this router.
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
    statement_period_s: float = attrs.field(default=2.0, validator=gt(0))
    prompt_token_weight: float = attrs.field(default=0.2, validator=ge(0))
    slot_second_tokens: float = attrs.field(default=30.0, validator=gt(0))
    affinity_hold_s: float = attrs.field(default=0.5, validator=ge(0))
    penalty_s: float = attrs.field(default=2.0, validator=gt(0))
    max_waiting_requests: int = attrs.field(default=2_000, validator=ge(1))
    max_waiting_bytes: int = attrs.field(default=48_000_000, validator=ge(1))

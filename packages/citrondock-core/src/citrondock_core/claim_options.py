"""Retention, deadlines, limits and periods of claims."""

import attrs
from attrs.validators import ge, gt, le

from citrondock_core.object_store import MAX_VALUE_BYTES


@attrs.frozen(kw_only=True)
class ClaimOptions:
    """Retention, deadlines, limits and periods of claims.

    Parameters
    ----------
    shard_count : int
        Objects over which claims are spread; must be equal at all routers.
    window_s : float
        Time for which a claim is kept after it was acquired.
    send_within_s : float
        Time after the attempt to claim within which the call must be sent.
    send_margin_s : float
        Part of `send_within_s` reserved for transmission to the target.
    answer_within_s : float
        Time after which the holder of a held claim counts as dead.
    acquire_timeout_s : float
        Longest time for which a request waits for its claim.
    store_timeout_s : float
        Timeout of one call to the store.
    committer_count : int
        Number of threads that write shards.
    max_batch_size : int
        Most changes in one write.
    max_shard_bytes : int
        Largest encoded size of a shard.
    max_body_bytes : int
        Longest body of a response that is kept.
    max_pending_count : int
        Most changes that wait in memory while the store is unavailable.
    max_cached_bytes : int
        Most bytes of shards that a router caches to save reads.
    settle_s : float
        Time after a new era of the store is noticed in which no call is newly claimed,
        so that all routers can write again the claims that the store lost; at least
        `send_within_s`, and more than a reachable router takes to notice.
    remember_s : float
        Time for which ended claims are kept in memory to be written again; more than
        the age of a copy that the store comes back from.
    max_remembered_count : int
        Most ended claims kept in memory.
    min_backoff_s, max_backoff_s : float
        Longest delay before the first retry of a failed write, and before any.
    """

    shard_count: int = attrs.field(default=4096, validator=ge(1))
    window_s: float = attrs.field(default=3600.0, validator=gt(0))
    send_within_s: float = attrs.field(default=10.0, validator=gt(0))
    send_margin_s: float = attrs.field(default=1.0, validator=ge(0))
    answer_within_s: float = attrs.field(default=120.0, validator=gt(0))
    acquire_timeout_s: float = attrs.field(default=2.0, validator=gt(0))
    store_timeout_s: float = attrs.field(default=1.0, validator=gt(0))
    committer_count: int = attrs.field(default=4, validator=ge(1))
    max_batch_size: int = attrs.field(default=200, validator=ge(1))
    max_shard_bytes: int = attrs.field(
        default=900_000, validator=[ge(1), le(MAX_VALUE_BYTES)]
    )
    max_body_bytes: int = attrs.field(default=4096, validator=ge(0))
    max_pending_count: int = attrs.field(default=10_000, validator=ge(1))
    max_cached_bytes: int = attrs.field(default=2_000_000, validator=ge(0))
    settle_s: float = attrs.field(default=15.0, validator=gt(0))
    remember_s: float = attrs.field(default=60.0, validator=gt(0))
    max_remembered_count: int = attrs.field(default=4_000, validator=ge(1))
    min_backoff_s: float = attrs.field(default=0.2, validator=gt(0))
    max_backoff_s: float = attrs.field(default=5.0, validator=gt(0))

"""Delay that the path to an engine adds to each stream."""

import math
from collections.abc import Mapping, Sequence

import attrs
import numpy as np

from citrondock_bench.recorder import CallSample

MILLISECONDS_PER_S = 1000


@attrs.frozen(kw_only=True)
class EngineRun:
    """Times of one request in an engine stand-in's journal, on the monotonic clock."""

    arrived_s: float
    first_token_s: float


@attrs.frozen(kw_only=True)
class PathDelays:
    """Delays that the path between client and engine adds to the streams of one run.

    Parameters
    ----------
    stream_count : int
        Complete streams found both at the client and in an engine's journal.
    first_token_p50_ms, first_token_p95_ms : float
        Time from sending the request to the client's first token, minus the engine's
        time from arrival of the request to its first token.
    longest_pause_p95_ms : float
        Longest time between two tokens of a stream, at the 95th percentile of streams.
    """

    stream_count: int
    first_token_p50_ms: float
    first_token_p95_ms: float
    longest_pause_p95_ms: float


def path_delays(
    calls: Sequence[CallSample], runs: Mapping[tuple[str, str], EngineRun]
) -> PathDelays:
    """Return the delays of the path; infinite if no stream arrived complete.

    Parameters
    ----------
    calls : sequence of CallSample
        Complete streams as recorded by the client.
    runs : mapping of (str, str) to EngineRun
        Requests in the engines' journals, by endpoint and request id.
    """
    delays_ms = []
    pauses_ms = []
    for call in calls:
        run = runs.get((call.endpoint, call.request_id))
        if run is None:
            continue
        engine_s = run.first_token_s - run.arrived_s
        delays_ms.append(
            (call.first_token_s - call.sent_s - engine_s) * MILLISECONDS_PER_S
        )
        pauses_ms.append(call.longest_pause_s * MILLISECONDS_PER_S)
    if not delays_ms:
        return PathDelays(
            stream_count=0,
            first_token_p50_ms=math.inf,
            first_token_p95_ms=math.inf,
            longest_pause_p95_ms=math.inf,
        )
    p50_ms, p95_ms = np.percentile(delays_ms, [50, 95])
    return PathDelays(
        stream_count=len(delays_ms),
        first_token_p50_ms=float(p50_ms),
        first_token_p95_ms=float(p95_ms),
        longest_pause_p95_ms=float(np.percentile(pauses_ms, 95)),
    )

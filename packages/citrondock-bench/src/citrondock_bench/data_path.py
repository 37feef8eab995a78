"""What a router adds to each stream, against the engine asked directly."""

import math
from collections.abc import Mapping, Sequence

import attrs
import numpy as np

from citrondock_bench.recorder import CallSample

MILLISECONDS_PER_S = 1000


@attrs.frozen(kw_only=True)
class EngineRun:
    """One run of the journal of an engine stand-in, on the monotonic clock."""

    arrived_s: float
    first_token_s: float


@attrs.frozen(kw_only=True)
class PathDelays:
    """Time that the path adds, over the streams of one run.

    Parameters
    ----------
    stream_count : int
        Streams found both at the client and in a journal.
    first_token_p50_ms, first_token_p95_ms : float
        From the client's send to its first token, less the time that the engine took
        from the arrival to its first token.
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
    """Return what the path added; infinite delays where no stream came whole.

    Parameters
    ----------
    calls : sequence of CallSample
        What the client saw.
    runs : mapping of (str, str) to EngineRun
        Journals, by endpoint and request id.
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

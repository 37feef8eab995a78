"""HTTP stand-in for a plain service that logs its runs and finds repeated ones."""

import asyncio
import hashlib
import time
from collections import Counter, deque
from collections.abc import Mapping, Sequence

import attrs
from absl import flags

from citrondock_standins.http_server import (
    NOT_RUN_HEADERS,
    CountedFaults,
    HttpRequest,
    Reply,
    StandIn,
)

DELAY_MS = flags.DEFINE_float("delay_ms", 20.0, "Milliseconds that a call takes.")
MAX_CONCURRENT = flags.DEFINE_integer("max_concurrent", 16, "Calls that run at once.")

MAX_RUNS = 200_000
SLOW_BODY_PARTS = 10


@attrs.define(kw_only=True)
class PlainFaults(CountedFaults):
    """Faults of a plain service; counts apply to the next calls.

    Parameters
    ----------
    refuse_count : int
        Calls to refuse with status 503 and ``X-Ran: no``.
    close_before_count : int
        Calls whose connection is closed before they run.
    close_after_count : int
        Calls whose connection is closed after they ran.
    slow_body_ms : float
        Time over which a response body is spread, if not 0.
    body_bytes : int
        Length of response bodies of zero bytes; with 0, the response shows the run.
    delay_ms : float or None
        Time that a call takes; by default that of the flag.
    """

    refuse_count: int = 0
    close_before_count: int = 0
    close_after_count: int = 0
    slow_body_ms: float = 0.0
    body_bytes: int = 0
    delay_ms: float | None = None


@attrs.define(kw_only=True)
class PlainRun:
    """Log entry of a call that ran."""

    request_id: str
    idempotency_key: str
    method: str
    path: str
    query: Mapping[str, str]
    body_digest: str
    started_s: float
    ended_s: float | None = None

    @property
    def action(self) -> str:
        """Identity of what must run at most once.

        The idempotency key, or else the request id, or else the digest of the body.
        """
        return self.idempotency_key or self.request_id or self.body_digest


class PlainServiceStandIn(StandIn):
    """HTTP server that accepts any method and path and logs each call it runs."""

    def __init__(self, *, delay_ms: float, max_concurrent: int) -> None:
        self._delay_ms = delay_ms
        self._slots = asyncio.Semaphore(max_concurrent)
        self._faults = PlainFaults()
        self._runs: deque[PlainRun] = deque(maxlen=MAX_RUNS)

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Run a call, or handle a request to a control path."""
        if request.path == "/control/faults":
            self._faults = PlainFaults(**request.json())
            reply.send_json(200, {})
        elif request.path == "/control/runs":
            runs = [attrs.asdict(run) for run in self._runs]
            reply.send_json(200, {"runs": runs, "repeated": self._repeated_actions()})
        elif self._faults.take("close_before_count"):
            reply.close()
        elif self._faults.take("refuse_count"):
            reply.send_json(503, {"error": "refused"}, NOT_RUN_HEADERS)
        else:
            async with self._slots:
                await self._run(request, reply)

    async def _run(self, request: HttpRequest, reply: Reply) -> None:
        request_id = request.headers.get("x-request-id", "")
        run = PlainRun(
            request_id=request_id,
            idempotency_key=request.headers.get("idempotency-key", ""),
            method=request.method,
            path=request.path,
            query=request.query,
            body_digest=hashlib.sha256(request.body).hexdigest(),
            started_s=time.monotonic(),
        )
        self._runs.append(run)
        faults = self._faults
        closes = faults.take("close_after_count")
        delay_ms = self._delay_ms if faults.delay_ms is None else faults.delay_ms
        await asyncio.sleep(delay_ms / 1000)
        run.ended_s = time.monotonic()
        headers = {"X-Request-Id": request_id} if request_id else {}
        if closes:
            reply.close()
        elif faults.body_bytes:
            reply.start(200, headers)
            reply.write(bytes(faults.body_bytes))
            reply.end()
        elif faults.slow_body_ms:
            reply.start(200, headers)
            for part in range(SLOW_BODY_PARTS):
                reply.write(b"%d\n" % part)
                await asyncio.sleep(faults.slow_body_ms / 1000 / SLOW_BODY_PARTS)
            reply.end()
        else:
            reply.send_json(200, attrs.asdict(run), headers)

    def _repeated_actions(self) -> Sequence[str]:
        counts = Counter(run.action for run in self._runs)
        return [action for action, count in counts.items() if count > 1]


def create() -> PlainServiceStandIn:
    """Create the plain service that the flags describe."""
    return PlainServiceStandIn(
        delay_ms=DELAY_MS.value, max_concurrent=MAX_CONCURRENT.value
    )

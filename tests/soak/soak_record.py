"""Runs at targets and answers at clients, and the invariants that both must meet."""

import attrs

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MIN_SERVED_SHARE = 0.9
"""Least share of the requests after the last fault that must be served."""

LATE_TOLERANCE_S = 2.0
"""Time past its timeout after which a request counts as late; allows for a busy
machine."""


@attrs.define
class Run:
    """One run of a request at a target."""

    target: str
    first_event: int
    at_s: float


@attrs.define
class ObservedRequest:
    """One request and its answer as the client received it."""

    request_id: str
    kind: str
    router: str
    sent_at_s: float
    status: int = 0
    body: bytes = b""
    is_complete: bool = False
    ended_at_s: float = 0.0
    timeout_s: float = 0.0
    is_after_faults: bool = False
    router_was_stopped: bool = False
    takes_up: "ObservedRequest | None" = None
    """Request whose stream it goes on with."""

    @property
    def first(self) -> "ObservedRequest":
        """The request that brought the first event of its stream."""
        return self if self.takes_up is None else self.takes_up.first

    @property
    def received(self) -> bytes:
        """Whole events of its stream that the client has, from all requests."""
        before = b"" if self.takes_up is None else self.takes_up.received
        whole, end, _ = self.body.rpartition(b"\n\n")
        return before + whole + end

    @property
    def event_count(self) -> int:
        """Number of these events."""
        return self.received.count(b"\n\n")


def stream_event(number: int, request_id: str, version: str) -> bytes:
    """Return an event of a stream; events of different requests and versions differ."""
    return f"id: {number}\ndata: {request_id}-{number} {version}\n\n".encode()


def stream_body(request_id: str, count: int, version: str = "v1") -> bytes:
    """Return the body of a complete stream that one software version wrote."""
    return b"".join(
        stream_event(number, request_id, version) for number in range(count)
    )


def version_of(body: bytes) -> str:
    """Return the version that wrote the first event of a body; empty without one."""
    return body.partition(b"\n\n")[0].rpartition(b" ")[2].decode("latin-1")


def plain_body(request_id: str) -> bytes:
    """Return the body of a plain answer."""
    return f"answer to {request_id}".encode()


@attrs.define
class SoakRecord:
    """All runs and all answers of one soak.

    Attributes
    ----------
    runs : dict of str
        Runs at targets by request id.
    requests : list of ObservedRequest
        Requests of the clients.
    unexpected_exits : list of str
        Routers that exited without a signal of the soak.
    late_arrivals : list of str
        Requests that reached a target long after its entry was removed.
    stale_routers : list of str
        Routers that do not have what the store has, some seconds after the last fault.
    """

    event_count: int
    runs: dict[str, list[Run]] = attrs.field(factory=dict)
    requests: list[ObservedRequest] = attrs.field(factory=list)
    unexpected_exits: list[str] = attrs.field(factory=list)
    late_arrivals: list[str] = attrs.field(factory=list)
    stale_routers: list[str] = attrs.field(factory=list)

    def add_run(self, request_id: str, run: Run) -> None:
        """Add a run of a request."""
        self.runs.setdefault(request_id, []).append(run)

    def violations(self) -> list[str]:
        """Return each violated invariant, with the request id."""
        violations = [
            f"a router exited unexpectedly: {each}" for each in self.unexpected_exits
        ]
        violations += self.late_arrivals + self.stale_routers
        known = {request.request_id for request in self.requests}
        violations += [
            f"{r}: a target ran a request that no client sent"
            for r in self.runs.keys() - known
        ]
        for request in self.requests:
            violations += [
                f"{request.request_id}: {what}"
                for what in self._request_violations(request)
            ]
        return violations + self._recovery_violations()

    def _request_violations(self, request: ObservedRequest) -> list[str]:
        violations = []
        runs = self.runs.get(request.request_id, [])
        may_repeat = request.kind in ("safe", "resumable")
        if not may_repeat and len(runs) > 1:
            violations.append(f"{request.kind} ran {len(runs)} times")
        if not may_repeat and runs and request.status in NOT_RUN_STATUSES:
            violations.append(f"{request.status} for a request that ran")
        if request.status == 200:
            violations += self._answer_violations(request)
        if request.status in (400, 401, 404):
            violations.append(f"{request.status} for a valid request")
        elapsed_s = request.ended_at_s - request.sent_at_s
        if (
            not request.router_was_stopped
            and elapsed_s > request.timeout_s + LATE_TOLERANCE_S
        ):
            violations.append(
                f"took {elapsed_s:.1f} s with a timeout of {request.timeout_s} s"
            )
        return violations

    def _answer_violations(self, request: ObservedRequest) -> list[str]:
        if request.kind in ("safe", "unsafe"):
            expected = plain_body(request.request_id)
            body = request.body
        else:
            # What the client has of the stream, whatever requests brought it.
            before = request.takes_up.received if request.takes_up is not None else b""
            body = before + request.body
            first = request.first
            expected = stream_body(first.request_id, self.event_count, version_of(body))
        if request.is_complete and body != expected:
            return [f"a wrong answer looked complete: {body[-80:]!r}"]
        if not request.is_complete and not expected.startswith(body):
            return [f"events out of order, or of two versions: {body[-80:]!r}"]
        return []

    def _recovery_violations(self) -> list[str]:
        after = [request for request in self.requests if request.is_after_faults]
        served = sum(request.status == 200 and request.is_complete for request in after)
        if not after or served < MIN_SERVED_SHARE * len(after):
            return [
                f"after the last fault {served} of {len(after)} requests were served"
            ]
        return []

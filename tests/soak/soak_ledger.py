"""What targets ran and what clients saw, and the promises that both must keep."""

import attrs

REFUSED_AS_NOT_RUN = frozenset({408, 421, 429, 503})
RECOVERED_SHARE = 0.9
"""Part of the requests after the last fault that must be served."""

LATE_SLACK_S = 2.0
"""Time beyond a request's own after which it counts as held, on a busy machine."""


@attrs.define
class Run:
    """One run of a request at a target."""

    target: str
    first_event: int
    at_s: float


@attrs.define
class Seen:
    """What a client saw of one request."""

    request_id: str
    kind: str
    router: str
    sent_at_s: float
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    ended_at_s: float = 0.0
    time_s: float = 0.0
    is_after_faults: bool = False
    router_was_stopped: bool = False


def event(number: int, request_id: str) -> bytes:
    """Return an event of a stream; no two requests share one."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


def whole_stream(request_id: str, count: int) -> bytes:
    """Return all events of a stream."""
    return b"".join(event(number, request_id) for number in range(count))


def plain_body(request_id: str) -> bytes:
    """Return the body of a plain answer."""
    return f"answer to {request_id}".encode()


@attrs.define
class Ledger:
    """All runs and all answers of one soak."""

    event_count: int
    runs: dict[str, list[Run]] = attrs.field(factory=dict)
    seen: list[Seen] = attrs.field(factory=list)
    own_ends: list[str] = attrs.field(factory=list)
    late_arrivals: list[str] = attrs.field(factory=list)

    def ran(self, request_id: str, run: Run) -> None:
        """Note a run."""
        self.runs.setdefault(request_id, []).append(run)

    def broken_promises(self) -> list[str]:
        """Return every promise that was broken, with the request."""
        broken = [f"a router ended by itself: {end}" for end in self.own_ends]
        broken += self.late_arrivals
        known = {seen.request_id for seen in self.seen}
        broken += [
            f"{r}: a target ran what no client sent" for r in self.runs.keys() - known
        ]
        for seen in self.seen:
            broken += [f"{seen.request_id}: {what}" for what in self._broken_by(seen)]
        return broken + self._unrecovered()

    def _broken_by(self, seen: Seen) -> list[str]:
        broken = []
        runs = self.runs.get(seen.request_id, [])
        may_repeat = seen.kind in ("safe", "resumable")
        if not may_repeat and len(runs) > 1:
            broken.append(f"{seen.kind} ran {len(runs)} times")
        if not may_repeat and runs and seen.status in REFUSED_AS_NOT_RUN:
            broken.append(f"{seen.status} for a request that ran")
        if seen.status == 200:
            broken += self._wrong_answer(seen)
        if seen.status in (400, 401, 404):
            broken.append(f"{seen.status} for a proper request")
        held_s = seen.ended_at_s - seen.sent_at_s
        if not seen.router_was_stopped and held_s > seen.time_s + LATE_SLACK_S:
            broken.append(f"held for {held_s:.1f} s of {seen.time_s} s")
        return broken

    def _wrong_answer(self, seen: Seen) -> list[str]:
        if seen.kind in ("safe", "unsafe"):
            expected = plain_body(seen.request_id)
        else:
            expected = whole_stream(seen.request_id, self.event_count)
        if seen.is_whole and seen.body != expected:
            return [f"a wrong answer looked whole: {seen.body[-80:]!r}"]
        if not seen.is_whole and not expected.startswith(seen.body):
            return [f"events out of order: {seen.body[-80:]!r}"]
        return []

    def _unrecovered(self) -> list[str]:
        after = [seen for seen in self.seen if seen.is_after_faults]
        served = sum(seen.status == 200 and seen.is_whole for seen in after)
        if not after or served < RECOVERED_SHARE * len(after):
            return [
                f"after the last fault {served} of {len(after)} requests were served"
            ]
        return []

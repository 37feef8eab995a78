"""Checks that an answer is whole, its own, and as the stand-in says it must be."""

import enum
import json
import time
from collections.abc import Callable

import attrs

from citrondock_bench.http_call import HttpResponse

END_MARKER = "[DONE]"
_EVENT_END = b"\n\n"
_DATA_PREFIX = "data:"


class Outcome(enum.Enum):
    """What became of one call."""

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    WRONG = "wrong"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@attrs.frozen(kw_only=True)
class Refusal:
    """A typed refusal as the caller sees it."""

    reason: str
    step: str
    ran: str
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class Judgement:
    """Outcome of a call, with the refusal or the fault found."""

    outcome: Outcome
    refusal: Refusal | None = None
    fault: str = ""


def read_refusal(status: int, body: bytes) -> Refusal:
    """Return the typed refusal of a body, or one named after the status."""
    try:
        error = json.loads(body)["error"]
        return Refusal(
            reason=str(error["reason"]),
            step=str(error["step"]),
            ran=str(error["ran"]),
            retry_after_s=error.get("retry_after_s"),
        )
    except (ValueError, KeyError, TypeError):
        return Refusal(reason=f"untyped_{status}", step="unknown", ran="unknown")


class ChatAnswer:
    """Follows a streamed chat answer, event by event.

    Parameters
    ----------
    expected_text : callable
        Returns the text that the whole answer must hold.

    Attributes
    ----------
    token_times_s : list of float
        Monotonic times at which pieces of text arrived.
    prompt_tokens, generated_tokens : int
        Usage that the target reported.
    """

    def __init__(self, expected_text: Callable[[], str]) -> None:
        self.token_times_s: list[float] = []
        self.prompt_tokens = 0
        self.generated_tokens = 0
        self._buffer = bytearray()
        self._body = bytearray()
        self._ids: set[str] = set()
        self._text: list[str] = []
        self._expected_text = expected_text
        self._has_usage = False
        self._ended = False
        self._fault = ""

    @property
    def request_id(self) -> str:
        """Id that the answer carries, or empty."""
        return min(self._ids, default="")

    def feed(self, data: bytes) -> int:
        """Take body bytes and return how many pieces of text they completed."""
        before_count = len(self.token_times_s)
        self._buffer += data
        *events, rest = bytes(self._buffer).split(_EVENT_END)
        self._buffer = bytearray(rest)
        for event in events:
            self._take(event.decode())
        return len(self.token_times_s) - before_count

    def _take(self, event: str) -> None:
        for line in event.splitlines():
            if not line.startswith(_DATA_PREFIX):
                continue
            data = line.removeprefix(_DATA_PREFIX).strip()
            if self._ended:
                self._fault = "data after the end marker"
            elif data == END_MARKER:
                self._ended = True
            else:
                self._take_json(data)

    def _take_json(self, data: str) -> None:
        message = json.loads(data)
        if "error" in message:
            self._fault = f"error event: {message['error'].get('reason', 'unknown')}"
            return
        self._ids.add(str(message.get("id", "")))
        for choice in message.get("choices") or ():
            part = choice.get("delta") or choice.get("message") or {}
            if part.get("content"):
                self._text.append(part["content"])
                self.token_times_s.append(time.monotonic())
        self._take_usage(message.get("usage"))

    def _take_usage(self, usage: dict[str, int] | None) -> None:
        if usage:
            self._has_usage = True
            self.prompt_tokens = int(usage["prompt_tokens"])
            self.generated_tokens = int(usage["completion_tokens"])

    def take_whole(self, body: bytes) -> None:
        """Take an answer that is not streamed; its framing is its end marker."""
        try:
            self._take_json(body.decode())
            self._ended = True
        except ValueError:
            self._fault = "body is not JSON"

    def judge(self, response: HttpResponse) -> Judgement:
        """Say whether the answer is whole and this call's own."""
        if not (self._ended and response.complete):
            return Judgement(outcome=Outcome.CUT, fault=self._fault or "no end marker")
        fault = self._fault or self._content_fault(
            response.headers.get("x-request-id", "")
        )
        if fault:
            return Judgement(outcome=Outcome.WRONG, fault=fault)
        return Judgement(outcome=Outcome.WHOLE)

    def _content_fault(self, request_id: str) -> str:
        if self._ids - {request_id}:
            return f"ids {sorted(self._ids)} in the answer to {request_id}"
        if not self._has_usage:
            return "no usage"
        if "".join(self._text) != self._expected_text():
            return "text differs from what the engine sent"
        return ""

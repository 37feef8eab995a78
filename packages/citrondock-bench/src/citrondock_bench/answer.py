"""Checks that an answer is complete, belongs to its request and has the right text."""

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
    """How one call ended.

    ``WHOLE`` is a complete and correct answer, ``REFUSED`` an error status, ``CUT`` an
    answer that ended early, ``WRONG`` a complete answer with wrong content, ``FAILED``
    a call that broke off or got no HTTP answer, ``TIMED_OUT`` one that took too long.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    CUT = "cut"
    WRONG = "wrong"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


@attrs.frozen(kw_only=True)
class Refusal:
    """Reason that the server gave for refusing a request."""

    reason: str
    step: str
    ran: str
    retry_after_s: float | None = None


@attrs.frozen(kw_only=True)
class CallResult:
    """Outcome of a call, with the refusal or the error that was found."""

    outcome: Outcome
    refusal: Refusal | None = None
    error: str = ""


def read_refusal(status: int, body: bytes) -> Refusal:
    """Return the refusal in an error body, or ``untyped_<status>`` without one."""
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
    """Parses and checks one chat answer.

    Parameters
    ----------
    expected_text : callable
        Returns the text that the complete answer must have.

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
        self._error = ""

    @property
    def request_id(self) -> str:
        """Request id in the answer, or empty."""
        return min(self._ids, default="")

    def feed(self, data: bytes) -> int:
        """Parse bytes of a streamed body and return how many pieces of text arrived."""
        before_count = len(self.token_times_s)
        self._buffer += data
        *events, rest = bytes(self._buffer).split(_EVENT_END)
        self._buffer = bytearray(rest)
        for event in events:
            self._parse_event(event.decode())
        return len(self.token_times_s) - before_count

    def _parse_event(self, event: str) -> None:
        for line in event.splitlines():
            if not line.startswith(_DATA_PREFIX):
                continue
            data = line.removeprefix(_DATA_PREFIX).strip()
            if self._ended:
                self._error = "data after the end marker"
            elif data == END_MARKER:
                self._ended = True
            else:
                self._parse_message(data)

    def _parse_message(self, data: str) -> None:
        message = json.loads(data)
        if "error" in message:
            self._error = f"error event: {message['error'].get('reason', 'unknown')}"
            return
        self._ids.add(str(message.get("id", "")))
        for choice in message.get("choices") or ():
            part = choice.get("delta") or choice.get("message") or {}
            if part.get("content"):
                self._text.append(part["content"])
                self.token_times_s.append(time.monotonic())
        self._read_usage(message.get("usage"))

    def _read_usage(self, usage: dict[str, int] | None) -> None:
        if usage:
            self._has_usage = True
            self.prompt_tokens = int(usage["prompt_tokens"])
            self.generated_tokens = int(usage["completion_tokens"])

    def feed_unstreamed(self, body: bytes) -> None:
        """Parse the whole body of an answer that is not streamed.

        Such an answer has no end marker: it is complete if its HTTP framing is.
        """
        try:
            self._parse_message(body.decode())
            self._ended = True
        except ValueError:
            self._error = "body is not JSON"

    def check(self, response: HttpResponse) -> CallResult:
        """Check that the answer is complete and has the expected id and text."""
        if not (self._ended and response.complete):
            return CallResult(outcome=Outcome.CUT, error=self._error or "no end marker")
        error = self._error or self._find_content_error(
            response.headers.get("x-request-id", "")
        )
        if error:
            return CallResult(outcome=Outcome.WRONG, error=error)
        return CallResult(outcome=Outcome.WHOLE)

    def _find_content_error(self, request_id: str) -> str:
        if self._ids - {request_id}:
            return f"ids {sorted(self._ids)} in the answer to {request_id}"
        if not self._has_usage:
            return "no usage"
        if "".join(self._text) != self._expected_text():
            return "text differs from what the engine sent"
        return ""

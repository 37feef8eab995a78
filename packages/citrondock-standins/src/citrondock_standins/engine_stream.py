"""Writes the tokens of a run to a client, as an event stream or at once."""

import asyncio
import json
from collections.abc import Mapping

from citrondock_standins.engine_batch import ModelRun
from citrondock_standins.http_server import Reply

DONE_EVENT = b"data: [DONE]\n\n"


class TokenStream:
    """Response that sends the tokens of a run to one client.

    Parameters
    ----------
    run : ModelRun
        Run whose tokens are sent.
    reply : Reply
        Response to write to.
    response_id : str
        Request id that the response carries.
    is_streamed : bool
        Whether tokens are sent as they are generated, rather than in one document at
        the end of the run.
    next_index : int
        Index of the first token to send.
    die_after_tokens : int or None
        Number of tokens after which the connection is closed, as a fault.
    close_delimited : bool
        Whether the response ends when the connection closes, without a length.

    Attributes
    ----------
    finished : Future
        Done when nothing more will be sent.
    """

    def __init__(
        self,
        run: ModelRun,
        reply: Reply,
        *,
        response_id: str,
        is_streamed: bool = True,
        next_index: int = 0,
        die_after_tokens: int | None = None,
        close_delimited: bool = False,
    ) -> None:
        self.finished: asyncio.Future[None] = asyncio.Future()
        self._run = run
        self._reply = reply
        self._response_id = response_id
        self._is_streamed = is_streamed
        self._next_index = next_index
        self._die_after_tokens = die_after_tokens
        self._close_delimited = close_delimited
        self._head = (
            f'data: {{"id":{json.dumps(response_id)},"object":"chat.completion.chunk",'
            f'"index":%d,"choices":[{{"index":0,"delta":{{"content":"%s"}}}}]}}\n\n'
        )

    def open(self) -> None:
        """Send the head of a streamed response."""
        if self._is_streamed:
            self._start("text/event-stream")

    def advance(self) -> None:
        """Send the tokens generated since the last call, and finish with the run."""
        if self.finished.done():
            return
        limit = self._die_after_tokens
        if self._is_streamed:
            self._send_tokens()
        if limit is not None and self._run.generated_tokens >= limit:
            self.abandon()
        elif self._run.outcome == "done":
            self._complete()
        elif self._run.is_over:
            self.abandon()

    def abandon(self) -> None:
        """Close the connection without finishing the response."""
        if not self.finished.done():
            self._reply.close()
            self.finished.set_result(None)

    def _send_tokens(self) -> None:
        generated = self._run.generated_tokens
        if self._die_after_tokens is not None:
            generated = min(generated, self._die_after_tokens)
        token = self._run.generation.token
        indices = range(self._next_index, generated)
        events = "".join(self._head % (index, token(index)) for index in indices)
        if events:
            self._reply.write(events.encode())
            self._next_index = generated

    def _complete(self) -> None:
        if self._is_streamed:
            self._reply.write(self._last_event() + DONE_EVENT)
            self._reply.end()
        else:
            self._answer_whole()
        self.finished.set_result(None)

    def _last_event(self) -> bytes:
        document = {
            "id": self._response_id,
            "object": "chat.completion.chunk",
            "index": self._run.generated_tokens,
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": self._usage(),
        }
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    def _answer_whole(self) -> None:
        message = {"role": "assistant", "content": self._run.generation.text()}
        document = {
            "id": self._response_id,
            "object": "chat.completion",
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": self._usage(),
        }
        if self._close_delimited:
            self._start("application/json")
            self._reply.write(json.dumps(document).encode())
            self._reply.end()
        else:
            self._reply.send_json(200, document, {"X-Request-Id": self._response_id})

    def _usage(self) -> Mapping[str, int]:
        return {
            "prompt_tokens": self._run.generation.prompt_tokens,
            "completion_tokens": self._run.generated_tokens,
        }

    def _start(self, content_type: str) -> None:
        headers = {"Content-Type": content_type, "X-Request-Id": self._response_id}
        self._reply.start(200, headers, close_delimited=self._close_delimited)

"""Builds the HTTP request for a planned request."""

import json
import uuid
from typing import Any

from citrondock_bench.http_call import HttpRequest
from citrondock_bench.schedule import PlannedRequest
from citrondock_core.configuration import ServiceKind

CHAT_PATH = "/v1/chat/completions"
_FILLER_WORD = "mot "
_MAX_TOKENS_FACTOR = 4


def chat_document(planned: PlannedRequest) -> dict[str, Any]:
    """Return the JSON document of a chat request.

    ``max_tokens`` is larger than the number of tokens that the stand-in engine is told
    to generate, because a router is not to know the cost before the end.
    """
    prefix = f"{planned.prefix} " if planned.prefix else ""
    unique_word = f"{planned.account.name}-{planned.number} "
    filler_count = max(0, planned.prompt_tokens - 1 - bool(planned.prefix))
    content = prefix + unique_word + _FILLER_WORD * filler_count
    return {
        "model": planned.shape.model,
        "stream": planned.shape.stream,
        "max_tokens": planned.generated_tokens * _MAX_TOKENS_FACTOR,
        "standin_tokens": planned.generated_tokens,
        "messages": [{"role": "user", "content": content.strip()}],
    }


def _plain_body(planned: PlannedRequest) -> bytes:
    body = {"account": planned.account.name, "number": planned.number}
    return json.dumps(body).encode()


def build_request(planned: PlannedRequest, *, run_id: str) -> HttpRequest:
    """Return the HTTP request to send.

    Parameters
    ----------
    planned : PlannedRequest
        Planned request with its drawn sizes.
    run_id : str
        Id of the run, which makes its idempotency keys differ from those of other runs.
    """
    shape = planned.shape
    headers = {
        "Authorization": f"Bearer {planned.account.key}",
        "Content-Type": "application/json",
    }
    if shape.idempotency_keys:
        name = f"{run_id}/{planned.account.name}/{planned.number}"
        headers["Idempotency-Key"] = str(uuid.uuid5(uuid.NAMESPACE_URL, name))
    if shape.deadline_ms is not None:
        headers["X-Deadline-Ms"] = str(shape.deadline_ms)
    if planned.hint_tokens is not None:
        headers["X-Cost-Hint-Tokens"] = str(planned.hint_tokens)
    if planned.prefix:
        headers["X-Affinity"] = planned.prefix
    chat = shape.kind is ServiceKind.CHAT
    return HttpRequest(
        method="POST" if chat else shape.method,
        path=CHAT_PATH if chat else shape.path,
        headers=headers,
        body=json.dumps(chat_document(planned)).encode()
        if chat
        else _plain_body(planned),
        send_bytes_per_s=shape.send_bytes_per_s,
        read_bytes_per_s=shape.read_bytes_per_s,
    )

"""The HTTP request of a planned request."""

import json
import uuid

from citrondock_bench.http_call import HttpRequest
from citrondock_bench.schedule import PlannedRequest
from citrondock_core.configuration import ServiceKind

CHAT_PATH = "/v1/chat/completions"
_WORD = "mot "


def _chat_body(planned: PlannedRequest) -> bytes:
    prefix = f"{planned.prefix} " if planned.prefix else ""
    own = f"{planned.account.name}-{planned.number} "
    words = max(0, planned.prompt_tokens - 1 - bool(planned.prefix))
    content = prefix + own + _WORD * words
    body = {
        "model": planned.shape.model,
        "stream": planned.shape.stream,
        "max_tokens": planned.generated_tokens,
        "messages": [{"role": "user", "content": content.strip()}],
    }
    return json.dumps(body).encode()


def _plain_body(planned: PlannedRequest) -> bytes:
    body = {"account": planned.account.name, "number": planned.number}
    return json.dumps(body).encode()


def build_request(planned: PlannedRequest, *, run_id: str) -> HttpRequest:
    """Return what goes over the wire.

    Parameters
    ----------
    planned : PlannedRequest
        Request with its sizes drawn.
    run_id : str
        Sets the idempotency keys of one run apart from those of another.
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
        body=_chat_body(planned) if chat else _plain_body(planned),
        send_bytes_per_s=shape.send_bytes_per_s,
        read_bytes_per_s=shape.read_bytes_per_s,
    )

"""Builds requests to targets and interprets their responses."""

import time
from collections.abc import Mapping

from citrondock_core.configuration import Target
from citrondock_core.event_stream import usage_of
from citrondock_core.request import Usage
from citrondock_router.call import Call, CallPhase
from citrondock_router.relayed_call import RelayEnd
from citrondock_wire.body_decoder import BodyDecoder
from citrondock_wire.target_connection import (
    TargetError,
    TargetRequest,
    TargetResponseHead,
)

_NOT_RUN_STATUSES = frozenset({429, 503})
_DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "server",
        "transfer-encoding",
        "x-ran",
        "x-request-id",
    }
)


def target_of(call: Call) -> Target:
    """Return the target of a call's latest attempt.

    Raises
    ------
    ValueError
        When no attempt was made yet.
    """
    if call.target is None:
        raise ValueError(f"request {call.request_id} has no target")
    return call.target


def head_error(call: Call, reason: str) -> TargetError:
    """Return the error for a response whose head is not acceptable."""
    return TargetError(reason, step="head", peer=target_of(call).name)


def target_request(call: Call) -> TargetRequest:
    """Return the request that sends a call to its target."""
    headers = dict(call.headers)
    headers["X-Request-Id"] = call.request_id
    headers["X-Client-Account"] = call.account.name
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    return TargetRequest(
        method=call.method, path=call.path, headers=headers, body=call.body
    )


def resume_request(call: Call, end: RelayEnd) -> TargetRequest:
    """Return the request for the rest of a truncated stream."""
    # Events are numbered from 0; the engine continues after the given one.
    last_index = end.event_count - 1
    return TargetRequest(
        method="GET",
        path=f"/v1/requests/{call.request_id}/stream?after={last_index}",
        headers={"X-Request-Id": call.request_id},
    )


def has_matching_request_id(call: Call, head: TargetResponseHead) -> bool:
    """Whether the response carries the call's request id, or none."""
    return head.headers.get("x-request-id", call.request_id) == call.request_id


def says_not_run(head: TargetResponseHead) -> bool:
    """Whether the target states that it did not run the call."""
    says_no = head.headers.get("x-ran", "").lower() == "no"
    return says_no and head.status in _NOT_RUN_STATUSES


def headers_for_caller(call: Call, head: TargetResponseHead) -> Mapping[str, str]:
    """Return the response headers to forward to the caller."""
    headers = {
        name: value
        for name, value in head.headers.items()
        if name not in _DROPPED_HEADERS
    }
    if head.content_length_bytes is not None:
        headers["Content-Length"] = str(head.content_length_bytes)
    headers["X-Request-Id"] = call.request_id
    return headers


def decoder_of(head: TargetResponseHead) -> BodyDecoder:
    """Return a decoder for the body framing that a head declares."""
    return BodyDecoder(
        chunked=head.chunked, content_length_bytes=head.content_length_bytes
    )


def usage_of_call(call: Call, end: RelayEnd | None) -> Usage:
    """Return the resources that a call used, as far as its target reported them.

    ``end`` is None if no response was relayed.
    """
    slot_time_s = time.monotonic() - call.started_at_s if call.target else 0.0
    if not call.is_chat:
        return Usage(slot_time_s=slot_time_s)
    reported = None
    if end is not None:
        reported = end.usage if call.streaming else usage_of(end.body)
    if reported is None:
        count = 0 if end is None else end.event_count
        was_sent = call.phase not in (CallPhase.WAITING, CallPhase.OPENING)
        reported = Usage(generated_tokens=count, reported=not was_sent)
    return Usage(
        prompt_tokens=reported.prompt_tokens,
        generated_tokens=reported.generated_tokens,
        slot_time_s=slot_time_s,
        reported=reported.reported,
    )

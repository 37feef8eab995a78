"""HTTP client of the engines' control interface."""

import json
import time
from collections.abc import Mapping
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from citrondock_core.configuration import Target
from citrondock_core.engine_control import (
    EngineControl,
    EngineControlError,
    EngineOrder,
    EngineState,
    OrderFencedError,
    OrderLimitedError,
)
from citrondock_wire.bounded_http import pool_manager, read_body

MAX_STATE_BYTES = 1_048_576
"""Largest state of an engine."""

ORDER_STEP = "order"
STATE_STEP = "engine state"
FENCED_STATUS = 409
LIMITED_STATUS = 429


class HttpEngineControl(EngineControl):
    """HTTP client that reads engine states and sends orders; it never retries.

    Parameters
    ----------
    holder : str
        Name of this router, which engines write to their logs.
    """

    def __init__(self, *, holder: str = "") -> None:
        self._holder = holder
        self._http = pool_manager(num_pools=64, maxsize=1)

    def state(self, target: Target, *, timeout_s: float) -> EngineState:
        """Return the current state of an engine."""
        answer = self._call(STATE_STEP, target, "GET", "/v1/state", None, timeout_s)
        try:
            return _state_of(json.loads(answer))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise EngineControlError(
                f"malformed engine state: {error!r}", step=STATE_STEP, peer=target.name
            ) from error

    def order(
        self,
        target: Target,
        order: EngineOrder,
        *,
        fencing_token: int,
        order_id: str,
        timeout_s: float,
    ) -> None:
        """Send one order, without retries."""
        document = {
            "kind": order.kind.value,
            "name": order.name,
            "version": order.version,
            "fencing_token": fencing_token,
            "order_id": order_id,
            "holder": self._holder,
        }
        self._call(ORDER_STEP, target, "POST", "/v1/orders", document, timeout_s)

    def _call(
        self,
        step: str,
        target: Target,
        method: str,
        path: str,
        document: Mapping[str, object] | None,
        timeout_s: float,
    ) -> bytes:
        deadline_s = time.monotonic() + timeout_s
        try:
            answer = self._http.request(
                method,
                f"http://{target.host}:{target.port}{path}",
                body=json.dumps(document) if document else None,
                headers={"Content-Type": "application/json"},
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=timeout_s),
                preload_content=False,
            )
            body = read_body(answer, max_bytes=MAX_STATE_BYTES, deadline_s=deadline_s)
        except HTTPError as error:
            raise EngineControlError(str(error), step=step, peer=target.name) from error
        if answer.status != 200:
            kind = {
                FENCED_STATUS: OrderFencedError,
                LIMITED_STATUS: OrderLimitedError,
            }.get(answer.status, EngineControlError)
            raise kind(f"HTTP status {answer.status}", step=step, peer=target.name)
        return body


def _state_of(document: Mapping[str, Any]) -> EngineState:
    return EngineState(
        models=dict(document["models"]),
        adapters=frozenset(document["adapters"]),
        role=document.get("role", ""),
        loading=frozenset(document.get("loading", ())),
    )

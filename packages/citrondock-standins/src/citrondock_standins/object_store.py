"""HTTP stand-in for the object store of the platform."""

import asyncio
import base64
import time
from collections.abc import Mapping, Sequence

import attrs
from absl import flags

from citrondock_core.object_store import (
    MAX_VALUE_BYTES,
    ObjectNotFoundError,
    ObjectStoreError,
    StoreCallKind,
    StoredObject,
    StoreRestoredError,
    StoreUnavailableError,
    VersionConflictError,
)
from citrondock_standins.http_server import HttpRequest, Reply, StandIn
from citrondock_standins.store_core import Outage, StoreCore, StoreFaults

WRITES_PER_S = flags.DEFINE_float(
    "writes_per_s", 400.0, "Write calls allowed per second."
)
READS_PER_S = flags.DEFINE_float(
    "reads_per_s", 2000.0, "Read calls allowed per second."
)

ERA_HEADER = "X-Era"
OBJECTS_PATH = "/v1/objects"
DEFAULT_LIST_LIMIT = 500


class ObjectStoreStandIn(StandIn):
    """HTTP server for the object API and the control paths of a `StoreCore`."""

    def __init__(self, core: StoreCore) -> None:
        self._core = core
        self._changed = asyncio.Event()

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Handle a request to the object API or to a control path."""
        if request.path == "/control/faults":
            self._core.set_faults(StoreFaults(**request.json()))
            self._notify_watchers()
            reply.send_json(200, {})
        elif request.path == "/control/copy":
            self._core.take_copy()
            reply.send_json(200, {})
        elif request.path == "/control/restore":
            self._core.restore()
            self._notify_watchers()
            reply.send_json(200, {"era": self._core.era})
        elif request.path == "/control/calls":
            calls = [attrs.asdict(count) for count in self._core.calls()]
            reply.send_json(200, {"calls": calls})
        else:
            await self._serve(request, reply)

    async def _serve(self, request: HttpRequest, reply: Reply) -> None:
        kind = _call_kind(request)
        if kind is None:
            self._send(reply, 404, {"error": "no such path"})
            return
        client = request.headers.get("x-client", "")
        try:
            self._core.admit(kind, client=client, now_s=time.monotonic())
            await self._apply_outage(reply)
            if not reply.started:
                await self._answer(kind, request, reply)
        except StoreUnavailableError as error:
            status = 503 if error.reason == "outage" else 429
            self._send(reply, status, {"error": error.reason}, {"Retry-After": "1"})
        except ObjectNotFoundError as error:
            self._send(reply, 404, {"error": str(error)})
        except StoreRestoredError as error:
            self._send(reply, 410, {"error": str(error)})
        except VersionConflictError:
            version = self._core.version_of(_object_key(request))
            self._send(reply, 409, {"version": version})
        except ObjectStoreError as error:
            document: dict[str, object] = {"error": str(error)}
            self._send(reply, 413, document | {"max_bytes": MAX_VALUE_BYTES})

    def _send(
        self,
        reply: Reply,
        status: int,
        document: dict[str, object],
        headers: Mapping[str, str] | None = None,
    ) -> None:
        era = {ERA_HEADER: str(self._core.era)}
        reply.send_json(status, document, era | dict(headers or {}))

    async def _apply_outage(self, reply: Reply) -> None:
        while self._core.faults.outage is Outage.HANG:
            await self._changed.wait()
        if self._core.faults.outage is Outage.CLOSE:
            reply.close()

    async def _answer(
        self, kind: StoreCallKind, request: HttpRequest, reply: Reply
    ) -> None:
        key = _object_key(request)
        query = request.query
        if kind is StoreCallKind.GET:
            document: dict[str, object] = _encode(self._core.get(key))
        elif kind is StoreCallKind.LIST:
            found = self._core.list(
                query.get("prefix", ""),
                after_key=query.get("after_key", ""),
                limit=int(query.get("limit", DEFAULT_LIST_LIMIT)),
            )
            document = {"objects": _encode_all(found)}
        elif kind is StoreCallKind.WATCH:
            document = await self._watch(request)
        elif kind is StoreCallKind.DELETE:
            self._core.delete(
                key, if_version=int(query["if_version"]), if_era=_era(request)
            )
            document = {}
        else:
            body = request.json()
            value = base64.b64decode(body["value"], validate=True)
            version = self._core.put(
                key,
                value,
                if_version=int(body["if_version"]),
                if_era=_era(request),
            )
            document = {"version": version}
        is_write = request.method in ("PUT", "DELETE")
        if is_write:
            self._notify_watchers()
        era = self._core.era
        await asyncio.sleep(self._core.faults.slow_ms / 1000)
        if is_write and self._core.loses_answer(key):
            reply.close()
        else:
            reply.send_json(200, document, {ERA_HEADER: str(era)})

    async def _watch(self, request: HttpRequest) -> dict[str, object]:
        deadline_s = time.monotonic() + float(request.query["wait_s"])
        while True:
            result = self._core.changes(
                request.query.get("prefix", ""),
                after_version=int(request.query["after_version"]),
                era=_era(request),
            )
            left_s = deadline_s - time.monotonic()
            if result.changes or left_s <= 0:
                objects = _encode_all(result.changes)
                return {"version": result.version, "objects": objects}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue
            if self._core.faults.outage is not Outage.NONE:
                raise StoreUnavailableError("outage", step="watch", peer="store")

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def create() -> ObjectStoreStandIn:
    """Create the object store that the flags describe."""
    return ObjectStoreStandIn(
        StoreCore(writes_per_s=WRITES_PER_S.value, reads_per_s=READS_PER_S.value)
    )


def _call_kind(request: HttpRequest) -> StoreCallKind | None:
    if request.path == "/v1/watch":
        return StoreCallKind.WATCH
    if request.path == OBJECTS_PATH and request.method == "GET":
        return StoreCallKind.LIST
    if not request.path.startswith(OBJECTS_PATH + "/"):
        return None
    if request.method == "PUT":
        creates = int(request.json()["if_version"]) == 0
        return StoreCallKind.CREATE if creates else StoreCallKind.UPDATE
    return {"GET": StoreCallKind.GET, "DELETE": StoreCallKind.DELETE}.get(
        request.method
    )


def _object_key(request: HttpRequest) -> str:
    return request.path.removeprefix(OBJECTS_PATH + "/")


def _era(request: HttpRequest) -> int | None:
    era = request.headers.get(ERA_HEADER.lower())
    return None if era is None else int(era)


def _encode(stored: StoredObject) -> dict[str, object]:
    document = attrs.asdict(stored)
    document["value"] = base64.b64encode(stored.value).decode()
    return document


def _encode_all(objects: Sequence[StoredObject]) -> list[dict[str, object]]:
    return [_encode(each) for each in objects]

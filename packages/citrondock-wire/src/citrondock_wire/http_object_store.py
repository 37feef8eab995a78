"""HTTP client of the platform's object store."""

import base64
import binascii
import json
import threading
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import quote, urlencode, urlsplit

import attrs
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from citrondock_core.object_store import (
    MAX_VALUE_BYTES,
    AnswerLostError,
    ObjectNotFoundError,
    ObjectStore,
    ObjectStoreError,
    StoreCallKind,
    StoredObject,
    StoreRestoredError,
    StoreUnavailableError,
    VersionConflictError,
    WatchResult,
)
from citrondock_core.store_version import era_of, number_of, version_in
from citrondock_wire.bounded_http import connection_pool, read_body

ERA_HEADER = "X-Era"
DEFAULT_MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 134_217_728
"""Largest answer; a page holds 500 values of `MAX_VALUE_BYTES` at most."""
WATCH_ANSWER_MARGIN_S = 2.0


class StoreCallCounts:
    """Thread-safe counts of the calls made, by kind."""

    def __init__(self) -> None:
        self._counts: Counter[StoreCallKind] = Counter()
        self._lock = threading.Lock()

    def add(self, kind: StoreCallKind) -> None:
        """Count one call."""
        with self._lock:
            self._counts[kind] += 1

    def snapshot(self) -> Mapping[StoreCallKind, int]:
        """Return a copy of the counts, including kinds without calls."""
        with self._lock:
            return {kind: self._counts[kind] for kind in StoreCallKind}


@attrs.frozen(kw_only=True)
class _Answer:
    document: Mapping[str, Any]
    era: int


class HttpObjectStore(ObjectStore):
    """HTTP client of the object store; it never retries a call.

    The versions that it returns and takes hold the store's era, see `store_version`.

    Parameters
    ----------
    url : str
        Base URL of the store, for example ``"http://127.0.0.1:7000"``.
    client : str
        Client name under which the platform counts calls.
    max_connections : int
        Most connections kept open; a waiting watch occupies one.

    Attributes
    ----------
    calls : StoreCallCounts
        Counts of the calls made, by kind.
    """

    def __init__(
        self,
        url: str,
        *,
        client: str = "",
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
    ) -> None:
        self.calls = StoreCallCounts()
        self._base_path = urlsplit(url).path.rstrip("/")
        self._headers = {"X-Client": client, "Content-Type": "application/json"}
        self._pool = connection_pool(url, maxsize=max_connections)
        self._peer = f"object-store {self._pool.host}:{self._pool.port}"

    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return an object."""
        answer = self._call(StoreCallKind.GET, "GET", _path(key), timeout_s=timeout_s)
        entries = [answer.document]
        return self._decode_objects(StoreCallKind.GET, entries, answer.era)[0]

    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object and return its version."""
        return self._put(StoreCallKind.CREATE, key, value, 0, timeout_s)

    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        """Replace the value if the object's version is still ``if_version``."""
        return self._put(StoreCallKind.UPDATE, key, value, if_version, timeout_s)

    def delete(self, key: str, *, if_version: int, timeout_s: float = 2.0) -> None:
        """Delete the object if its version is still ``if_version``."""
        path = f"{_path(key)}?if_version={number_of(if_version)}"
        self._call(
            StoreCallKind.DELETE,
            "DELETE",
            path,
            base_version=if_version,
            timeout_s=timeout_s,
        )

    def list(
        self,
        prefix: str,
        *,
        after_key: str = "",
        limit: int = 500,
        timeout_s: float = 2.0,
    ) -> Sequence[StoredObject]:
        """Return objects under a prefix, ordered by key."""
        query = {"prefix": prefix, "after_key": after_key, "limit": limit}
        path = f"/v1/objects?{urlencode(query)}"
        answer = self._call(StoreCallKind.LIST, "GET", path, timeout_s=timeout_s)
        return self._decode_objects(
            StoreCallKind.LIST, answer.document.get("objects"), answer.era
        )

    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait for changes under ``prefix`` that are newer than ``after_version``."""
        query = {
            "prefix": prefix,
            "after_version": number_of(after_version),
            "wait_s": wait_s,
        }
        kind = StoreCallKind.WATCH
        answer = self._call(
            kind,
            "GET",
            f"/v1/watch?{urlencode(query)}",
            base_version=after_version,
            timeout_s=wait_s + WATCH_ANSWER_MARGIN_S,
        )
        if after_version and answer.era != era_of(after_version):
            raise self._error(
                StoreRestoredError,
                kind,
                f"the watch is of era {era_of(after_version)}, "
                f"the answer of era {answer.era}",
            )
        entries = answer.document.get("objects")
        return WatchResult(
            version=self._version(kind, answer),
            changes=self._decode_objects(kind, entries, answer.era),
        )

    def _put(
        self,
        kind: StoreCallKind,
        key: str,
        value: bytes,
        if_version: int,
        timeout_s: float,
    ) -> int:
        if len(value) > MAX_VALUE_BYTES:
            raise ObjectStoreError(
                f"the value of {key!r} has {len(value)} bytes, "
                f"more than the maximum of {MAX_VALUE_BYTES}",
                step=kind.value,
            )
        text = base64.b64encode(value).decode()
        document = {"value": text, "if_version": number_of(if_version)}
        answer = self._call(
            kind,
            "PUT",
            _path(key),
            body=json.dumps(document).encode(),
            base_version=if_version,
            timeout_s=timeout_s,
        )
        return self._version(kind, answer)

    def _call(
        self,
        kind: StoreCallKind,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        base_version: int = 0,
        timeout_s: float,
    ) -> _Answer:
        """Make a call; ``base_version`` is the one that it depends on, 0 if none."""
        self.calls.add(kind)
        headers = dict(self._headers)
        if base_version:
            headers[ERA_HEADER] = str(era_of(base_version))
        try:
            status, era, content = self._exchange(
                method, path, headers, body, timeout_s
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise self._error(StoreUnavailableError, kind, error) from error
        except (HTTPError, TimeoutError) as error:
            raise self._error(AnswerLostError, kind, error) from error
        if status != 200:
            raise self._status_error(kind, status, path)
        try:
            document = json.loads(content)
            answer_era = int(era)
        except ValueError as error:
            raise self._error(AnswerLostError, kind, error) from error
        if not isinstance(document, dict):
            raise self._error(AnswerLostError, kind, "the answer is not a JSON object")
        return _Answer(document=document, era=answer_era)

    def _exchange(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, str, bytes]:
        deadline_s = time.monotonic() + timeout_s
        response = self._pool.urlopen(
            method,
            self._base_path + path,
            body=body,
            headers=headers,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(total=timeout_s),
            preload_content=False,
        )
        content = read_body(response, max_bytes=MAX_ANSWER_BYTES, deadline_s=deadline_s)
        return response.status, response.headers.get(ERA_HEADER, "0"), content

    def _status_error(
        self, kind: StoreCallKind, status: int, path: str
    ) -> ObjectStoreError:
        by_status = {
            404: ObjectNotFoundError,
            409: VersionConflictError,
            410: StoreRestoredError,
            429: StoreUnavailableError,
            503: StoreUnavailableError,
        }
        default = AnswerLostError if status >= 500 else ObjectStoreError
        error = by_status.get(status, default)
        return self._error(error, kind, f"HTTP status {status} for {path}")

    def _decode_objects(
        self, kind: StoreCallKind, entries: Any, era: int
    ) -> Sequence[StoredObject]:
        try:
            return [_object_of(entry, era) for entry in entries]
        except (KeyError, TypeError, binascii.Error) as error:
            raise self._error(AnswerLostError, kind, error) from error

    def _version(self, kind: StoreCallKind, answer: _Answer) -> int:
        version = answer.document.get("version")
        if not isinstance(version, int):
            raise self._error(
                AnswerLostError, kind, "the answer has no integer version"
            )
        return version_in(answer.era, version)

    def _error(
        self, error: type[ObjectStoreError], kind: StoreCallKind, reason: object
    ) -> ObjectStoreError:
        return error(str(reason), step=kind.value, peer=self._peer)


def _path(key: str) -> str:
    return "/v1/objects/" + quote(key, safe="/")


def _object_of(entry: Mapping[str, Any], era: int) -> StoredObject:
    return StoredObject(
        key=entry["key"],
        version=version_in(era, entry["version"]),
        value=base64.b64decode(entry["value"], validate=True),
        deleted=entry.get("deleted", False),
    )

"""An object store that counts what passes through it."""

from collections.abc import Sequence

from citrondock_core.object_store import ObjectStore, StoredObject, WatchResult

HEAD_BYTES_PER_CALL = 400
"""Allowance for the HTTP heads of a request and its answer."""


class CountingStore(ObjectStore):
    """Counts calls and the bytes that the object API would carry."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self.read_calls = self.write_calls = 0
        self.read_bytes = self.written_bytes = 0

    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return the object."""
        found = self._store.get(key, timeout_s=timeout_s)
        self._read([found])
        return found

    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object."""
        self._written(key, value)
        return self._store.create(key, value, timeout_s=timeout_s)

    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        """Replace the value of an object."""
        self._written(key, value)
        return self._store.update(
            key, value, if_version=if_version, timeout_s=timeout_s
        )

    def delete(self, key: str, *, if_version: int, timeout_s: float = 2.0) -> None:
        """Delete an object."""
        self._written(key, b"")
        self._store.delete(key, if_version=if_version, timeout_s=timeout_s)

    def list(
        self,
        prefix: str,
        *,
        after_key: str = "",
        limit: int = 500,
        timeout_s: float = 2.0,
    ) -> Sequence[StoredObject]:
        """Return objects under a prefix."""
        found = self._store.list(
            prefix, after_key=after_key, limit=limit, timeout_s=timeout_s
        )
        self._read(found)
        return found

    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait for a change under a prefix."""
        result = self._store.watch(prefix, after_version=after_version, wait_s=wait_s)
        self._read(result.changes)
        return result

    def _read(self, found: Sequence[StoredObject]) -> None:
        self.read_calls += 1
        self.read_bytes += HEAD_BYTES_PER_CALL + sum(
            _carried_bytes(item.key, item.value) for item in found
        )

    def _written(self, key: str, value: bytes) -> None:
        self.write_calls += 1
        self.written_bytes += HEAD_BYTES_PER_CALL + _carried_bytes(key, value)


def _carried_bytes(key: str, value: bytes) -> int:
    return len(key) + 4 * ((len(value) + 2) // 3) + len('{"key":"","value":""}')

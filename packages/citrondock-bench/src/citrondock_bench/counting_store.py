"""An object store wrapper that counts calls and transferred bytes."""

from collections.abc import Sequence

from citrondock_core.object_store import ObjectStore, StoredObject, WatchResult

HEADER_BYTES_PER_CALL = 400
"""Estimated size of the HTTP headers of a request and its response."""


class CountingStore(ObjectStore):
    """Counts calls and the bytes that they would transfer over the HTTP object API.

    Parameters
    ----------
    store : ObjectStore
        Store that calls are passed on to.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self.read_calls = self.write_calls = 0
        self.read_bytes = self.written_bytes = 0

    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return the object."""
        found = self._store.get(key, timeout_s=timeout_s)
        self._count_read([found])
        return found

    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object."""
        self._count_write(key, value)
        return self._store.create(key, value, timeout_s=timeout_s)

    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        """Replace the value of an object."""
        self._count_write(key, value)
        return self._store.update(
            key, value, if_version=if_version, timeout_s=timeout_s
        )

    def delete(self, key: str, *, if_version: int, timeout_s: float = 2.0) -> None:
        """Delete an object."""
        self._count_write(key, b"")
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
        self._count_read(found)
        return found

    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait for a change under a prefix."""
        result = self._store.watch(prefix, after_version=after_version, wait_s=wait_s)
        self._count_read(result.changes)
        return result

    def _count_read(self, found: Sequence[StoredObject]) -> None:
        self.read_calls += 1
        self.read_bytes += HEADER_BYTES_PER_CALL + sum(
            _encoded_bytes(item.key, item.value) for item in found
        )

    def _count_write(self, key: str, value: bytes) -> None:
        self.write_calls += 1
        self.written_bytes += HEADER_BYTES_PER_CALL + _encoded_bytes(key, value)


def _encoded_bytes(key: str, value: bytes) -> int:
    return len(key) + 4 * ((len(value) + 2) // 3) + len('{"key":"","value":""}')

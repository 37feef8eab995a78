"""Interface of the platform's object store."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs

from citrondock_core.errors import CitrondockError

MAX_VALUE_BYTES = 1_000_000


class StoreCallKind(enum.Enum):
    """Kinds of store calls, by which the platform and our metrics count them."""

    GET = "get"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"


class ObjectStoreError(CitrondockError):
    """A call to the object store failed."""


class ObjectNotFoundError(ObjectStoreError):
    """No object exists under the key."""


class VersionConflictError(ObjectStoreError):
    """A conditional write found another version; it took no effect."""


class StoreRestoredError(ObjectStoreError):
    """The store came back from a copy after the version that a watch starts from.

    Changes may have been missed, and some have been undone: read the objects again.
    """


class StoreUnavailableError(ObjectStoreError):
    """The store refused the call or was not reached; the call took no effect."""


class AnswerLostError(ObjectStoreError):
    """The call was sent and no answer came; a write may have taken effect."""


@attrs.frozen(kw_only=True)
class StoredObject:
    """One version of one object.

    Parameters
    ----------
    key : str
        Name of the object, separated by slashes.
    version : int
        Version of the whole store at which this value was written, with the store's
        era, see `store_version`.
    value : bytes
        Content, at most `MAX_VALUE_BYTES` long.
    deleted : bool
        Whether this version is the deletion of the object; only watches report it.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@attrs.frozen(kw_only=True)
class WatchResult:
    """Result of a watch.

    Parameters
    ----------
    version : int
        Store version up to which `changes` is complete.
    changes : sequence of StoredObject
        Latest version of each changed object, oldest first.
    """

    version: int
    changes: Sequence[StoredObject]


class ObjectStore(ABC):
    """Versioned objects with conditional updates and watches.

    Every call takes at most ``timeout_s`` and raises an `ObjectStoreError` if it
    fails.

    The store may come back from an older copy. Versions hold its era, so that a
    conditional write based on a version of an earlier era raises
    `VersionConflictError`, and a watch from such a version raises `StoreRestoredError`.
    """

    @abstractmethod
    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return the object, or raise `ObjectNotFoundError`."""

    @abstractmethod
    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object and return its version.

        Raises `VersionConflictError` if the object already exists.
        """

    @abstractmethod
    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        """Replace the value if the object still has ``if_version``."""

    @abstractmethod
    def delete(self, key: str, *, if_version: int, timeout_s: float = 2.0) -> None:
        """Delete the object if it still has ``if_version``."""

    @abstractmethod
    def list(
        self,
        prefix: str,
        *,
        after_key: str = "",
        limit: int = 500,
        timeout_s: float = 2.0,
    ) -> Sequence[StoredObject]:
        """Return the objects under a prefix, sorted by key."""

    @abstractmethod
    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait until something under ``prefix`` is newer than ``after_version``.

        Returns no changes if nothing changed within ``wait_s``.
        """

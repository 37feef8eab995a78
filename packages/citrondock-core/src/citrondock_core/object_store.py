"""The platform's object API as the fleet sees it."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs

from citrondock_core.errors import CitrondockError

MAX_VALUE_BYTES = 1_000_000


class StoreCallKind(enum.Enum):
    """Kinds of calls by which the platform and our metrics count."""

    GET = "get"
    CREATE = "create"
    UPDATE = "update"
    DELETE = "delete"
    LIST = "list"
    WATCH = "watch"


class ObjectStoreError(CitrondockError):
    """A call to the object API failed."""


class ObjectNotFoundError(ObjectStoreError):
    """The key holds no object."""


class VersionConflictError(ObjectStoreError):
    """A conditional write met another version; it took no effect."""


class StoreUnavailableError(ObjectStoreError):
    """The store refused the call or was not reached; it took no effect."""


class AnswerLostError(ObjectStoreError):
    """The call was sent and no answer came; a write may have taken effect."""


@attrs.frozen(kw_only=True)
class StoredObject:
    """One version of one object.

    Parameters
    ----------
    key : str
        Slash-separated name.
    version : int
        Store-wide version at which this value was written.
    value : bytes
        At most `MAX_VALUE_BYTES`.
    deleted : bool
        Whether this version is the deletion; only watches report it.
    """

    key: str
    version: int
    value: bytes
    deleted: bool = False


@attrs.frozen(kw_only=True)
class WatchResult:
    """What a watch saw.

    Parameters
    ----------
    version : int
        Store version up to which `changes` is complete.
    changes : sequence of StoredObject
        Latest version of each object that changed, oldest first.
    """

    version: int
    changes: Sequence[StoredObject]


class ObjectStore(ABC):
    """Versioned objects with conditional updates and watches.

    Every call takes ``timeout_s``, the longest time it may take, and raises an
    `ObjectStoreError`.
    """

    @abstractmethod
    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return the object, or raise `ObjectNotFoundError`."""

    @abstractmethod
    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object and return its version.

        Raises `VersionConflictError` when the key holds an object already.
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
        """Return objects under a prefix, in the order of their keys."""

    @abstractmethod
    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait until something under ``prefix`` is newer than ``after_version``.

        Returns with no changes when nothing changed for ``wait_s``.
        """

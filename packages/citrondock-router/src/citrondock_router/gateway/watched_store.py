"""Objects that are listed once and then watched."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from citrondock_core.errors import CitrondockError


@attrs.define(eq=False)
class WatchedStoreError(CitrondockError):
    """The store gave no usable answer."""


@attrs.define(eq=False)
class HistoryGoneError(CitrondockError):
    """The store no longer knows the changes since a revision."""


@attrs.frozen(kw_only=True)
class WatchedObject:
    """One object.

    Parameters
    ----------
    name : str
        Name within its kind.
    revision : int
        Revision of its last change.
    value : mapping or None
        What was written, as decoded JSON; None if it is no object.
    is_deleted : bool
        Whether the change deleted it.
    """

    name: str
    revision: int
    value: Mapping[str, Any] | None
    is_deleted: bool = False


@attrs.frozen(kw_only=True)
class Snapshot:
    """Objects, or changes of objects, up to a revision of the store."""

    objects: Sequence[WatchedObject]
    revision: int


class WatchedStore(ABC):
    """A store whose kinds of objects can be watched."""

    @abstractmethod
    async def list(self, kind: str) -> Snapshot:
        """Return all objects of a kind.

        Raises
        ------
        WatchedStoreError
            If there is no usable answer.
        """

    @abstractmethod
    async def watch(self, kind: str, *, after_revision: int, wait_s: float) -> Snapshot:
        """Return the changes after a revision, as soon as there is one.

        Raises
        ------
        WatchedStoreError
            If there is no usable answer.
        HistoryGoneError
            If changes are missing and the kind must be listed again.
        """


class ObjectSink(ABC):
    """Whoever follows a kind of objects."""

    @abstractmethod
    def listed(self, snapshot: Snapshot) -> None:
        """Take all objects."""

    @abstractmethod
    def changed(self, snapshot: Snapshot) -> None:
        """Take changes."""

    @abstractmethod
    def store_lost(self) -> None:
        """Note that the store is out."""

    @abstractmethod
    def store_returned(self) -> None:
        """Note that the store answers again; a listing follows."""

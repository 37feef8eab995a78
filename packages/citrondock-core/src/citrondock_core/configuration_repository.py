"""Accepts edits of the configuration by a conditional update of one head object."""

import functools
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from citrondock_core.configuration import Configuration
from citrondock_core.configuration_entries import (
    Delta,
    delta_between,
    dump,
)
from citrondock_core.configuration_reader import ConfigurationReader, VersionedHead
from citrondock_core.configuration_revisions import (
    HEAD_KEY,
    MAX_RECORD_DELTA_BYTES,
    MAX_SHOWN_CHANGES,
    Edit,
    Head,
)
from citrondock_core.configuration_text import parse_configuration
from citrondock_core.errors import CitrondockError
from citrondock_core.object_store import (
    AnswerLostError,
    ObjectStore,
    ObjectStoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from citrondock_core.revision_writer import RevisionWriter, cut_text, digests
from citrondock_core.store_retrier import FIRST_PAUSE_S, MAX_ATTEMPTS, StoreRetrier

T = TypeVar("T")


@attrs.define(eq=False)
class EditConflictError(CitrondockError):
    """Another edit was accepted first; this one took no effect.

    Parameters
    ----------
    other_edits : tuple of Edit
        Accepted edits since the revision that this one was based on.
    """

    other_edits: tuple[Edit, ...] = attrs.field(kw_only=True, default=())


@attrs.define(eq=False)
class EditOutcomeUnknownError(CitrondockError):
    """The store did not answer, so that the edit may or may not be accepted.

    Parameters
    ----------
    edit_id : str
        A repeated commit with this id settles it and never edits twice.
    """

    edit_id: str = attrs.field(kw_only=True)


@attrs.frozen(kw_only=True)
class EditRequest:
    """An edit that somebody wants accepted.

    Parameters
    ----------
    edit_id : str
        Unique id; the same one on a repetition.
    author, reason : str
        Who and why.
    base_revision : int
        Revision that the text was made from.
    text : bytes
        The whole text.
    file : str
        Its name for messages.
    now_epoch_s : float
        Time of the edit, in seconds since 1970.
    """

    edit_id: str
    author: str
    reason: str
    base_revision: int
    text: bytes
    file: str
    now_epoch_s: float


@attrs.frozen(kw_only=True)
class Commit:
    """An accepted edit.

    Parameters
    ----------
    configuration : Configuration
        The revision that it made, or the one in force when nothing changed.
    edit : Edit or None
        None when the text is the one in force already.
    later_edits : tuple of Edit
        Edits accepted after it, where a lost answer was settled late.
    """

    configuration: Configuration
    edit: Edit | None
    later_edits: tuple[Edit, ...] = ()


class ConfigurationRepository(ConfigurationReader):
    """Commits edits, and reads as `ConfigurationReader` does.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    pause : callable
        Called with seconds between two attempts of a call.
    call_timeout_s : float
        Longest time for one call.
    """

    def __init__(
        self,
        store: ObjectStore,
        *,
        pause: Callable[[float], None],
        call_timeout_s: float = 5.0,
    ) -> None:
        super().__init__(store, call_timeout_s=call_timeout_s)
        self._pause = pause
        self._retrier = StoreRetrier(pause)
        self._writer = RevisionWriter(
            store, self._retrier, call_timeout_s=call_timeout_s
        )

    def commit(self, request: EditRequest) -> Commit:
        """Check an edit and put it in force.

        Raises
        ------
        SettingsError
            Faults of the text.
        EditConflictError
            Another edit was accepted since ``base_revision``.
        EditOutcomeUnknownError
            The edit may be accepted.
        ObjectStoreError
            The store failed before the edit could be accepted.
        """
        configuration = parse_configuration(request.text, request.file)
        located = self._retrier.retry(self.read_head)
        accepted = self._accepted(request, located.head, configuration)
        if accepted is not None:
            return accepted
        head = located.head
        if head.revision != request.base_revision:
            raise self._conflict(request, head)
        parent = self._retrier.retry(
            lambda: self.read_manifest(head.revision, head.edit_id)
        )
        text_parts = cut_text(request.text)
        if [part.digest for part in parent.text] == digests(text_parts):
            current = attrs.evolve(
                configuration, revision=head.revision, edit_id=head.edit_id
            )
            return Commit(configuration=current, edit=None)
        before = Configuration()
        if head.revision:
            before = self._retrier.retry(
                lambda: self.read_snapshot(head.revision, head.edit_id)
            )
        edit = _edit(request, head, delta_between(before, configuration))
        written = self._writer.write(edit, text_parts, configuration, parent)
        try:
            return self._accept(request, edit, located, configuration)
        except EditConflictError:
            self._writer.remove(edit, written)
            raise

    def _accept(
        self,
        request: EditRequest,
        edit: Edit,
        located: VersionedHead,
        configuration: Configuration,
    ) -> Commit:
        """Move the head; the version of the old one makes repetition harmless."""
        value = dump(located.head.after(edit))
        maybe_sent = False
        for attempt in range(MAX_ATTEMPTS):
            try:
                self._write_head(value, located.version)
                return Commit(configuration=_revised(configuration, edit), edit=edit)
            except AnswerLostError:
                maybe_sent = True
            except StoreUnavailableError:
                pass
            except VersionConflictError:
                return self._settle(request, located, configuration)
            self._pause(FIRST_PAUSE_S * 2**attempt)
        if maybe_sent:
            raise _unsettled(request, "the store did not answer")
        raise StoreUnavailableError(
            "the edit was not accepted", step="accept", peer="object store"
        )

    def _settle(
        self, request: EditRequest, located: VersionedHead, configuration: Configuration
    ) -> Commit:
        """Tell from the head that replaced the old one whose edit did it."""
        for attempt in range(MAX_ATTEMPTS):
            head_version = self._repeat_settling(request, self.read_head)
            if head_version.version > located.version:
                head = head_version.head
                accepted = self._repeat_settling(
                    request,
                    functools.partial(self._accepted, request, head, configuration),
                )
                if accepted is not None:
                    return accepted
                raise self._conflict(request, head)
            self._pause(FIRST_PAUSE_S * 2**attempt)
        raise _unsettled(request, "the store answers with an old head")

    def _repeat_settling(self, request: EditRequest, call: Callable[[], T]) -> T:
        try:
            return self._retrier.retry(call)
        except ObjectStoreError as error:
            raise _unsettled(request, f"the head cannot be read: {error}") from error

    def _accepted(
        self, request: EditRequest, head: Head, configuration: Configuration
    ) -> Commit | None:
        """Return the commit if the edit is in the history of ``head`` already."""
        if head.revision <= request.base_revision:
            return None
        edits = list(head.recent)
        if edits[0].revision > request.base_revision + 1:
            edits = list(self._history_since(head, request.base_revision))
            if not edits or edits[0].revision > request.base_revision + 1:
                raise _unsettled(request, "the store's history has a gap")
        for index, edit in enumerate(edits):
            if edit.edit_id == request.edit_id:
                return Commit(
                    configuration=_revised(configuration, edit),
                    edit=edit,
                    later_edits=tuple(edits[index + 1 :]),
                )
        return None

    def _conflict(self, request: EditRequest, head: Head) -> EditConflictError:
        if head.revision < request.base_revision:
            return EditConflictError(
                f"the text was made from revision {request.base_revision}, "
                f"but the store has revision {head.revision}",
                step="accept",
                peer="object store",
            )
        others = self._history_since(head, request.base_revision)
        told = "; ".join(map(str, others)) or f"revision {head.revision} is in force"
        return EditConflictError(
            f"the text was made from revision {request.base_revision}, "
            f"but since then: {told}",
            step="accept",
            peer="object store",
            other_edits=tuple(others),
        )

    def _history_since(self, head: Head, revision: int) -> Sequence[Edit]:
        return self._retrier.retry(lambda: self.history(head, after_revision=revision))

    def _write_head(self, value: bytes, version: int) -> int:
        timeout_s = self._call_timeout_s
        if version == 0:
            return self._store.create(HEAD_KEY, value, timeout_s=timeout_s)
        return self._store.update(
            HEAD_KEY, value, if_version=version, timeout_s=timeout_s
        )


def _edit(request: EditRequest, head: Head, delta: Delta) -> Edit:
    keys = delta.keys
    is_small = len(dump(delta)) <= MAX_RECORD_DELTA_BYTES
    return Edit(
        revision=head.revision + 1,
        edit_id=request.edit_id,
        parent_edit_id=head.edit_id,
        author=request.author,
        reason=request.reason,
        written_at_epoch_s=request.now_epoch_s,
        changed=tuple(keys[:MAX_SHOWN_CHANGES]),
        changed_count=len(keys),
        delta=delta if is_small else None,
    )


def _unsettled(request: EditRequest, reason: str) -> EditOutcomeUnknownError:
    return EditOutcomeUnknownError(
        f"{reason}; the edit {request.edit_id} may be accepted",
        step="accept",
        peer="object store",
        edit_id=request.edit_id,
    )


def _revised(configuration: Configuration, edit: Edit) -> Configuration:
    return attrs.evolve(configuration, revision=edit.revision, edit_id=edit.edit_id)

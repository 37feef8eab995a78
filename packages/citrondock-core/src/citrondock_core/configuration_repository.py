"""Commits edits of the configuration by a conditional update of its head object."""

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
from citrondock_core.revision_writer import RevisionWriter, digests_of, split_text
from citrondock_core.store_retrier import FIRST_PAUSE_S, MAX_ATTEMPTS, StoreRetrier
from citrondock_core.store_version import era_of

T = TypeVar("T")


@attrs.define(eq=False)
class EditConflictError(CitrondockError):
    """Another edit was accepted first; this one had no effect.

    Parameters
    ----------
    other_edits : tuple of Edit
        Accepted edits since the revision that this one was based on.
    """

    other_edits: tuple[Edit, ...] = attrs.field(kw_only=True, default=())


@attrs.define(eq=False)
class EditOutcomeUnknownError(CitrondockError):
    """It is unknown whether the edit was accepted: the store gave no clear answer.

    Parameters
    ----------
    edit_id : str
        Id of the edit. Committing again with the same id finds out, and never
        applies the edit twice.
    """

    edit_id: str = attrs.field(kw_only=True)


@attrs.frozen(kw_only=True)
class EditRequest:
    """An edit to be committed.

    Parameters
    ----------
    edit_id : str
        Unique id; a repeated commit of the same edit uses the same id.
    author, reason : str
        Who makes the edit, and why.
    base_revision : int
        Revision that the text is based on.
    text : bytes
        The whole configuration text.
    file : str
        Name of the text in error messages.
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
    """Result of a commit.

    Parameters
    ----------
    configuration : Configuration
        The revision that the edit made, or the one in force if nothing changed.
    edit : Edit or None
        The accepted edit; None if the text is already in force.
    later_edits : tuple of Edit
        Edits that were accepted after it, if the outcome of the commit was found
        out only later because an answer was lost.
    """

    configuration: Configuration
    edit: Edit | None
    later_edits: tuple[Edit, ...] = ()


class ConfigurationRepository(ConfigurationReader):
    """Commits edits and reads revisions of the configuration.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    pause : callable
        Called between two attempts of a call with the seconds to wait.
    call_timeout_s : float
        Timeout of one call in seconds.
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
        """Check an edit and put it into force.

        Raises
        ------
        SettingsError
            The text has faults.
        EditConflictError
            Another edit was accepted since ``base_revision``.
        EditOutcomeUnknownError
            It is unknown whether the edit was accepted.
        ObjectStoreError
            The store failed, and the edit was not accepted.
        """
        configuration = parse_configuration(request.text, request.file)
        current_head = self._retrier.retry(self.read_head)
        accepted = self._find_accepted(request, current_head.head, configuration)
        if accepted is not None:
            return accepted
        head = current_head.head
        if head.revision != request.base_revision:
            raise self._conflict_error(request, head)
        parent = self._retrier.retry(
            lambda: self.read_manifest(head.revision, head.edit_id)
        )
        text_parts = split_text(request.text)
        if [part.digest for part in parent.text] == digests_of(text_parts):
            current = attrs.evolve(
                configuration, revision=head.revision, edit_id=head.edit_id
            )
            return Commit(configuration=current, edit=None)
        before = Configuration()
        if head.revision:
            before = self._retrier.retry(
                lambda: self.read_snapshot(head.revision, head.edit_id)
            )
        era = self._store_era(current_head)
        delta = delta_between(before, configuration)
        edit = _make_edit(request, head, delta, era=era)
        written = self._writer.write(edit, text_parts, configuration, parent)
        try:
            return self._update_head(request, edit, current_head, configuration, era)
        except EditConflictError:
            self._writer.remove(edit, written)
            raise

    def _update_head(
        self,
        request: EditRequest,
        edit: Edit,
        current_head: VersionedHead,
        configuration: Configuration,
        era: int,
    ) -> Commit:
        """Make the edit the new head.

        The update succeeds only on the version of the current head, so that retries
        cannot apply the edit twice.
        """
        value = dump(current_head.head.with_edit(edit, era=era))
        may_be_accepted = False
        for attempt in range(MAX_ATTEMPTS):
            try:
                self._write_head(value, current_head.version)
                return Commit(
                    configuration=_with_revision_of(configuration, edit), edit=edit
                )
            except AnswerLostError:
                may_be_accepted = True
            except StoreUnavailableError:
                pass
            except VersionConflictError:
                return self._resolve_conflict(request, current_head, configuration)
            self._pause(FIRST_PAUSE_S * 2**attempt)
        if may_be_accepted:
            raise _outcome_unknown(request, "the store did not answer")
        raise StoreUnavailableError(
            "the store was unavailable; the edit was not accepted",
            step="accept",
            peer="object store",
        )

    def _resolve_conflict(
        self,
        request: EditRequest,
        old_head: VersionedHead,
        configuration: Configuration,
    ) -> Commit:
        """Find out which edit replaced the old head: this one or another.

        The head can have been replaced by this edit if the answer to an earlier
        attempt was lost.
        """
        for attempt in range(MAX_ATTEMPTS):
            new_head = self._retry_read(request, self.read_head)
            if new_head.version > old_head.version:
                head = new_head.head
                accepted = self._retry_read(
                    request,
                    functools.partial(
                        self._find_accepted, request, head, configuration
                    ),
                )
                if accepted is not None:
                    return accepted
                raise self._conflict_error(request, head)
            self._pause(FIRST_PAUSE_S * 2**attempt)
        raise _outcome_unknown(request, "the store returns an old head")

    def _retry_read(self, request: EditRequest, call: Callable[[], T]) -> T:
        try:
            return self._retrier.retry(call)
        except ObjectStoreError as error:
            raise _outcome_unknown(
                request, f"the head cannot be read: {error}"
            ) from error

    def _find_accepted(
        self, request: EditRequest, head: Head, configuration: Configuration
    ) -> Commit | None:
        """Return the commit if the history of ``head`` contains the edit already."""
        if head.revision <= request.base_revision:
            return None
        edits = list(head.recent)
        if edits[0].parent_revision > request.base_revision:
            edits = list(self._history_since(head, request.base_revision))
            if not edits or edits[0].parent_revision > request.base_revision:
                raise _outcome_unknown(request, "the store's history has a gap")
        for index, edit in enumerate(edits):
            if edit.edit_id == request.edit_id:
                return Commit(
                    configuration=_with_revision_of(configuration, edit),
                    edit=edit,
                    later_edits=tuple(edits[index + 1 :]),
                )
        return None

    def _conflict_error(self, request: EditRequest, head: Head) -> EditConflictError:
        if head.revision < request.base_revision:
            return EditConflictError(
                f"the text is based on revision {request.base_revision}, "
                f"but the store has revision {head.revision}",
                step="accept",
                peer="object store",
            )
        others = self._history_since(head, request.base_revision)
        since = "; ".join(map(str, others)) or f"revision {head.revision} is in force"
        return EditConflictError(
            f"the text is based on revision {request.base_revision}, "
            f"but since then: {since}",
            step="accept",
            peer="object store",
            other_edits=tuple(others),
        )

    def _history_since(self, head: Head, revision: int) -> Sequence[Edit]:
        return self._retrier.retry(lambda: self.history(head, after_revision=revision))

    def _store_era(self, head: VersionedHead) -> int:
        if head.version:
            return era_of(head.version)
        watch = self._retrier.retry(
            lambda: self.wait_for_head(after_version=0, wait_s=0.0)
        )
        return era_of(watch.version)

    def _write_head(self, value: bytes, version: int) -> int:
        timeout_s = self._call_timeout_s
        if version == 0:
            return self._store.create(HEAD_KEY, value, timeout_s=timeout_s)
        return self._store.update(
            HEAD_KEY, value, if_version=version, timeout_s=timeout_s
        )


def _make_edit(request: EditRequest, head: Head, delta: Delta, *, era: int) -> Edit:
    keys = delta.keys
    is_small = len(dump(delta)) <= MAX_RECORD_DELTA_BYTES
    return Edit(
        revision=head.next_revision(era=era),
        parent_revision=head.revision,
        edit_id=request.edit_id,
        parent_edit_id=head.edit_id,
        author=request.author,
        reason=request.reason,
        written_at_epoch_s=request.now_epoch_s,
        changed=tuple(keys[:MAX_SHOWN_CHANGES]),
        changed_count=len(keys),
        delta=delta if is_small else None,
    )


def _outcome_unknown(request: EditRequest, reason: str) -> EditOutcomeUnknownError:
    return EditOutcomeUnknownError(
        f"{reason}; the edit {request.edit_id} may have been accepted",
        step="accept",
        peer="object store",
        edit_id=request.edit_id,
    )


def _with_revision_of(configuration: Configuration, edit: Edit) -> Configuration:
    return attrs.evolve(configuration, revision=edit.revision, edit_id=edit.edit_id)

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_core.configuration import ClientAccount, Configuration
from citrondock_core.configuration_codec import (
    decode_configuration,
    encode_configuration,
)
from citrondock_core.configuration_entries import (
    ConfigurationDecodeError,
    apply_delta,
    delta_between,
)
from citrondock_core.configuration_garbage_collector import (
    KEPT_REVISION_COUNT,
    ConfigurationGarbageCollector,
)
from citrondock_core.configuration_parts import MAX_PART_BYTES, split_into_parts
from citrondock_core.configuration_reader import ConfigurationReader
from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditConflictError,
    EditOutcomeUnknownError,
    EditRequest,
)
from citrondock_core.configuration_revisions import HEAD_KEY, PARTS_PREFIX
from citrondock_core.configuration_text import parse_configuration
from citrondock_core.object_store import AnswerLostError, StoreUnavailableError
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import Outage, StoreCore, StoreFaults

TEXT = Path("examples/nairobi-casting.jsonc").read_text()


def text_with_weight(weight):
    return TEXT.replace('"weight": 6', f'"weight": {weight}', 1)


def edit_request(edit_id, *, base, weight=6, author="asha"):
    return EditRequest(
        edit_id=edit_id,
        author=author,
        reason="test",
        base_revision=base,
        text=text_with_weight(weight).encode(),
        file="f",
        now_epoch_s=1.0,
    )


class HookedStore(MemoryObjectStore):
    """Runs hooks before and after the next conditional update.

    If there is a hook to run after the update, the answer to the update is lost.
    """

    before_update = after_update = None

    def restore_last_writes(self):
        """Come back from a copy that lacks nothing, in the next era."""
        self.take_copy()
        self.restore()

    def update(self, key, value, *, if_version, timeout_s=2.0):
        before_update, self.before_update = self.before_update, None
        after_update, self.after_update = self.after_update, None
        if before_update:
            before_update()
        version = super().update(key, value, if_version=if_version, timeout_s=timeout_s)
        if after_update:
            after_update()
            raise AnswerLostError("lost", step="update")
        return version


@pytest.fixture
def store():
    return HookedStore(StoreCore(writes_per_s=1e6, reads_per_s=1e6))


@pytest.fixture
def repository(store):
    repository = ConfigurationRepository(store, pause=lambda _: None)
    repository.commit(edit_request("first", base=0))
    return repository


def call_counts(store, client):
    calls = store.core.calls()
    return {call.kind: call.count for call in calls if call.client == client}


class TestRestoredStore:
    def test_a_revision_that_was_lost_is_not_given_out_again(self, store, repository):
        store.take_copy()
        lost = repository.commit(edit_request("lost", base=1, weight=7))
        store.restore()
        later = repository.commit(edit_request("later", base=1, weight=8))
        store.restore()

        last = repository.commit(edit_request("last", base=1, weight=9))

        revisions = [each.edit.revision for each in (lost, later, last)]
        assert revisions == sorted(set(revisions))
        following = edit_request("next", base=revisions[-1], weight=10)
        assert repository.commit(following).edit.revision == revisions[-1] + 1

    def test_a_copy_from_before_the_first_edit_gives_no_revision_again(self, store):
        repository = ConfigurationRepository(store, pause=lambda _: None)
        lost = repository.commit(edit_request("lost", base=0))
        store.restore()

        edit = repository.commit(edit_request("e", base=0, weight=7)).edit

        assert edit.revision > lost.edit.revision

    def test_an_edit_based_on_a_lost_revision_is_refused(self, store, repository):
        store.take_copy()
        repository.commit(edit_request("lost", base=1, weight=7))
        store.restore()
        for _ in range(2):
            with pytest.raises(EditConflictError):
                repository.commit(edit_request("next", base=2, weight=8))
            repository.commit(edit_request("other", base=1, weight=9))

    def test_a_repeated_commit_finds_its_edit_behind_the_gap(self, repository, store):
        store.restore_last_writes()
        first = repository.commit(edit_request("e", base=1, weight=7))
        base = first.edit.revision
        for number in range(12):
            request = edit_request(f"e{number}", base=base, weight=8 + number)
            base = repository.commit(request).edit.revision

        again = repository.commit(edit_request("e", base=1, weight=7))

        assert again.edit == first.edit
        assert len(again.later_edits) == 12

    def test_garbage_is_collected_beyond_the_gap(self, repository, store):
        store.restore_last_writes()
        base = 1
        for number in range(80):
            request = edit_request(f"e{number}", base=base, weight=7 + number)
            base = repository.commit(request).edit.revision
        collector = ConfigurationGarbageCollector(store, repository)
        for _ in range(200):
            collector.collect()

        manifests = store.list("configuration/manifests/")
        assert len(manifests) <= KEPT_REVISION_COUNT + 1
        assert repository.read_text(base, "e79").decode() == text_with_weight(86)

    def test_garbage_from_before_a_restore_is_collected(self, repository, store):
        base, keys = 1, []
        for number in range(KEPT_REVISION_COUNT + 2):
            request = edit_request(f"e{number}", base=base, weight=7 + number)
            base = repository.commit(request).edit.revision
        collector = ConfigurationGarbageCollector(store, repository)
        keys = {found.key for found in store.list(PARTS_PREFIX)}
        store.restore_last_writes()

        assert collector.collect() > 0

        old_parts = {key for key in keys if "000000000001-" in key}
        left = {found.key for found in store.list(PARTS_PREFIX)}
        assert len(old_parts - left) > 0


class TestCommit:
    def test_updates_head_text_snapshot_and_history(self, repository):
        commit = repository.commit(edit_request("second", base=1, weight=7))

        head = repository.read_head().head
        parsed = parse_configuration(text_with_weight(7), "f")
        assert (head.revision, head.edit_id) == (2, "second")
        assert repository.read_text(2, "second").decode() == text_with_weight(7)
        assert repository.read_text(1, "first").decode() == TEXT
        assert repository.read_snapshot(2, "second") == commit.configuration
        assert commit.configuration.accounts == parsed.accounts
        assert [str(edit) for edit in repository.history(head)][1] == (
            "revision 2 by asha (test): accounts/meter-readers"
        )

    def test_unchanged_text_makes_no_revision(self, repository):
        commit = repository.commit(edit_request("again", base=1))

        assert commit.edit is None
        assert repository.read_head().head.revision == 1

    def test_outdated_base_is_rejected_with_the_conflicting_edit(self, repository):
        repository.commit(edit_request("second", base=1, weight=7, author="otieno"))

        with pytest.raises(EditConflictError) as caught:
            repository.commit(edit_request("mine", base=1, weight=8))

        assert [edit.author for edit in caught.value.other_edits] == ["otieno"]
        assert "accounts/meter-readers" in str(caught.value)

    def test_concurrent_edit_causes_a_conflict_and_leaves_no_objects(
        self, repository, store
    ):
        other = ConfigurationRepository(store, pause=lambda _: None)
        store.before_update = lambda: other.commit(
            edit_request("other", base=1, weight=7)
        )

        with pytest.raises(EditConflictError) as caught:
            repository.commit(edit_request("mine", base=1, weight=8))

        assert [edit.edit_id for edit in caught.value.other_edits] == ["other"]
        assert repository.read_head().head.edit_id == "other"
        assert not [o for o in store.list("configuration/") if "mine" in o.key]

    def test_lost_answer_is_recovered_after_a_later_edit(self, repository, store):
        other = ConfigurationRepository(store, pause=lambda _: None)
        store.after_update = lambda: other.commit(
            edit_request("next", base=2, weight=9)
        )

        commit = repository.commit(edit_request("mine", base=1, weight=8))

        assert commit.edit.revision == 2
        assert [edit.edit_id for edit in commit.later_edits] == ["next"]
        assert repository.read_head().head.revision == 3

    @pytest.mark.parametrize("prefix", ["configuration/edits/", HEAD_KEY, ""])
    def test_lost_answers_neither_lose_nor_repeat_the_edit(
        self, repository, store, prefix
    ):
        faults = StoreFaults(lose_answers_count=3, lose_answers_prefix=prefix)
        store.set_faults(faults)

        commit = repository.commit(edit_request("mine", base=1, weight=8))

        assert commit.edit.edit_id == "mine"
        assert repository.read_head().head.revision == 2

    def test_stale_head_after_a_lost_answer_is_no_conflict(self, repository, store):
        store.before_update = lambda: store.set_faults(
            StoreFaults(stale_reads=True, lose_answers_count=1)
        )

        with pytest.raises(EditOutcomeUnknownError):
            repository.commit(edit_request("mine", base=1, weight=8))

        store.set_faults(StoreFaults())
        commit = repository.commit(edit_request("mine", base=1, weight=8))
        assert commit.edit.revision == 2
        assert repository.read_head().head.revision == 2

    def test_incomplete_history_after_a_lost_answer_removes_nothing(
        self, repository, store
    ):
        other = ConfigurationRepository(store, pause=lambda _: None)

        def edit_ten_times_and_hide_history():
            for revision in range(2, 12):
                other.commit(
                    edit_request(f"e{revision}", base=revision, weight=20 + revision)
                )
            store.list = lambda *_args, **_kwargs: []

        store.after_update = edit_ten_times_and_hide_history

        with pytest.raises(EditOutcomeUnknownError):
            repository.commit(edit_request("mine", base=1, weight=8))

        del store.list
        assert repository.read_text(2, "mine").decode() == text_with_weight(8)
        commit = repository.commit(edit_request("mine", base=1, weight=8))
        assert len(commit.later_edits) == 10

    def test_outage_before_the_head_update_accepts_nothing(self, repository, store):
        store.before_update = lambda: store.set_faults(
            StoreFaults(outage=Outage.REFUSE)
        )

        with pytest.raises(StoreUnavailableError):
            repository.commit(edit_request("mine", base=1, weight=8))

        store.set_faults(StoreFaults())
        assert repository.read_head().head.revision == 1

    def test_edit_writes_only_the_changed_parts(self, repository, store):
        accounts = ",".join(f'"a{i}": {{"weight": {i + 1}}}\n' for i in range(3000))
        text = TEXT.replace('"accounts": {', f'"accounts": {{{accounts},')
        base = EditRequest(
            edit_id="large",
            author="a",
            reason="",
            base_revision=1,
            text=text.encode(),
            file="f",
            now_epoch_s=1.0,
        )
        repository.commit(base)
        edited = text.replace('"weight": 1500}', '"weight": 7}').encode()
        parts_before = {found.key for found in store.list(PARTS_PREFIX)}

        repository.commit(
            EditRequest(
                edit_id="small",
                author="a",
                reason="",
                base_revision=2,
                text=edited,
                file="f",
                now_epoch_s=1.0,
            )
        )

        added = {found.key for found in store.list(PARTS_PREFIX)} - parts_before
        assert len(added) == 2
        assert repository.read_text(3, "small") == edited


class TestAdvance:
    def test_head_deltas_recorded_deltas_and_snapshot_agree(self, repository, store):
        first = repository.read_snapshot(1, "first")
        for revision in range(1, 21):
            repository.commit(
                edit_request(f"e{revision}", base=revision, weight=10 + revision)
            )
        head = repository.read_head().head
        second_to_last = repository.read_snapshot(20, "e19")
        client = MemoryObjectStore(store.core, client="follower")
        reader = ConfigurationReader(client)

        from_head = reader.advance(second_to_last, head)
        calls_for_head = call_counts(store, "follower")
        from_records = reader.advance(first, head)
        calls_for_records = call_counts(store, "follower")
        from_snapshot = reader.advance(Configuration(), head)

        assert from_head == from_records == from_snapshot
        assert calls_for_head == {}
        assert calls_for_records == {"list": 1}
        assert from_head.revision == 21
        assert from_head.accounts["meter-readers"].weight == 30

    def test_garbage_collection_keeps_recent_revisions_readable(
        self, repository, store
    ):
        collector = ConfigurationGarbageCollector(store, repository)
        last = KEPT_REVISION_COUNT + 10
        for revision in range(1, last):
            repository.commit(
                edit_request(f"e{revision}", base=revision, weight=10 + revision)
            )

        full_history = repository.history(repository.read_head().head)
        repository.history = lambda *_args, **_kwargs: full_history[5:]
        assert collector.collect() == 0
        del repository.history

        removed_count = collector.collect()

        assert removed_count > 0
        assert collector.collect() == 0
        for revision in range(last - KEPT_REVISION_COUNT, last + 1):
            edit_id = f"e{revision - 1}"
            snapshot = repository.read_snapshot(revision, edit_id)
            assert snapshot.accounts["meter-readers"].weight == 9 + revision
        parts = store.list(PARTS_PREFIX, limit=10_000)
        assert len(parts) <= 2 * (KEPT_REVISION_COUNT + 1)


class TestCodec:
    def test_round_trip(self):
        parsed = parse_configuration(TEXT, "f")

        assert decode_configuration(encode_configuration(parsed)) == parsed

    @settings(derandomize=True, max_examples=100)
    @given(st.binary(max_size=60))
    def test_other_bytes_are_refused(self, document):
        with pytest.raises(ConfigurationDecodeError):
            decode_configuration(document)

    @settings(derandomize=True, max_examples=50)
    @given(st.lists(st.integers(1, 9), max_size=6), st.lists(st.integers(1, 9)))
    def test_delta_turns_one_into_the_other(self, before, after):
        old, new = (
            Configuration(
                accounts={
                    f"a{i}": ClientAccount(name=f"a{i}", weight=w)
                    for i, w in enumerate(weights)
                }
            )
            for weights in (before, after)
        )

        delta = delta_between(old, new)

        applied = apply_delta(old, delta, revision=0, edit_id="")
        assert applied == new

    @settings(derandomize=True, max_examples=20)
    @given(st.lists(st.binary(min_size=1, max_size=50), max_size=20))
    def test_parts_make_up_the_whole(self, lines):
        lines = [*lines, b"x" * (MAX_PART_BYTES * 2 + 1)]

        parts = list(split_into_parts(lines))

        assert b"".join(parts) == b"".join(lines)
        assert all(0 < len(part) <= MAX_PART_BYTES for part in parts)

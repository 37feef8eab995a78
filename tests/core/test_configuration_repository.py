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


def request(edit_id, *, base, weight=6, author="asha"):
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
    """Runs a hook around the next conditional update of the head."""

    before = after = None

    def update(self, key, value, *, if_version, timeout_s=2.0):
        before, self.before = self.before, None
        after, self.after = self.after, None
        if before:
            before()
        version = super().update(key, value, if_version=if_version, timeout_s=timeout_s)
        if after:
            after()
            raise AnswerLostError("lost", step="update")
        return version


@pytest.fixture
def store():
    return HookedStore(StoreCore(writes_per_s=1e6, reads_per_s=1e6))


@pytest.fixture
def repository(store):
    repository = ConfigurationRepository(store, pause=lambda _: None)
    repository.commit(request("first", base=0))
    return repository


def calls_of(store, client):
    calls = store.core.calls()
    return {call.kind: call.count for call in calls if call.client == client}


class TestCommit:
    def test_head_text_snapshot_and_history(self, repository):
        commit = repository.commit(request("second", base=1, weight=7))

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

    def test_same_text_changes_nothing(self, repository):
        commit = repository.commit(request("again", base=1))

        assert commit.edit is None
        assert repository.read_head().head.revision == 1

    def test_old_base_is_refused_with_the_other_edit(self, repository):
        repository.commit(request("second", base=1, weight=7, author="otieno"))

        with pytest.raises(EditConflictError) as caught:
            repository.commit(request("mine", base=1, weight=8))

        assert [edit.author for edit in caught.value.other_edits] == ["otieno"]
        assert "accounts/meter-readers" in str(caught.value)

    def test_race_at_the_head_is_lost_to_one_winner(self, repository, store):
        other = ConfigurationRepository(store, pause=lambda _: None)
        store.before = lambda: other.commit(request("other", base=1, weight=7))

        with pytest.raises(EditConflictError) as caught:
            repository.commit(request("mine", base=1, weight=8))

        assert [edit.edit_id for edit in caught.value.other_edits] == ["other"]
        assert repository.read_head().head.edit_id == "other"
        assert not [o for o in store.list("configuration/") if "mine" in o.key]

    def test_lost_answer_is_settled_though_another_edit_followed(
        self, repository, store
    ):
        other = ConfigurationRepository(store, pause=lambda _: None)
        store.after = lambda: other.commit(request("next", base=2, weight=9))

        commit = repository.commit(request("mine", base=1, weight=8))

        assert commit.edit.revision == 2
        assert [edit.edit_id for edit in commit.later_edits] == ["next"]
        assert repository.read_head().head.revision == 3

    @pytest.mark.parametrize("prefix", ["configuration/edits/", HEAD_KEY, ""])
    def test_each_lost_answer_is_harmless(self, repository, store, prefix):
        faults = StoreFaults(lose_answers_count=3, lose_answers_prefix=prefix)
        store.set_faults(faults)

        commit = repository.commit(request("mine", base=1, weight=8))

        assert commit.edit.edit_id == "mine"
        assert repository.read_head().head.revision == 2

    def test_old_head_after_a_lost_answer_is_not_taken_for_a_refusal(
        self, repository, store
    ):
        store.before = lambda: store.set_faults(
            StoreFaults(stale_reads=True, lose_answers_count=1)
        )

        with pytest.raises(EditOutcomeUnknownError):
            repository.commit(request("mine", base=1, weight=8))

        store.set_faults(StoreFaults())
        commit = repository.commit(request("mine", base=1, weight=8))
        assert commit.edit.revision == 2
        assert repository.read_head().head.revision == 2

    def test_old_history_after_a_lost_answer_removes_nothing(self, repository, store):
        other = ConfigurationRepository(store, pause=lambda _: None)

        def edit_ten_times_and_forget():
            for revision in range(2, 12):
                other.commit(
                    request(f"e{revision}", base=revision, weight=20 + revision)
                )
            store.list = lambda *_args, **_kwargs: []

        store.after = edit_ten_times_and_forget

        with pytest.raises(EditOutcomeUnknownError):
            repository.commit(request("mine", base=1, weight=8))

        del store.list
        assert repository.read_text(2, "mine").decode() == text_with_weight(8)
        commit = repository.commit(request("mine", base=1, weight=8))
        assert len(commit.later_edits) == 10

    def test_outage_before_the_head_is_written_is_no_edit(self, repository, store):
        store.before = lambda: store.set_faults(StoreFaults(outage=Outage.REFUSE))

        with pytest.raises(StoreUnavailableError):
            repository.commit(request("mine", base=1, weight=8))

        store.set_faults(StoreFaults())
        assert repository.read_head().head.revision == 1

    def test_an_edit_rewrites_only_what_it_touches(self, repository, store):
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
    def test_deltas_from_head_records_and_snapshot_agree(self, repository, store):
        first = repository.read_snapshot(1, "first")
        for revision in range(1, 21):
            repository.commit(
                request(f"e{revision}", base=revision, weight=10 + revision)
            )
        head = repository.read_head().head
        last_but_one = repository.read_snapshot(20, "e19")
        client = MemoryObjectStore(store.core, client="follower")
        reader = ConfigurationReader(client)

        in_head = reader.advance(last_but_one, head)
        calls_in_head = calls_of(store, "follower")
        by_records = reader.advance(first, head)
        calls_by_records = calls_of(store, "follower")
        by_snapshot = reader.advance(Configuration(), head)

        assert in_head == by_records == by_snapshot
        assert calls_in_head == {}
        assert calls_by_records == {"list": 1}
        assert in_head.revision == 21
        assert in_head.accounts["meter-readers"].weight == 30

    def test_collected_parts_leave_kept_revisions_readable(self, repository, store):
        collector = ConfigurationGarbageCollector(store, repository)
        last = KEPT_REVISION_COUNT + 10
        for revision in range(1, last):
            repository.commit(
                request(f"e{revision}", base=revision, weight=10 + revision)
            )

        whole = repository.history(repository.read_head().head)
        repository.history = lambda *_args, **_kwargs: whole[5:]
        assert collector.collect() == 0
        del repository.history

        removed = collector.collect()

        assert removed > 0
        assert collector.collect() == 0
        for revision in range(last - KEPT_REVISION_COUNT, last + 1):
            edit_id = f"e{revision - 1}"
            weight = repository.read_snapshot(revision, edit_id)
            assert weight.accounts["meter-readers"].weight == 9 + revision
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

import random
from pathlib import Path

import attrs
import pytest

from citrondock_core.configuration import Configuration
from citrondock_core.configuration_codec import encode_configuration
from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditRequest,
)
from citrondock_core.object_store import WatchResult
from citrondock_router.configuration_follower import (
    START_WINDOW_S,
    ConfigurationFollower,
    ConfigurationSource,
    PeerConfiguration,
)
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import Outage, StoreCore, StoreFaults

TEXT = Path("examples/plume-nordique.jsonc").read_text()


class Deployment:
    """A store, edits of an operator, and followers that are stepped by hand."""

    def __init__(self):
        self.now_s = 0.0
        self.store = MemoryObjectStore(StoreCore(writes_per_s=1e6, reads_per_s=1e6))
        self.repository = ConfigurationRepository(self.store, pause=lambda _: None)
        self.revision = self.edit_count = 0
        self.peer_copies = []
        self.eras = []

    def edit(self, weight=None):
        weight = 10 + self.revision if weight is None else weight
        text = TEXT.replace('"weight": 6', f'"weight": {weight}', 1)
        self.edit_count += 1
        commit = self.repository.commit(
            EditRequest(
                edit_id=f"e{self.edit_count}",
                author="a",
                reason="",
                base_revision=self.revision,
                text=text.encode(),
                file="f",
                now_epoch_s=0.0,
            )
        )
        self.revision = commit.edit.revision

    def restore(self, *, revision):
        self.store.restore()
        self.revision = revision

    def follower(self):
        applied = []
        follower = ConfigurationFollower(
            self.store,
            applied.append,
            fetch_peer_copies=lambda _after: self.peer_copies,
            on_store_era=self.eras.append,
            watch_wait_s=0.01,
            clock=lambda: self.now_s,
            rng=random.Random(1),
        )
        follower._stopped.wait = lambda _pause_s: None
        return follower, applied

    def peer_copy(self, revision):
        edit_id = f"e{revision}"
        snapshot = self.repository.read_snapshot(revision, edit_id)
        return PeerConfiguration(
            vm_name=f"vm{revision}",
            revision=revision,
            document=encode_configuration(snapshot),
        )


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.edit()
    return deployment


class TestConfigurationFollower:
    def test_follows_the_store(self, deployment):
        follower, applied = deployment.follower()

        follower.step()
        deployment.edit()
        follower.step()

        assert [configuration.revision for configuration in applied] == [1, 2]
        assert applied[-1].accounts["tag-drafts"].weight == 11
        status = follower.status()
        assert status.source is ConfigurationSource.STORE
        assert not status.possibly_stale
        assert status.store_call_count == 4

    def test_is_not_ready_without_a_configuration(self):
        follower, applied = Deployment().follower()

        follower.step()

        assert not follower.is_ready
        assert applied == []

    def test_catches_up_after_many_missed_edits(self, deployment):
        follower, applied = deployment.follower()
        follower.step()
        for _ in range(30):
            deployment.edit()

        follower.step()

        assert [configuration.revision for configuration in applied] == [1, 31]

    def test_an_older_store_does_not_revert_the_revision(self, deployment):
        old_deployment = Deployment()
        old_deployment.edit()
        for _ in range(2):
            deployment.edit()
        old_deployment.peer_copies = [deployment.peer_copy(3)]
        old_deployment.store.set_faults(StoreFaults(outage=Outage.REFUSE))
        follower, applied = old_deployment.follower()
        follower.step()
        old_deployment.store.set_faults(StoreFaults())

        follower.step()

        assert [configuration.revision for configuration in applied] == [3]
        assert follower.status().store_behind
        for _ in range(3):
            old_deployment.edit()
            follower.step()
        assert [configuration.revision for configuration in applied] == [3, 4]

    def test_peers_correct_a_stale_read_at_the_start(self, deployment):
        old_deployment = Deployment()
        old_deployment.edit()
        for _ in range(2):
            deployment.edit()
        follower, applied = old_deployment.follower()
        follower.step()
        old_deployment.peer_copies = [deployment.peer_copy(3)]

        follower.step()

        assert [configuration.revision for configuration in applied] == [1, 3]
        old_deployment.peer_copies = [deployment.peer_copy(2)]
        old_deployment.now_s += START_WINDOW_S
        assert follower.step() >= 0
        assert follower.configuration.revision == 3

    def test_an_older_answer_of_the_store_is_reported_as_stale(self, deployment):
        follower, _ = deployment.follower()
        follower.step()
        deployment.now_s += 1000
        stale_result = WatchResult(version=1, changes=())
        deployment.store.watch = lambda *_args, **_kwargs: stale_result

        follower.step()

        assert follower.status().store_behind
        assert follower.status().possibly_stale

    def test_applies_the_highest_peer_copy_while_the_store_is_unavailable(
        self, deployment
    ):
        deployment.edit()
        deployment.edit()
        broken_copy = PeerConfiguration(vm_name="x", revision=9, document=b"broken")
        deployment.peer_copies = [
            deployment.peer_copy(1),
            deployment.peer_copy(3),
            deployment.peer_copy(2),
            broken_copy,
        ]
        deployment.store.set_faults(StoreFaults(outage=Outage.REFUSE))
        follower, applied = deployment.follower()

        pauses = [follower.step() for _ in range(8)]

        assert [configuration.revision for configuration in applied] == [3]
        status = follower.status()
        assert status.source is ConfigurationSource.PEER
        assert status.possibly_stale
        assert status.store_error
        assert 0 < pauses[0] < pauses[-1] <= 5.0

    def test_older_peers_do_not_revert_the_revision(self, deployment):
        deployment.edit()
        follower, applied = deployment.follower()
        follower.step()
        deployment.peer_copies = [deployment.peer_copy(1)]
        deployment.store.set_faults(StoreFaults(outage=Outage.REFUSE))

        follower.step()
        deployment.now_s += 1000

        assert [configuration.revision for configuration in applied] == [2]
        assert follower.status().possibly_stale

    def test_encodes_only_newer_revisions_for_peers(self, deployment):
        follower, _ = deployment.follower()
        assert follower.encode_if_newer(0) == b""

        follower.step()

        assert follower.encode_if_newer(0) == encode_configuration(
            follower.configuration
        )
        assert follower.encode_if_newer(1) == b""

    def test_ignores_a_peer_copy_older_than_its_reported_revision(self, deployment):
        follower, applied = deployment.follower()
        follower.step()
        older_document = encode_configuration(attrs.evolve(Configuration(), revision=1))
        deployment.peer_copies = [
            PeerConfiguration(vm_name="x", revision=7, document=older_document)
        ]
        deployment.store.set_faults(StoreFaults(outage=Outage.REFUSE))

        follower.step()

        assert [configuration.revision for configuration in applied] == [1]

    def test_a_restored_store_does_not_revert_the_revision(self, deployment):
        deployment.store.take_copy()
        deployment.edit()
        follower, applied = deployment.follower()
        follower.step()
        deployment.restore(revision=1)

        for _ in range(3):
            follower.step()

        assert [configuration.revision for configuration in applied] == [2]
        assert follower.status().store_behind

    def test_a_store_restored_to_before_the_first_edit_is_behind(self):
        deployment = Deployment()
        deployment.edit()
        follower, applied = deployment.follower()
        follower.step()
        deployment.restore(revision=0)

        for _ in range(3):
            follower.step()

        assert [configuration.revision for configuration in applied] == [1]
        assert follower.status().store_behind

    def test_edits_after_a_restore_are_in_force_at_once(self, deployment):
        deployment.store.take_copy()
        for _ in range(3):
            deployment.edit()
        follower, applied = deployment.follower()
        follower.step()
        deployment.restore(revision=1)

        for weight in (50, 51):
            deployment.edit(weight=weight)
            follower.step()
            follower.step()
            assert applied[-1].accounts["tag-drafts"].weight == weight
        assert not follower.status().store_behind

    def test_an_edit_that_was_missed_before_a_restore_changes_nothing(self, deployment):
        follower, applied = deployment.follower()
        follower.step()
        deployment.store.take_copy()
        deployment.edit()
        deployment.restore(revision=1)

        follower.step()
        deployment.edit(weight=50)
        follower.step()
        follower.step()

        assert [each.accounts["tag-drafts"].weight for each in applied] == [10, 50]

    def test_each_new_era_is_passed_on_once(self, deployment):
        follower, _ = deployment.follower()
        follower.step()
        assert deployment.eras == []
        for _ in range(2):
            deployment.restore(revision=0)
            for _ in range(3):
                follower.step()

        assert deployment.eras == [1, 2]

    def test_an_edit_lost_in_a_restore_is_taken_from_a_peer(self, deployment):
        follower, applied = deployment.follower()
        follower.step()
        deployment.now_s += START_WINDOW_S
        deployment.store.take_copy()
        deployment.edit()
        deployment.peer_copies = [deployment.peer_copy(2)]
        deployment.restore(revision=1)

        follower.step()
        follower.step()

        assert [configuration.revision for configuration in applied] == [1, 2]

    def test_thread_starts_and_stops(self, deployment):
        follower, applied = deployment.follower()
        del follower._stopped.wait

        follower.start()
        thread = follower._thread
        while not applied:
            thread.join(0.01)
        follower.stop(timeout_s=10)

        assert not thread.is_alive()

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


class Fleet:
    """One store, an operator and one follower that is stepped by hand."""

    def __init__(self):
        self.now_s = 0.0
        self.store = MemoryObjectStore(StoreCore(writes_per_s=1e6, reads_per_s=1e6))
        self.repository = ConfigurationRepository(self.store, pause=lambda _: None)
        self.revision = 0
        self.peers = []

    def edit(self):
        text = TEXT.replace('"weight": 6', f'"weight": {10 + self.revision}', 1)
        self.repository.commit(
            EditRequest(
                edit_id=f"e{self.revision + 1}",
                author="a",
                reason="",
                base_revision=self.revision,
                text=text.encode(),
                file="f",
                now_epoch_s=0.0,
            )
        )
        self.revision += 1

    def follower(self):
        seen = []
        follower = ConfigurationFollower(
            self.store,
            seen.append,
            fetch_peer_copies=lambda _after: self.peers,
            watch_wait_s=0.01,
            clock=lambda: self.now_s,
            rng=random.Random(1),
        )
        follower._stopped.wait = lambda _pause_s: None
        return follower, seen

    def copy(self, revision):
        edit_id = f"e{revision}"
        snapshot = self.repository.read_snapshot(revision, edit_id)
        return PeerConfiguration(
            vm_name=f"vm{revision}",
            revision=revision,
            document=encode_configuration(snapshot),
        )


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.edit()
    return fleet


class TestConfigurationFollower:
    def test_follows_the_store(self, fleet):
        follower, seen = fleet.follower()

        follower.step()
        fleet.edit()
        follower.step()

        assert [configuration.revision for configuration in seen] == [1, 2]
        assert seen[-1].accounts["tag-drafts"].weight == 11
        status = follower.status()
        assert status.source is ConfigurationSource.STORE
        assert not status.possibly_stale
        assert status.store_call_count == 4

    def test_without_any_configuration_it_is_not_ready(self):
        follower, seen = Fleet().follower()

        follower.step()

        assert not follower.is_ready
        assert seen == []

    def test_many_missed_edits(self, fleet):
        follower, seen = fleet.follower()
        follower.step()
        for _ in range(30):
            fleet.edit()

        follower.step()

        assert [configuration.revision for configuration in seen] == [1, 31]

    def test_an_old_store_never_takes_it_back(self, fleet):
        old_store = Fleet()
        old_store.edit()
        for _ in range(2):
            fleet.edit()
        old_store.peers = [fleet.copy(3)]
        old_store.store.set_faults(StoreFaults(outage=Outage.REFUSE))
        follower, seen = old_store.follower()
        follower.step()
        old_store.store.set_faults(StoreFaults())

        follower.step()

        assert [configuration.revision for configuration in seen] == [3]
        assert follower.status().store_behind
        for _ in range(3):
            old_store.edit()
            follower.step()
        assert [configuration.revision for configuration in seen] == [3, 4]

    def test_an_old_read_at_the_start_does_not_take_it_back(self, fleet):
        old_store = Fleet()
        old_store.edit()
        for _ in range(2):
            fleet.edit()
        follower, seen = old_store.follower()
        follower.step()
        old_store.peers = [fleet.copy(3)]

        follower.step()

        assert [configuration.revision for configuration in seen] == [1, 3]
        old_store.peers = [fleet.copy(2)]
        old_store.now_s += START_WINDOW_S
        assert follower.step() >= 0
        assert follower.configuration.revision == 3

    def test_a_store_that_answers_from_the_past_is_not_trusted(self, fleet):
        follower, _ = fleet.follower()
        follower.step()
        fleet.now_s += 1000
        past = WatchResult(version=1, changes=())
        fleet.store.watch = lambda *_args, **_kwargs: past

        follower.step()

        assert follower.status().store_behind
        assert follower.status().possibly_stale

    def test_store_out_takes_the_highest_of_the_peers(self, fleet):
        fleet.edit()
        fleet.edit()
        broken = PeerConfiguration(vm_name="x", revision=9, document=b"broken")
        fleet.peers = [fleet.copy(1), fleet.copy(3), fleet.copy(2), broken]
        fleet.store.set_faults(StoreFaults(outage=Outage.REFUSE))
        follower, seen = fleet.follower()

        pauses = [follower.step() for _ in range(8)]

        assert [configuration.revision for configuration in seen] == [3]
        status = follower.status()
        assert status.source is ConfigurationSource.PEER
        assert status.possibly_stale
        assert status.store_error
        assert 0 < pauses[0] < pauses[-1] <= 5.0

    def test_old_peers_never_take_it_back(self, fleet):
        fleet.edit()
        follower, seen = fleet.follower()
        follower.step()
        fleet.peers = [fleet.copy(1)]
        fleet.store.set_faults(StoreFaults(outage=Outage.REFUSE))

        follower.step()
        fleet.now_s += 1000

        assert [configuration.revision for configuration in seen] == [2]
        assert follower.status().possibly_stale

    def test_document_for_peers(self, fleet):
        follower, _ = fleet.follower()
        assert follower.encode_if_newer(0) == b""

        follower.step()

        assert follower.encode_if_newer(0) == encode_configuration(
            follower.configuration
        )
        assert follower.encode_if_newer(1) == b""

    def test_a_peer_that_lies_about_its_revision_changes_nothing(self, fleet):
        follower, seen = fleet.follower()
        follower.step()
        older = encode_configuration(attrs.evolve(Configuration(), revision=1))
        fleet.peers = [PeerConfiguration(vm_name="x", revision=7, document=older)]
        fleet.store.set_faults(StoreFaults(outage=Outage.REFUSE))

        follower.step()

        assert [configuration.revision for configuration in seen] == [1]

    def test_thread_starts_and_stops(self, fleet):
        follower, seen = fleet.follower()
        del follower._stopped.wait

        follower.start()
        thread = follower._thread
        while not seen:
            thread.join(0.01)
        follower.stop(timeout_s=10)

        assert not thread.is_alive()

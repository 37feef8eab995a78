"""Cost of distributing the configuration, for several methods of distribution."""

import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

import attrs

from citrondock_bench.counting_store import HEADER_BYTES_PER_CALL, CountingStore
from citrondock_bench.synthetic_configuration import (
    change_document,
    document_text,
    synthetic_document,
)
from citrondock_core.configuration import Configuration
from citrondock_core.configuration_codec import (
    decode_configuration,
    encode_configuration,
)
from citrondock_core.configuration_reader import ConfigurationReader
from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditRequest,
)
from citrondock_core.configuration_revisions import HEAD_KEY
from citrondock_core.configuration_text import parse_configuration
from citrondock_router.configuration_follower import DEFAULT_WATCH_WAIT_S
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import StoreCore

SECONDS_PER_DAY = 86_400.0

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class ConfigurationSize:
    """Size of the configuration and the fleet, and number of measured edits.

    Parameters
    ----------
    account_count, target_count, node_count : int
        Accounts and targets in the configuration, and routers that follow it.
    changes_per_day : float
        Accepted edits per day, from which the rates are calculated.
    measured_change_count : int
        Edits that the measurement commits.
    seed : int
        Seed for the random edits.
    """

    account_count: int = 5_000
    target_count: int = 1_400
    node_count: int = 380
    changes_per_day: float = 6_300.0
    measured_change_count: int = 20
    seed: int = 1


@attrs.frozen(kw_only=True)
class DistributionCost:
    """Cost of one method of distribution.

    Parameters
    ----------
    name : str
        Method: ``"whole text"``, ``"changed parts"`` or ``"delta"``.
    bytes_per_change : float
        Median bytes that one node reads for one change.
    calls_per_change : float
        Median store calls of one node for one change.
    bytes_per_node_s : float
        Bytes per node and second at the given size, including renewed watches.
    calls_per_s : float
        Store reads per second of all nodes, including renewed watches.
    """

    name: str
    bytes_per_change: float
    calls_per_change: float
    bytes_per_node_s: float
    calls_per_s: float


@attrs.frozen(kw_only=True)
class ConfigurationSlopes:
    """Measured costs of distributing the configuration.

    Parameters
    ----------
    size : ConfigurationSize
        Size at which they were measured.
    text_bytes, peer_document_bytes, head_bytes : int
        Size of the operator's text, of the encoded configuration that peers pass
        to each other, and of the head object.
    ways : tuple of DistributionCost
        Cost of each method of distribution.
    start_calls, start_bytes : int
        Store reads of a router that starts without a configuration.
    edit_write_calls, edit_read_calls, edit_write_bytes : float
        Medians of the operator's store traffic for one accepted edit.
    parse_s, commit_s : float
        Processor seconds to parse and check the text, and to commit an edit, at the
        operator.
    apply_delta_s, decode_s : float
        Processor seconds to apply one delta, and to decode a snapshot, at a router.
    memory_bytes : int
        Memory of the decoded configuration in a router.
    """

    size: ConfigurationSize
    text_bytes: int
    peer_document_bytes: int
    head_bytes: int
    ways: tuple[DistributionCost, ...]
    start_calls: int
    start_bytes: int
    edit_write_calls: float
    edit_read_calls: float
    edit_write_bytes: float
    parse_s: float
    commit_s: float
    apply_delta_s: float
    decode_s: float
    memory_bytes: int


@attrs.define(kw_only=True)
class _Samples:
    """Bytes read and calls made with one method, one sample per change."""

    read_bytes: list[int] = attrs.field(factory=list)
    calls: list[int] = attrs.field(factory=list)

    def add(self, store: CountingStore, *, watch_calls: int) -> None:
        self.read_bytes.append(store.read_bytes)
        self.calls.append(store.read_calls + watch_calls)

    def cost(self, name: str, size: ConfigurationSize) -> DistributionCost:
        changes_per_s = size.changes_per_day / SECONDS_PER_DAY
        bytes_per_change = statistics.median(self.read_bytes)
        calls_per_change = statistics.median(self.calls)
        renewals_per_s = 1 / DEFAULT_WATCH_WAIT_S
        return DistributionCost(
            name=name,
            bytes_per_change=bytes_per_change,
            calls_per_change=calls_per_change,
            bytes_per_node_s=bytes_per_change * changes_per_s
            + renewals_per_s * HEADER_BYTES_PER_CALL,
            calls_per_s=size.node_count
            * (calls_per_change * changes_per_s + renewals_per_s),
        )


def measure_configuration(size: ConfigurationSize | None = None) -> ConfigurationSlopes:
    """Commit edits to an in-process store and count what followers read.

    Parameters
    ----------
    size : ConfigurationSize, optional
        Size to measure; the two-year size by default.
    """
    measurement = _Measurement(size or ConfigurationSize())
    for revision in range(1, measurement.size.measured_change_count + 1):
        measurement.edit(revision)
        measurement.follow(revision + 1)
    return measurement.result()


class _Measurement:
    """A store, an operator who edits, and one follower per distribution method."""

    def __init__(self, size: ConfigurationSize) -> None:
        self.size = size
        self._rng = random.Random(size.seed)
        self._core = StoreCore(writes_per_s=1e9, reads_per_s=1e9)
        self._operator = CountingStore(MemoryObjectStore(self._core))
        self._repository = ConfigurationRepository(
            self._operator, pause=lambda _pause_s: None
        )
        self._document = synthetic_document(
            account_count=size.account_count,
            target_count=size.target_count,
            rng=self._rng,
        )
        self._text = document_text(self._document)
        self._commit(0)
        self._current = self._repository.read_snapshot(1, _edit_id(1))
        self._version = self._core.version_of(HEAD_KEY)
        self._known_parts = set(self._part_keys(1))
        self._samples_by_name = {
            name: _Samples() for name in ("whole text", "changed parts", "delta")
        }
        self._edits: list[tuple[int, int, int]] = []
        self._commit_times_s: list[float] = []
        self._delta_times_s: list[float] = []

    def edit(self, revision: int) -> None:
        """Commit one edit on top of a revision and count the operator's calls."""
        change_document(self._document, self._rng)
        self._text = document_text(self._document)
        store = self._operator
        before = (store.write_calls, store.read_calls, store.written_bytes)
        _, commit_s = _timed(lambda: self._commit(revision))
        self._commit_times_s.append(commit_s)
        after = (store.write_calls, store.read_calls, store.written_bytes)
        writes, reads, written_bytes = map(int.__sub__, after, before)
        self._edits.append((writes, reads, written_bytes))

    def follow(self, revision: int) -> None:
        """Update the follower of each method to a revision and count what it reads."""
        self._follow_deltas()
        text_store = self._counting_store()
        ConfigurationReader(text_store).read_text(revision, _edit_id(revision))
        self._samples_by_name["whole text"].add(text_store, watch_calls=1)
        parts_store = self._counting_store()
        parts = self._part_keys(revision, ConfigurationReader(parts_store))
        for key in parts:
            if key not in self._known_parts:
                parts_store.get(key)
        self._known_parts.update(parts)
        self._samples_by_name["changed parts"].add(parts_store, watch_calls=1)

    def _follow_deltas(self) -> None:
        store = self._counting_store()
        reader = ConfigurationReader(store)
        watch = reader.wait_for_head(after_version=self._version, wait_s=0)
        if watch.newer_head is None:
            raise RuntimeError(
                f"watch after store version {self._version} returned no newer head"
            )
        self._version = watch.newer_head.version
        head = watch.newer_head.head
        self._current, delta_s = _timed(lambda: reader.advance(self._current, head))
        self._delta_times_s.append(delta_s)
        self._samples_by_name["delta"].add(store, watch_calls=0)

    def result(self) -> ConfigurationSlopes:
        """Return the costs.

        Raises
        ------
        RuntimeError
            The applied deltas give another configuration than the snapshot.
        """
        start_store = self._counting_store()
        reader = ConfigurationReader(start_store)
        if reader.advance(Configuration(), reader.read_head().head) != self._current:
            raise RuntimeError(
                "the configuration read as a snapshot differs from the one built from "
                f"deltas, revision {self._current.revision}"
            )
        encoded = encode_configuration(self._current)
        _, parse_s = _timed(lambda: parse_configuration(self._text, "text"))
        _, decode_s = _timed(lambda: decode_configuration(encoded))
        writes, reads, written_bytes = zip(*self._edits, strict=True)
        return ConfigurationSlopes(
            size=self.size,
            text_bytes=len(self._text),
            peer_document_bytes=len(encoded),
            head_bytes=len(self._core.get(HEAD_KEY).value),
            ways=tuple(
                samples.cost(name, self.size)
                for name, samples in self._samples_by_name.items()
            ),
            start_calls=start_store.read_calls,
            start_bytes=start_store.read_bytes,
            edit_write_calls=statistics.median(writes),
            edit_read_calls=statistics.median(reads),
            edit_write_bytes=statistics.median(written_bytes),
            parse_s=parse_s,
            commit_s=statistics.median(self._commit_times_s),
            apply_delta_s=statistics.median(self._delta_times_s),
            decode_s=decode_s,
            memory_bytes=_memory_bytes(encoded),
        )

    def _counting_store(self) -> CountingStore:
        return CountingStore(MemoryObjectStore(self._core))

    def _part_keys(
        self, revision: int, reader: ConfigurationReader | None = None
    ) -> list[str]:
        reader = reader or self._repository
        manifest = reader.read_manifest(revision, _edit_id(revision))
        return [part.key for part in manifest.snapshot]

    def _commit(self, base_revision: int) -> None:
        self._repository.commit(
            EditRequest(
                edit_id=_edit_id(base_revision + 1),
                author="operator",
                reason="measurement",
                base_revision=base_revision,
                text=self._text,
                file="text",
                now_epoch_s=0.0,
            )
        )


def _edit_id(revision: int) -> str:
    return f"edit-{revision}"


def _memory_bytes(encoded: bytes) -> int:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    configuration = decode_configuration(encoded)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before if configuration.revision else 0


def _timed(call: Callable[[], T]) -> tuple[T, float]:
    started_at_s = time.process_time()
    result = call()
    return result, time.process_time() - started_at_s


def main() -> None:
    """Print the costs at the two-year size as JSON."""
    json.dump(attrs.asdict(measure_configuration()), sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()

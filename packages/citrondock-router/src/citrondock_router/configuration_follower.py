"""Keeps a router's configuration up to date and never applies an older revision."""

import enum
import random
import threading
import time
from collections.abc import Callable, Sequence

import attrs

from citrondock_core.backoff import backoff_s
from citrondock_core.configuration import Configuration
from citrondock_core.configuration_codec import (
    decode_configuration,
    encode_configuration,
)
from citrondock_core.configuration_reader import ConfigurationReader, VersionedHead
from citrondock_core.errors import CitrondockError
from citrondock_core.object_store import ObjectStore, StoreRestoredError
from citrondock_core.store_version import era_of
from citrondock_router.log import log_event

DEFAULT_WATCH_WAIT_S = 7.0
"""Longest wait of one watch. An edit must be in force within 11 s even if a broken
connection loses a watch, so this wait and the time of the answer stay below 11 s."""
DEFAULT_CALL_TIMEOUT_S = 2.0
MIN_BACKOFF_S = 0.25
DEFAULT_MAX_BACKOFF_S = 5.0
MAX_SNAPSHOT_DELAY_S = 1.0
"""Longest random delay before the reads of a change that the deltas in the head don't
cover; it keeps the routers from reading all at once."""
WATCH_MARGIN_S = 3.0
"""Time beyond the longest wait of a watch for which the store's last answer still
counts as current."""
START_WINDOW_S = 10.0
"""Time after the start, and after the store came back from a copy, in which peers are
asked as well as the store, until one of them has answered."""
START_WATCH_WAIT_S = 1.0
"""Longest wait of one watch in that time, so that peers are asked again soon."""
MIN_WATCH_S = 1.0
"""Pause after a watch that the store answered early without a change, so that the
follower doesn't call it in a tight loop."""


class ConfigurationSource(enum.Enum):
    """Source of the configuration in force."""

    NONE = "none"
    STORE = "store"
    PEER = "peer"


@attrs.frozen(kw_only=True)
class PeerConfiguration:
    """Copy of the configuration that another router holds.

    Parameters
    ----------
    vm_name : str
        VM of the other router.
    revision : int
        Revision that the other router reports.
    document : bytes
        Result of `encode_configuration`; may be empty if it is not newer.
    """

    vm_name: str
    revision: int
    document: bytes


FetchPeerCopies = Callable[[int], Sequence[PeerConfiguration]]
"""Fetches copies from reachable peers; given the revision that is held already."""


@attrs.frozen(kw_only=True)
class ConfigurationStatus:
    """State of the configuration at one router.

    Parameters
    ----------
    revision : int
        Revision in force; 0 if there is none, and then the router is not ready.
    edit_id : str
        Edit that produced the revision.
    source : ConfigurationSource
        Where the revision came from.
    applied_at_s : float or None
        Monotonic time at which the revision came into force at this router.
    confirmed_until_s : float
        Monotonic time until which the store's last answer counts as current.
    possibly_stale : bool
        Whether the store may hold a newer revision.
    store_behind : bool
        Whether the head last read from the store was older than the revision in force.
    store_error : str
        Last error of the store; empty after a success.
    store_call_count : int
        Number of calls that the follower made to the store.
    """

    revision: int
    edit_id: str
    source: ConfigurationSource
    applied_at_s: float | None
    confirmed_until_s: float
    possibly_stale: bool
    store_behind: bool
    store_error: str
    store_call_count: int


class ConfigurationFollower:
    """Follows the head in the store with one long-polling watch, on its own thread.

    While the store is unavailable, the follower applies the highest revision that
    reachable peers hold. It asks peers after a start too, as a stale read of the store
    must not take a restarted router back to an older revision, and after the store came
    back from a copy, which may lack edits that peers have. Only higher revisions are
    applied, from the store and from peers alike.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the configuration.
    on_configuration : callable
        Called on the follower's thread with each new `Configuration`.
    fetch_peer_copies : callable, optional
        Fetches copies from reachable peers; given the revision in force.
    on_store_era : callable, optional
        Called on the follower's thread with each new era of the store.
    watch_wait_s : float
        Longest wait of one watch; each watch costs the store one read.
    call_timeout_s : float
        Timeout of one call.
    max_backoff_s : float
        Longest pause after a failed call.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random, optional
        Source of jitter.
    """

    def __init__(
        self,
        store: ObjectStore,
        on_configuration: Callable[[Configuration], None],
        *,
        fetch_peer_copies: FetchPeerCopies = lambda _after_revision: (),
        on_store_era: Callable[[int], None] = lambda _era: None,
        watch_wait_s: float = DEFAULT_WATCH_WAIT_S,
        call_timeout_s: float = DEFAULT_CALL_TIMEOUT_S,
        max_backoff_s: float = DEFAULT_MAX_BACKOFF_S,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._reader = ConfigurationReader(store, call_timeout_s=call_timeout_s)
        self._on_configuration = on_configuration
        self._fetch_peer_copies = fetch_peer_copies
        self._on_store_era = on_store_era
        self._watch_wait_s = watch_wait_s
        self._max_backoff_s = max_backoff_s
        self._clock = clock
        self._rng = rng or random.Random()
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self._thread: threading.Thread | None = None
        self._configuration = Configuration()
        self._source = ConfigurationSource.NONE
        self._applied_at_s: float | None = None
        self._confirmed_until_s = -1.0
        self._store_version = 0
        self._store_era = 0
        self._store_behind = False
        self._store_error = ""
        self._failure_count = 0
        self._peers_deadline_s = clock() + START_WINDOW_S
        self._encoded_cache = (0, b"")

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(
            target=self._run, name="configuration-follower", daemon=True
        )
        self._thread.start()

    def stop(self, *, timeout_s: float = 0.0) -> None:
        """Ask the thread to end after the watch under way; wait up to the timeout."""
        self._stopped.set()
        if self._thread is not None and timeout_s > 0:
            self._thread.join(timeout_s)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force; its revision is 0 if there is none yet."""
        with self._lock:
            return self._configuration

    @property
    def is_ready(self) -> bool:
        """Whether a configuration is in force."""
        return self.configuration.revision > 0

    def status(self) -> ConfigurationStatus:
        """Return the current state."""
        now_s = self._clock()
        with self._lock:
            return ConfigurationStatus(
                revision=self._configuration.revision,
                edit_id=self._configuration.edit_id,
                source=self._source,
                applied_at_s=self._applied_at_s,
                confirmed_until_s=self._confirmed_until_s,
                possibly_stale=now_s > self._confirmed_until_s,
                store_behind=self._store_behind,
                store_error=self._store_error,
                store_call_count=self._reader.call_count,
            )

    def encode_if_newer(self, after_revision: int) -> bytes:
        """Return the serialised configuration; empty if its revision isn't newer."""
        configuration = self.configuration
        if configuration.revision <= after_revision:
            return b""
        revision, document = self._encoded_cache
        if revision != configuration.revision:
            document = encode_configuration(configuration)
            self._encoded_cache = (configuration.revision, document)
        return document

    def step(self) -> float:
        """Wait for one answer of the store and apply it; ask peers if the store fails.

        Returns
        -------
        float
            Pause in seconds before the next step.
        """
        try:
            return self._follow_store()
        except StoreRestoredError as error:
            return self._follow_anew(error)
        except CitrondockError as error:
            return self._handle_store_error(error)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                pause_s = self.step()
            except Exception as error:
                log_event(
                    "configuration_follower_failed", level="ERROR", error=repr(error)
                )
                pause_s = self._max_backoff_s
            self._stopped.wait(pause_s)

    def _follow_store(self) -> float:
        if self._store_version == 0:
            versioned_head = self._reader.read_head()
            self._note_era(versioned_head.version)
            if versioned_head.version:
                self._apply_head(versioned_head)
                self._ask_peers_in_window()
                self._record_store_success()
                return 0.0
            self._store_behind = self._configuration.revision > 0
        started_at_s = self._clock()
        watch = self._reader.wait_for_head(
            after_version=self._store_version, wait_s=self._next_wait_s()
        )
        self._note_era(watch.version)
        self._ask_peers_in_window()
        if watch.newer_head is not None:
            self._apply_head(watch.newer_head)
        elif watch.version < self._store_version:
            self._store_behind = True
            self._store_version = 0
            return self._rng.uniform(0, MIN_WATCH_S)
        self._store_version = max(self._store_version, watch.version)
        self._record_store_success()
        waited_s = self._clock() - started_at_s
        is_idle = watch.newer_head is None and waited_s < MIN_WATCH_S
        return MIN_WATCH_S if is_idle else 0.0

    def _follow_anew(self, error: StoreRestoredError) -> float:
        log_event(
            "configuration_store_restored",
            level="WARNING",
            revision=self._configuration.revision,
            error=str(error),
        )
        self._store_version = 0
        self._peers_deadline_s = self._clock() + START_WINDOW_S
        return self._rng.uniform(0, MIN_BACKOFF_S)

    def _note_era(self, version: int) -> None:
        era = era_of(version)
        if era > self._store_era:
            self._store_era = era
            log_event("store_era_noted", era=era)
            self._on_store_era(era)

    def _next_wait_s(self) -> float:
        if self._clock() < self._peers_deadline_s:
            return min(START_WATCH_WAIT_S, self._watch_wait_s)
        return self._watch_wait_s

    def _ask_peers_in_window(self) -> None:
        if self._clock() >= self._peers_deadline_s:
            return
        if self._apply_newest_peer_copy():
            self._peers_deadline_s = self._clock()

    def _apply_head(self, versioned_head: VersionedHead) -> None:
        current = self._configuration
        head = versioned_head.head
        self._store_behind = head.revision < current.revision
        if head.revision > current.revision:
            if current.revision and not head.has_deltas_since(current.edit_id):
                self._stopped.wait(self._rng.uniform(0, MAX_SNAPSHOT_DELAY_S))
            self._apply(self._reader.advance(current, head), ConfigurationSource.STORE)
        elif head.revision < current.revision:
            log_event(
                "configuration_head_ignored",
                level="WARNING",
                head_revision=head.revision,
                revision=current.revision,
            )
        self._store_version = max(self._store_version, versioned_head.version)

    def _record_store_success(self) -> None:
        with self._lock:
            self._confirmed_until_s = (
                self._clock() + self._watch_wait_s + WATCH_MARGIN_S
            )
            self._store_error = ""
        self._failure_count = 0

    def _handle_store_error(self, error: CitrondockError) -> float:
        with self._lock:
            self._store_error = str(error)
        if self._failure_count == 0:
            log_event("configuration_store_failed", level="WARNING", error=str(error))
        self._apply_newest_peer_copy()
        pause_s = backoff_s(
            self._failure_count,
            min_s=MIN_BACKOFF_S,
            max_s=self._max_backoff_s,
            rng=self._rng,
        )
        self._failure_count += 1
        return pause_s

    def _apply_newest_peer_copy(self) -> bool:
        """Apply the newest copy of the peers; return whether any peer answered."""
        try:
            copies = self._fetch_peer_copies(self._configuration.revision)
        except CitrondockError as error:
            log_event("configuration_peers_failed", level="WARNING", error=str(error))
            return False
        newest_first = sorted(copies, key=lambda copy: copy.revision, reverse=True)
        for copy in newest_first:
            is_newer = copy.revision > self._configuration.revision
            if is_newer and self._apply_peer_copy(copy):
                break
        return bool(copies)

    def _apply_peer_copy(self, copy: PeerConfiguration) -> bool:
        try:
            configuration = decode_configuration(copy.document)
        except CitrondockError as error:
            log_event(
                "configuration_copy_refused",
                level="WARNING",
                peer=copy.vm_name,
                error=str(error),
            )
            return False
        if configuration.revision <= self._configuration.revision:
            return False
        self._apply(configuration, ConfigurationSource.PEER)
        return True

    def _apply(self, configuration: Configuration, source: ConfigurationSource) -> None:
        with self._lock:
            self._configuration = configuration
            self._source = source
            self._applied_at_s = self._clock()
        log_event(
            "configuration_applied",
            revision=configuration.revision,
            edit_id=configuration.edit_id,
            source=source.value,
        )
        self._on_configuration(configuration)

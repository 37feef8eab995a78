"""Which software version began each stream that a client may take up again.

Each service has a base version. A stream without a record began at the base version;
every other one is recorded in the store before its first event is passed on.
"""

import enum
import math
from collections.abc import Collection, Iterable, Mapping

import attrs
import xxhash

LIFETIME_MARGIN_S = 5.0
"""Time beyond the longest deadline of a client for which streams are remembered: their
targets may serve on for seconds after their entries are gone, and clocks differ."""

MAX_LIFETIME_S = 60.0
"""Longest time for which streams are remembered."""

MAX_UNRECORDED_S = 20.0
"""Longest deadline of a client with which a stream may begin without a record."""

MAX_BASE_AGE_S = 5.0
"""Age of a base version at which a router that knows several versions reads it anew."""

RETIRE_AFTER_S = 2.0
"""Time without targets of the base version after which it begins to retire."""

RETIREMENT_S = MAX_BASE_AGE_S + MAX_UNRECORDED_S + 2.0
"""Time from the decision that streams of every version are recorded until none is left
that began without a record, at a router that did not know of it yet."""

PURGE_PERIOD_S = 5.0
"""Period in which streams that were passed on here are forgotten."""


def stream_key(request_id: str) -> str:
    """Return the key of the stream whose first event a client attempt brought."""
    return xxhash.xxh64_hexdigest(request_id.encode())


@attrs.frozen(kw_only=True)
class StreamRecord:
    """The version that began one stream.

    Parameters
    ----------
    key : str
        Key of the stream.
    version : str
        Software version.
    order : tuple of int
        Position among the records of the stream; the latest one holds.
    """

    key: str
    version: str
    order: tuple[int, int]


class BaseState(enum.Enum):
    """Which streams begin without a record."""

    SETTLED = "settled"
    """Those of the base version."""

    RETIRING = "retiring"
    """None; those without a record that began before are of the base version."""

    OPEN = "open"
    """None; records may be lost, so that the version of others is unknown."""


@attrs.frozen(kw_only=True)
class BaseVersion:
    """Version of the streams of a service that have no record.

    Parameters
    ----------
    version : str
        Software version.
    state : BaseState
        Which streams begin without a record.
    era : int
        Era of the store that this was written in; in a later one records may be lost.
    """

    version: str
    state: BaseState = BaseState.SETTLED
    era: int = 0


@attrs.define
class _ServiceState:
    live: Mapping[str, int] = attrs.field(factory=dict)
    """Targets by version, those that are leaving included."""

    base: BaseVersion | None = None
    is_base_confirmed: bool = False
    """Whether the base version has had targets ever since it was read."""

    base_known_since_s: float = -math.inf
    base_gone_at_s: float = math.inf
    known_since_s: float = math.inf
    """When the targets were first known."""

    mixed_until_s: float = -math.inf
    """When the last stream that began among several versions can't be taken up."""

    @property
    def is_mixed(self) -> bool:
        """Whether another version than the base has targets, or several have."""
        versions = set(self.live)
        if self.base is not None:
            versions.add(self.base.version)
        return len(versions) > 1

    @property
    def most_common(self) -> str:
        """The version that most targets have."""
        return max(self.live, key=lambda version: (self.live[version], version))


@attrs.frozen
class _BegunStream:
    version: str
    expires_at_s: float


class StreamVersions:
    """What this router knows of base versions and records.

    The base version changes in two steps. Once it has had no targets for a while, it
    retires: streams of every version are recorded. After `RETIREMENT_S` no stream
    without a record is left, and another version takes its place. A write of the store
    that is done late cannot skip the first step.

    A store that comes back from a copy begins a new era, without the latest records.
    What was written in an older era holds only while one version serves; otherwise the
    base version is open for `MAX_LIFETIME_S`.

    Attributes
    ----------
    is_read : bool
        Whether base versions and records were read in the latest era.
    era : int
        Latest era of the store.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceState] = {}
        self._records: dict[str, StreamRecord] = {}
        self._expires_at_s: dict[str, float] = {}
        self._begun: dict[str, _BegunStream] = {}
        self._purge_begun_at_s = -math.inf
        self._longest_deadline_s = 0.0
        self.is_read = False
        self.era = 0

    @property
    def lifetime_s(self) -> float:
        """Time for which a stream may be taken up after it began."""
        return min(self._longest_deadline_s + LIFETIME_MARGIN_S, MAX_LIFETIME_S)

    def observe_deadline(self, time_left_s: float) -> None:
        """Take account of how long a client waits for a stream."""
        if time_left_s > self._longest_deadline_s:
            self._longest_deadline_s = time_left_s

    def set_live(
        self, services: Mapping[str, Mapping[str, int]], *, now_s: float
    ) -> None:
        """Apply the number of registered targets of each service and version."""
        for service in {*services, *self._services}:
            state = self._services.setdefault(service, _ServiceState())
            self._note_mixed(state, now_s)
            state.live = services.get(service, {})
            if state.live:
                state.known_since_s = min(state.known_since_s, now_s)
            self._update(state, now_s)

    def set_base(self, service: str, base: BaseVersion, *, now_s: float) -> None:
        """Apply the base version that the store names."""
        state = self._services.setdefault(service, _ServiceState())
        if state.base is None or state.base.version != base.version:
            state.base_gone_at_s = math.inf
        if state.base != base:
            state.base = base
            state.base_known_since_s = now_s
        state.is_base_confirmed = True
        self._update(state, now_s)

    def keep_bases(self, services: Collection[str]) -> None:
        """Forget the base versions of all other services, as the store has none."""
        for service, state in self._services.items():
            if service not in services:
                state.base = None

    @staticmethod
    def _note_mixed(state: _ServiceState, now_s: float) -> None:
        if state.is_mixed:
            state.mixed_until_s = now_s + MAX_LIFETIME_S

    def _update(self, state: _ServiceState, now_s: float) -> None:
        self._note_mixed(state, now_s)
        if state.base is None or state.base.version in state.live:
            state.base_gone_at_s = math.inf
        elif state.live:
            state.is_base_confirmed = False
            state.base_gone_at_s = min(state.base_gone_at_s, now_s)

    def base(self, service: str) -> BaseVersion | None:
        """Return the base version of a service as it is known here."""
        state = self._services.get(service)
        return state.base if state is not None else None

    def unrecorded_version(self, service: str, *, now_s: float) -> str | None:
        """Return the version of streams without a record; None if it is unknown."""
        state = self._services.get(service)
        if state is None or state.base is None or self._is_open(state, now_s):
            return None
        return state.base.version

    def _is_open(self, state: _ServiceState, now_s: float) -> bool:
        """Return whether records may be lost of streams that can be taken up."""
        base = state.base
        if base is None or base.state is BaseState.OPEN:
            return True
        return base.era < self.era and self._was_mixed(state, now_s)

    def _was_mixed(self, state: _ServiceState, now_s: float) -> bool:
        """Return whether a stream may have begun at another version than the base.

        That is unknown to a router which has not known the targets for as long as a
        stream lasts.
        """
        is_new = now_s < state.known_since_s + self.lifetime_s
        return is_new or state.is_mixed or now_s < state.mixed_until_s

    def was_mixed(self, *, now_s: float) -> bool:
        """Return whether streams of several versions may be taken up."""
        return any(self._was_mixed(state, now_s) for state in self._services.values())

    @property
    def knows_several(self) -> bool:
        """Whether a service has targets of another version than the base."""
        return any(state.is_mixed for state in self._services.values() if state.live)

    def services(self) -> list[str]:
        """Return the services that have targets."""
        return [service for service, state in self._services.items() if state.live]

    @property
    def must_read(self) -> bool:
        """Whether the store may name other base versions than those known here."""
        return not self.is_read or any(
            state.base is not None
            and not state.is_base_confirmed
            and state.base.version in state.live
            for state in self._services.values()
        )

    @property
    def lacks_base(self) -> bool:
        """Whether a service with targets has no base version of the latest era."""
        return any(
            state.live and (state.base is None or state.base.era < self.era)
            for state in self._services.values()
        )

    def needs_record(
        self, service: str, version: str, *, time_left_s: float, now_s: float
    ) -> bool:
        """Return whether a stream has to be recorded before it begins at a version.

        Parameters
        ----------
        service, version : str
            Service and software version of its target.
        time_left_s : float
            Time for which the client may take it up.
        now_s : float
            Monotonic time.
        """
        if time_left_s > MAX_UNRECORDED_S:
            return True
        state = self._services.get(service)
        if state is None or state.base is None or not state.is_base_confirmed:
            return True
        if self._is_open(state, now_s) or state.base.state is BaseState.RETIRING:
            return True
        return version != state.base.version

    def add(self, records: Iterable[StreamRecord], *, expires_at_s: float) -> None:
        """Remember records until they expire."""
        for record in records:
            known = self._records.get(record.key)
            if known is None or known.order <= record.order:
                self._records[record.key] = record
            self._expires_at_s[record.key] = expires_at_s

    def expire(self, *, now_s: float) -> None:
        """Forget streams that cannot be taken up any more."""
        for key, expires_at_s in list(self._expires_at_s.items()):
            if now_s >= expires_at_s:
                del self._expires_at_s[key], self._records[key]
        if now_s >= self._purge_begun_at_s:
            self._purge_begun_at_s = now_s + PURGE_PERIOD_S
            self._begun = {
                request_id: begun
                for request_id, begun in self._begun.items()
                if now_s < begun.expires_at_s
            }

    def remember(self, request_id: str, version: str, *, now_s: float) -> None:
        """Remember the version of a stream that this router has passed on."""
        expires_at_s = now_s + self.lifetime_s
        self._begun[request_id] = _BegunStream(version, expires_at_s)

    def remembered(self) -> list[tuple[str, str]]:
        """Return the keys and versions of the streams that were passed on here."""
        return [
            (stream_key(request_id), begun.version)
            for request_id, begun in self._begun.items()
        ]

    def remembered_version(self, request_id: str) -> str | None:
        """Return the version of a stream that was passed on here; None if unknown."""
        begun = self._begun.get(request_id)
        return begun.version if begun is not None else None

    def recorded_version(self, request_id: str) -> str | None:
        """Return the version of a recorded stream; None without a record."""
        record = self._records.get(stream_key(request_id))
        return record.version if record is not None else None

    def next_base(self, service: str, *, now_s: float) -> BaseVersion | None:
        """Return what should take the place of the base version; None for no change."""
        state = self._services.get(service)
        if state is None or not state.live:
            return None
        base = state.base
        if base is None:
            # All streams are recorded until there is one, but a copy of the store may
            # lack it together with records.
            is_open = now_s < state.mixed_until_s
            return self._base(state.most_common, is_open=is_open)
        if base.era < self.era:
            is_open = self._is_open(state, now_s)
            return self._base(base.version, is_open=is_open)
        if base.state is BaseState.OPEN:
            if now_s < state.base_known_since_s + MAX_LIFETIME_S:
                return None
            is_live = base.version in state.live
            return self._base(base.version if is_live else state.most_common)
        if base.version in state.live:
            settled = self._base(base.version)
            return None if base == settled else settled
        if base.state is BaseState.SETTLED:
            if now_s < state.base_gone_at_s + RETIRE_AFTER_S:
                return None
            return attrs.evolve(base, state=BaseState.RETIRING)
        if now_s < state.base_known_since_s + RETIREMENT_S:
            return None
        return self._base(state.most_common)

    def _base(self, version: str, *, is_open: bool = False) -> BaseVersion:
        state = BaseState.OPEN if is_open else BaseState.SETTLED
        return BaseVersion(version=version, state=state, era=self.era)


def count_versions(
    targets: Collection[tuple[str, str]],
) -> dict[str, dict[str, int]]:
    """Count targets, given by their service and version, by both."""
    counts: dict[str, dict[str, int]] = {}
    for service, version in targets:
        by_version = counts.setdefault(service, {})
        by_version[version] = by_version.get(version, 0) + 1
    return counts

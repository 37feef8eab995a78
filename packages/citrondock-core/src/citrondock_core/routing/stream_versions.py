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
"""Longest time for which streams are remembered, and for which a base version retires:
longer than `MAX_BASE_AGE_S` and the longest deadline of a client together."""

MAX_BASE_AGE_S = 15.0
"""Age of a base version at which a router that knows several versions reads it anew."""

RETIRE_AFTER_S = 5.0
"""Time without targets of the base version after which it begins to retire."""

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


@attrs.frozen(kw_only=True)
class BaseVersion:
    """Version of the streams of a service that have no record.

    Parameters
    ----------
    version : str
        Software version.
    state : BaseState
        Which streams begin without a record.
    """

    version: str
    state: BaseState = BaseState.SETTLED


@attrs.define
class _ServiceState:
    live: Mapping[str, int] = attrs.field(factory=dict)
    """Targets by version, those that are leaving included."""

    base: BaseVersion | None = None
    is_base_confirmed: bool = False
    """Whether the base version has had targets ever since it was read."""

    base_known_since_s: float = -math.inf
    base_gone_at_s: float = math.inf

    @property
    def is_mixed(self) -> bool:
        """Whether another version than the base has targets."""
        return self.base is None or any(
            version != self.base.version for version in self.live
        )

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
    retires: streams of every version are recorded. A lifetime of streams later
    no stream without a record is left, and another version takes its place. A write of
    the store that is done late cannot skip the first step.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ServiceState] = {}
        self._records: dict[str, StreamRecord] = {}
        self._expires_at_s: dict[str, float] = {}
        self._begun: dict[str, _BegunStream] = {}
        self._purge_begun_at_s = -math.inf
        self._longest_deadline_s = 0.0
        self.is_read = False

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
            state.live = services.get(service, {})
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

    def _update(self, state: _ServiceState, now_s: float) -> None:
        if state.base is None or state.base.version in state.live:
            state.base_gone_at_s = math.inf
        elif state.live:
            state.is_base_confirmed = False
            state.base_gone_at_s = min(state.base_gone_at_s, now_s)

    def base(self, service: str) -> BaseVersion | None:
        """Return the base version of a service as it is known here."""
        state = self._services.get(service)
        return state.base if state is not None else None

    def unrecorded_version(self, service: str) -> str | None:
        """Return the version of streams without a record; None if it is unknown."""
        base = self.base(service)
        return base.version if base is not None else None

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
        """Whether the base version of a service with targets is unknown."""
        return any(
            state.live and state.base is None for state in self._services.values()
        )

    def needs_record(self, service: str, version: str) -> bool:
        """Return whether a stream has to be recorded before it begins at a version."""
        state = self._services.get(service)
        if state is None or state.base is None or not state.is_base_confirmed:
            return True
        return version != state.base.version or state.base.state != BaseState.SETTLED

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
            # All streams are recorded until there is one.
            return BaseVersion(version=state.most_common)
        if base.version in state.live:
            settled = attrs.evolve(base, state=BaseState.SETTLED)
            return None if base == settled else settled
        if base.state is BaseState.SETTLED:
            if now_s < state.base_gone_at_s + RETIRE_AFTER_S:
                return None
            return attrs.evolve(base, state=BaseState.RETIRING)
        if now_s < state.base_known_since_s + MAX_LIFETIME_S:
            return None
        return BaseVersion(version=state.most_common)


def count_versions(
    targets: Collection[tuple[str, str]],
) -> dict[str, dict[str, int]]:
    """Count targets, given by their service and version, by both."""
    counts: dict[str, dict[str, int]] = {}
    for service, version in targets:
        by_version = counts.setdefault(service, {})
        by_version[version] = by_version.get(version, 0) + 1
    return counts

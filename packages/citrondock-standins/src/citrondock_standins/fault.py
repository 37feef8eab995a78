"""Faults that a proxy causes."""

import asyncio
import enum
from collections.abc import Sequence

import attrs

EVERY_SENDER = ""


class FaultKind(enum.Enum):
    """What a proxy does to the traffic.

    ``CUT`` resets connections and refuses new ones. ``BLACKHOLE`` accepts and
    forwards nothing. ``LOSS`` holds one direction's bytes until it ends, as lost
    segments are sent again. ``HALF_CLOSE`` ends one direction of the present
    connections. ``CUT_AFTER`` resets a connection after a number of bytes in a
    direction. ``DELAY`` and ``BANDWIDTH`` slow a direction.
    """

    CUT = "cut"
    BLACKHOLE = "blackhole"
    LOSS = "loss"
    HALF_CLOSE = "half_close"
    CUT_AFTER = "cut_after"
    DELAY = "delay"
    BANDWIDTH = "bandwidth"


class Direction(enum.Enum):
    """Whose bytes a fault concerns."""

    BOTH = "both"
    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


@attrs.frozen(kw_only=True)
class Fault:
    """One fault.

    Parameters
    ----------
    kind : FaultKind
        What happens.
    direction : Direction
        To whose bytes.
    delay_ms : float
        Delay of each part.
    byte_count : int
        Bytes after which a connection is cut, counted from when the fault was set.
    bandwidth_bytes_per_s : float
        Rate of each connection.
    """

    kind: FaultKind = attrs.field(converter=FaultKind)
    direction: Direction = attrs.field(default=Direction.BOTH, converter=Direction)
    delay_ms: float = 0.0
    byte_count: int = 0
    bandwidth_bytes_per_s: float = 0.0

    def applies_to(self, direction: Direction) -> bool:
        """Whether it concerns the bytes of one direction."""
        return self.direction in (Direction.BOTH, direction)


class ActiveFaults:
    """The faults in force by sender, and who waits for them to change."""

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self._by_sender: dict[str, Sequence[Fault]] = {}

    def replace(self, faults: Sequence[Fault], sender: str) -> None:
        """Put faults of one or every sender in force."""
        if sender == EVERY_SENDER:
            self._by_sender.clear()
        self._by_sender[sender] = faults
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def has_sender_faults(self) -> bool:
        """Whether some faults concern a single sender."""
        return any(s != EVERY_SENDER and f for s, f in self._by_sender.items())

    def find(
        self, kind: FaultKind, sender: str, direction: Direction = Direction.BOTH
    ) -> Fault | None:
        """Return the fault of a kind that concerns a sender and a direction."""
        everyones = self._by_sender.get(EVERY_SENDER, ())
        for fault in (*everyones, *self._by_sender.get(sender, ())):
            if fault.kind is kind and fault.applies_to(direction):
                return fault
        return None

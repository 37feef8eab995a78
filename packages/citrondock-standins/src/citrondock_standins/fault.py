"""Network faults that a proxy can simulate."""

import asyncio
import enum
from collections.abc import Sequence

import attrs

EVERY_SENDER = ""


class FaultKind(enum.Enum):
    """What a fault does to the traffic.

    ``CUT`` resets connections and refuses new ones. ``BLACKHOLE`` accepts connections
    but forwards nothing. ``LOSS`` holds the bytes back until the fault is cleared, as
    TCP retransmits lost segments. ``HALF_CLOSE`` sends an end of stream on the open
    connections. ``CUT_AFTER`` resets a connection after a number of bytes. ``DELAY``
    and ``BANDWIDTH`` slow the traffic down.
    """

    CUT = "cut"
    BLACKHOLE = "blackhole"
    LOSS = "loss"
    HALF_CLOSE = "half_close"
    CUT_AFTER = "cut_after"
    DELAY = "delay"
    BANDWIDTH = "bandwidth"


class Direction(enum.Enum):
    """Direction of the traffic that a fault applies to."""

    BOTH = "both"
    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


@attrs.frozen(kw_only=True)
class Fault:
    """A fault and its parameters.

    Parameters
    ----------
    kind : FaultKind
        What the fault does.
    direction : Direction
        Direction of the traffic that it applies to.
    delay_ms : float
        Delay of each chunk of data, for ``DELAY``.
    byte_count : int
        Bytes after which ``CUT_AFTER`` resets a connection, counted from the time at
        which the fault was set.
    bandwidth_bytes_per_s : float
        Rate of each connection, for ``BANDWIDTH``.
    """

    kind: FaultKind = attrs.field(converter=FaultKind)
    direction: Direction = attrs.field(default=Direction.BOTH, converter=Direction)
    delay_ms: float = 0.0
    byte_count: int = 0
    bandwidth_bytes_per_s: float = 0.0

    def applies_to(self, direction: Direction) -> bool:
        """Whether the fault applies to a direction."""
        return self.direction in (Direction.BOTH, direction)


class ActiveFaults:
    """Current faults by sender.

    Attributes
    ----------
    changed : asyncio.Event
        Set at the next change of the faults, and then replaced by a new event.
    """

    def __init__(self) -> None:
        self.changed = asyncio.Event()
        self._by_sender: dict[str, Sequence[Fault]] = {}

    def replace(self, faults: Sequence[Fault], sender: str) -> None:
        """Replace the faults of a sender; `EVERY_SENDER` clears all others too."""
        if sender == EVERY_SENDER:
            self._by_sender.clear()
        self._by_sender[sender] = faults
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def has_sender_faults(self) -> bool:
        """Whether some faults apply to a single sender only."""
        return any(s != EVERY_SENDER and f for s, f in self._by_sender.items())

    def find(
        self, kind: FaultKind, sender: str, direction: Direction = Direction.BOTH
    ) -> Fault | None:
        """Return the first fault of a kind for a sender and a direction, if any."""
        shared_faults = self._by_sender.get(EVERY_SENDER, ())
        for fault in (*shared_faults, *self._by_sender.get(sender, ())):
            if fault.kind is kind and fault.applies_to(direction):
                return fault
        return None

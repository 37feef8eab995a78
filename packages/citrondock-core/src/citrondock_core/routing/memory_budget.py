"""Decides whose bytes a router gives up before it runs out of memory.

It answers the load of clients outside the operator's control: many large bodies at
once, most of them never finished, and responses that are read slowly.
"""

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable

PROCESS_RESERVE_BYTES = 64 << 20
"""Memory for the interpreter, libraries, configuration, connections and logs. Routers
of the largest deployments used 56 MB at their peak."""

BYTES_PER_HELD_BYTE = 2
"""Memory for each held byte: a body is copied when it is complete, and when it is
sent."""

DEFAULT_LIMIT_BYTES = 64 << 20
"""Limit of a router that does not know its machine's memory."""

KEPT_RATIO = 0.75
"""Share of the limit for large requests that are complete; the rest is for new ones."""

SMALL_REQUEST_BYTES = 65_536
"""Requests up to this size are taken until the whole limit is used."""

RELEASE_RATIO = 0.875
"""Share of the limit down to which bytes are released once it is exceeded."""


class MemoryHolder(ABC):
    """Holds bytes of a client, such as an unfinished request."""

    @property
    @abstractmethod
    def owner(self) -> str:
        """Account of the client, or its address if the account is not known."""

    @property
    @abstractmethod
    def is_releasable(self) -> bool:
        """Whether bytes are held that can be given up now."""

    @property
    @abstractmethod
    def progressed_at_s(self) -> float:
        """When the client last sent or read a byte, on the event loop's clock."""

    @abstractmethod
    def release(self) -> None:
        """Refuse or close what holds releasable bytes; calls `MemoryBudget.hold`."""


class MemoryBudget:
    """Bytes that a router holds for its clients, and their limit.

    Complete requests are never given up: a large one is not taken if it finds no room.
    Unfinished requests and responses that are read slowly are released once the limit
    is exceeded: of the owner with the most held bytes, that which has made no progress
    for longest.

    Parameters
    ----------
    limit_bytes : int
        Most bytes held at once.

    Attributes
    ----------
    held_bytes : int
        Bytes held now.
    kept_bytes : int
        Those among them of complete requests.
    released_count, refused_count : int
        Holders released, and complete requests not taken, since the start.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._largest_request_bytes = 0
        self._held: dict[MemoryHolder, tuple[int, int]] = {}
        self._is_releasing = False
        self.held_bytes = self.kept_bytes = 0
        self.released_count = self.refused_count = 0

    @classmethod
    def for_machine(cls, memory_bytes: int) -> "MemoryBudget":
        """Return the budget of a process that may use so much memory."""
        spare_bytes = max(memory_bytes - PROCESS_RESERVE_BYTES, 0)
        return cls(spare_bytes // BYTES_PER_HELD_BYTE)

    @property
    def limit_bytes(self) -> int:
        """Most bytes held at once; there is always room for a request of any size."""
        return max(self._limit_bytes, 2 * self._largest_request_bytes)

    def allow_requests_of(self, byte_count: int) -> None:
        """Make sure that a single request of so many bytes finds room."""
        self._largest_request_bytes = byte_count

    def hold(self, holder: MemoryHolder, byte_count: int, *, kept_bytes: int) -> None:
        """Set how many bytes a holder holds, and release some if they are too many.

        Parameters
        ----------
        holder : MemoryHolder
            Holder of the bytes.
        byte_count : int
            All bytes that it holds.
        kept_bytes : int
            Those among them of complete requests.
        """
        held_before, kept_before = self._held.get(holder, (0, 0))
        self.held_bytes += byte_count - held_before
        self.kept_bytes += kept_bytes - kept_before
        if byte_count:
            self._held[holder] = (byte_count, kept_bytes)
        else:
            self._held.pop(holder, None)
        if self.held_bytes > self.limit_bytes and not self._is_releasing:
            self._release()

    def may_keep(self, byte_count: int) -> bool:
        """Return whether a complete request, held already, may be kept."""
        limit_bytes = self.limit_bytes
        if byte_count > SMALL_REQUEST_BYTES:
            limit_bytes = int(limit_bytes * KEPT_RATIO)
        is_allowed = self.kept_bytes <= limit_bytes or self.kept_bytes <= byte_count
        if not is_allowed:
            self.refused_count += 1
        return is_allowed

    def _release(self) -> None:
        self._is_releasing = True
        try:
            target_bytes = int(self.limit_bytes * RELEASE_RATIO)
            for holder in self._in_release_order():
                if self.held_bytes <= target_bytes:
                    return
                self.released_count += 1
                holder.release()
        finally:
            self._is_releasing = False

    def _in_release_order(self) -> Iterable[MemoryHolder]:
        """Yield holders, always of the owner that then holds most."""
        by_owner: defaultdict[str, list[MemoryHolder]] = defaultdict(list)
        owned_bytes: defaultdict[str, int] = defaultdict(int)
        for holder, (byte_count, _) in self._held.items():
            owned_bytes[holder.owner] += byte_count
            if holder.is_releasable:
                by_owner[holder.owner].append(holder)
        for holders in by_owner.values():
            holders.sort(key=lambda holder: holder.progressed_at_s, reverse=True)
        while by_owner:
            owner = max(by_owner, key=owned_bytes.__getitem__)
            holder = by_owner[owner].pop()
            owned_bytes[owner] -= self._held[holder][0] if holder in self._held else 0
            if not by_owner[owner]:
                del by_owner[owner]
            yield holder

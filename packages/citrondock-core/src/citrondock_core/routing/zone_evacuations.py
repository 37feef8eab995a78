"""Availability zones whose targets are to get no requests for a while."""

from collections.abc import Iterable

from citrondock_core.routing.store_position import StorePosition


class ZoneEvacuations:
    """Evacuated zones as the operator's entries state them, through all outages.

    While the store is away, what was known last holds. A store that comes back from a
    copy may lack an evacuation that was acknowledged, so that one is kept until
    ``grace_s`` after the store's return; by then it is written again.

    Parameters
    ----------
    grace_s : float
        Time within which lost entries are written again.
    """

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._zones: set[str] = set()
        # When zones whose entry a restored store lacks are taken back.
        self._missing_until_s: dict[str, float] = {}
        self._position: StorePosition | None = None

    @property
    def zones(self) -> frozenset[str]:
        """Zones whose targets get no requests."""
        return frozenset(self._zones)

    def replace(
        self, zones: Iterable[str], *, position: StorePosition, now_s: float
    ) -> None:
        """Replace all evacuations by a full listing."""
        listed = set(zones)
        is_restored = self._position is not None and (
            self._position.era != position.era
        )
        self._position = position
        if is_restored:
            for zone in self._zones - listed:
                self._missing_until_s.setdefault(zone, now_s + self._grace_s)
        for zone in listed:
            self._missing_until_s.pop(zone, None)
        self._zones = listed | set(self._missing_until_s)

    def apply(
        self, *, put: Iterable[str], deleted: Iterable[str], position: StorePosition
    ) -> None:
        """Apply changes in order; those of another era than the listing's are ignored.

        A zone is either in ``put`` or in ``deleted``, by its last change.
        """
        if self._position is None or position.era != self._position.era:
            return
        self._position = max(self._position, position)
        for zone in put:
            self._missing_until_s.pop(zone, None)
            self._zones.add(zone)
        for zone in deleted:
            self._missing_until_s.pop(zone, None)
            self._zones.discard(zone)

    def expire(self, *, now_s: float) -> None:
        """Take back the zones whose entry was not written again within the grace."""
        for zone, until_s in list(self._missing_until_s.items()):
            if now_s >= until_s:
                del self._missing_until_s[zone]
                self._zones.discard(zone)

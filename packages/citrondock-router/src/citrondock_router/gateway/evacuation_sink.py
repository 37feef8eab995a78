"""Reads from the store which zones the operator evacuates."""

from collections.abc import Callable

from typing_extensions import override

from citrondock_core.routing.zone_evacuations import ZoneEvacuations
from citrondock_router.gateway.watched_store import ObjectSink, Snapshot


class EvacuationSink(ObjectSink):
    """Updates the evacuated zones; each object is named after its zone.

    Parameters
    ----------
    evacuations : ZoneEvacuations
        Evacuations to update.
    on_change : callable
        Called after each update.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        evacuations: ZoneEvacuations,
        on_change: Callable[[], None],
        clock: Callable[[], float],
    ) -> None:
        self._evacuations = evacuations
        self._on_change = on_change
        self._clock = clock

    @override
    def listed(self, snapshot: Snapshot) -> None:
        self._evacuations.replace(
            [item.name for item in snapshot.objects],
            position=snapshot.position,
            now_s=self._clock(),
        )
        self._on_change()

    @override
    def changed(self, snapshot: Snapshot) -> None:
        is_evacuated = {item.name: not item.is_deleted for item in snapshot.objects}
        self._evacuations.apply(
            put=[zone for zone, is_put in is_evacuated.items() if is_put],
            deleted=[zone for zone, is_put in is_evacuated.items() if not is_put],
            position=snapshot.position,
        )
        self._on_change()

    @override
    def store_lost(self) -> None:
        return None

    @override
    def store_returned(self) -> None:
        return None

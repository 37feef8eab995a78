"""Passes changes of the store on to the routers of a zone, so that few have to ask."""

import asyncio
from collections.abc import Sequence

import orjson
from typing_extensions import override

from citrondock_core.routing.store_changes import StoreChanges
from citrondock_core.routing.store_watch_plan import StoreWatchPlan
from citrondock_router.gateway.object_follower import ChangeListener, ObjectFollower
from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_router.gateway.watched_store import Snapshot, WatchedObject
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import PeerDatagram

MAX_RELAYED_BYTES = 24_576
"""Largest changes that are passed on; a datagram holds 64 KiB, and each further packet
of it may get lost. Routers ask the store for larger ones."""


class StoreChangeRelay(DatagramHandler, ChangeListener):
    """Sends what this router has watched if it is a watcher, and receives from others.

    Changes are only applied where they continue what the receiver has, so that nothing
    is left out. A router that misses some learns so from the watchers' statements, and
    asks the store.

    Parameters
    ----------
    link : PeerLink
        Exchanges datagrams with other routers.
    plan : StoreWatchPlan
        Tells whether this router is a watcher.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self, link: PeerLink, plan: StoreWatchPlan, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._link = link
        self._plan = plan
        self._loop = loop
        self._followers: dict[str, ObjectFollower] = {}
        link.add_handler(self)

    def set_followers(self, followers: Sequence[ObjectFollower]) -> None:
        """Replace the followers that changes are exchanged for."""
        self._followers = {follower.kind: follower for follower in followers}
        for follower in followers:
            follower.listener = self

    @override
    def changes_watched(
        self, kind: str, changes: Snapshot, *, after_revision: int
    ) -> None:
        if not self._plan.is_watcher or not self._plan.is_relayed:
            return
        objects = _encode(changes.objects)
        if len(objects) > MAX_RELAYED_BYTES:
            return
        datagram = self._link.datagram()
        datagram.store_changes = [
            StoreChanges(
                kind=kind,
                era=changes.era,
                after_revision=after_revision,
                revision=changes.revision,
                objects=objects,
            )
        ]
        zone = self._link.peers.availability_zone
        self._link.broadcast(datagram, availability_zone=zone)

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        for changes in datagram.store_changes:
            follower = self._followers.get(changes.kind)
            if follower is None or not follower.may_continue(changes):
                continue
            try:
                objects = _decode(changes.objects)
            except (ValueError, TypeError) as error:
                log_event(
                    "store_changes_unreadable",
                    peer=datagram.vm_name,
                    kind=changes.kind,
                    detail=repr(error),
                )
                continue
            follower.continue_with(
                Snapshot(objects=objects, revision=changes.revision, era=changes.era),
                after_revision=changes.after_revision,
            )


def _encode(objects: Sequence[WatchedObject]) -> bytes:
    return orjson.dumps(
        [
            [item.name, item.revision, item.is_deleted, item.value, item.problem]
            for item in objects
        ]
    )


def _decode(data: bytes) -> list[WatchedObject]:
    """Decode changed objects.

    Raises
    ------
    ValueError, TypeError
        If the bytes are of another form.
    """
    objects = []
    for name, revision, is_deleted, value, problem in orjson.loads(data):
        if not (isinstance(name, str) and isinstance(revision, int)):
            raise TypeError(f"object {name!r} at revision {revision!r}")
        if not (value is None or isinstance(value, dict)):
            raise TypeError(f"value of {name} is a {type(value).__name__}")
        objects.append(
            WatchedObject(
                name=name,
                revision=revision,
                value=value,
                is_deleted=bool(is_deleted),
                problem=str(problem),
            )
        )
    return objects

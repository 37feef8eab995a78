"""Decides how often a router asks the store, so that the fleet's calls stay few.

A watch with a short wait notices a dead connection to the store soon, but each wait
costs a call. Two routers of each zone, the watchers, use short waits and tell the
others of their zone how far they are. The others use long waits, and ask at once when a
watcher has seen a change that they have not.
"""

import math
from collections.abc import Iterable

import attrs

from citrondock_core.rendezvous import RendezvousScores
from citrondock_core.routing.store_position import StorePosition

WATCHERS_PER_ZONE = 2
"""Watchers of a zone; one may be cut off from the store or end."""

SHORT_WAIT_S = 3.0
LONG_WAIT_S = 28.0
"""Longest wait of a watch for a change."""

CATCH_UP_WAIT_S = 1.0
"""Longest wait of a watch by a router that is known to be behind."""

NEW_ERA_WAIT_S = 0.1
"""Longest wait of a watch from an older era; the era of its answer is enough."""

STATEMENT_PERIOD_S = 2.0
"""Period in which watchers repeat how far they are."""

STATEMENT_MAX_AGE_S = 5.0
"""Age at which a watcher's statement no longer counts; one or two may be lost."""

MIN_RELAY_ROUTERS = 8
"""Routers of a zone from which on its watchers pass changes on, and the others wait for
those instead of asking: in smaller zones they save few calls."""

RELAY_WATCH_WAIT_S = 1.0
"""Wait of a watcher's watch where changes are passed on. A zone whose watchers get no
answer any more is blind until they notice, so they use shorter waits there."""

RELAY_STATEMENT_AGE_S = 2.5
"""Age of a watcher's latest statement above which no relay is waited for."""

BEHIND_GRACE_S = 0.5
"""Time in which a router's own watch usually brings what a watcher has seen."""


@attrs.frozen(kw_only=True)
class StoreView:
    """How far a router has followed the objects of one kind.

    Parameters
    ----------
    kind : str
        Kind of objects.
    changed_revision : int
        Revision of the last change of an object of this kind.
    is_lost : bool
        Whether the store does not answer the router.
    era : int or None
        Era of the store in which that revision was given out; None if the router does
        not state it.
    """

    kind: str
    changed_revision: int
    is_lost: bool
    era: int | None = None


@attrs.define
class _OwnView:
    seen: StorePosition = attrs.Factory(StorePosition)
    changed: StorePosition = attrs.Factory(StorePosition)
    asked_at_s: float = -math.inf
    """When the latest of the answered calls began."""
    is_lost: bool = False
    behind_since_s: float | None = None


@attrs.define
class _Statement:
    view: StoreView
    heard_at_s: float
    first_heard_at_s: float

    @property
    def position(self) -> tuple[int | None, int]:
        return self.view.era, self.view.changed_revision

    def is_ahead_of(self, own: StorePosition) -> bool:
        era, revision = self.position
        return StorePosition(own.era if era is None else era, revision) > own


def watchers(vm_names: Iterable[str], availability_zone: str) -> set[str]:
    """Return the watchers of a zone, the same on all routers that know the names."""
    scores = RendezvousScores(f"store-watch/{availability_zone}")
    ranked = sorted(vm_names, key=lambda name: (scores.score(name), name))
    return set(ranked[-WATCHERS_PER_ZONE:])


class StoreWatchPlan:
    """Compares how far this router and the watchers of its zone are.

    Positions are compared by kind, except that all kinds share the store's era: a kind
    is behind once any of them, or any statement, shows a newer era. A statement is a
    reason to ask the store, never taken as its content, so that nothing goes back. The
    store is linearizable, so the answer to a call that began after a statement was
    first heard settles it, whatever the answer says.

    Attributes
    ----------
    is_watcher : bool
        Whether this router is a watcher of its zone.
    is_relayed : bool
        Whether the zone's watchers pass changes on.
    """

    def __init__(self) -> None:
        self.is_watcher = True
        self.is_relayed = False
        self._own: dict[str, _OwnView] = {}
        self._statements: dict[tuple[str, str], _Statement] = {}
        self._newest_era = 0
        self._era_known_since_s = -math.inf
        self._were_lost: set[str] = set()

    def wait_s(self, kind: str, *, now_s: float) -> float:
        """Return how long the next watch of a kind may wait for a change."""
        if self._is_in_older_era(kind):
            return NEW_ERA_WAIT_S
        if self._is_behind(kind):
            return CATCH_UP_WAIT_S
        if self.is_watcher and self.is_relayed:
            return RELAY_WATCH_WAIT_S
        if self.is_watcher or not self._live_statements(kind, now_s):
            return SHORT_WAIT_S
        return LONG_WAIT_S

    def may_wait_for_relay(self, kind: str, *, now_s: float) -> bool:
        """Return whether changes will be passed on, so that no watch is needed.

        A watcher must have said lately that the store answers it.
        """
        if not self.is_relayed or self.wait_s(kind, now_s=now_s) != LONG_WAIT_S:
            return False
        return any(
            not statement.view.is_lost
            and now_s - statement.heard_at_s <= RELAY_STATEMENT_AGE_S
            for statement in self._live_statements(kind, now_s)
        )

    def record_seen(
        self,
        kind: str,
        *,
        position: StorePosition,
        changed_revision: int,
        asked_at_s: float,
        now_s: float,
    ) -> None:
        """Record what the store answered to this router.

        Parameters
        ----------
        kind : str
            Kind of objects.
        position : StorePosition
            Position up to which the answer is complete.
        changed_revision : int
            Revision of the last change in the answer; 0 without one.
        asked_at_s, now_s : float
            Monotonic time at which the call began, and at which it was answered. No
            call began for changes that another router has passed on (minus infinity).
        """
        own = self._own.setdefault(kind, _OwnView())
        changed = StorePosition(position.era, changed_revision)
        own.seen = max(own.seen, position)
        own.changed = max(own.changed, changed)
        own.asked_at_s = max(own.asked_at_s, asked_at_s)
        self._note_era(position.era, now_s)
        own.is_lost = False
        own.behind_since_s = None

    def record_lost(self, kind: str) -> None:
        """Record that the store did not answer this router."""
        self._own.setdefault(kind, _OwnView()).is_lost = True

    def record_statement(self, vm_name: str, view: StoreView, *, now_s: float) -> bool:
        """Record a watcher's statement.

        Returns
        -------
        bool
            Whether it ends an outage of the store that this router did not notice:
            all watchers that are heard said that the store was lost, and this one
            says that it is back.
        """
        before = self._live_statements(view.kind, now_s)
        statement = _Statement(view, heard_at_s=now_s, first_heard_at_s=now_s)
        known = self._statements.get((vm_name, view.kind))
        if known is not None and known.position == statement.position:
            statement.first_heard_at_s = known.first_heard_at_s
        self._statements[vm_name, view.kind] = statement
        if view.era is not None:
            self._note_era(view.era, now_s)
        if before and all(known.view.is_lost for known in before):
            self._were_lost.add(view.kind)
        if view.is_lost or view.kind not in self._were_lost:
            return False
        self._were_lost.discard(view.kind)
        return not self._own.setdefault(view.kind, _OwnView()).is_lost

    def is_outage_known(self, *, now_s: float) -> bool:
        """Return whether the store is lost to a follower here or to all watchers."""
        if any(own.is_lost for own in self._own.values()):
            return True
        for kind in {kind for _, kind in self._statements}:
            statements = self._live_statements(kind, now_s)
            if statements and all(known.view.is_lost for known in statements):
                return True
        return False

    def must_ask_now(
        self, kind: str, *, wait_s: float, asked_at_s: float, now_s: float
    ) -> bool:
        """Return whether a watch that still waits should be replaced by a new one.

        Parameters
        ----------
        kind : str
            Kind of objects.
        wait_s, asked_at_s : float
            Longest wait of the watch, and when it began.
        now_s : float
            Monotonic time.
        """
        own = self._own.setdefault(kind, _OwnView())
        if self._is_behind(kind):
            if own.behind_since_s is None:
                own.behind_since_s = now_s
            since_s = max(own.behind_since_s, asked_at_s)
            return now_s - since_s >= BEHIND_GRACE_S and wait_s > CATCH_UP_WAIT_S
        # A long wait needs a watcher that is heard.
        has_waited = now_s - asked_at_s >= SHORT_WAIT_S
        return has_waited and wait_s > self.wait_s(kind, now_s=now_s)

    def statements(self) -> list[StoreView]:
        """Return how far this router is, for the others of its zone."""
        return [
            StoreView(
                kind=kind,
                changed_revision=own.changed.revision,
                is_lost=own.is_lost,
                era=own.changed.era,
            )
            for kind, own in self._own.items()
        ]

    def _note_era(self, era: int, now_s: float) -> None:
        if era > self._newest_era:
            self._newest_era = era
            self._era_known_since_s = now_s

    def _is_in_older_era(self, kind: str) -> bool:
        own = self._own.get(kind) or _OwnView()
        return (
            own.seen.era < self._newest_era
            and own.asked_at_s <= self._era_known_since_s
        )

    def _is_behind(self, kind: str) -> bool:
        own = self._own.get(kind) or _OwnView()
        return self._is_in_older_era(kind) or any(
            statement.is_ahead_of(own.seen)
            and own.asked_at_s <= statement.first_heard_at_s
            for (_, other_kind), statement in self._statements.items()
            if other_kind == kind
        )

    def _live_statements(self, kind: str, now_s: float) -> list[_Statement]:
        expired = [
            key
            for key, statement in self._statements.items()
            if now_s - statement.heard_at_s > STATEMENT_MAX_AGE_S
        ]
        for key in expired:
            del self._statements[key]
        return [
            statement
            for (_, other_kind), statement in self._statements.items()
            if other_kind == kind
        ]

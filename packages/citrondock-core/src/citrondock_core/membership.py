"""Live routers of the fleet, as one router knows them."""

from collections.abc import Sequence

import attrs

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.live_member import Contact, LiveMember
from citrondock_core.member_event import MemberEvent, MemberEventKind
from citrondock_core.member_news import MemberNews
from citrondock_core.member_ring import Place, ring_contacts
from citrondock_core.membership_options import MembershipOptions
from citrondock_core.messages import Member
from citrondock_core.vm_directory import Vm


@attrs.define(kw_only=True)
class _Known:
    heartbeat: Heartbeat
    direct_deadline_s: float
    deadline_s: float
    live: LiveMember | None = None


@attrs.define(kw_only=True)
class _Lost:
    heartbeat: Heartbeat
    forget_deadline_s: float


class MembershipView:
    """Live routers, from heartbeats; the VM list only hints whom to contact.

    Parameters
    ----------
    self_heartbeat : Heartbeat
        The own router; `next_heartbeats` sends it with growing sequence numbers.
    options : MembershipOptions or None
        Periods and limits.

    Examples
    --------
    >>> own = Heartbeat(vm_name="a", availability_zone="z", incarnation=1,
    ...                 host="10.0.0.1", port=7300)
    >>> view = MembershipView(own)
    >>> [live.member.vm_name for live in view.members(now_s=0.0)]
    ['a']
    """

    def __init__(
        self, self_heartbeat: Heartbeat, options: MembershipOptions | None = None
    ) -> None:
        self._own = self_heartbeat
        self._options = options or MembershipOptions()
        self._known: dict[str, _Known] = {}
        self._lost: dict[str, _Lost] = {}
        self._listed: dict[str, Vm] = {}
        self._news = MemberNews(self_heartbeat.vm_name, self._options)
        self._events: list[MemberEvent] = []
        self._contacts: list[Contact] | None = None
        self._checked_at_s: float | None = None
        self._beat_at_s: float | None = None

    @property
    def heartbeat_period_s(self) -> float:
        """Time between two heartbeats to the same contact, at the present size."""
        return self._options.heartbeat_period_s * self._stretch()

    def update_self(
        self, *, leaving: bool | None = None, configuration_revision: int | None = None
    ) -> None:
        """Change what the own heartbeats say, from `next_heartbeats` on."""
        self._beat_at_s = None
        if leaving is not None:
            self._own = attrs.evolve(self._own, leaving=leaving)
        if configuration_revision is not None:
            self._own = attrs.evolve(
                self._own, configuration_revision=configuration_revision
            )

    def set_listed(self, vms: Sequence[Vm], *, now_s: float) -> None:
        """Take the platform's list of routers as hints whom to contact."""
        self._check(now_s)
        listed = {vm.name: vm for vm in vms if vm.name != self._own.vm_name}
        if listed != self._listed:
            self._listed = listed
            self._contacts = None

    def receive(
        self, heartbeat: Heartbeat, *, now_s: float, sender: str | None = None
    ) -> None:
        """Take in a heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
            Of any router.
        now_s : float
            Monotonic time.
        sender : str or None
            VM that delivered it; None when the router itself did.
        """
        self._check(now_s)
        name = heartbeat.vm_name
        if name == self._own.vm_name:
            return
        direct = sender is None or sender == name
        if heartbeat.gone:
            self._take_loss(heartbeat, now_s, sender=None if direct else sender)
        elif not self._is_stale(heartbeat, direct=direct):
            self._take_life(heartbeat, now_s, direct=direct)

    def next_heartbeats(self, vm_name: str, *, now_s: float) -> Sequence[Heartbeat]:
        """Return the heartbeats to send to one contact now, the own one first.

        Parameters
        ----------
        vm_name : str
            The contact.
        now_s : float
            Monotonic time.

        Returns
        -------
        sequence of Heartbeat
            The own one, changes that the contact wasn't sent yet, and a few others
            in turn.
        """
        self._check(now_s)
        self._advance(now_s)
        names = self._news.take(
            vm_name, self._known, refresh_count=self._refresh_count()
        )
        carried = [self._news_of(name) for name in names]
        return [self._own, *(news for news in carried if news is not None)]

    def final_heartbeat(self) -> Heartbeat:
        """Return the last heartbeat of a router that stops gracefully."""
        return attrs.evolve(
            self._own, sequence=self._own.sequence + 1, leaving=True, gone=True
        )

    def members(self, *, now_s: float) -> list[LiveMember]:
        """Return the live routers in the order of their names, self among them."""
        self._check(now_s)
        lives = [self._live(self._own, reachable=True)]
        mesh = self._is_full_mesh()
        for known in self._known.values():
            silent = known.direct_deadline_s <= now_s
            reachable = not (silent and (mesh or known.direct_deadline_s > 0))
            if known.live is None or known.live.reachable != reachable:
                known.live = self._live(known.heartbeat, reachable=reachable)
            lives.append(known.live)
        return sorted(lives, key=lambda live: live.member.vm_name)

    def contacts(self, *, now_s: float) -> list[Contact]:
        """Return whom to send heartbeats to; constant in number in a large fleet."""
        self._check(now_s)
        if self._contacts is None:
            self._contacts = self._choose_contacts()
        return list(self._contacts)

    def take_events(self) -> list[MemberEvent]:
        """Return the changes since the last call."""
        events, self._events = self._events, []
        return events

    def _choose_contacts(self) -> list[Contact]:
        contacts = {
            name: Contact(
                vm_name=name, host=known.heartbeat.host, port=known.heartbeat.port
            )
            for name, known in self._known.items()
        }
        hints = {
            name: Contact(vm_name=name, host=vm.host, port=vm.port)
            for name, vm in self._listed.items()
            if name not in contacts
        }
        everyone = contacts | hints
        if len(everyone) < self._options.full_mesh_count:
            chosen = list(everyone)
        else:
            own = Place(
                vm_name=self._own.vm_name,
                availability_zone=self._own.availability_zone,
            )
            chosen = self._ring(own, list(contacts)) + self._ring(own, list(hints))
        self._news.keep_only(chosen)
        return [everyone[name] for name in chosen]

    def _ring(self, sender: Place, names: list[str]) -> list[str]:
        return ring_contacts(
            sender,
            [Place(vm_name=name, availability_zone=self._zone(name)) for name in names],
            zone_count=self._options.zone_contact_count,
            remote_count=self._options.remote_contact_count,
        )

    def _is_full_mesh(self) -> bool:
        return len(self._known) < self._options.full_mesh_count

    def _stretch(self) -> float:
        return 1.0 if self._is_full_mesh() else self._options.large_fleet_stretch

    def _refresh_count(self) -> int:
        return 1 if self._is_full_mesh() else self._options.refresh_count

    def _advance(self, now_s: float) -> None:
        former = self._beat_at_s
        if former is not None and now_s - former < self.heartbeat_period_s / 2:
            return
        self._beat_at_s = now_s
        self._own = attrs.evolve(self._own, sequence=self._own.sequence + 1)

    def _zone(self, name: str) -> str:
        if name == self._own.vm_name:
            return self._own.availability_zone
        if name in self._known:
            return self._known[name].heartbeat.availability_zone
        return self._listed[name].availability_zone

    def _is_stale(self, heartbeat: Heartbeat, *, direct: bool) -> bool:
        known = self._known.get(heartbeat.vm_name)
        if known is not None and direct:
            return heartbeat.freshness < known.heartbeat.freshness
        if known is not None:
            return heartbeat.freshness <= known.heartbeat.freshness
        lost = self._lost.get(heartbeat.vm_name)
        return lost is not None and heartbeat.freshness <= lost.heartbeat.freshness

    def _take_life(self, heartbeat: Heartbeat, now_s: float, *, direct: bool) -> None:
        name = heartbeat.vm_name
        known = self._known.get(name)
        former = known.heartbeat if known is not None else None
        restarted = former is not None and former.incarnation != heartbeat.incarnation
        if former is None:
            self._make_room(now_s)
        if known is None or restarted:
            known = _Known(heartbeat=heartbeat, direct_deadline_s=0.0, deadline_s=0.0)
            self._known[name] = known
            self._lost.pop(name, None)
            self._contacts = None
        known.heartbeat = heartbeat
        known.live = None
        if direct:
            known.direct_deadline_s = now_s + self._options.expiry_s * self._stretch()
            known.deadline_s = known.direct_deadline_s + self.heartbeat_period_s
        else:
            known.deadline_s = max(known.deadline_s, now_s + self._carried_expiry_s())
        self._tell_life(former, heartbeat, now_s, direct=direct)

    def _make_room(self, now_s: float) -> None:
        """Let carried heartbeats last longer, as the turn through all grows."""
        leaves_full_mesh = len(self._known) + 1 == self._options.full_mesh_count
        grown_s = 2 * self.heartbeat_period_s / self._options.refresh_count
        large_s = self._options.expiry_s * self._options.large_fleet_stretch
        for known in self._known.values():
            known.deadline_s += grown_s
            if leaves_full_mesh:
                known.deadline_s = max(known.deadline_s, now_s + large_s + grown_s)

    def _tell_life(
        self,
        former: Heartbeat | None,
        heartbeat: Heartbeat,
        now_s: float,
        *,
        direct: bool,
    ) -> None:
        reason = "heard directly" if direct else "carried by another router"
        if former is None:
            self._change(MemberEventKind.JOINED, heartbeat, reason, now_s)
        elif former.incarnation != heartbeat.incarnation:
            self._change(MemberEventKind.RESTARTED, heartbeat, reason, now_s)
        if heartbeat.leaving and not (former is not None and former.leaving):
            self._change(MemberEventKind.LEAVING, heartbeat, reason, now_s)

    def _take_loss(
        self, heartbeat: Heartbeat, now_s: float, *, sender: str | None
    ) -> None:
        known = self._known.get(heartbeat.vm_name)
        if known is None:
            return
        if sender is None:
            if heartbeat.freshness > known.heartbeat.freshness:
                self._lose(heartbeat, now_s, "left gracefully")
            return
        refuted = heartbeat.freshness < known.heartbeat.freshness
        if refuted or known.direct_deadline_s > now_s:
            self._news.add(heartbeat.vm_name)
            return
        self._lose(heartbeat, now_s, f"lost by {sender}")

    def _lose(self, heartbeat: Heartbeat, now_s: float, reason: str) -> None:
        self._known.pop(heartbeat.vm_name, None)
        self._contacts = None
        self._lost[heartbeat.vm_name] = _Lost(
            heartbeat=attrs.evolve(heartbeat, gone=True),
            forget_deadline_s=now_s
            + max(self._options.forget_s, 2 * self._carried_expiry_s()),
        )
        self._change(MemberEventKind.LEFT, heartbeat, reason, now_s)

    def _check(self, now_s: float) -> None:
        former = self._checked_at_s
        self._checked_at_s = now_s
        if former is not None and now_s - former > self._options.expiry_s:
            self._extend(now_s - former)
        for known in list(self._known.values()):
            if 0 < known.direct_deadline_s <= now_s:
                self._stop_expecting(known, now_s)
            if known.deadline_s <= now_s:
                self._lose(known.heartbeat, now_s, "not heard of")
        for name, lost in list(self._lost.items()):
            if lost.forget_deadline_s <= now_s:
                del self._lost[name]

    def _stop_expecting(self, known: _Known, now_s: float) -> None:
        if self._is_full_mesh():
            return
        heartbeat = known.heartbeat
        sender = Place(
            vm_name=heartbeat.vm_name, availability_zone=heartbeat.availability_zone
        )
        others = [self._own.vm_name, *self._known]
        others.remove(heartbeat.vm_name)
        if self._own.vm_name not in self._ring(sender, others):
            known.direct_deadline_s = 0.0
            known.deadline_s = now_s + self._carried_expiry_s()

    def _extend(self, pause_s: float) -> None:
        for known in self._known.values():
            known.deadline_s += pause_s
            if known.direct_deadline_s > 0:
                known.direct_deadline_s += pause_s

    def _carried_expiry_s(self) -> float:
        carried_per_s = self._refresh_count() / self.heartbeat_period_s
        fleet_count = max(len(self._known), len(self._listed))
        turn_s = fleet_count / carried_per_s
        return self._options.expiry_s * self._stretch() + 2 * turn_s

    def _change(
        self, kind: MemberEventKind, heartbeat: Heartbeat, reason: str, now_s: float
    ) -> None:
        self._news.add(heartbeat.vm_name)
        self._events.append(
            MemberEvent(
                kind=kind,
                vm_name=heartbeat.vm_name,
                availability_zone=heartbeat.availability_zone,
                incarnation=heartbeat.incarnation,
                reason=reason,
                at_s=now_s,
            )
        )

    def _news_of(self, name: str) -> Heartbeat | None:
        if name in self._known:
            return self._known[name].heartbeat
        if name in self._lost:
            return self._lost[name].heartbeat
        return None

    @staticmethod
    def _live(heartbeat: Heartbeat, *, reachable: bool) -> LiveMember:
        return LiveMember(
            member=Member(
                vm_name=heartbeat.vm_name,
                availability_zone=heartbeat.availability_zone,
                incarnation=heartbeat.incarnation,
            ),
            host=heartbeat.host,
            port=heartbeat.port,
            leaving=heartbeat.leaving,
            configuration_revision=heartbeat.configuration_revision,
            reachable=reachable,
        )

"""The live routers of the fleet, as one router sees them."""

from collections.abc import Sequence

import attrs

from citrondock_core.gossip_queue import GossipQueue
from citrondock_core.heartbeat import Heartbeat
from citrondock_core.live_member import Contact, LiveMember
from citrondock_core.member_event import MemberEvent, MemberEventKind
from citrondock_core.member_ring import RingMember, ring_contacts
from citrondock_core.membership_options import MembershipOptions
from citrondock_core.messages import Member
from citrondock_core.vm_directory import Vm


@attrs.define(kw_only=True)
class _KnownRouter:
    heartbeat: Heartbeat
    direct_deadline_s: float
    deadline_s: float
    live: LiveMember | None = None


@attrs.define(kw_only=True)
class _LostRouter:
    heartbeat: Heartbeat
    removal_deadline_s: float


class MembershipView:
    """Tracks live routers by their heartbeats.

    The platform's list of VMs only gives hints whom to contact; a listed router
    becomes a member with its first heartbeat.

    Parameters
    ----------
    self_heartbeat : Heartbeat
        Heartbeat of this router; `next_heartbeats` gives it new sequence numbers.
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
        self._known: dict[str, _KnownRouter] = {}
        self._lost: dict[str, _LostRouter] = {}
        self._listed: dict[str, Vm] = {}
        self._gossip = GossipQueue(self_heartbeat.vm_name, self._options)
        self._events: list[MemberEvent] = []
        self._contacts: list[Contact] | None = None
        self._last_expiry_check_s: float | None = None
        self._last_heartbeat_s: float | None = None

    @property
    def heartbeat_period_s(self) -> float:
        """Time between heartbeats to the same contact, at the current fleet size."""
        return self._options.heartbeat_period_s * self._period_factor()

    def update_self(
        self, *, leaving: bool | None = None, configuration_revision: int | None = None
    ) -> None:
        """Change this router's own heartbeat, from the next `next_heartbeats` on."""
        self._last_heartbeat_s = None
        if leaving is not None:
            self._own = attrs.evolve(self._own, leaving=leaving)
        if configuration_revision is not None:
            self._own = attrs.evolve(
                self._own, configuration_revision=configuration_revision
            )

    def set_listed(self, vms: Sequence[Vm], *, now_s: float) -> None:
        """Set the platform's list of routers, used as hints whom to contact."""
        self._expire(now_s)
        listed = {vm.name: vm for vm in vms if vm.name != self._own.vm_name}
        if listed != self._listed:
            self._listed = listed
            self._contacts = None

    def receive(
        self, heartbeat: Heartbeat, *, now_s: float, sender: str | None = None
    ) -> None:
        """Apply a received heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
            Heartbeat of any router.
        now_s : float
            Monotonic time.
        sender : str or None
            VM that sent the message; None if it is the router of the heartbeat.
        """
        self._expire(now_s)
        name = heartbeat.vm_name
        if name == self._own.vm_name:
            return
        direct = sender is None or sender == name
        if heartbeat.gone:
            self._apply_gone(heartbeat, now_s, sender=None if direct else sender)
        elif not self._is_stale(heartbeat, direct=direct):
            self._apply_alive(heartbeat, now_s, direct=direct)

    def next_heartbeats(self, vm_name: str, *, now_s: float) -> Sequence[Heartbeat]:
        """Return the heartbeats to send to a contact now, this router's own first.

        Parameters
        ----------
        vm_name : str
            VM of the contact.
        now_s : float
            Monotonic time.

        Returns
        -------
        sequence of Heartbeat
            This router's own, changes not yet sent to the contact, and a few others
            in rotation.
        """
        self._expire(now_s)
        self._advance_sequence(now_s)
        names = self._gossip.take(
            vm_name, self._known, refresh_count=self._refresh_count()
        )
        gossiped = [self._gossip_about(name) for name in names]
        return [
            self._own,
            *(heartbeat for heartbeat in gossiped if heartbeat is not None),
        ]

    def final_heartbeat(self) -> Heartbeat:
        """Return the last heartbeat to send in a graceful shutdown."""
        return attrs.evolve(
            self._own, sequence=self._own.sequence + 1, leaving=True, gone=True
        )

    def members(self, *, now_s: float) -> list[LiveMember]:
        """Return the live routers including this one, sorted by VM name."""
        self._expire(now_s)
        live_members = [self._as_live_member(self._own, reachable=True)]
        full_mesh = self._is_full_mesh()
        for known in self._known.values():
            silent = known.direct_deadline_s <= now_s
            reachable = not (silent and (full_mesh or known.direct_deadline_s > 0))
            if known.live is None or known.live.reachable != reachable:
                known.live = self._as_live_member(known.heartbeat, reachable=reachable)
            live_members.append(known.live)
        return sorted(live_members, key=lambda live: live.member.vm_name)

    def contacts(self, *, now_s: float) -> list[Contact]:
        """Return the routers to send heartbeats to; few even in a large fleet."""
        self._expire(now_s)
        if self._contacts is None:
            self._contacts = self._choose_contacts()
        return list(self._contacts)

    def take_events(self) -> list[MemberEvent]:
        """Return and clear the membership changes since the last call."""
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
            own = RingMember(
                vm_name=self._own.vm_name,
                availability_zone=self._own.availability_zone,
            )
            chosen = self._ring_contacts(own, list(contacts)) + self._ring_contacts(
                own, list(hints)
            )
        self._gossip.keep_only(chosen)
        return [everyone[name] for name in chosen]

    def _ring_contacts(self, sender: RingMember, names: list[str]) -> list[str]:
        return ring_contacts(
            sender,
            [
                RingMember(vm_name=name, availability_zone=self._zone(name))
                for name in names
            ],
            zone_count=self._options.zone_contact_count,
            remote_count=self._options.remote_contact_count,
        )

    def _is_full_mesh(self) -> bool:
        return len(self._known) < self._options.full_mesh_count

    def _period_factor(self) -> float:
        return 1.0 if self._is_full_mesh() else self._options.large_fleet_factor

    def _refresh_count(self) -> int:
        return 1 if self._is_full_mesh() else self._options.refresh_count

    def _advance_sequence(self, now_s: float) -> None:
        former = self._last_heartbeat_s
        if former is not None and now_s - former < self.heartbeat_period_s / 2:
            return
        self._last_heartbeat_s = now_s
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

    def _apply_alive(self, heartbeat: Heartbeat, now_s: float, *, direct: bool) -> None:
        name = heartbeat.vm_name
        known = self._known.get(name)
        former = known.heartbeat if known is not None else None
        restarted = former is not None and former.incarnation != heartbeat.incarnation
        if former is None:
            self._extend_for_growth(now_s)
        if known is None or restarted:
            known = _KnownRouter(
                heartbeat=heartbeat, direct_deadline_s=0.0, deadline_s=0.0
            )
            self._known[name] = known
            self._lost.pop(name, None)
            self._contacts = None
        known.heartbeat = heartbeat
        known.live = None
        if direct:
            known.direct_deadline_s = (
                now_s + self._options.expiry_s * self._period_factor()
            )
            known.deadline_s = known.direct_deadline_s + self.heartbeat_period_s
        else:
            known.deadline_s = max(known.deadline_s, now_s + self._indirect_expiry_s())
        self._report_alive(former, heartbeat, now_s, direct=direct)

    def _extend_for_growth(self, now_s: float) -> None:
        """Extend deadlines when a router joins, as the gossip rotation gets longer."""
        leaves_full_mesh = len(self._known) + 1 == self._options.full_mesh_count
        added_rotation_s = 2 * self.heartbeat_period_s / self._options.refresh_count
        large_fleet_expiry_s = self._options.expiry_s * self._options.large_fleet_factor
        for known in self._known.values():
            known.deadline_s += added_rotation_s
            if leaves_full_mesh:
                known.deadline_s = max(
                    known.deadline_s, now_s + large_fleet_expiry_s + added_rotation_s
                )

    def _report_alive(
        self,
        former: Heartbeat | None,
        heartbeat: Heartbeat,
        now_s: float,
        *,
        direct: bool,
    ) -> None:
        reason = "heard directly" if direct else "carried by another router"
        if former is None:
            self._add_event(MemberEventKind.JOINED, heartbeat, reason, now_s)
        elif former.incarnation != heartbeat.incarnation:
            self._add_event(MemberEventKind.RESTARTED, heartbeat, reason, now_s)
        if heartbeat.leaving and not (former is not None and former.leaving):
            self._add_event(MemberEventKind.LEAVING, heartbeat, reason, now_s)

    def _apply_gone(
        self, heartbeat: Heartbeat, now_s: float, *, sender: str | None
    ) -> None:
        known = self._known.get(heartbeat.vm_name)
        if known is None:
            return
        if sender is None:
            if heartbeat.freshness > known.heartbeat.freshness:
                self._remove(heartbeat, now_s, "left gracefully")
            return
        refuted = heartbeat.freshness < known.heartbeat.freshness
        if refuted or known.direct_deadline_s > now_s:
            self._gossip.add(heartbeat.vm_name)
            return
        self._remove(heartbeat, now_s, f"lost by {sender}")

    def _remove(self, heartbeat: Heartbeat, now_s: float, reason: str) -> None:
        self._known.pop(heartbeat.vm_name, None)
        self._contacts = None
        self._lost[heartbeat.vm_name] = _LostRouter(
            heartbeat=attrs.evolve(heartbeat, gone=True),
            removal_deadline_s=now_s
            + max(self._options.lost_retention_s, 2 * self._indirect_expiry_s()),
        )
        self._add_event(MemberEventKind.LEFT, heartbeat, reason, now_s)

    def _expire(self, now_s: float) -> None:
        former = self._last_expiry_check_s
        self._last_expiry_check_s = now_s
        if former is not None and now_s - former > self._options.expiry_s:
            self._extend_deadlines(now_s - former)
        for known in list(self._known.values()):
            if 0 < known.direct_deadline_s <= now_s:
                self._stop_expecting_direct(known, now_s)
            if known.deadline_s <= now_s:
                self._remove(known.heartbeat, now_s, "not heard of")
        for name, lost in list(self._lost.items()):
            if lost.removal_deadline_s <= now_s:
                del self._lost[name]

    def _stop_expecting_direct(self, known: _KnownRouter, now_s: float) -> None:
        if self._is_full_mesh():
            return
        heartbeat = known.heartbeat
        sender = RingMember(
            vm_name=heartbeat.vm_name, availability_zone=heartbeat.availability_zone
        )
        others = [self._own.vm_name, *self._known]
        others.remove(heartbeat.vm_name)
        if self._own.vm_name not in self._ring_contacts(sender, others):
            known.direct_deadline_s = 0.0
            known.deadline_s = now_s + self._indirect_expiry_s()

    def _extend_deadlines(self, pause_s: float) -> None:
        """Extend all deadlines by the time for which this router was paused."""
        for known in self._known.values():
            known.deadline_s += pause_s
            if known.direct_deadline_s > 0:
                known.direct_deadline_s += pause_s

    def _indirect_expiry_s(self) -> float:
        gossip_per_s = self._refresh_count() / self.heartbeat_period_s
        fleet_count = max(len(self._known), len(self._listed))
        rotation_s = fleet_count / gossip_per_s
        return self._options.expiry_s * self._period_factor() + 2 * rotation_s

    def _add_event(
        self, kind: MemberEventKind, heartbeat: Heartbeat, reason: str, now_s: float
    ) -> None:
        self._gossip.add(heartbeat.vm_name)
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

    def _gossip_about(self, name: str) -> Heartbeat | None:
        if name in self._known:
            return self._known[name].heartbeat
        if name in self._lost:
            return self._lost[name].heartbeat
        return None

    @staticmethod
    def _as_live_member(heartbeat: Heartbeat, *, reachable: bool) -> LiveMember:
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

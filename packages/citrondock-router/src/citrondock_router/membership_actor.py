"""The actor that owns the view of live routers."""

import time
from collections.abc import Callable, Sequence

import attrs
import pykka

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.member_event import MemberEvent
from citrondock_core.membership import Contact, LiveMember, MembershipView
from citrondock_core.vm_directory import Vm


@attrs.frozen
class Heard:
    """Heartbeats came from a peer."""

    sender: str
    heartbeats: Sequence[Heartbeat]


@attrs.frozen
class Listed:
    """The platform's list was read."""

    vms: Sequence[Vm]


@attrs.frozen
class UpdateSelf:
    """The own heartbeats say something else from now on."""

    leaving: bool | None = None
    configuration_revision: int | None = None


@attrs.frozen
class Beat:
    """Time passed; heartbeats may be due."""


@attrs.frozen
class SayFarewell:
    """The router stops now."""


@attrs.frozen
class ReadMembers:
    """Asks for the live members."""


MembershipMessage = Heard | Listed | UpdateSelf | Beat | SayFarewell | ReadMembers


class MembershipActor(pykka.ThreadingActor):
    """Keeps the membership view and tells others what changed.

    Parameters
    ----------
    view : MembershipView
        Owned by this actor alone.
    on_members : callable
        Given the live members and the contacts whenever they or the list change.
    on_heartbeat : callable
        Given a VM name and a heartbeat to send to it.
    on_event : callable
        Given each change, for the audit trail.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        view: MembershipView,
        on_members: Callable[[Sequence[LiveMember], Sequence[Contact]], None],
        on_heartbeat: Callable[[str, Heartbeat], None],
        on_event: Callable[[MemberEvent], None],
    ) -> None:
        super().__init__()
        self._view = view
        self._on_members = on_members
        self._on_heartbeat = on_heartbeat
        self._on_event = on_event
        self._listed: Sequence[Vm] = ()
        self._next_beat_s = 0.0
        self._told: tuple[Sequence[LiveMember], Sequence[Contact]] = ((), ())

    def on_receive(self, message: MembershipMessage) -> list[LiveMember] | None:
        """Apply one message and tell what changed."""
        now_s = time.monotonic()
        answer = self._apply(message, now_s)
        self._tell_changes(now_s)
        return answer

    def _apply(
        self, message: MembershipMessage, now_s: float
    ) -> list[LiveMember] | None:
        view = self._view
        match message:
            case Heard(sender, heartbeats):
                for heartbeat in heartbeats:
                    view.receive(heartbeat, now_s=now_s, sender=sender)
            case Listed(vms):
                view.set_listed(vms, now_s=now_s)
                self._note_listed(vms)
            case UpdateSelf(leaving, revision):
                view.update_self(leaving=leaving, configuration_revision=revision)
                self._beat(now_s)
            case Beat():
                if now_s >= self._next_beat_s:
                    self._beat(now_s)
            case SayFarewell():
                final_heartbeat = view.final_heartbeat()
                for contact in view.contacts(now_s=now_s):
                    self._on_heartbeat(contact.vm_name, final_heartbeat)
            case ReadMembers():
                return view.members(now_s=now_s)
        return None

    def _beat(self, now_s: float) -> None:
        self._next_beat_s = now_s + self._view.heartbeat_period_s
        for contact in self._view.contacts(now_s=now_s):
            for heartbeat in self._view.next_heartbeats(contact.vm_name, now_s=now_s):
                self._on_heartbeat(contact.vm_name, heartbeat)

    def _note_listed(self, vms: Sequence[Vm]) -> None:
        # Addresses are the list's, and it may learn of a new one after the heartbeats.
        if vms != self._listed:
            self._listed = vms
            self._told = ((), ())

    def _tell_changes(self, now_s: float) -> None:
        members = [_steady(live) for live in self._view.members(now_s=now_s)]
        contacts = self._view.contacts(now_s=now_s)
        if (members, contacts) != self._told:
            self._told = (members, contacts)
            self._on_members(members, contacts)
        for event in self._view.take_events():
            self._on_event(event)


def _steady(live: LiveMember) -> LiveMember:
    # Revisions change often and matter to nobody but `status`.
    return attrs.evolve(live, configuration_revision=0)

"""Actor that owns this router's view of the live routers."""

import time
from collections.abc import Callable, Sequence

import attrs
import pykka

from citrondock_core.heartbeat import Heartbeat
from citrondock_core.member_event import MemberEvent
from citrondock_core.membership import Contact, LiveMember, MembershipView
from citrondock_core.vm_directory import Vm


@attrs.frozen
class ReceiveHeartbeats:
    """Apply heartbeats that a peer sent."""

    sender: str
    heartbeats: Sequence[Heartbeat]


@attrs.frozen
class SetListed:
    """Replace the routers that the platform's VM list names."""

    vms: Sequence[Vm]


@attrs.frozen
class UpdateSelf:
    """Change this router's own heartbeats and send them; None keeps a value."""

    leaving: bool | None = None
    configuration_revision: int | None = None


@attrs.frozen
class SendDueHeartbeats:
    """Send heartbeats if the heartbeat period has passed."""


@attrs.frozen
class SendFinalHeartbeats:
    """Tell the contacts that this router stops now."""


@attrs.frozen
class ReadMembers:
    """Return the live members."""


MembershipMessage = (
    ReceiveHeartbeats
    | SetListed
    | UpdateSelf
    | SendDueHeartbeats
    | SendFinalHeartbeats
    | ReadMembers
)


class MembershipActor(pykka.ThreadingActor):
    """Updates the membership view and calls back when it changes.

    Parameters
    ----------
    view : MembershipView
        View that only this actor uses.
    on_members : callable
        Called with the live members and the contacts when these or the platform's VM
        list change.
    on_heartbeat : callable
        Called with a VM name and a heartbeat to send to that VM.
    on_event : callable
        Called with each membership change, for the audit trail.
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
        self._listed_vms: Sequence[Vm] = ()
        self._next_heartbeat_s = 0.0
        self._last_reported: tuple[Sequence[LiveMember], Sequence[Contact]] = ((), ())

    def on_receive(self, message: MembershipMessage) -> list[LiveMember] | None:
        """Apply one message and report the changes; return what it asks for."""
        now_s = time.monotonic()
        answer = self._apply(message, now_s)
        self._report_changes(now_s)
        return answer

    def _apply(
        self, message: MembershipMessage, now_s: float
    ) -> list[LiveMember] | None:
        view = self._view
        match message:
            case ReceiveHeartbeats(sender, heartbeats):
                for heartbeat in heartbeats:
                    view.receive(heartbeat, now_s=now_s, sender=sender)
            case SetListed(vms):
                view.set_listed(vms, now_s=now_s)
                self._set_listed_vms(vms)
            case UpdateSelf(leaving, revision):
                view.update_self(leaving=leaving, configuration_revision=revision)
                self._send_heartbeats(now_s)
            case SendDueHeartbeats():
                if now_s >= self._next_heartbeat_s:
                    self._send_heartbeats(now_s)
            case SendFinalHeartbeats():
                final_heartbeat = view.final_heartbeat()
                for contact in view.contacts(now_s=now_s):
                    self._on_heartbeat(contact.vm_name, final_heartbeat)
            case ReadMembers():
                return view.members(now_s=now_s)
        return None

    def _send_heartbeats(self, now_s: float) -> None:
        self._next_heartbeat_s = now_s + self._view.heartbeat_period_s
        for contact in self._view.contacts(now_s=now_s):
            for heartbeat in self._view.next_heartbeats(contact.vm_name, now_s=now_s):
                self._on_heartbeat(contact.vm_name, heartbeat)

    def _set_listed_vms(self, vms: Sequence[Vm]) -> None:
        # Members are reached at the listed addresses, and a new address may be listed
        # after the first heartbeats from there: the members are reported again.
        if vms != self._listed_vms:
            self._listed_vms = vms
            self._last_reported = ((), ())

    def _report_changes(self, now_s: float) -> None:
        members = [_without_revision(live) for live in self._view.members(now_s=now_s)]
        contacts = self._view.contacts(now_s=now_s)
        if (members, contacts) != self._last_reported:
            self._last_reported = (members, contacts)
            self._on_members(members, contacts)
        for event in self._view.take_events():
            self._on_event(event)


def _without_revision(live: LiveMember) -> LiveMember:
    # A new configuration revision alone is no change to report: only the status page
    # shows it, and it reads the members itself.
    return attrs.evolve(live, configuration_revision=0)

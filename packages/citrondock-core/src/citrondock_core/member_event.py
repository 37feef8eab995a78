"""Membership changes, for the audit trail and the log."""

import enum

import attrs


class MemberEventKind(enum.Enum):
    """Kinds of membership changes."""

    JOINED = "joined"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    LEFT = "left"


@attrs.frozen(kw_only=True)
class MemberEvent:
    """A membership change as one router saw it.

    Parameters
    ----------
    kind : MemberEventKind
        Kind of change.
    vm_name, availability_zone : str
        VM and zone of the router that changed.
    incarnation : int
        Incarnation of that router.
    reason : str
        Cause, or the way in which the change became known.
    at_s : float
        Monotonic time at which the change became known.
    """

    kind: MemberEventKind
    vm_name: str
    availability_zone: str
    incarnation: int
    reason: str
    at_s: float

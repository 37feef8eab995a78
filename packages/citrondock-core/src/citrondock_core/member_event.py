"""Changes of the membership, for the audit trail and the log."""

import enum

import attrs


class MemberEventKind(enum.Enum):
    """What became of a router."""

    JOINED = "joined"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    LEFT = "left"


@attrs.frozen(kw_only=True)
class MemberEvent:
    """One change of the membership as one router saw it.

    Parameters
    ----------
    kind : MemberEventKind
        What became of the router.
    vm_name, availability_zone : str
        Which router.
    incarnation : int
        Its incarnation.
    reason : str
        How it became known.
    at_s : float
        Monotonic time at which it became known.
    """

    kind: MemberEventKind
    vm_name: str
    availability_zone: str
    incarnation: int
    reason: str
    at_s: float

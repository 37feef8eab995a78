"""Records of the audit trail: who changed what, when and why."""

import enum

import attrs


class AuditKind(enum.Enum):
    """Kinds of changes that the audit trail records."""

    EDIT = "edit"
    ORDER = "order"
    DRAIN = "drain"
    MEMBERSHIP = "membership"
    TAKEOVER = "takeover"
    DROPPED = "dropped"


@attrs.frozen(kw_only=True)
class AuditRecord:
    """One change in the audit trail.

    Parameters
    ----------
    at_unix_s : float
        Unix time at which the change was made.
    kind : AuditKind
        Kind of change.
    who : str
        Operator or router that made it.
    what : str
        What was changed, and to what.
    why : str
        Reason given by the operator, or cause that the router saw.
    subject : str
        Name of the changed thing, by which records are filtered.
    from_revision, to_revision : int or None
        Configuration revision before and after; None where it did not change.
    step, peer : str
        Step and peer at which the change was made.
    """

    at_unix_s: float
    kind: AuditKind
    who: str
    what: str
    why: str = ""
    subject: str = ""
    from_revision: int | None = None
    to_revision: int | None = None
    step: str = ""
    peer: str = "local"

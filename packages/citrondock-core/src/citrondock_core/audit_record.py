"""What an operator reads of a change: who, what, why and when."""

import enum

import attrs


class AuditKind(enum.Enum):
    """What kind of change was made."""

    EDIT = "edit"
    ORDER = "order"
    DRAIN = "drain"
    MEMBERSHIP = "membership"
    TAKEOVER = "takeover"
    DROPPED = "dropped"


@attrs.frozen(kw_only=True)
class AuditRecord:
    """One change.

    Parameters
    ----------
    at_unix_s : float
        When it was made.
    kind : AuditKind
        Kind of change.
    who : str
        Operator or router that made it.
    what : str
        What was changed, and to what.
    why : str
        Reason given or cause seen.
    subject : str
        Name of what was changed, for filters.
    from_revision, to_revision : int or None
        Configuration before and after; None where none was changed.
    step, peer : str
        Where in the fleet it was made.
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

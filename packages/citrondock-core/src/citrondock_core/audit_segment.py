"""Objects of the store that hold the audit trail."""

from collections.abc import Sequence

import attrs
from cattrs.preconf.json import make_converter

from citrondock_core.audit_record import AuditRecord

AUDIT_PREFIX = "audit/"
MILLISECONDS = 1000
MAX_SEGMENT_AGE_S = 3600.0
MAX_TEXT_CHARACTERS = 2000

_converter = make_converter()


@attrs.frozen(kw_only=True)
class AuditSegment:
    """A bounded part of the trail that one router incarnation writes alone.

    Parameters
    ----------
    opened_at_unix_s : float
        Time of its first record; its key begins with it, so that keys sort by time.
    vm_name, incarnation : str, int
        Who writes it.
    number : int
        Counts the segments of that incarnation.
    """

    opened_at_unix_s: float
    vm_name: str
    incarnation: int
    number: int

    @property
    def key(self) -> str:
        """Key of its object."""
        start = key_from(self.opened_at_unix_s)
        return f"{start}-{self.vm_name}-{self.incarnation}-{self.number:05}"


def key_from(unix_s: float) -> str:
    """Return the least key of segments opened at or after a time."""
    milliseconds = max(0, int(unix_s * MILLISECONDS))
    return f"{AUDIT_PREFIX}{milliseconds:015}"


def opened_at_unix_s(key: str) -> float:
    """Return when the segment with this key was opened."""
    return int(key.removeprefix(AUDIT_PREFIX).split("-", 1)[0]) / MILLISECONDS


def encode_record(record: AuditRecord) -> bytes:
    """Return a record as one line, with over-long texts cut."""
    bounded = attrs.evolve(
        record,
        what=record.what[:MAX_TEXT_CHARACTERS],
        why=record.why[:MAX_TEXT_CHARACTERS],
    )
    return _converter.dumps(bounded, separators=(",", ":")).encode() + b"\n"


def decode_records(value: bytes) -> Sequence[AuditRecord]:
    """Return the records of a segment's value."""
    return [_converter.loads(line, AuditRecord) for line in value.splitlines()]

"""Keys and encoding of the stored objects that hold the audit trail."""

from collections.abc import Sequence

import attrs
from cattrs.preconf.json import make_converter

from citrondock_core.audit_record import AuditRecord

AUDIT_PREFIX = "audit/"
MS_PER_SECOND = 1000
MAX_SEGMENT_AGE_S = 3600.0
MAX_TEXT_CHARACTERS = 2000

_converter = make_converter()


@attrs.frozen(kw_only=True)
class AuditSegment:
    """Identifies a size-limited part of the trail, written by one router incarnation.

    Parameters
    ----------
    opened_at_unix_s : float
        Time at which the segment was opened; the key begins with it, so that keys
        sort by time.
    vm_name, incarnation : str, int
        VM and incarnation of the router that writes the segment.
    number : int
        Sequence number of the segment within that incarnation.
    """

    opened_at_unix_s: float
    vm_name: str
    incarnation: int
    number: int

    @property
    def key(self) -> str:
        """Key of the stored object."""
        start = key_prefix_at(self.opened_at_unix_s)
        return f"{start}-{self.vm_name}-{self.incarnation}-{self.number:05}"


def key_prefix_at(unix_s: float) -> str:
    """Return the start of the keys of segments opened at a time.

    It sorts before every segment opened at that time or later.
    """
    milliseconds = max(0, int(unix_s * MS_PER_SECOND))
    return f"{AUDIT_PREFIX}{milliseconds:015}"


def opened_at_unix_s(key: str) -> float:
    """Return the Unix time at which the segment with this key was opened."""
    return int(key.removeprefix(AUDIT_PREFIX).split("-", 1)[0]) / MS_PER_SECOND


def encode_record(record: AuditRecord) -> bytes:
    """Return a record as one line of JSON, with long texts truncated."""
    bounded = attrs.evolve(
        record,
        what=record.what[:MAX_TEXT_CHARACTERS],
        why=record.why[:MAX_TEXT_CHARACTERS],
    )
    return _converter.dumps(bounded, separators=(",", ":")).encode() + b"\n"


def decode_records(value: bytes) -> Sequence[AuditRecord]:
    """Return the records in the stored value of a segment."""
    return [_converter.loads(line, AuditRecord) for line in value.splitlines()]

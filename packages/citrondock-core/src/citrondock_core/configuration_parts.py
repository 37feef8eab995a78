"""Content-defined chunking: an edit rewrites only the parts that it changes."""

import hashlib
from collections.abc import Iterable, Iterator

import attrs
import xxhash

TARGET_PART_BYTES = 64_000
"""A line ends a part with the probability of its length divided by this."""
MIN_PART_BYTES = 8_000
"""A line does not end a part that is shorter."""
MAX_PART_BYTES = 400_000
"""No part is longer; longer lines are split."""

_DIGEST_BYTES = 16


@attrs.frozen(kw_only=True)
class Part:
    """Reference to a stored part of a text or snapshot.

    Parameters
    ----------
    key : str
        Key of its object in the store.
    version : int
        Store version of the object, needed to delete it.
    digest : str
        Hash of its content before compression.
    """

    key: str
    version: int
    digest: str


def split_into_parts(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Split lines into parts at boundaries that depend on the content near them.

    The hash of a line decides whether a part ends after it, with a probability
    proportional to the line's length. Equal text is thus split at the same places in
    every revision.
    """
    part: list[bytes] = []
    part_bytes = 0
    for line in _split_long_lines(lines):
        if part_bytes + len(line) > MAX_PART_BYTES:
            yield b"".join(part)
            part, part_bytes = [], 0
        part.append(line)
        part_bytes += len(line)
        if part_bytes >= MIN_PART_BYTES and _ends_part(line):
            yield b"".join(part)
            part, part_bytes = [], 0
    if part:
        yield b"".join(part)


def digest_of(content: bytes) -> str:
    """Return the hash by which parts of equal content are recognised."""
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def _ends_part(line: bytes) -> bool:
    return xxhash.xxh32_intdigest(line) % TARGET_PART_BYTES < len(line)


def _split_long_lines(lines: Iterable[bytes]) -> Iterator[bytes]:
    for line in lines:
        for start in range(0, len(line), MAX_PART_BYTES):
            yield line[start : start + MAX_PART_BYTES]

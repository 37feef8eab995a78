"""Long texts cut into parts, so that an edit rewrites only the parts it touches."""

import hashlib
from collections.abc import Iterable, Iterator

import attrs
import xxhash

TARGET_PART_BYTES = 64_000
MIN_PART_BYTES = 8_000
MAX_PART_BYTES = 400_000

_DIGEST_BYTES = 16


@attrs.frozen(kw_only=True)
class Part:
    """A stored part.

    Parameters
    ----------
    key : str
        Its object.
    version : int
        Version of the object, for its deletion.
    digest : str
        Hash of its content before compression.
    """

    key: str
    version: int
    digest: str


def cut(lines: Iterable[bytes]) -> Iterator[bytes]:
    """Cut lines into parts whose borders depend on the content near them.

    A line ends a part with a probability that grows with its length, decided by its
    hash, so that equal text is cut at the same places in every revision.
    """
    waiting: list[bytes] = []
    waiting_bytes = 0
    for line in _short_lines(lines):
        if waiting_bytes + len(line) > MAX_PART_BYTES:
            yield b"".join(waiting)
            waiting, waiting_bytes = [], 0
        waiting.append(line)
        waiting_bytes += len(line)
        if waiting_bytes >= MIN_PART_BYTES and _ends_part(line):
            yield b"".join(waiting)
            waiting, waiting_bytes = [], 0
    if waiting:
        yield b"".join(waiting)


def digest_of(content: bytes) -> str:
    """Return the hash by which equal parts are known."""
    return hashlib.blake2b(content, digest_size=_DIGEST_BYTES).hexdigest()


def _ends_part(line: bytes) -> bool:
    return xxhash.xxh32_intdigest(line) % TARGET_PART_BYTES < len(line)


def _short_lines(lines: Iterable[bytes]) -> Iterator[bytes]:
    for line in lines:
        for start in range(0, len(line), MAX_PART_BYTES):
            yield line[start : start + MAX_PART_BYTES]

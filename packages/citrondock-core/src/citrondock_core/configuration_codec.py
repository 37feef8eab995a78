"""The serialised form of a whole configuration, as routers hand it to each other."""

import json
import zlib

from citrondock_core.configuration import Configuration
from citrondock_core.configuration_entries import (
    ConfigurationDecodeError,
    configuration_of,
    decode_entries,
    encode_entry,
    entries_of,
)

MAX_DOCUMENT_BYTES = 64_000_000
"""Most bytes of an uncompressed document; a larger one is refused."""

_FORMAT = 1


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as compressed lines, one for each entry."""
    header = [_FORMAT, configuration.revision, configuration.edit_id]
    entries = entries_of(configuration)
    lines = [json.dumps(header).encode() + b"\n"]
    lines += [encode_entry(key, entries[key]) for key in sorted(entries)]
    return zlib.compress(b"".join(lines))


def decode_configuration(document: bytes) -> Configuration:
    """Read what `encode_configuration` returned.

    Raises
    ------
    ConfigurationDecodeError
        The bytes are no configuration.
    """
    lines = inflate(document).split(b"\n")
    try:
        version, revision, edit_id = json.loads(lines[0])
    except (ValueError, TypeError) as error:
        raise ConfigurationDecodeError(f"no header: {error}", step="decode") from error
    known = version == _FORMAT and isinstance(revision, int) and revision >= 0
    if not known or not isinstance(edit_id, str):
        raise ConfigurationDecodeError("the header is unknown", step="decode")
    entries = decode_entries(lines[1:])
    return configuration_of(entries, revision=revision, edit_id=edit_id)


def inflate(document: bytes) -> bytes:
    """Decompress bytes of bounded size.

    Raises
    ------
    ConfigurationDecodeError
        They are not compressed, are cut off, or are too large.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(document, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ConfigurationDecodeError(str(error), step="decode") from error
    if not stream.eof:
        raise ConfigurationDecodeError("cut off or too large", step="decode")
    return content

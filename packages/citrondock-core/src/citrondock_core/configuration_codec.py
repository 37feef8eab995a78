"""Serialisation of a whole configuration, as routers send it to each other."""

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
"""Most bytes of a decompressed document; a larger one is rejected."""

_FORMAT_VERSION = 1


def encode_configuration(configuration: Configuration) -> bytes:
    """Serialise a configuration: a header line and one line per entry, compressed."""
    header = [_FORMAT_VERSION, configuration.revision, configuration.edit_id]
    entries = entries_of(configuration)
    lines = [json.dumps(header).encode() + b"\n"]
    lines += [encode_entry(key, entries[key]) for key in sorted(entries)]
    return zlib.compress(b"".join(lines))


def decode_configuration(document: bytes) -> Configuration:
    """Deserialise the result of `encode_configuration`.

    Raises
    ------
    ConfigurationDecodeError
        The bytes are not a serialised configuration.
    """
    lines = inflate(document).split(b"\n")
    try:
        version, revision, edit_id = json.loads(lines[0])
    except (ValueError, TypeError) as error:
        raise ConfigurationDecodeError(
            f"the configuration's header is malformed: {error}", step="decode"
        ) from error
    is_supported = (
        version == _FORMAT_VERSION and isinstance(revision, int) and revision >= 0
    )
    if not is_supported or not isinstance(edit_id, str):
        raise ConfigurationDecodeError(
            "the configuration's header is invalid or of another format version",
            step="decode",
        )
    entries = decode_entries(lines[1:])
    return configuration_of(entries, revision=revision, edit_id=edit_id)


def inflate(document: bytes) -> bytes:
    """Decompress zlib data of at most `MAX_DOCUMENT_BYTES` decompressed bytes.

    Raises
    ------
    ConfigurationDecodeError
        The data is not in zlib format, is truncated, or is too large.
    """
    stream = zlib.decompressobj()
    try:
        content = stream.decompress(document, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ConfigurationDecodeError(
            f"decompression failed: {error}", step="decode"
        ) from error
    if not stream.eof:
        raise ConfigurationDecodeError(
            f"the compressed data is truncated or exceeds {MAX_DOCUMENT_BYTES} bytes",
            step="decode",
        )
    return content

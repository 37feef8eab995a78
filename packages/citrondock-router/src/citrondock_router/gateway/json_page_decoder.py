"""Decodes pages of store objects so that an unreadable object costs only itself."""

from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from citrondock_router.gateway.json_splitter import (
    InTurns,
    Unreadable,
    decode_or_reason,
    decode_value,
    finish_in_turns,
    split_array,
    split_object,
)

MAX_QUICK_PAGE_BYTES = 262_144
"""Largest page that is decoded at once. Of a larger one, each entry is decoded by
itself, and only up to its limit."""

MAX_VALUE_BYTES = 16_384
"""Largest value of an entry that is decoded, unless its kind has another limit."""


@attrs.frozen(kw_only=True)
class PageFormat:
    """Where a page holds its entries.

    Parameters
    ----------
    entry_lists : frozenset of str
        Fields of a page that list entries.
    nested_objects : frozenset of str
        Fields of an entry that hold an object with values of its own.
    """

    entry_lists: frozenset[str]
    nested_objects: frozenset[str]


async def decode_page(
    body: bytes, page_format: PageFormat, *, max_value_bytes: int = MAX_VALUE_BYTES
) -> Mapping[str, Any]:
    """Decode a response of the store, with turns for other tasks in between.

    Values inside the listed entries that cannot be decoded are replaced by
    `Unreadable`: they may be too large, be nested too deeply, or have numbers that are
    too long.

    Parameters
    ----------
    body : bytes
        Body of the response.
    page_format : PageFormat
        Where it holds its entries.
    max_value_bytes : int
        Largest value of an entry of a large page.

    Raises
    ------
    ValueError
        If the response as a whole is not a JSON object.
    """
    return await finish_in_turns(_decode_page(body, page_format, max_value_bytes))


def _decode_page(
    body: bytes, page_format: PageFormat, max_value_bytes: int
) -> InTurns[Mapping[str, Any]]:
    if len(body) <= max(MAX_QUICK_PAGE_BYTES, max_value_bytes):
        try:
            page = orjson.loads(body)
        except ValueError:
            pass
        else:
            if isinstance(page, Mapping):
                return page
            raise ValueError("response is not a JSON object")
    fields = {}
    members = yield from split_object(body)
    for name, value in members.items():
        if name in page_format.entry_lists:
            entries = []
            for raw in (yield from split_array(value)):
                entry = yield from _decode_entry(raw, page_format, max_value_bytes)
                entries.append(entry)
                yield
            fields[name] = entries
        else:
            fields[name] = decode_value(value)
    return fields


def _decode_entry(
    raw: bytes, page_format: PageFormat, max_value_bytes: int
) -> InTurns[Any]:
    if len(raw) <= max_value_bytes:
        try:
            return orjson.loads(raw)
        except ValueError:
            pass
    try:
        members = yield from split_object(raw)
    except ValueError as error:
        return Unreadable(str(error))
    fields = {}
    for name, value in members.items():
        if name in page_format.nested_objects:
            fields[name] = yield from _decode_entry(value, page_format, max_value_bytes)
        else:
            fields[name] = decode_or_reason(value, max_bytes=max_value_bytes)
    return fields

"""Splits JSON texts without reading the values in them.

Decoders read a text as a whole or not at all, and build all its values, of which a text
of a megabyte may hold a million.
"""

import asyncio
import json
import re
from collections.abc import Generator
from typing import Any, TypeVar

import attrs
import orjson

TURN_TOKENS = 4096
"""Tokens after which other work gets its turn; about a millisecond."""

MAX_REDUCTIONS = 16
"""Levels of nesting in a part of a text that are skipped without a look at each."""

_SHORT_STRING_TEXT = rb'"(?:[^"\\]|\\.){0,1024}+"'
_SHORT_STRING = re.compile(_SHORT_STRING_TEXT, re.DOTALL)
_STRING_PART = re.compile(rb'(?:[^"\\]|\\.){1,16384}+', re.DOTALL)
# Without the end, a quote begins a long string.
_TOKEN = re.compile(_SHORT_STRING_TEXT + rb'|[\[{\]},"]', re.DOTALL)
_BRACKETS = re.compile(_SHORT_STRING_TEXT + rb"|[\[{\]}]", re.DOTALL)
# Some kilobytes of a text that don't end inside a string.
_WINDOW = re.compile(
    rb'(?:[^"]{1,16}+|' + _SHORT_STRING_TEXT + rb"){1,1024}+", re.DOTALL
)
_KEY = re.compile(rb"\s*(" + _SHORT_STRING_TEXT + rb")\s*:\s*", re.DOTALL)
_OPENING_BYTES = b"[{"
_DEPTH_CHANGE = {ord("["): 1, ord("{"): 1, ord("]"): -1, ord("}"): -1}
_TO_SQUARE = bytes.maketrans(b"{}", b"[]")
_NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
_QUOTE = ord('"')

_Result = TypeVar("_Result")
InTurns = Generator[None, None, _Result]
"""A computation that yields wherever other work may run."""


@attrs.frozen
class Unreadable:
    """Stands for a JSON value that cannot be decoded, and says why."""

    reason: str


async def finish_in_turns(computation: InTurns[_Result]) -> _Result:
    """Run a computation to its end, with turns for other tasks in between."""
    while True:
        try:
            next(computation)
        except StopIteration as end:
            result: _Result = end.value
            return result
        await asyncio.sleep(0)


def decode_value(raw: bytes) -> Any:
    """Decode a JSON value.

    Raises
    ------
    ValueError, RecursionError
        If it is no JSON, is nested too deeply or has a number that is too long.
    """
    try:
        return orjson.loads(raw)
    except ValueError:
        # orjson rejects invalid UTF-8 in any string, and some numbers.
        return json.loads(raw.decode("utf-8", "replace"))


def decode_or_reason(raw: bytes, *, max_bytes: int) -> Any:
    """Decode a JSON value, or return `Unreadable`."""
    if len(raw) > max_bytes:
        return Unreadable(f"value of {len(raw)} bytes exceeds {max_bytes} bytes")
    try:
        return decode_value(raw)
    except (ValueError, RecursionError) as error:
        return Unreadable(str(error))


def split_object(raw: bytes) -> InTurns[dict[str, bytes]]:
    """Split an object into its members by name.

    Raises
    ------
    ValueError
        If the text is no object.
    """
    members = {}
    for member in (yield from _split(raw, b"{")):
        key = _KEY.match(member)
        if key is None:
            raise ValueError("member of a JSON object has no name")
        name = json.loads(key.group(1).decode("utf-8", "replace"))
        members[name] = member[key.end() :]
    return members


def split_array(raw: bytes) -> InTurns[list[bytes]]:
    """Split an array into its items.

    Raises
    ------
    ValueError
        If the text is no array.
    """
    return _split(raw, b"[")


def _split(raw: bytes, opening: bytes) -> InTurns[list[bytes]]:
    """Split an array or object into its members, without reading these."""
    first = len(raw) - len(raw.lstrip())
    if raw[first : first + 1] != opening:
        raise ValueError(
            f"text is not a JSON value that starts with {opening.decode()}"
        )
    members: list[bytes] = []
    start = position = first + 1
    tokens = 0
    while (match := _TOKEN.search(raw, position)) is not None:
        tokens += 1
        if tokens % TURN_TOKENS == 0:
            yield
        position = match.end()
        token = raw[match.start()]
        if token == _QUOTE:
            if match.end() - match.start() == 1:
                position = yield from _skip_string(raw, match.start())
            continue
        if token in _OPENING_BYTES:
            position = yield from _skip(raw, match.start())
            continue
        member = raw[start : match.start()]
        if token != ord(","):
            return [*members, member] if members or member.strip() else []
        members.append(member)
        start = position
    raise ValueError(f"JSON value that starts with {opening.decode()} does not end")


def _skip(raw: bytes, start: int) -> InTurns[int]:
    """Return the position behind the array or object that begins at a position."""
    depth = 0
    position = start
    while position < len(raw):
        window = _WINDOW.match(raw, position)
        if window is None:
            position = yield from _skip_string(raw, position)
            continue
        brackets = _brackets(window.group())
        ended_count = brackets.count(b"]")
        if position > start and ended_count < depth:
            depth += len(brackets) - 2 * ended_count
        else:
            for bracket in _BRACKETS.finditer(raw, position, window.end()):
                depth += _DEPTH_CHANGE.get(raw[bracket.start()], 0)
                if depth == 0:
                    return bracket.end()
        position = window.end()
        yield
    raise ValueError("JSON array or object does not end")


def _skip_string(raw: bytes, start: int) -> InTurns[int]:
    """Return the position behind the string that begins at a position."""
    position = start + 1
    while (part := _STRING_PART.match(raw, position)) is not None:
        position = part.end()
        yield
    if raw[position : position + 1] != b'"':
        raise ValueError("JSON string does not end")
    return position + 1


def _brackets(window: bytes) -> bytes:
    """Return the brackets of a text outside its strings, without most inner pairs."""
    brackets = _SHORT_STRING.sub(b"", window).translate(_TO_SQUARE, _NO_BRACKETS)
    for _ in range(MAX_REDUCTIONS):
        reduced = brackets.replace(b"[]", b"")
        if len(reduced) == len(brackets):
            break
        brackets = reduced
    return brackets

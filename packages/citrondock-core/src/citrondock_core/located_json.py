"""JSON with comments, read into values that know their place in the text."""

import enum
import json
import math
from collections.abc import Iterator

import attrs
import tree_sitter
import tree_sitter_json

from citrondock_core.faults import DuplicateKeyFault, Fault, Location, SyntaxFault

MAX_DEPTH = 64
MAX_SHOWN_CHARACTERS = 40

_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())
_COMMENT = "comment"
_QUOTED_KEY_REMEDY = 'put keys and strings in double quotes, as in "name": "value"'


class ValueKind(enum.Enum):
    """Types of JSON values, named as operators know them."""

    OBJECT = "an object"
    ARRAY = "an array"
    STRING = "a string"
    NUMBER = "a number"
    BOOLEAN = "true or false"
    NULL = "null"


@attrs.frozen
class Member:
    """One key of an object with its value."""

    key: str
    location: Location
    value: "LocatedValue"


@attrs.frozen
class LocatedValue:
    """A JSON value with its place.

    Parameters
    ----------
    kind : ValueKind
        Its type.
    location : Location
        Where it starts.
    scalar : str, int, float, bool or None
        Its value, unless it is an object or array.
    members : tuple of Member
        Members of an object, in the order of the text.
    items : tuple of LocatedValue
        Items of an array.
    """

    kind: ValueKind
    location: Location
    scalar: str | int | float | bool | None = None
    members: tuple[Member, ...] = ()
    items: tuple["LocatedValue", ...] = ()

    def get(self, key: str) -> "LocatedValue | None":
        """Return the value of a member, or None."""
        for member in self.members:
            if member.key == key:
                return member.value
        return None


@attrs.frozen
class ParsedDocument:
    """What a text holds.

    Parameters
    ----------
    root : LocatedValue or None
        None when there are syntax faults.
    faults : tuple of Fault
        Syntax faults, else keys that stand twice.
    """

    root: LocatedValue | None
    faults: tuple[Fault, ...]


def parse_json(text: str | bytes, *, file: str) -> ParsedDocument:
    """Read a text of JSON with comments.

    Parameters
    ----------
    text : str or bytes
        Text; bytes are UTF-8.
    file : str
        Name for messages.

    Examples
    --------
    >>> parse_json('{"port": 8080} // public', file="a.jsonc").root.get("port").scalar
    8080
    """
    try:
        source = text if isinstance(text, bytes) else text.encode()
        source.decode()
    except UnicodeError:
        fault = SyntaxFault(
            "the text is not UTF-8",
            location=Location(file),
            remedy="save the file as UTF-8",
        )
        return ParsedDocument(None, (fault,))
    return _Reader(source, file).read()


class _Reader:
    """Turns the syntax tree of one text into located values."""

    def __init__(self, source: bytes, file: str) -> None:
        self._source = source
        self._lines = source.split(b"\n")
        self._file = file
        self._faults: list[Fault] = []

    def read(self) -> ParsedDocument:
        tree = tree_sitter.Parser(_LANGUAGE).parse(self._source)
        if tree.root_node.has_error:
            self._syntax_faults(tree.root_node)
            self._faults.sort(key=lambda fault: attrs.astuple(fault.location))
            return ParsedDocument(None, tuple(self._faults))
        values = _content(tree.root_node)
        if not values:
            self._fault(tree.root_node, "the text holds no value", "write { … }")
            return ParsedDocument(None, tuple(self._faults))
        for extra in values[1:]:
            self._fault(extra, "a second value stands here", "keep one value per file")
        root = self._value(values[0], depth=1)
        if any(isinstance(fault, SyntaxFault) for fault in self._faults):
            return ParsedDocument(None, tuple(self._faults))
        return ParsedDocument(root, tuple(self._faults))

    def _location(self, node: tree_sitter.Node) -> Location:
        row, column = node.start_point
        before = self._lines[row][:column].decode(errors="replace")
        return Location(self._file, row + 1, len(before) + 1)

    def _fault(self, node: tree_sitter.Node, reason: str, remedy: str) -> None:
        location = self._location(node)
        self._faults.append(SyntaxFault(reason, location=location, remedy=remedy))

    def _syntax_faults(self, root: tree_sitter.Node) -> None:
        waiting = [root]
        while waiting:
            node = waiting.pop()
            if node.is_missing:
                self._missing(node)
            elif node.is_error:
                self._broken(node)
            elif node.has_error:
                waiting.extend(node.children)

    def _missing(self, node: tree_sitter.Node) -> None:
        previous = node.prev_sibling
        if previous is not None and previous.type == ",":
            self._fault(previous, "nothing follows this comma", "remove the comma")
            return
        name = "a value" if node.is_named else f"{node.type!r}"
        self._fault(node, f"{name} is missing here", "add it")

    def _broken(self, node: tree_sitter.Node) -> None:
        inner = [child for child in node.children if child.is_error]
        if inner:
            self._broken(inner[0])
            return
        text = (node.text or b"").decode(errors="replace")
        children = _content(node)
        if text.startswith(","):
            self._fault(node, "an item is missing at this comma", "remove the comma")
        elif text.startswith("/*"):
            self._fault(node, "the comment has no end", "close it with */")
        elif _stands_in_string(node):
            self._fault(
                node,
                f"{_shown(text)} cannot stand in a string",
                "write line ends as \\n and backslashes as \\\\",
            )
        elif node.next_sibling and children and children[-1].type == "pair":
            self._fault(node.next_sibling, "a comma is missing before this", "add it")
        else:
            self._fault(node, f"{_shown(text)} is not JSON", _remedy(text))

    def _value(self, node: tree_sitter.Node, *, depth: int) -> LocatedValue:
        location = self._location(node)
        if depth > MAX_DEPTH:
            self._fault(node, f"nested deeper than {MAX_DEPTH}", "flatten the text")
            return LocatedValue(ValueKind.NULL, location)
        if node.type == "object":
            members = tuple(self._members(node, depth=depth))
            return LocatedValue(ValueKind.OBJECT, location, members=members)
        if node.type == "array":
            items = tuple(self._value(item, depth=depth + 1) for item in _content(node))
            return LocatedValue(ValueKind.ARRAY, location, items=items)
        return self._scalar(node, location)

    def _members(self, node: tree_sitter.Node, *, depth: int) -> Iterator[Member]:
        first_locations: dict[str, Location] = {}
        for pair in _content(node):
            parts = _content(pair)
            key = self._scalar(parts[0], self._location(parts[0]))
            value = self._value(parts[-1], depth=depth + 1)
            name = str(key.scalar)
            if name in first_locations:
                self._faults.append(
                    DuplicateKeyFault(
                        f"the key {_shown(name)} stands twice, "
                        f"first on line {first_locations[name].line}",
                        location=key.location,
                        path=name,
                        remedy="remove one of the two",
                    )
                )
                continue
            first_locations[name] = key.location
            yield Member(name, key.location, value)

    def _scalar(self, node: tree_sitter.Node, location: Location) -> LocatedValue:
        text = (node.text or b"").decode()
        try:
            scalar = json.loads(text)
            if isinstance(scalar, float) and not math.isfinite(scalar):
                raise ValueError(text)
            if isinstance(scalar, str):
                scalar.encode()
        except ValueError:
            self._fault(node, f"{_shown(text)} is not JSON", _remedy(text))
            return LocatedValue(ValueKind.NULL, location)
        return LocatedValue(_kind_of(scalar), location, scalar=scalar)


def _kind_of(scalar: object) -> ValueKind:
    if scalar is None:
        return ValueKind.NULL
    if isinstance(scalar, bool):
        return ValueKind.BOOLEAN
    return ValueKind.STRING if isinstance(scalar, str) else ValueKind.NUMBER


def _content(node: tree_sitter.Node) -> list[tree_sitter.Node]:
    return [child for child in node.named_children if child.type != _COMMENT]


def _stands_in_string(node: tree_sitter.Node) -> bool:
    parent = node.parent
    while parent is not None and parent.is_error:
        parent = parent.parent
    return parent is not None and parent.type == "string"


def _shown(text: str) -> str:
    line = " ".join(text.split())
    if len(line) > MAX_SHOWN_CHARACTERS:
        line = line[:MAX_SHOWN_CHARACTERS] + "…"
    return repr(line)


def _remedy(text: str) -> str:
    first = text.strip("{ \n\t")[:1]
    if first == "'" or first.isalpha():
        return _QUOTED_KEY_REMEDY
    return "write an object, array, string, number, true, false or null"

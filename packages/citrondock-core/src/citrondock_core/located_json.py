"""Parser of JSON with comments whose values record their location in the text."""

import enum
import json
import math
from collections.abc import Iterator

import attrs
import tree_sitter
import tree_sitter_json

from citrondock_core.faults import DuplicateKeyFault, Fault, Location, SyntaxFault

MAX_DEPTH = 64
"""Deepest nesting of objects and arrays."""
MAX_SHOWN_CHARACTERS = 40
"""Most characters of the text that a message quotes."""

_LANGUAGE = tree_sitter.Language(tree_sitter_json.language())
_COMMENT = "comment"
_QUOTED_KEY_REMEDY = 'put keys and strings in double quotes, as in "name": "value"'


class ValueKind(enum.Enum):
    """Types of JSON values, as error messages name them."""

    OBJECT = "an object"
    ARRAY = "an array"
    STRING = "a string"
    NUMBER = "a number"
    BOOLEAN = "true or false"
    NULL = "null"


@attrs.frozen
class Member:
    """A key of an object with its location and value."""

    key: str
    location: Location
    value: "LocatedValue"


@attrs.frozen
class LocatedValue:
    """A JSON value with its location.

    Parameters
    ----------
    kind : ValueKind
        Type of the value.
    location : Location
        Where the value starts.
    scalar : str, int, float, bool or None
        The value itself, unless it is an object or array.
    members : tuple of Member
        Members of an object, in their order in the text.
    items : tuple of LocatedValue
        Items of an array.
    """

    kind: ValueKind
    location: Location
    scalar: str | int | float | bool | None = None
    members: tuple[Member, ...] = ()
    items: tuple["LocatedValue", ...] = ()

    def get(self, key: str) -> "LocatedValue | None":
        """Return the value of a member, or None if there is no such key."""
        for member in self.members:
            if member.key == key:
                return member.value
        return None


@attrs.frozen
class ParsedDocument:
    """Result of parsing a text.

    Parameters
    ----------
    root : LocatedValue or None
        The root value; None if there are syntax faults.
    faults : tuple of Fault
        Syntax faults; if there are none, duplicate keys.
    """

    root: LocatedValue | None
    faults: tuple[Fault, ...]


def parse_json(text: str | bytes, *, file: str) -> ParsedDocument:
    """Parse a text of JSON with comments.

    Parameters
    ----------
    text : str or bytes
        The text; bytes are decoded as UTF-8.
    file : str
        Name of the text in error messages.

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
    """Converts the syntax tree of one text to located values."""

    def __init__(self, source: bytes, file: str) -> None:
        self._source = source
        self._lines = source.split(b"\n")
        self._file = file
        self._faults: list[Fault] = []

    def read(self) -> ParsedDocument:
        tree = tree_sitter.Parser(_LANGUAGE).parse(self._source)
        if tree.root_node.has_error:
            self._report_syntax_faults(tree.root_node)
            self._faults.sort(key=lambda fault: attrs.astuple(fault.location))
            return ParsedDocument(None, tuple(self._faults))
        values = _without_comments(tree.root_node)
        if not values:
            self._fault(
                tree.root_node, "the text holds no value", "write an object { … }"
            )
            return ParsedDocument(None, tuple(self._faults))
        for extra in values[1:]:
            self._fault(extra, "a second value begins here", "keep one value per file")
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

    def _report_syntax_faults(self, root: tree_sitter.Node) -> None:
        pending = [root]
        while pending:
            node = pending.pop()
            if node.is_missing:
                self._report_missing(node)
            elif node.is_error:
                self._report_error(node)
            elif node.has_error:
                pending.extend(node.children)

    def _report_missing(self, node: tree_sitter.Node) -> None:
        """Report a token that the parser had to insert."""
        previous = node.prev_sibling
        if previous is not None and previous.type == ",":
            self._fault(previous, "nothing follows this comma", "remove the comma")
            return
        name = "a value" if node.is_named else f"{node.type!r}"
        self._fault(node, f"{name} is missing here", "add it")

    def _report_error(self, node: tree_sitter.Node) -> None:
        """Report a piece of text that the parser could not parse."""
        inner = [child for child in node.children if child.is_error]
        if inner:
            self._report_error(inner[0])
            return
        text = (node.text or b"").decode(errors="replace")
        children = _without_comments(node)
        if text.startswith(","):
            self._fault(node, "an item is missing at this comma", "remove the comma")
        elif text.startswith("/*"):
            self._fault(node, "the comment has no end", "close it with */")
        elif _is_inside_string(node):
            self._fault(
                node,
                f"{_quote(text)} is not allowed in a string",
                "write line breaks as \\n and backslashes as \\\\",
            )
        elif node.next_sibling and children and children[-1].type == "pair":
            self._fault(node.next_sibling, "a comma is missing before this", "add it")
        else:
            self._fault(node, f"{_quote(text)} is not valid JSON", _syntax_remedy(text))

    def _value(self, node: tree_sitter.Node, *, depth: int) -> LocatedValue:
        location = self._location(node)
        if depth > MAX_DEPTH:
            self._fault(
                node, f"nested deeper than {MAX_DEPTH} levels", "reduce the nesting"
            )
            return LocatedValue(ValueKind.NULL, location)
        if node.type == "object":
            members = tuple(self._members(node, depth=depth))
            return LocatedValue(ValueKind.OBJECT, location, members=members)
        if node.type == "array":
            items = tuple(
                self._value(item, depth=depth + 1) for item in _without_comments(node)
            )
            return LocatedValue(ValueKind.ARRAY, location, items=items)
        return self._scalar(node, location)

    def _members(self, node: tree_sitter.Node, *, depth: int) -> Iterator[Member]:
        first_locations: dict[str, Location] = {}
        for pair in _without_comments(node):
            parts = _without_comments(pair)
            key = self._scalar(parts[0], self._location(parts[0]))
            value = self._value(parts[-1], depth=depth + 1)
            name = str(key.scalar)
            if name in first_locations:
                self._faults.append(
                    DuplicateKeyFault(
                        f"the key {_quote(name)} appears twice, "
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
            self._fault(node, f"{_quote(text)} is not valid JSON", _syntax_remedy(text))
            return LocatedValue(ValueKind.NULL, location)
        return LocatedValue(_kind_of(scalar), location, scalar=scalar)


def _kind_of(scalar: object) -> ValueKind:
    if scalar is None:
        return ValueKind.NULL
    if isinstance(scalar, bool):
        return ValueKind.BOOLEAN
    return ValueKind.STRING if isinstance(scalar, str) else ValueKind.NUMBER


def _without_comments(node: tree_sitter.Node) -> list[tree_sitter.Node]:
    """Return the named children of a node, except comments."""
    return [child for child in node.named_children if child.type != _COMMENT]


def _is_inside_string(node: tree_sitter.Node) -> bool:
    parent = node.parent
    while parent is not None and parent.is_error:
        parent = parent.parent
    return parent is not None and parent.type == "string"


def _quote(text: str) -> str:
    """Return the text on one line, quoted and shortened for a message."""
    line = " ".join(text.split())
    if len(line) > MAX_SHOWN_CHARACTERS:
        line = line[:MAX_SHOWN_CHARACTERS] + "…"
    return repr(line)


def _syntax_remedy(text: str) -> str:
    first = text.strip("{ \n\t")[:1]
    if first == "'" or first.isalpha():
        return _QUOTED_KEY_REMEDY
    return "write an object, array, string, number, true, false or null"

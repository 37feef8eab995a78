"""Builds attrs objects from parsed JSON and collects all faults of the document."""

import difflib
import enum
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from citrondock_core.faults import (
    Fault,
    InvalidValueFault,
    MissingFileFault,
    MissingKeyFault,
    UnknownKeyFault,
    WrongTypeFault,
    raise_faults,
)
from citrondock_core.located_json import LocatedValue, Member, ValueKind

NAME_FIELD = "name"
"""Field whose value is the key of the object in the document."""

T = TypeVar("T")
StringParsers = Mapping[type, Callable[[str], Any]]

_PLAIN_KINDS = {
    str: ValueKind.STRING,
    bool: ValueKind.BOOLEAN,
    int: ValueKind.NUMBER,
    float: ValueKind.NUMBER,
}


@attrs.frozen
class StructureResult:
    """What could be built from a document, and its faults.

    Parameters
    ----------
    value : object or None
        The object; faulty fields have their defaults, so that checks across fields
        can go on. None if a required field is faulty.
    faults : list of Fault
        Faults of the document.
    """

    value: Any
    faults: list[Fault]


def structure(
    document: LocatedValue, cls: type[T], *, parsers: StringParsers | None = None
) -> T:
    """Build an object of ``cls`` from a document.

    Parameters
    ----------
    document : LocatedValue
        Root value of the document.
    cls : type
        An attrs class. Its fields may be plain types, enums, attrs classes,
        optionals, ``tuple[X, ...]`` and ``Mapping[str, X]``. A tuple or mapping of
        an attrs class with a field ``name`` is written as an object whose keys are
        the names.
    parsers : mapping of type to callable, optional
        Parsers of types that are written as strings; they raise ValueError.

    Raises
    ------
    SettingsError
        All faults of the document at once.
    """
    built = structure_leniently(document, cls, parsers=parsers)
    raise_faults(built.faults, file=document.location.file)
    return typing.cast(T, built.value)


def structure_leniently(
    document: LocatedValue, cls: type, *, parsers: StringParsers | None = None
) -> StructureResult:
    """Build as much of ``cls`` as the document allows, and list its faults."""
    builder = _Builder(parsers or {})
    value = builder.build(document, cls, "")
    return StructureResult(None if value is _FAULTY else value, builder.faults)


def suggest_name(name: str, known: list[str]) -> str:
    """Return a remedy that suggests the known name closest to ``name``, or all."""
    matches = difflib.get_close_matches(name, known, n=1)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return f"use one of {', '.join(sorted(known)) or 'none'}"


_FAULTY = object()
"""Result of building a value that has a fault."""


class _Builder:
    """Builds objects and collects the faults on the way."""

    def __init__(self, parsers: StringParsers) -> None:
        self.faults: list[Fault] = []
        self._parsers = parsers

    def build(self, value: LocatedValue, kind: Any, path: str) -> Any:
        origin = typing.get_origin(kind)
        if origin in (types.UnionType, typing.Union):
            return self._build_optional(value, kind, path)
        if origin is tuple:
            return self._build_tuple(value, typing.get_args(kind)[0], path)
        if origin is not None:
            return self._build_mapping(value, typing.get_args(kind)[1], path)
        if kind in self._parsers:
            return self._parse_string(value, kind, path)
        if attrs.has(kind):
            return self._build_object(value, kind, path, {})
        if issubclass(kind, enum.Enum):
            return self._build_enum(value, kind, path)
        return self._build_plain(value, kind, path)

    def _fault(
        self, cls: type[Fault], source: LocatedValue | Member, path: str, *texts: str
    ) -> Any:
        reason, remedy = texts
        fault = cls(reason, location=source.location, path=path, remedy=remedy)
        self.faults.append(fault)
        return _FAULTY

    def _wrong_type(self, value: LocatedValue, path: str, expected: str) -> Any:
        reason = f"is {value.kind.value}"
        return self._fault(WrongTypeFault, value, path, reason, f"write {expected}")

    def _build_optional(self, value: LocatedValue, kind: Any, path: str) -> Any:
        if value.kind is ValueKind.NULL:
            return None
        inner = next(arg for arg in typing.get_args(kind) if arg is not type(None))
        return self.build(value, inner, path)

    def _build_tuple(self, value: LocatedValue, item_kind: Any, path: str) -> Any:
        if _is_named(item_kind):
            built = self._build_mapping(value, item_kind, path)
            return built if built is _FAULTY else tuple(built.values())
        if value.kind is not ValueKind.ARRAY:
            return self._wrong_type(value, path, ValueKind.ARRAY.value)
        items = (
            self.build(item, item_kind, f"{path}[{index}]")
            for index, item in enumerate(value.items)
        )
        return tuple(item for item in items if item is not _FAULTY)

    def _build_mapping(self, value: LocatedValue, item_kind: Any, path: str) -> Any:
        if value.kind is not ValueKind.OBJECT:
            return self._wrong_type(value, path, ValueKind.OBJECT.value)
        built = {}
        for member in value.members:
            item = self._build_member(member, item_kind, _join_path(path, member.key))
            if item is not _FAULTY:
                built[member.key] = item
        return built

    def _build_member(self, member: Member, kind: Any, path: str) -> Any:
        if not _is_named(kind):
            return self.build(member.value, kind, path)
        if not member.key.strip():
            remedy = "give it a name"
            self._fault(InvalidValueFault, member, path, "has no name", remedy)
        return self._build_object(member.value, kind, path, {NAME_FIELD: member.key})

    def _build_object(
        self, value: LocatedValue, cls: type, path: str, given: dict[str, Any]
    ) -> Any:
        if value.kind is not ValueKind.OBJECT:
            return self._wrong_type(value, path, ValueKind.OBJECT.value)
        attrs.resolve_types(cls)
        fields = {f.name: f for f in attrs.fields(cls) if f.name not in given}
        self._report_unknown_keys(value, fields, path)
        arguments = dict(given)
        faulty = set()
        for name, field in fields.items():
            built = self._build_field(value, field, _join_path(path, name))
            if built is _FAULTY:
                faulty.add(name)
            else:
                arguments[name] = built
        if any(fields[name].default is attrs.NOTHING for name in faulty):
            return _FAULTY
        try:
            return cls(**arguments)
        except ValueError as error:
            if faulty:
                return _FAULTY
            return self._fault(
                InvalidValueFault, value, path, *_reason_and_remedy(error)
            )

    def _report_unknown_keys(
        self, value: LocatedValue, fields: Mapping[str, Any], path: str
    ) -> None:
        for member in value.members:
            if member.key not in fields:
                self._fault(
                    UnknownKeyFault,
                    member,
                    _join_path(path, member.key),
                    "is not a known key",
                    suggest_name(member.key, list(fields)),
                )

    def _build_field(self, value: LocatedValue, field: Any, path: str) -> Any:
        child = value.get(field.name)
        if child is None:
            return self._build_missing(value, field, path)
        built = self.build(child, field.type, path)
        if built is _FAULTY or field.validator is None:
            return built
        return self._validate(child, field, built, path)

    def _build_missing(self, value: LocatedValue, field: Any, path: str) -> Any:
        if field.default is attrs.NOTHING:
            return self._fault(
                MissingKeyFault, value, path, "is missing", f"add {field.name!r} here"
            )
        if isinstance(field.default, attrs.Factory):  # type: ignore[arg-type]
            empty = LocatedValue(ValueKind.OBJECT, value.location)
            if attrs.has(field.type):
                return self._build_object(empty, field.type, path, {})
            return field.default.factory()
        return field.default

    def _validate(self, child: LocatedValue, field: Any, built: Any, path: str) -> Any:
        try:
            field.validator(None, field, built)
        except FileNotFoundError as error:
            return self._fault(
                MissingFileFault, child, path, str(error), "create it or fix the path"
            )
        except ValueError as error:
            return self._fault(
                InvalidValueFault, child, path, *_reason_and_remedy(error)
            )
        return built

    def _parse_string(self, value: LocatedValue, kind: type, path: str) -> Any:
        if value.kind is not ValueKind.STRING:
            return self._wrong_type(value, path, ValueKind.STRING.value)
        try:
            return self._parsers[kind](str(value.scalar))
        except ValueError as error:
            return self._fault(
                InvalidValueFault, value, path, *_reason_and_remedy(error)
            )

    def _build_enum(self, value: LocatedValue, kind: type[enum.Enum], path: str) -> Any:
        names = [str(member.value) for member in kind]
        if value.kind is not ValueKind.STRING:
            return self._wrong_type(value, path, " or ".join(map(repr, names)))
        try:
            return kind(value.scalar)
        except ValueError:
            remedy = suggest_name(str(value.scalar), names)
            reason = f"cannot be {value.scalar!r}"
            return self._fault(InvalidValueFault, value, path, reason, remedy)

    def _build_plain(self, value: LocatedValue, kind: type, path: str) -> Any:
        expected = _PLAIN_KINDS[kind]
        if value.kind is not expected:
            return self._wrong_type(value, path, expected.value)
        if kind is int and not isinstance(value.scalar, int):
            return self._wrong_type(value, path, "a whole number")
        try:
            return kind(value.scalar)
        except OverflowError:
            reason = "is too large"
            remedy = "write a smaller number"
            return self._fault(InvalidValueFault, value, path, reason, remedy)


def _is_named(kind: Any) -> bool:
    return attrs.has(kind) and NAME_FIELD in attrs.fields_dict(kind)


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _reason_and_remedy(error: ValueError) -> tuple[str, str]:
    """Split the message of a validator at its first ``"; "``."""
    reason, separator, remedy = str(error.args[0]).partition("; ")
    return reason, remedy if separator else "write a value in that range"

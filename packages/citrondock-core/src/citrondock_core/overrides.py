"""Overrides of single values of a document, as given on the command line."""

from typing import Any

import attrs

from citrondock_core.faults import Fault, Location, UnknownKeyFault, WrongTypeFault
from citrondock_core.located_json import LocatedValue, Member, ValueKind, parse_json
from citrondock_core.structuring import suggest_name


def apply_override(
    document: LocatedValue, cls: type, override: str, faults: list[Fault]
) -> LocatedValue:
    """Return the document with one value of one section replaced by an override.

    Parameters
    ----------
    document : LocatedValue
        Document that is read into ``cls``.
    cls : type
        Attrs class whose fields are the sections of the document.
    override : str
        Override, for example ``"callers.port=8080"``.
    faults : list of Fault
        List to which faults in the override are appended.
    """
    path, separator, text = override.partition("=")
    location = Location(f"--set={path}")
    section_name, dot, name = path.partition(".")
    if not separator or not dot:
        fault: Fault = WrongTypeFault(
            f"{override!r} is not an override",
            location=location,
            remedy="write SECTION.NAME=VALUE, as in callers.port=8080",
        )
        faults.append(fault)
        return document
    sections = attrs.fields_dict(cls)
    if section_name not in sections:
        fault = UnknownKeyFault(
            "is not a known section",
            location=location,
            path=section_name,
            remedy=suggest_name(section_name, list(sections)),
        )
        faults.append(fault)
        return document
    value = _value(sections[section_name].type, name, text, location)
    section = document.get(section_name)
    if section is None:
        section = LocatedValue(ValueKind.OBJECT, location)
    elif section.kind is not ValueKind.OBJECT:
        return document
    return _with_member(document, section_name, _with_member(section, name, value))


def _value(section: Any, name: str, text: str, location: Location) -> LocatedValue:
    field = attrs.fields_dict(section).get(name)
    parsed = parse_json(text, file=location.file)
    is_text = field is not None and field.type is str
    if is_text or parsed.root is None:
        return LocatedValue(ValueKind.STRING, location, scalar=text)
    return parsed.root


def _with_member(value: LocatedValue, key: str, child: LocatedValue) -> LocatedValue:
    kept = tuple(member for member in value.members if member.key != key)
    added = Member(key, child.location, child)
    return attrs.evolve(value, members=(*kept, added))

"""Small edits of the operators' text that keep all the rest of it."""

from collections.abc import Iterator

from citrondock_core.errors import CitrondockError
from citrondock_core.faults import raise_faults
from citrondock_core.located_json import LocatedValue, parse_json

_DRAINING = "draining"


class TargetUnknownError(CitrondockError):
    """The text names no such target."""


def set_draining(text: str, target: str, *, draining: bool) -> str:
    """Return the text with one target draining or not; comments stay.

    Parameters
    ----------
    text : str
        Text that `parse_configuration` accepts.
    target : str
        Name of the target.
    draining : bool
        Whether it shall get no new work.

    Raises
    ------
    TargetUnknownError
        No pool has a target of that name.
    SettingsError
        Faults of the text.
    """
    parsed = parse_json(text, file="configuration")
    if parsed.root is None:
        raise_faults(parsed.faults, file="configuration")
        return text
    for value in _targets_named(parsed.root, target):
        return _with_draining(text, value, "true" if draining else "false")
    raise TargetUnknownError(f"no pool has a target {target!r}", step="drain")


def _targets_named(root: LocatedValue, name: str) -> Iterator[LocatedValue]:
    pools = root.get("pools")
    for pool in pools.members if pools else ():
        targets = pool.value.get("targets")
        found = targets.get(name) if targets else None
        if found is not None:
            yield found


def _with_draining(text: str, target: LocatedValue, value: str) -> str:
    present = target.get(_DRAINING)
    if present is None:
        start = _offset(text, target) + len("{")
        separator = ", " if target.members else ""
        return f'{text[:start]}"{_DRAINING}": {value}{separator}{text[start:]}'
    start = _offset(text, present)
    end = start + len("true" if present.scalar else "false")
    return text[:start] + value + text[end:]


def _offset(text: str, value: LocatedValue) -> int:
    lines = text.split("\n")[: value.location.line - 1]
    return sum(len(line) + 1 for line in lines) + value.location.column - 1

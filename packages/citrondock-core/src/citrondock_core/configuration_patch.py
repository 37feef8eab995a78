"""Edits of single values in the configuration text that keep its formatting."""

from collections.abc import Iterator

from citrondock_core.errors import CitrondockError
from citrondock_core.faults import raise_faults
from citrondock_core.located_json import LocatedValue, parse_json

_DRAINING = "draining"


class TargetUnknownError(CitrondockError):
    """No pool in the configuration text has a target of this name."""


def set_draining(text: str, target: str, *, draining: bool) -> str:
    """Return the text with ``draining`` of one target set; comments are kept.

    Parameters
    ----------
    text : str
        Text that `parse_configuration` accepts.
    target : str
        Name of the target.
    draining : bool
        Whether the target is excluded from new requests.

    Raises
    ------
    TargetUnknownError
        No pool has a target of that name.
    SettingsError
        The text has faults.
    """
    parsed = parse_json(text, file="configuration")
    if parsed.root is None:
        raise_faults(parsed.faults, file="configuration")
        return text
    for value in _find_targets(parsed.root, target):
        return _replace_draining(text, value, "true" if draining else "false")
    raise TargetUnknownError(f"no pool has a target {target!r}", step="drain")


def _find_targets(root: LocatedValue, name: str) -> Iterator[LocatedValue]:
    pools = root.get("pools")
    for pool in pools.members if pools else ():
        targets = pool.value.get("targets")
        found = targets.get(name) if targets else None
        if found is not None:
            yield found


def _replace_draining(text: str, target: LocatedValue, value: str) -> str:
    present = target.get(_DRAINING)
    if present is None:
        start = _offset(text, target) + len("{")
        separator = ", " if target.members else ""
        return f'{text[:start]}"{_DRAINING}": {value}{separator}{text[start:]}'
    start = _offset(text, present)
    end = start + len("true" if present.scalar else "false")
    return text[:start] + value + text[end:]


def _offset(text: str, value: LocatedValue) -> int:
    """Return the index in ``text`` at which a value starts."""
    lines = text.split("\n")[: value.location.line - 1]
    return sum(len(line) + 1 for line in lines) + value.location.column - 1

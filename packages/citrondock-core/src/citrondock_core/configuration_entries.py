"""A configuration as a flat mapping of entries, for deltas and snapshots."""

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from citrondock_core.account_keys import format_key_hash, parse_key_hash
from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    KeyHash,
    Pool,
    Service,
    Target,
)
from citrondock_core.errors import CitrondockError

ACCOUNTS = "accounts"
POOLS = "pools"
SERVICES = "services"
TARGETS = "targets"

Entry = ClientAccount | Pool | Service | Target
Entries = Mapping[str, Entry]
"""Entries by key: ``accounts/NAME``, ``pools/NAME``, ``services/NAME`` and
``targets/POOL/NAME``; the entry of a pool does not hold its targets."""

_CLASSES: Mapping[str, type] = {
    ACCOUNTS: ClientAccount,
    POOLS: Pool,
    SERVICES: Service,
    TARGETS: Target,
}


class ConfigurationDecodeError(CitrondockError):
    """Stored or received bytes that cannot be decoded."""


@attrs.frozen(kw_only=True)
class Delta:
    """The changes of one edit.

    Parameters
    ----------
    put : mapping of str to Entry
        Added and changed entries by key.
    removed : tuple of str
        Keys of removed entries.
    """

    put: Entries = attrs.field(factory=dict)
    removed: tuple[str, ...] = ()

    @property
    def keys(self) -> list[str]:
        """Sorted keys of all entries that are added, changed or removed."""
        return sorted([*self.put, *self.removed])


def entries_of(configuration: Configuration) -> dict[str, Entry]:
    """Return the flat entries of a configuration."""
    entries: dict[str, Entry] = {}
    for account in configuration.accounts.values():
        entries[f"{ACCOUNTS}/{account.name}"] = account
    for pool in configuration.pools.values():
        entries[f"{POOLS}/{pool.name}"] = attrs.evolve(pool, targets=())
        for target in pool.targets:
            entries[f"{TARGETS}/{pool.name}/{target.name}"] = target
    for service in configuration.services.values():
        entries[f"{SERVICES}/{service.name}"] = service
    return entries


def configuration_of(entries: Entries, *, revision: int, edit_id: str) -> Configuration:
    """Return the configuration made of these entries, targets sorted by name."""
    parts: dict[str, dict[str, Any]] = {section: {} for section in _CLASSES}
    targets: defaultdict[str, list[Target]] = defaultdict(list)
    for key in sorted(entries):
        section, _, name = key.partition("/")
        entry = entries[key]
        if isinstance(entry, Target):
            targets[name.partition("/")[0]].append(entry)
        else:
            parts[section][name] = entry
    pools = {
        name: attrs.evolve(pool, targets=tuple(targets[name]))
        for name, pool in parts[POOLS].items()
    }
    return Configuration(
        revision=revision,
        edit_id=edit_id,
        accounts=parts[ACCOUNTS],
        pools=pools,
        services=parts[SERVICES],
    )


def delta_between(before: Configuration, after: Configuration) -> Delta:
    """Return the delta that turns one configuration into another."""
    old, new = entries_of(before), entries_of(after)
    return Delta(
        put={key: entry for key, entry in new.items() if old.get(key) != entry},
        removed=tuple(sorted(set(old) - set(new))),
    )


def apply_delta(
    configuration: Configuration, delta: Delta, *, revision: int, edit_id: str
) -> Configuration:
    """Return the configuration with the changes of an edit applied."""
    entries = entries_of(configuration)
    entries.update(delta.put)
    for key in delta.removed:
        entries.pop(key, None)
    return configuration_of(entries, revision=revision, edit_id=edit_id)


def encode_entry(key: str, entry: Entry) -> bytes:
    """Return an entry as one line of a snapshot, in JSON."""
    fields = converter.unstructure(entry)
    fields.pop("name", None)
    return json.dumps([key, fields], separators=(",", ":")).encode() + b"\n"


def decode_entries(lines: Iterable[bytes]) -> dict[str, Entry]:
    """Parse the lines of a snapshot.

    Raises
    ------
    ConfigurationDecodeError
        A line is not a valid entry.
    """
    return dict(_decode_entry(line) for line in lines if line.strip())


def dump(value: object) -> bytes:
    """Return an attrs object as compact JSON."""
    return json.dumps(converter.unstructure(value), separators=(",", ":")).encode()


def load(document: bytes, cls: type[Any]) -> Any:
    """Parse an attrs object of class ``cls`` from JSON.

    Raises
    ------
    ConfigurationDecodeError
        The bytes are not such an object.
    """
    try:
        return converter.structure(json.loads(document), cls)
    except (ValueError, KeyError, TypeError, cattrs.BaseValidationError) as error:
        raise ConfigurationDecodeError(
            f"not a valid {cls.__name__}: {error}", step="decode"
        ) from error


def _decode_entry(line: bytes) -> tuple[str, Entry]:
    try:
        key, fields = json.loads(line)
        return key, _structure_entry(key, fields)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ConfigurationDecodeError(
            f"not a valid configuration entry: {error}", step="decode"
        ) from error
    except cattrs.BaseValidationError as error:
        raise ConfigurationDecodeError(
            f"not a valid configuration entry: {error}", step="decode"
        ) from error


def _structure_entry(key: str, fields: Mapping[str, Any]) -> Entry:
    name = key.rpartition("/")[2]
    cls = _CLASSES[key.partition("/")[0]]
    entry: Entry = converter.structure({**fields, "name": name}, cls)
    return entry


def _unstructure_delta(delta: Delta) -> dict[str, Any]:
    put = {}
    for key, entry in delta.put.items():
        put[key] = converter.unstructure(entry)
        put[key].pop("name", None)
    return {"put": put, "removed": list(delta.removed)}


def _structure_delta(raw: Mapping[str, Any], _cls: type) -> Delta:
    put = {key: _structure_entry(key, fields) for key, fields in raw["put"].items()}
    return Delta(put=put, removed=tuple(raw["removed"]))


converter = make_converter(omit_if_default=True)
converter.register_unstructure_hook(KeyHash, format_key_hash)
converter.register_structure_hook(KeyHash, lambda text, _cls: parse_key_hash(text))
converter.register_unstructure_hook(Delta, _unstructure_delta)
converter.register_structure_hook(Delta, _structure_delta)

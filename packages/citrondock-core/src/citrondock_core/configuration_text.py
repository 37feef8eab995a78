"""Parses the configuration text, in which operators define what the fleet serves."""

from collections.abc import Mapping

import attrs

from citrondock_core.account_keys import parse_key_hash
from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    KeyHash,
    Pool,
    Service,
)
from citrondock_core.configuration_checks import check_configuration
from citrondock_core.configuration_entries import configuration_of, entries_of
from citrondock_core.faults import raise_faults
from citrondock_core.located_json import parse_json
from citrondock_core.structuring import structure_leniently


@attrs.frozen(kw_only=True)
class ConfigurationDocument:
    """The root of the configuration text: accounts, pools and services by name."""

    accounts: Mapping[str, ClientAccount] = attrs.field(factory=dict)
    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)


def parse_configuration(text: str | bytes, file: str) -> Configuration:
    """Parse and check a configuration text.

    Parameters
    ----------
    text : str or bytes
        JSON with comments.
    file : str
        Name of the text in error messages.

    Returns
    -------
    Configuration
        The configuration, with revision 0 since it is not accepted yet, and with
        targets sorted by name.

    Raises
    ------
    SettingsError
        All faults of the text: syntax, types, unknown names, dependency cycles,
        duplicates, ranges, empty pools and overlapping paths.
    """
    parsed = parse_json(text, file=file)
    if parsed.root is None:
        raise_faults(parsed.faults, file=file)
        return Configuration()
    built = structure_leniently(
        parsed.root, ConfigurationDocument, parsers={KeyHash: parse_key_hash}
    )
    faults = [*parsed.faults, *built.faults]
    configuration = Configuration()
    if built.value is not None:
        configuration = Configuration(
            accounts=built.value.accounts,
            pools=built.value.pools,
            services=built.value.services,
        )
        known_faults = {fault.path for fault in faults}
        faults += check_configuration(configuration, parsed.root, known_faults)
    raise_faults(faults, file=file)
    return configuration_of(entries_of(configuration), revision=0, edit_id="")

"""The text by which operators say what the fleet serves."""

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
    """What stands at the root of the text, each part by name."""

    accounts: Mapping[str, ClientAccount] = attrs.field(factory=dict)
    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)


def parse_configuration(text: str | bytes, file: str) -> Configuration:
    """Read and check a configuration text as a whole.

    Parameters
    ----------
    text : str or bytes
        JSON with comments.
    file : str
        Its name for messages.

    Returns
    -------
    Configuration
        With revision 0, since it is not accepted yet; targets in order of names.

    Raises
    ------
    SettingsError
        Every fault at once: syntax, types, unknown names, dependency cycles,
        duplicates, ranges, empty pools, overlapping paths.
    """
    parsed = parse_json(text, file=file)
    if parsed.root is None:
        raise_faults(parsed.faults, file=file)
        return Configuration()
    built = structure_leniently(
        parsed.root, ConfigurationDocument, readers={KeyHash: parse_key_hash}
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

"""Reads example configurations and adapts them to stand-in targets and accounts."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs
import cattrs

from citrondock_core.account_keys import format_key_hash, hash_key
from citrondock_core.configuration import (
    ClientAccount,
    Configuration,
    KeyHash,
    PoolKind,
    Service,
    ServiceKind,
    Target,
)
from citrondock_core.configuration_text import parse_configuration

EXAMPLES = Path("examples")
PLUME_NORDIQUE = "plume-nordique"
NAIROBI_CASTING = "nairobi-casting"
LARGE_WEIGHT = 4.0
_DEMO_KEY = "demo-key"


def account_key(account: str) -> str:
    """Return the API key of an account in the example configurations."""
    return f"{account}.{_DEMO_KEY}"


@attrs.frozen(kw_only=True)
class Deployment:
    """An example configuration that a benchmark runs with.

    Parameters
    ----------
    name : str
        Name of the example.
    configuration : Configuration
        Parsed and validated configuration.
    """

    name: str
    configuration: Configuration

    @classmethod
    def read(cls, name: str, *, directory: Path = EXAMPLES) -> "Deployment":
        """Read an example configuration by its name."""
        path = directory / f"{name}.jsonc"
        text = path.read_bytes()
        return cls(name=name, configuration=parse_configuration(text, str(path)))

    def targets(self, kind: PoolKind) -> list[Target]:
        """Return the targets of all pools of one kind."""
        return [
            target
            for pool in self.configuration.pools.values()
            if pool.kind is kind
            for target in pool.targets
        ]

    @property
    def zones(self) -> list[str]:
        """Availability zones that have engines, sorted."""
        return sorted(
            {target.availability_zone for target in self.targets(PoolKind.ENGINE)}
        )

    def services(self, kind: ServiceKind) -> list[Service]:
        """Return the services of one kind, sorted by name."""
        services = self.configuration.services
        return [services[key] for key in sorted(services) if services[key].kind is kind]

    @property
    def large_accounts(self) -> list[str]:
        """Names of the accounts with a weight of at least `LARGE_WEIGHT`."""
        accounts = self.configuration.accounts.values()
        return [each.name for each in accounts if each.weight >= LARGE_WEIGHT]

    def with_targets(
        self, engines: Sequence[Target], applications: Sequence[Target]
    ) -> "Deployment":
        """Return the deployment with these targets in all of its pools."""
        pools = {
            name: attrs.evolve(
                pool,
                targets=tuple(
                    engines if pool.kind is PoolKind.ENGINE else applications
                ),
            )
            for name, pool in self.configuration.pools.items()
        }
        return attrs.evolve(
            self, configuration=attrs.evolve(self.configuration, pools=pools)
        )

    def with_accounts(self, count: int) -> "Deployment":
        """Return the deployment with this many accounts of weight 1 instead."""
        names = [f"account-{number:04d}" for number in range(count)]
        salt = bytes(16)
        accounts = {
            name: ClientAccount(
                name=name, key_hashes=(hash_key(account_key(name), salt=salt),)
            )
            for name in names
        }
        return attrs.evolve(
            self, configuration=attrs.evolve(self.configuration, accounts=accounts)
        )

    def text(self) -> str:
        """Return the configuration as JSON text."""
        converter = cattrs.Converter()
        converter.register_unstructure_hook(KeyHash, format_key_hash)
        configuration = self.configuration
        parts = {
            "accounts": _documents_by_name(converter, configuration.accounts),
            "pools": _documents_by_name(converter, configuration.pools),
            "services": _documents_by_name(converter, configuration.services),
        }
        for pool in parts["pools"].values():
            pool["targets"] = {each.pop("name"): each for each in pool["targets"]}
        return json.dumps(parts, indent=1)


def _documents_by_name(
    converter: cattrs.Converter, parts: Mapping[str, Any]
) -> dict[str, dict[str, Any]]:
    documents = {}
    for name, part in parts.items():
        documents[name] = converter.unstructure(part)
        del documents[name]["name"]
    return documents

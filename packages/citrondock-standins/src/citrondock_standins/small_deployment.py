"""Small router configuration for a fleet of stand-ins."""

import json
import time
from collections.abc import Callable, Iterable, Mapping

from citrondock_core.account_keys import format_key_hash, hash_key
from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditRequest,
)
from citrondock_core.object_store import ObjectStore
from citrondock_standins.fleet import Fleet, FleetTarget

ACCOUNTS = ("alice", "bob")
_SALT = bytes(16)


def account_api_key(account: str) -> str:
    """Return the API key of an account in the small configuration."""
    return f"{account}.key"


def small_configuration_text(fleet: Fleet, *, max_in_flight: int = 8) -> str:
    """Return a configuration with two accounts and services for all targets."""
    accounts = {
        name: {
            "key_hashes": [format_key_hash(hash_key(account_api_key(name), salt=_SALT))]
        }
        for name in ACCOUNTS
    }
    pools: dict[str, Mapping[str, object]] = {}
    services: dict[str, Mapping[str, object]] = {}
    if fleet.engines:
        pools["engines"] = _pool("engine", fleet.engines, max_in_flight)
        services["chat"] = {"kind": "chat", "pool": "engines", "model": "small"}
    if fleet.applications:
        pools["archive"] = _pool("application", fleet.applications, max_in_flight)
        services["works"] = {"kind": "plain", "pool": "archive", "path": "/works"}
        services["bookings"] = {
            "kind": "plain",
            "pool": "archive",
            "path": "/bookings",
            "idempotent": False,
        }
    return json.dumps({"accounts": accounts, "pools": pools, "services": services})


def configuration_publisher(
    *, max_in_flight: int = 8, edit_id: str = "first"
) -> Callable[[ObjectStore, Fleet], None]:
    """Return a function that commits the small configuration as first revision."""

    def publish(store: ObjectStore, fleet: Fleet) -> None:
        request = EditRequest(
            edit_id=edit_id,
            author="fleet",
            reason="start",
            base_revision=0,
            text=small_configuration_text(fleet, max_in_flight=max_in_flight).encode(),
            file="small",
            now_epoch_s=time.time(),
        )
        ConfigurationRepository(store, pause=time.sleep).commit(request)

    return publish


def _pool(
    kind: str, targets: Iterable[FleetTarget], max_in_flight: int
) -> Mapping[str, object]:
    target_entries = {
        each.target.name: {
            "availability_zone": each.target.availability_zone,
            "host": each.target.host,
            "port": each.target.port,
            "max_in_flight": max_in_flight,
        }
        for each in targets
    }
    return {"kind": kind, "targets": target_entries}

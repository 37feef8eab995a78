"""The fleet's configuration: client accounts, pools of targets, and services."""

import enum
from collections.abc import Mapping

import attrs
from attrs.validators import ge, gt

DEFAULT_MAX_WAITING_REQUESTS = 200
DEFAULT_MAX_WAITING_BYTES = 16_000_000
DEFAULT_MAX_IN_FLIGHT = 16
DEFAULT_SERVICE_TIMEOUT_S = 60.0


class PoolKind(enum.Enum):
    """What the targets of a pool are."""

    ENGINE = "engine"
    APPLICATION = "application"


class ServiceKind(enum.Enum):
    """Protocol of the requests to a service."""

    CHAT = "chat"
    PLAIN = "plain"


@attrs.frozen(kw_only=True)
class KeyHash:
    """The salted SHA-256 hash of an account key, salt and digest in hexadecimal."""

    salt: str
    digest: str


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A customer with a share of the fleet's capacity.

    Parameters
    ----------
    name : str
        Unique name.
    weight : float
        Share of the capacity relative to other accounts.
    key_hashes : tuple of KeyHash
        Hashes of the keys that identify the account; several while a key is
        being rotated.
    max_waiting_requests : int
        Cap per router on requests waiting for a target.
    max_waiting_bytes : int
        Cap per router on the total size of the bodies of waiting requests.
    """

    name: str
    weight: float = attrs.field(default=1.0, validator=gt(0))
    key_hashes: tuple[KeyHash, ...] = ()
    max_waiting_requests: int = attrs.field(
        default=DEFAULT_MAX_WAITING_REQUESTS, validator=ge(1)
    )
    max_waiting_bytes: int = attrs.field(
        default=DEFAULT_MAX_WAITING_BYTES, validator=ge(1)
    )


@attrs.frozen(kw_only=True)
class Target:
    """A back end that requests are sent to.

    Parameters
    ----------
    name : str
        Unique name.
    availability_zone : str
        Zone in which it runs.
    host : str
        IP address.
    port : int
        TCP port of its HTTP service.
    max_in_flight : int
        Most requests in flight at once; the learned concurrency limit never
        exceeds it.
    draining : bool
        Whether the operators have excluded it from new requests.
    """

    name: str
    availability_zone: str
    host: str
    port: int = attrs.field(validator=[ge(1)])
    max_in_flight: int = attrs.field(default=DEFAULT_MAX_IN_FLIGHT, validator=ge(1))
    draining: bool = False


@attrs.frozen(kw_only=True)
class Pool:
    """Interchangeable targets: any of them can serve a request to the pool.

    Parameters
    ----------
    name : str
        Unique name.
    kind : PoolKind
        Model engines or plain application targets.
    targets : tuple of Target
        Members.
    checks_fencing : bool
        Whether the targets reject orders that carry an old fencing token.
    model : str
        Model that the engines are to load; empty for application pools.
    adapters : tuple of str
        Adapters that the engines are to load.
    model_version : str
        Version of the model that the engines are to load.
    role : str
        Role in which the engines are to serve; empty lets each engine choose.
    """

    name: str
    kind: PoolKind = PoolKind.ENGINE
    targets: tuple[Target, ...] = ()
    checks_fencing: bool = True
    model: str = ""
    adapters: tuple[str, ...] = ()
    model_version: str = ""
    role: str = ""


@attrs.frozen(kw_only=True)
class Service:
    """A service that clients call, and the pool that serves it.

    Parameters
    ----------
    name : str
        Unique name.
    kind : ServiceKind
        Chat completions or plain HTTP calls.
    pool : str
        Name of the pool that serves it.
    path : str
        Path prefix of its plain calls, for example ``"/bookings"``.
    model : str
        Model name by which chat requests select it.
    depends_on : tuple of str
        Names of the services that it depends on.
    idempotent : bool
        Whether a call may be retried after it may have run.
    timeout_s : float
        Timeout of a call in seconds, counted from its arrival.
    """

    name: str
    kind: ServiceKind
    pool: str
    path: str = ""
    model: str = ""
    depends_on: tuple[str, ...] = ()
    idempotent: bool = True
    timeout_s: float = attrs.field(default=DEFAULT_SERVICE_TIMEOUT_S, validator=gt(0))


@attrs.frozen(kw_only=True)
class Configuration:
    """One accepted revision of the configuration.

    Parameters
    ----------
    revision : int
        Number that grows by one with each accepted edit; 0 means that there is
        no configuration yet.
    edit_id : str
        Identifies the edit that made this revision.
    accounts, pools, services : mapping of str
        Client accounts, pools and services, each by name.
    """

    revision: int = 0
    edit_id: str = ""
    accounts: Mapping[str, ClientAccount] = attrs.field(factory=dict)
    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)

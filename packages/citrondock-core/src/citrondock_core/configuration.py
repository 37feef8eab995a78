"""The configuration in force: client accounts, pools of targets and services."""

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
    """How calls of a service are shaped."""

    CHAT = "chat"
    PLAIN = "plain"


@attrs.frozen(kw_only=True)
class KeyHash:
    """A salted SHA-256 of an account key, both parts in hexadecimal."""

    salt: str
    digest: str


@attrs.frozen(kw_only=True)
class ClientAccount:
    """A customer that shares capacity.

    Parameters
    ----------
    name : str
        Unique name.
    weight : float
        Share relative to other accounts.
    key_hashes : tuple of KeyHash
        Keys that identify the account; several during a key's replacement.
    max_waiting_requests : int
        Cap per router on requests waiting for a target.
    max_waiting_bytes : int
        Cap per router on the bodies of waiting requests.
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
        Zone it stands in.
    host : str
        IP number.
    port : int
        Port of its HTTP service.
    max_in_flight : int
        Most requests it is ever sent at once; the learned limit stays below.
    draining : bool
        Whether the operators want no new work on it.
    """

    name: str
    availability_zone: str
    host: str
    port: int = attrs.field(validator=[ge(1)])
    max_in_flight: int = attrs.field(default=DEFAULT_MAX_IN_FLIGHT, validator=ge(1))
    draining: bool = False


@attrs.frozen(kw_only=True)
class Pool:
    """Targets that can take each other's work.

    Parameters
    ----------
    name : str
        Unique name.
    kind : PoolKind
        Model engines or plain application targets.
    targets : tuple of Target
        Members.
    checks_fencing : bool
        Whether the targets refuse an order with an old fencing number.
    model : str
        Model that the operators want loaded; empty for application pools.
    adapters : tuple of str
        Adapters that the operators want loaded.
    model_version : str
        Version of the model that the operators want.
    role : str
        Role in which the engines are to serve; empty leaves it to them.
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
    """What callers ask for, and the pool that runs it.

    Parameters
    ----------
    name : str
        Unique name.
    kind : ServiceKind
        Chat completions or plain routed calls.
    pool : str
        Pool that runs it.
    path : str
        Path prefix of plain calls, for example ``"/bookings"``.
    model : str
        Model name by which chat callers choose it.
    depends_on : tuple of str
        Services that it needs.
    idempotent : bool
        Whether a call may be repeated.
    timeout_s : float
        Longest time a call may take from its arrival.
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
    """One accepted revision.

    Parameters
    ----------
    revision : int
        Grows by one with each accepted edit; 0 is no configuration.
    edit_id : str
        Identifies the edit that made this revision.
    accounts, pools, services : mapping of str
        Parts by name.
    """

    revision: int = 0
    edit_id: str = ""
    accounts: Mapping[str, ClientAccount] = attrs.field(factory=dict)
    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)

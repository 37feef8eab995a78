"""Settings of one router, read from a file and checked."""

import os
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
from attrs.validators import ge, gt, in_, le

from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.faults import (
    Location,
    MissingFileFault,
    SettingsError,
    raise_faults,
)
from citrondock_core.located_json import LocatedValue, ValueKind, parse_json
from citrondock_core.overrides import apply_override
from citrondock_core.structuring import structure

MAX_PORT = 65_535
MIN_KEY_BYTES = 8
POLICIES = ("fair", "fifo", "local_fair", "round_robin")
LOG_LEVELS = ("TRACE", "DEBUG", "INFO", "WARNING", "ERROR")
USAGE_EXIT_CODE = 2
"""Exit code of the process if its settings are invalid."""

_DISPATCH = DispatchOptions()

HELP = "help"
"""Key of a field's help text in the metadata of the field."""


def _setting(help_text: str, *validators: Any, default: Any = attrs.NOTHING) -> Any:
    # A help text that begins with "Secret" keeps the value out of the repr.
    return attrs.field(
        default=default,
        validator=list(validators) or None,
        metadata={HELP: help_text},
        repr=not help_text.startswith("Secret"),
    )


def _readable_file(_instance: object, _field: Any, value: str) -> None:
    if value and not os.access(value, os.R_OK):
        raise FileNotFoundError(f"the file {value!r} cannot be read")


def _not_empty(_instance: object, _field: Any, value: str) -> None:
    if not value.strip():
        raise ValueError("is empty; give a value")


def _http_url(_instance: object, _field: Any, value: str) -> None:
    if not value.startswith(("http://", "https://")):
        raise ValueError(f"{value!r} is not a URL; write http://HOST:PORT")


def _port(default: int = 0) -> Any:
    return _setting(
        "Port to listen on; 0 picks a free port.", ge(0), le(MAX_PORT), default=default
    )


def _host() -> Any:
    return _setting("IP address to listen on.", _not_empty, default="127.0.0.1")


def _optional_file(help_text: str) -> Any:
    return _setting(help_text, _readable_file, default="")


def _seconds(help_text: str, default: float) -> Any:
    return _setting(help_text, gt(0), default=default)


def _at_least_one(help_text: str, default: int) -> Any:
    return _setting(help_text, ge(1), default=default)


def _check_tls_pair(certificate_path: str, key_path: str) -> None:
    if bool(certificate_path) != bool(key_path):
        raise ValueError(
            "has only one of tls_certificate_path and tls_key_path; give both or none"
        )


@attrs.frozen(kw_only=True)
class VmSettings:
    """VM on which this router runs."""

    name: str = _setting("Name of its VM, unique in the deployment.", _not_empty)
    availability_zone: str = _setting("Availability zone of its VM.", _not_empty)


@attrs.frozen(kw_only=True)
class CallerSettings:
    """Port for callers, with its limits and timeouts."""

    host: str = _host()
    port: int = _port()
    tls_certificate_path: str = _optional_file("Certificate chain; empty is no TLS.")
    tls_key_path: str = _optional_file("Private key of the certificate.")
    max_head_bytes: int = _at_least_one(
        "Longest request line and headers together.", 32_768
    )
    max_body_bytes: int = _at_least_one("Longest request body.", 8_000_000)
    head_timeout_s: float = _seconds(
        "Timeout for receiving a whole request head.", 10.0
    )
    body_timeout_s: float = _seconds(
        "Timeout for receiving a whole request body.", 30.0
    )
    idle_timeout_s: float = _seconds("Timeout of a connection without requests.", 60.0)
    max_connections: int = _at_least_one("Most simultaneous connections.", 2_000)
    worker_count: int = _at_least_one(
        "Worker threads that parse and admit requests.", 16
    )

    def __attrs_post_init__(self) -> None:
        _check_tls_pair(self.tls_certificate_path, self.tls_key_path)


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Port for health, metrics, status and explanations; not for callers."""

    host: str = _host()
    port: int = _port()
    worker_count: int = _at_least_one(
        "Worker threads that handle requests of operators.", 4
    )


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Port for other routers, and the keys and certificates that authenticate them."""

    host: str = _host()
    port: int = _port()
    shared_key: str = _setting("Secret key that all routers share.", default="")
    shared_key_path: str = _optional_file(
        "File that holds the secret key, instead of shared_key."
    )
    further_shared_key_path: str = _optional_file(
        "File with a second secret key to accept while the key is being replaced."
    )
    tls_certificate_path: str = _optional_file("Certificate chain; empty is no TLS.")
    tls_key_path: str = _optional_file("Private key of the certificate.")
    tls_ca_path: str = _optional_file(
        "Certificates of the authorities that sign the peers' certificates."
    )
    heartbeat_period_s: float = _seconds("Time between two heartbeats to a peer.", 1.5)
    call_timeout_s: float = _seconds("Timeout of one call to a peer.", 1.0)

    def __attrs_post_init__(self) -> None:
        _check_tls_pair(self.tls_certificate_path, self.tls_key_path)
        if bool(self.shared_key) == bool(self.shared_key_path):
            raise ValueError(
                "needs exactly one key; give shared_key or shared_key_path"
            )
        keys = (self.key_bytes(), *self.further_keys())
        if min(len(key) for key in keys) < MIN_KEY_BYTES:
            raise ValueError(
                f"has a key that is too short; use at least {MIN_KEY_BYTES} characters"
            )

    def key_bytes(self) -> bytes:
        """Return the shared key, from its file if one is configured."""
        if self.shared_key_path:
            return Path(self.shared_key_path).read_bytes().strip()
        return self.shared_key.encode()

    def further_keys(self) -> tuple[bytes, ...]:
        """Return the further keys to accept, from their file if one is configured."""
        if not self.further_shared_key_path:
            return ()
        return (Path(self.further_shared_key_path).read_bytes().strip(),)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The platform's object store and VM list."""

    object_store_url: str = _setting("URL of the object store.", _http_url)
    vm_directory_url: str = _setting("URL of the VM list.", _http_url)
    call_timeout_s: float = _seconds("Timeout of one call.", 2.0)
    vm_poll_period_s: float = _seconds("Time between two reads of the VM list.", 1.0)
    watch_wait_s: float = _seconds("Longest wait of a configuration watch.", 7.0)
    max_backoff_s: float = _seconds(
        "Longest pause before a failed call is retried.", 5.0
    )


@attrs.frozen(kw_only=True)
class DispatchSettings:
    """How waiting requests are assigned to targets."""

    policy: str = _setting(
        "Policy that orders waiting requests.", in_(POLICIES), default="fair"
    )
    band_tokens: float = _setting(
        "Lead in service a local account may have before slots are lent to peers.",
        ge(0),
        default=_DISPATCH.band_tokens,
    )
    exchange_period_s: float = _seconds(
        "Shortest time between two summaries to peers.", _DISPATCH.exchange_period_s
    )
    grant_ttl_s: float = _seconds(
        "Time in which requests may be started on a lent slot.", _DISPATCH.grant_ttl_s
    )
    prompt_token_weight: float = _setting(
        "Service charged for a prompt token; a generated token costs 1.",
        ge(0),
        default=_DISPATCH.prompt_token_weight,
    )
    slot_second_tokens: float = _setting(
        "Service charged for a second on a slot of a plain service.",
        gt(0),
        default=_DISPATCH.slot_second_tokens,
    )
    step_period_s: float = _seconds("Longest time between two dispatch steps.", 0.05)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on the memory and time that one router spends on requests."""

    max_waiting_requests: int = _at_least_one("Most waiting requests.", 5_000)
    max_waiting_bytes: int = _at_least_one(
        "Most bytes of all waiting requests.", 64_000_000
    )
    slow_reader_timeout_s: float = _seconds(
        "Time after which a caller that reads nothing of its response is cut off.", 10.0
    )


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Claims, which prevent calls with an idempotency key from running twice."""

    window_s: float = _seconds("Time for which the outcome of a call is kept.", 3_600.0)
    lease_s: float = _seconds(
        "Time after a claim within which the call must be sent.", 10.0
    )
    margin_s: float = _seconds("Last part of lease_s in which no send may start.", 1.0)
    shard_count: int = _at_least_one(
        "Store objects over which claims are spread; equal at all routers.", 4_096
    )

    def __attrs_post_init__(self) -> None:
        if self.margin_s >= self.lease_s:
            raise ValueError("has margin_s >= lease_s; make lease_s longer")


@attrs.frozen(kw_only=True)
class ShutdownSettings:
    """How the router stops."""

    drain_grace_s: float = _seconds(
        "Time for the load balancer to notice a stop; callers are still accepted.", 5.0
    )
    deadline_s: float = _seconds(
        "Longest time for which running requests may go on.", 120.0
    )


@attrs.frozen(kw_only=True)
class LogSettings:
    """What is logged."""

    level: str = _setting(
        "Lowest severity that is logged.", in_(LOG_LEVELS), default="INFO"
    )


@attrs.frozen(kw_only=True)
class RouterSettings:
    """All settings of one router.

    Parameters
    ----------
    vm, callers, operators, peers, platform, dispatch, limits, claims, shutdown, log
        Sections; each field has a help text, and the suffix of its name is the unit.
    """

    vm: VmSettings
    peers: PeerSettings
    platform: PlatformSettings
    callers: CallerSettings = attrs.field(factory=CallerSettings)
    operators: OperatorSettings = attrs.field(factory=OperatorSettings)
    dispatch: DispatchSettings = attrs.field(factory=DispatchSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    claims: ClaimSettings = attrs.field(factory=ClaimSettings)
    shutdown: ShutdownSettings = attrs.field(factory=ShutdownSettings)
    log: LogSettings = attrs.field(factory=LogSettings)


def load_settings(path: str, overrides: Sequence[str] = ()) -> RouterSettings:
    """Read and check settings from a file.

    Parameters
    ----------
    path : str
        Settings file, JSON with comments.
    overrides : sequence of str
        Values that replace those of the file, for example ``"callers.port=8080"``.

    Raises
    ------
    SettingsError
        All faults of the file and the overrides.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        fault = MissingFileFault(
            f"cannot be read: {error.strerror}",
            location=Location(path),
            remedy="name a settings file with --settings=FILE",
        )
        raise SettingsError(f"no settings in {path!r}", [fault]) from error
    parsed = parse_json(text, file=path)
    if parsed.root is None:
        raise_faults(parsed.faults, file=path)
    faults = list(parsed.faults)
    document = parsed.root or LocatedValue(ValueKind.OBJECT, Location(path))
    for override in overrides:
        document = apply_override(document, RouterSettings, override, faults)
    try:
        settings = structure(document, RouterSettings)
    except SettingsError as error:
        faults.extend(error.exceptions)  # type: ignore[arg-type]
    raise_faults(faults, file=path)
    return settings

"""Settings of one router, read from a file."""

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
"""Exit code of a process whose settings have faults."""

_DISPATCH = DispatchOptions()

HELP = "help"
"""Metadata key of a field under which its help text stands."""


def _setting(help_text: str, *validators: Any, default: Any = attrs.NOTHING) -> Any:
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
        raise ValueError("is empty; write a name")


def _http_url(_instance: object, _field: Any, value: str) -> None:
    if not value.startswith(("http://", "https://")):
        raise ValueError(f"{value!r} is not a URL; write http://HOST:PORT")


def _port(default: int = 0) -> Any:
    return _setting(
        "Port to listen on; 0 takes a free one.", ge(0), le(MAX_PORT), default=default
    )


def _host() -> Any:
    return _setting("IP number to listen on.", _not_empty, default="127.0.0.1")


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
    """Who this router is."""

    name: str = _setting("Name of its VM, unique in the deployment.", _not_empty)
    availability_zone: str = _setting("Zone its VM stands in.", _not_empty)


@attrs.frozen(kw_only=True)
class CallerSettings:
    """Port for callers and the limits on what they send."""

    host: str = _host()
    port: int = _port()
    tls_certificate_path: str = _optional_file("Certificate chain; empty is no TLS.")
    tls_key_path: str = _optional_file("Private key of the certificate.")
    max_head_bytes: int = _at_least_one("Largest request head.", 32_768)
    max_body_bytes: int = _at_least_one("Largest request body.", 8_000_000)
    head_timeout_s: float = _seconds("Longest time for a whole request head.", 10.0)
    body_timeout_s: float = _seconds("Longest time for a whole request body.", 30.0)
    idle_timeout_s: float = _seconds("Longest time between requests.", 60.0)
    max_connections: int = _at_least_one("Most connections at once.", 2_000)
    worker_count: int = _at_least_one("Threads that read request heads.", 16)

    def __attrs_post_init__(self) -> None:
        _check_tls_pair(self.tls_certificate_path, self.tls_key_path)


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Port for health, metrics, status and explanations; callers never reach it."""

    host: str = _host()
    port: int = _port()
    worker_count: int = _at_least_one("Threads that answer operators.", 4)


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Port for other routers, and how routers trust each other."""

    host: str = _host()
    port: int = _port()
    shared_key: str = _setting("Secret that all routers share.", default="")
    shared_key_path: str = _optional_file("File that holds the secret instead.")
    further_shared_key_path: str = _optional_file(
        "File that holds a secret to accept too, while the secret is replaced."
    )
    tls_certificate_path: str = _optional_file("Certificate chain; empty is no TLS.")
    tls_key_path: str = _optional_file("Private key of the certificate.")
    tls_ca_path: str = _optional_file("Authorities that sign the peers' certificates.")
    heartbeat_period_s: float = _seconds("Time between two heartbeats.", 1.5)
    call_timeout_s: float = _seconds("Longest time for one call to a peer.", 1.0)

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
        """Return the shared key, read from its file where one is named."""
        if self.shared_key_path:
            return Path(self.shared_key_path).read_bytes().strip()
        return self.shared_key.encode()

    def further_keys(self) -> tuple[bytes, ...]:
        """Return the keys that are accepted besides, read from their file."""
        if not self.further_shared_key_path:
            return ()
        return (Path(self.further_shared_key_path).read_bytes().strip(),)


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The platform's object API and VM list."""

    object_store_url: str = _setting("Object API.", _http_url)
    vm_directory_url: str = _setting("VM list.", _http_url)
    call_timeout_s: float = _seconds("Longest time for one call.", 2.0)
    vm_poll_period_s: float = _seconds("Time between two reads of the VM list.", 1.0)
    watch_wait_s: float = _seconds("Longest wait of a configuration watch.", 7.0)
    max_backoff_s: float = _seconds("Longest pause between two failed calls.", 5.0)


@attrs.frozen(kw_only=True)
class DispatchSettings:
    """Which waiting request goes to which target."""

    policy: str = _setting("Order of dispatch.", in_(POLICIES), default="fair")
    band_tokens: float = _setting(
        "Lead in service at which an account still goes first locally.",
        ge(0),
        default=_DISPATCH.band_tokens,
    )
    exchange_period_s: float = _seconds(
        "Shortest time between two summaries.", _DISPATCH.exchange_period_s
    )
    grant_ttl_s: float = _seconds(
        "Time in which a lent slot must be used.", _DISPATCH.grant_ttl_s
    )
    prompt_token_weight: float = _setting(
        "Service charged for a prompt token; a generated one costs 1.",
        ge(0),
        default=_DISPATCH.prompt_token_weight,
    )
    slot_second_tokens: float = _setting(
        "Service charged for a second of a plain call.",
        gt(0),
        default=_DISPATCH.slot_second_tokens,
    )
    step_period_s: float = _seconds("Longest time between two dispatch steps.", 0.05)


@attrs.frozen(kw_only=True)
class LimitSettings:
    """Limits on what one router holds."""

    max_waiting_requests: int = _at_least_one("Most waiting requests.", 5_000)
    max_waiting_bytes: int = _at_least_one(
        "Most bytes of waiting requests.", 64_000_000
    )
    slow_reader_timeout_s: float = _seconds(
        "Longest time in which a caller reads nothing of its answer.", 10.0
    )


@attrs.frozen(kw_only=True)
class ClaimSettings:
    """Claims that keep keyed calls from running twice."""

    window_s: float = _seconds("Time for which an outcome is kept.", 3_600.0)
    lease_s: float = _seconds("Time in which a claimed call must be sent.", 10.0)
    margin_s: float = _seconds("Time before its end at which no send starts.", 1.0)
    shard_count: int = _at_least_one("Store objects that hold the claims.", 4_096)

    def __attrs_post_init__(self) -> None:
        if self.margin_s >= self.lease_s:
            raise ValueError("has margin_s >= lease_s; make lease_s longer")


@attrs.frozen(kw_only=True)
class ShutdownSettings:
    """How the router leaves."""

    drain_grace_s: float = _seconds(
        "Time in which the balancer learns that it is not ready.", 5.0
    )
    deadline_s: float = _seconds("Longest time for running requests.", 120.0)


@attrs.frozen(kw_only=True)
class LogSettings:
    """What is logged."""

    level: str = _setting("Least severe level.", in_(LOG_LEVELS), default="INFO")


@attrs.frozen(kw_only=True)
class RouterSettings:
    """All settings of one router.

    Parameters
    ----------
    vm, callers, operators, peers, platform, dispatch, limits, claims, shutdown, log
        Sections; the help text of each field says what it does, and the suffix of
        its name gives the unit.
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
    """Read settings from a file.

    Parameters
    ----------
    path : str
        File of JSON with comments.
    overrides : sequence of str
        Values that go before those of the file, as ``"callers.port=8080"``.

    Raises
    ------
    SettingsError
        All faults at once.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        fault = MissingFileFault(
            f"cannot be read: {error.strerror}",
            location=Location(path),
            remedy="name a settings file with --settings=FILE",
        )
        raise SettingsError("no settings", [fault]) from error
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

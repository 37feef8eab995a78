"""Configuration of routes, of the services behind them and of client limits."""

import enum
import math
import reprlib
from collections.abc import Mapping
from typing import Any

import attrs
import xxhash
from attrs.validators import ge, min_len

from citrondock_core.routing.warm_up import WarmUpOptions

_HASH_RANGE = 1 << 64


def _is_text(_instance: object, attribute: "attrs.Attribute[Any]", value: Any) -> None:
    if not isinstance(value, str) or not value or not value.isprintable():
        raise ValueError(f"{attribute.name} is {reprlib.repr(value)}, not a text")


def _has_texts(
    instance: object,
    attribute: "attrs.Attribute[Any]",
    value: Mapping[Any, Any] | None,
) -> None:
    for key, text in (value or {}).items():
        _is_text(instance, attribute, key)
        _is_text(instance, attribute, text)


def _is_positive(
    _instance: object, attribute: "attrs.Attribute[Any]", value: float
) -> None:
    if not 0 < value < math.inf:
        raise ValueError(f"{attribute.name} is {value!r}, not a number above 0")


def _is_share(
    _instance: object, attribute: "attrs.Attribute[Any]", value: float
) -> None:
    if not 0 <= value < math.inf:
        raise ValueError(f"{attribute.name} is {value!r}, not a number from 0")


class RouteKind(enum.Enum):
    """Whether a route's responses are streams, and which requests may run again."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether responses are streams of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def may_run_again(self) -> bool:
        """Whether a request that a target may have executed may be sent again."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE_STREAM)


@attrs.frozen
class ServiceShare:
    """Relative share of a route's requests that goes to one service."""

    service: str = attrs.field(validator=_is_text)
    weight: float = attrs.field(validator=_is_share)


@attrs.frozen(kw_only=True)
class Route:
    """Where requests for one host and path prefix go, and under which limits.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host in lower case, without a port.
    path_prefix : str
        Prefix of the path; begins and ends with a slash.
    kind : RouteKind
        Kind of the responses, and which requests may run again.
    shares : tuple of ServiceShare
        Services that the requests are split between.
    timeout_s : float
        Longest time from a request's arrival to the end of its response.
    first_answer_target_s : float
        Longest time to the first bytes of the response of a request on time.
    max_pause_s : float
        Longest pause between two events of a stream that is on time.
    max_attempts : int
        Most targets that one request is sent to.
    is_public : bool
        Whether requests need no account key.
    """

    name: str = attrs.field(validator=_is_text)
    host: str = attrs.field(validator=_is_text)
    path_prefix: str = attrs.field(validator=_is_text)
    kind: RouteKind
    shares: tuple[ServiceShare, ...] = attrs.field(validator=min_len(1))
    timeout_s: float = attrs.field(validator=_is_positive)
    first_answer_target_s: float = attrs.field(validator=_is_positive)
    max_pause_s: float = attrs.field(validator=_is_positive)
    max_attempts: int = attrs.field(validator=ge(1))
    is_public: bool

    def __attrs_post_init__(self) -> None:
        if not any(share.weight for share in self.shares):
            raise ValueError(f"route {self.name} has no service with a share above 0")

    def service_for(self, request_id: str) -> str:
        """Return the service for a request id, the same on every router."""
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = xxhash.xxh64_intdigest(request_id.encode()) / _HASH_RANGE * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return max(self.shares, key=lambda share: share.weight).service


@attrs.frozen(kw_only=True)
class ModelEngineOptions:
    """Capacity of each model engine of a service.

    Parameters
    ----------
    max_batch_size : int
        Most requests that an engine runs at once.
    memory_tokens : int
        Tokens that an engine's KV cache holds.
    """

    max_batch_size: int
    memory_tokens: int


@attrs.frozen(kw_only=True)
class ServiceOptions:
    """Options of one service.

    Parameters
    ----------
    name : str
        Unique name.
    engine : ModelEngineOptions or None
        Capacity of its engines; None if its targets are no model engines.
    warm_up : WarmUpOptions or None
        What its targets bear while they are cold; None if they start warm.
    """

    name: str = attrs.field(validator=_is_text)
    engine: ModelEngineOptions | None = None
    warm_up: WarmUpOptions | None = None


@attrs.frozen(kw_only=True)
class ClientLimits:
    """Limits of client connections and requests.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest request head and body.
    header_timeout_s : float
        Longest time from the first byte of a request head to its end.
    idle_timeout_s : float
        Time after which an idle connection is closed.
    """

    max_header_bytes: int = attrs.field(validator=ge(1))
    max_body_bytes: int = attrs.field(validator=ge(0))
    header_timeout_s: float = attrs.field(validator=_is_positive)
    idle_timeout_s: float = attrs.field(validator=_is_positive)


@attrs.frozen(kw_only=True)
class RoutingConfiguration:
    """Configuration of routes, services, client limits and account keys.

    Parameters
    ----------
    version : int
        Version number; only a higher one replaces an active configuration.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceOptions
        Services by name.
    limits : ClientLimits
        Limits of client connections.
    account_by_key : mapping of str to str, or None
        Account names by key; None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceOptions]
    limits: ClientLimits
    account_by_key: Mapping[str, str] | None = attrs.field(validator=_has_texts)

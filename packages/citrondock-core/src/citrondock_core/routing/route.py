"""Configuration of routes, of the services behind them and of client limits."""

import enum
from collections.abc import Mapping

import attrs
import xxhash

_HASH_RANGE = 1 << 64


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

    service: str
    weight: float


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

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    first_answer_target_s: float
    max_pause_s: float
    max_attempts: int
    is_public: bool

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
    """

    name: str
    engine: ModelEngineOptions | None = None


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

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


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
    account_by_key: Mapping[str, str] | None

"""Routes, the services behind them and the configuration that holds both."""

import enum
from collections.abc import Mapping

import attrs
import xxhash

_HASH_RANGE = 1 << 64


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    RESUMABLE_STREAM = "resumable_stream"

    @property
    def is_stream(self) -> bool:
        """Whether answers are streams of events."""
        return self in (RouteKind.STREAM, RouteKind.RESUMABLE_STREAM)

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        return self in (RouteKind.IDEMPOTENT, RouteKind.RESUMABLE_STREAM)


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host below one path.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host in lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    shares : tuple of ServiceShare
        Services that take the requests.
    timeout_s : float
        Longest time that a request is kept.
    first_answer_target_s : float
        Time within which an answer, or its first event, is on time.
    max_pause_s : float
        Longest pause between two events of an answer that is on time.
    max_attempts : int
        Most targets that one request is sent to.
    is_public : bool
        Whether no account key is needed.
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
        """Return the service of a request; the same on every router."""
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
    """Size of the model engines of a service.

    Parameters
    ----------
    max_batch_size : int
        Requests that an engine runs at once.
    memory_tokens : int
        Tokens that an engine's KV cache holds.
    """

    max_batch_size: int
    memory_tokens: int


@attrs.frozen(kw_only=True)
class ServiceOptions:
    """One service.

    Parameters
    ----------
    name : str
        Unique name.
    engine : ModelEngineOptions or None
        Present for services of model engines.
    """

    name: str
    engine: ModelEngineOptions | None = None


@attrs.frozen(kw_only=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and body.
    header_timeout_s : float
        Longest time from the first byte of a head to its end.
    idle_timeout_s : float
        Time after which an unused connection is closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen(kw_only=True)
class RoutingConfiguration:
    """Everything that decides where a request may go.

    Parameters
    ----------
    version : int
        Grows with each accepted configuration.
    routes : tuple of Route
        All routes.
    services : mapping of str to ServiceOptions
        Services by name.
    limits : ClientLimits
        Limits of client connections.
    account_by_key : mapping of str to str, or None
        Account names by key; None when requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceOptions]
    limits: ClientLimits
    account_by_key: Mapping[str, str] | None

"""The plan of a load run: endpoints, accounts and requests, read from a JSON file."""

import json
import math
import random
from collections.abc import Sequence
from pathlib import Path

import attrs
import cattrs
from attrs.validators import ge, gt, optional
from cattrs.errors import ClassValidationError

from citrondock_core.configuration import ServiceKind
from citrondock_core.errors import CitrondockError

EVEN_PLACEMENT = "even"
DEFAULT_DURATION_S = 10.0
DEFAULT_DRAIN_S = 10.0
DEFAULT_CALL_TIMEOUT_S = 60.0
DEFAULT_PROMPT_TOKEN_WEIGHT = 0.25


class PlanError(CitrondockError):
    """A load plan is invalid or can't be read."""


@attrs.frozen(kw_only=True)
class TokenDistribution:
    """Log-normal distribution of token counts; with ``sigma`` 0 all are the median.

    Parameters
    ----------
    median_tokens : int
        Median of the distribution.
    sigma : float
        Standard deviation of the logarithm; the tail is heavy above 1.
    max_tokens : int
        Upper limit, applied to each draw.
    """

    median_tokens: int = attrs.field(validator=ge(1))
    sigma: float = attrs.field(default=0.0, validator=ge(0))
    max_tokens: int = attrs.field(default=100_000, validator=ge(1))

    def draw(self, rng: random.Random) -> int:
        """Return one token count, at least 1."""
        factor = math.exp(rng.gauss(0.0, self.sigma)) if self.sigma else 1.0
        return max(1, min(self.max_tokens, round(self.median_tokens * factor)))


@attrs.frozen(kw_only=True)
class RequestShape:
    """One kind of request.

    Parameters
    ----------
    name : str
        Unique name.
    kind : ServiceKind
        Whether it is a chat completion or a plain call.
    model : str
        Model of a chat completion.
    path : str
        Path of a plain call.
    method : str
        Method of a plain call.
    stream : bool
        Whether a chat answer is streamed.
    prompt_tokens, generated_tokens : TokenDistribution
        Token counts of a chat completion.
    hint_factor : float or None
        The cost hint of a request is its true cost multiplied or divided by at most
        this factor; 1 gives exact hints and None sends no hints.
    prefix_count : int
        Number of shared prefixes that prompts begin with; 0 is no shared prefix.
    idempotency_keys : bool
        Whether each call has its own idempotency key.
    deadline_ms : int or None
        Deadline that is sent with each request.
    send_bytes_per_s, read_bytes_per_s : int or None
        Limit for a slow sender or a slow reader; None is no limit.
    """

    name: str
    kind: ServiceKind = ServiceKind.CHAT
    model: str = ""
    path: str = ""
    method: str = "POST"
    stream: bool = True
    prompt_tokens: TokenDistribution = TokenDistribution(median_tokens=50)
    generated_tokens: TokenDistribution = TokenDistribution(median_tokens=50)
    hint_factor: float | None = attrs.field(default=None, validator=optional(ge(1)))
    prefix_count: int = attrs.field(default=0, validator=ge(0))
    idempotency_keys: bool = False
    deadline_ms: int | None = attrs.field(default=None, validator=optional(ge(1)))
    send_bytes_per_s: int | None = attrs.field(default=None, validator=optional(ge(1)))
    read_bytes_per_s: int | None = attrs.field(default=None, validator=optional(ge(1)))


@attrs.frozen(kw_only=True)
class AccountLoad:
    """Requests that one client account sends.

    Parameters
    ----------
    name, key : str
        Name of the account and its API key.
    weight : float
        Weight of the account in the configuration, for the fairness gap.
    rate_per_s : float
        Mean rate of open-loop Poisson arrivals.
    backlog_count : int
        Number of requests that the account keeps outstanding (closed loop).
    placement : str
        Name of the endpoint or availability zone that gets all its requests, or
        ``"even"`` for all endpoints.
    shapes : sequence of str
        Names of its request shapes, drawn with equal probability.
    starts_at_s, stops_at_s : float, float or None
        Part of the run in which it sends; None is until the end.
    """

    name: str
    key: str = ""
    weight: float = attrs.field(default=1.0, validator=gt(0))
    rate_per_s: float = attrs.field(default=0.0, validator=ge(0))
    backlog_count: int = attrs.field(default=0, validator=ge(0))
    placement: str = EVEN_PLACEMENT
    shapes: Sequence[str] = ()
    starts_at_s: float = attrs.field(default=0.0, validator=ge(0))
    stops_at_s: float | None = None


@attrs.frozen(kw_only=True)
class Endpoint:
    """Address that requests go to: a router, or an engine in a direct run."""

    name: str
    host: str
    port: int = attrs.field(validator=ge(1))
    availability_zone: str = ""

    def accepts_placement(self, placement: str) -> bool:
        """Return whether accounts with this placement send to this endpoint."""
        return placement in (EVEN_PLACEMENT, self.name, self.availability_zone)


@attrs.frozen(kw_only=True)
class LoadPlan:
    """All settings of a load run.

    Parameters
    ----------
    endpoints, accounts, shapes : sequence
        Addresses, sending accounts and kinds of requests.
    seed : int
        Seed of arrivals, sizes and endpoints.
    duration_s : float
        Seconds in which requests are sent.
    drain_s : float
        Longest time to wait for open answers after that.
    call_timeout_s : float
        Timeout of one call.
    worker_count : int
        Number of client processes.
    prompt_token_weight : float
        Cost of a prompt token, relative to a generated token.
    keeps_calls : bool
        Whether the report lists each complete streamed answer.
    """

    endpoints: Sequence[Endpoint]
    accounts: Sequence[AccountLoad]
    shapes: Sequence[RequestShape]
    seed: int = 1
    duration_s: float = attrs.field(default=DEFAULT_DURATION_S, validator=gt(0))
    drain_s: float = attrs.field(default=DEFAULT_DRAIN_S, validator=ge(0))
    call_timeout_s: float = attrs.field(default=DEFAULT_CALL_TIMEOUT_S, validator=gt(0))
    worker_count: int = attrs.field(default=2, validator=ge(1))
    prompt_token_weight: float = attrs.field(
        default=DEFAULT_PROMPT_TOKEN_WEIGHT, validator=ge(0)
    )
    keeps_calls: bool = False

    def shape(self, name: str) -> RequestShape:
        """Return the request shape with this name."""
        return next(shape for shape in self.shapes if shape.name == name)


def _find_errors(plan: LoadPlan) -> list[str]:
    endpoints = {endpoint.name for endpoint in plan.endpoints}
    shapes = {shape.name for shape in plan.shapes}
    errors = [] if endpoints else ["endpoints: list is empty, name at least one"]
    for account in plan.accounts:
        location = f"accounts[{account.name}]"
        unknown = sorted(set(account.shapes) - shapes)
        if unknown or not account.shapes:
            errors.append(
                f"{location}.shapes: {unknown or 'empty'}, use some of {sorted(shapes)}"
            )
        if not any(
            each.accepts_placement(account.placement) for each in plan.endpoints
        ):
            errors.append(
                f"{location}.placement: {account.placement!r} is no endpoint and no "
                f"zone; use one of {sorted(endpoints)}, a zone or {EVEN_PLACEMENT!r}"
            )
        if not account.rate_per_s and not account.backlog_count:
            errors.append(f"{location}: give rate_per_s or backlog_count")
    return errors


def read_plan(path: Path) -> LoadPlan:
    """Read and validate a load plan.

    Parameters
    ----------
    path : Path
        JSON file.

    Raises
    ------
    PlanError
        The file is unreadable or invalid; the message names the file and every error
        with its location and, where known, valid values.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        plan = converter.structure(json.loads(path.read_text()), LoadPlan)
    except ClassValidationError as error:
        errors = cattrs.transform_error(error, path="plan")
        raise PlanError(f"{path}: " + "; ".join(errors), step="read plan") from error
    except (OSError, ValueError) as error:
        raise PlanError(f"{path}: {error}", step="read plan") from error
    errors = _find_errors(plan)
    if errors:
        raise PlanError(f"{path}: " + "; ".join(errors), step="read plan")
    return plan

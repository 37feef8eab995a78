"""What a load run sends, read from a JSON file."""

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
    """A load plan that can't be run."""


@attrs.frozen(kw_only=True)
class TokenDistribution:
    """Log-normal token counts; with ``sigma`` 0 all are the median.

    Parameters
    ----------
    median_tokens : int
        Half of the draws are smaller.
    sigma : float
        Standard deviation of the logarithm; above 1 the tail is heavy.
    max_tokens : int
        Larger draws are cut to this.
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
        Chat completion or plain call.
    model : str
        Model of a chat completion.
    path : str
        Path of a plain call.
    method : str
        Method of a plain call.
    stream : bool
        Whether a chat answer is streamed.
    prompt_tokens, generated_tokens : TokenDistribution
        Sizes of a chat completion.
    hint_factor : float or None
        The caller's hint of the cost is the true cost times up to this factor or
        divided by it; 1 is a true hint and None is no hint.
    prefix_count : int
        Prompts begin with one of this many shared prefixes; 0 is no sharing.
    idempotency_keys : bool
        Whether each call carries an idempotency key of its own.
    deadline_ms : int or None
        Deadline that the caller states.
    send_bytes_per_s, read_bytes_per_s : int or None
        Speed of a slow sender or a slow reader.
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
    """What one client account sends.

    Parameters
    ----------
    name, key : str
        The account and its key.
    weight : float
        Its weight in the configuration; the fairness gap is worked out with it.
    rate_per_s : float
        Mean rate of open-loop Poisson arrivals.
    backlog_count : int
        Requests that the account keeps outstanding, in a closed loop.
    placement : str
        Name of the endpoint, or of the availability zone whose endpoints, get all its
        requests, or ``"even"``.
    shapes : sequence of str
        Shapes of its requests, drawn evenly.
    starts_at_s, stops_at_s : float, float or None
        Part of the run in which it sends.
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
    """Where callers connect: a router, or an engine for a direct run."""

    name: str
    host: str
    port: int = attrs.field(validator=ge(1))
    availability_zone: str = ""

    def takes(self, placement: str) -> bool:
        """Tell whether an account that is placed so may send here."""
        return placement in (EVEN_PLACEMENT, self.name, self.availability_zone)


@attrs.frozen(kw_only=True)
class LoadPlan:
    """A whole load run.

    Parameters
    ----------
    endpoints, accounts, shapes : sequence
        Where, for whom and what.
    seed : int
        Fixes arrivals, sizes and placement.
    duration_s : float
        Time in which requests are sent.
    drain_s : float
        Longest time to wait for answers after that.
    call_timeout_s : float
        Longest time for one call.
    worker_count : int
        Client processes.
    prompt_token_weight : float
        Service that a prompt token counts; a generated token counts 1.
    keeps_calls : bool
        Whether the report holds each call by itself.
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
        """Return the shape of that name."""
        return next(shape for shape in self.shapes if shape.name == name)


def _name_faults(plan: LoadPlan) -> list[str]:
    endpoints = {endpoint.name for endpoint in plan.endpoints}
    shapes = {shape.name for shape in plan.shapes}
    faults = [] if endpoints else ["endpoints: name at least one"]
    for account in plan.accounts:
        place = f"accounts[{account.name}]"
        unknown = sorted(set(account.shapes) - shapes)
        if unknown or not account.shapes:
            faults.append(f"{place}.shapes: {unknown or 'empty'}, use {sorted(shapes)}")
        if not any(each.takes(account.placement) for each in plan.endpoints):
            faults.append(
                f"{place}.placement: {account.placement!r} is no endpoint and no zone; "
                f"use one of {sorted(endpoints)}, a zone or {EVEN_PLACEMENT!r}"
            )
        if not account.rate_per_s and not account.backlog_count:
            faults.append(f"{place}: give rate_per_s or backlog_count")
    return faults


def read_plan(path: Path) -> LoadPlan:
    """Read a plan.

    Parameters
    ----------
    path : Path
        JSON file.

    Raises
    ------
    PlanError
        With file, places and remedies, all faults at once.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        plan = converter.structure(json.loads(path.read_text()), LoadPlan)
    except ClassValidationError as error:
        faults = cattrs.transform_error(error, path="plan")
        raise PlanError(f"{path}: " + "; ".join(faults), step="read plan") from error
    except (OSError, ValueError) as error:
        raise PlanError(f"{path}: {error}", step="read plan") from error
    faults = _name_faults(plan)
    if faults:
        raise PlanError(f"{path}: " + "; ".join(faults), step="read plan")
    return plan

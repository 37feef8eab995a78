"""Draws the requests of a plan; equal seeds give equal requests and arrival times."""

import random
from collections.abc import Iterator

import attrs

from citrondock_bench.plan import (
    AccountLoad,
    Endpoint,
    LoadPlan,
    RequestShape,
)


@attrs.frozen(kw_only=True)
class PlannedRequest:
    """One request with its drawn arrival time and sizes.

    Parameters
    ----------
    at_s : float
        Seconds from the start of the run to its arrival; 0 in a closed loop.
    account, shape, endpoint : AccountLoad, RequestShape, Endpoint
        Sending account, kind of request and address.
    number : int
        Running number of the account's requests in this worker, from 1.
    prompt_tokens, generated_tokens : int
        Tokens of the prompt and of the answer.
    hint_tokens : int or None
        Cost hint that the caller sends, if any.
    prefix : str
        Shared prefix of the prompt, or empty.
    """

    at_s: float
    account: AccountLoad
    shape: RequestShape
    endpoint: Endpoint
    number: int
    prompt_tokens: int
    generated_tokens: int
    hint_tokens: int | None
    prefix: str


def _hint_tokens(shape: RequestShape, cost: int, rng: random.Random) -> int | None:
    if shape.hint_factor is None:
        return None
    factor = shape.hint_factor ** rng.uniform(-1.0, 1.0)
    return max(1, round(cost * factor))


class AccountRequests:
    """Draws the requests of one account for one worker process."""

    def __init__(
        self, plan: LoadPlan, account: AccountLoad, *, worker_index: int
    ) -> None:
        self._plan = plan
        self._account = account
        self._rng = random.Random(f"{plan.seed}/{account.name}/{worker_index}")
        self._endpoints = [
            endpoint
            for endpoint in plan.endpoints
            if endpoint.accepts_placement(account.placement)
        ]
        self._drawn_count = 0

    def next(self, *, at_s: float = 0.0) -> PlannedRequest:
        """Draw the next request."""
        rng = self._rng
        shape = self._plan.shape(rng.choice(list(self._account.shapes)))
        endpoint = rng.choice(self._endpoints)
        prompt = shape.prompt_tokens.draw(rng)
        generated = shape.generated_tokens.draw(rng)
        prefix = f"p{rng.randrange(shape.prefix_count)}" if shape.prefix_count else ""
        self._drawn_count += 1
        return PlannedRequest(
            at_s=at_s,
            account=self._account,
            shape=shape,
            endpoint=endpoint,
            number=self._drawn_count,
            prompt_tokens=prompt,
            generated_tokens=generated,
            hint_tokens=_hint_tokens(shape, prompt + generated, rng),
            prefix=prefix,
        )

    def arrivals(self) -> Iterator[PlannedRequest]:
        """Yield this worker's share of the Poisson arrivals, in order of time."""
        rate_per_s = self._account.rate_per_s / self._plan.worker_count
        if not rate_per_s:
            return
        stops_at_s = self._account.stops_at_s or self._plan.duration_s
        at_s = self._account.starts_at_s + self._rng.expovariate(rate_per_s)
        while at_s < min(stops_at_s, self._plan.duration_s):
            yield self.next(at_s=at_s)
            at_s += self._rng.expovariate(rate_per_s)

"""Moving averages of request costs, used to charge requests when they start."""

from collections import OrderedDict

DEFAULT_ESTIMATE_TOKENS = 256.0
SMOOTHING = 0.1
"""Weight of the latest cost in a moving average."""

MAX_HINT_RATIO = 2.0
"""How far a caller's hint may differ from the moving average."""

LARGEST_DECAY = 0.9995
"""Factor by which the largest cost decays with each observation."""

MAX_ESTIMATES_COUNT = 20_000


class CostEstimator:
    """Estimates request costs per account and service, in bounded memory.

    Parameters
    ----------
    max_count : int
        Most (account, service) pairs to remember.
    """

    def __init__(self, *, max_count: int = MAX_ESTIMATES_COUNT) -> None:
        self._by_account: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._by_service: dict[str, float] = {}
        self._max_count = max_count
        self._largest_tokens = 0.0

    @property
    def largest_tokens(self) -> float:
        """Cost of the largest recent request; it decays over time."""
        return self._largest_tokens or DEFAULT_ESTIMATE_TOKENS

    def estimate(
        self, account: str, service: str, *, hint_tokens: float | None = None
    ) -> float:
        """Return the estimated cost to charge when a request starts.

        Parameters
        ----------
        account, service : str
            Account and service of the request.
        hint_tokens : float or None
            Cost hint of the caller, clamped to `MAX_HINT_RATIO` around the average.

        Returns
        -------
        float
            Estimated cost in tokens.
        """
        average = self._by_account.get((account, service))
        if average is None:
            average = self._by_service.get(service, DEFAULT_ESTIMATE_TOKENS)
        if hint_tokens is None:
            return average
        return min(max(hint_tokens, average / MAX_HINT_RATIO), average * MAX_HINT_RATIO)

    def estimate_any_service(self, account: str) -> float:
        """Return the estimated tokens of an account's request to any service."""
        return self.estimate(account, "")

    def observe(self, account: str, service: str, cost_tokens: float) -> None:
        """Update the averages with the actual cost of a request, in tokens."""
        decayed = self._largest_tokens * LARGEST_DECAY
        self._largest_tokens = max(decayed, cost_tokens)
        self._observe(account, service, cost_tokens)
        self._observe(account, "", cost_tokens)

    def _observe(self, account: str, service: str, cost_tokens: float) -> None:
        key = (account, service)
        before = self._by_account.pop(key, None)
        if before is None:
            before = self._by_service.get(service, cost_tokens)
        self._by_account[key] = before + SMOOTHING * (cost_tokens - before)
        overall = self._by_service.get(service, cost_tokens)
        self._by_service[service] = overall + SMOOTHING * (cost_tokens - overall)
        if len(self._by_account) > self._max_count:
            self._by_account.popitem(last=False)

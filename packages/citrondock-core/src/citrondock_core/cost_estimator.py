"""Running estimates of what a request will cost."""

from collections import OrderedDict

DEFAULT_ESTIMATE_TOKENS = 256.0
SMOOTHING = 0.1
HINT_FACTOR = 2.0
LARGEST_DECAY = 0.9995
MAX_ESTIMATES_COUNT = 20_000


class CostEstimator:
    """Estimates cost per account and service, bounded in state.

    Parameters
    ----------
    max_count : int
        Most (account, service) pairs that are remembered.
    """

    def __init__(self, *, max_count: int = MAX_ESTIMATES_COUNT) -> None:
        self._by_account: OrderedDict[tuple[str, str], float] = OrderedDict()
        self._by_service: dict[str, float] = {}
        self._max_count = max_count
        self._largest_tokens = 0.0

    @property
    def largest_tokens(self) -> float:
        """Cost of the largest request seen lately."""
        return self._largest_tokens or DEFAULT_ESTIMATE_TOKENS

    def estimate(
        self, account: str, service: str, *, hint_tokens: float | None = None
    ) -> float:
        """Return the cost to charge at dispatch.

        Parameters
        ----------
        account, service : str
            Whose request it is, and for what.
        hint_tokens : float or None
            The caller's hint; it counts only near the running estimate.

        Returns
        -------
        float
            Cost in tokens.
        """
        running = self._by_account.get((account, service))
        if running is None:
            running = self._by_service.get(service, DEFAULT_ESTIMATE_TOKENS)
        if hint_tokens is None:
            return running
        return min(max(hint_tokens, running / HINT_FACTOR), running * HINT_FACTOR)

    def typical(self, account: str) -> float:
        """Return what a request of an account costs whatever it is for, in tokens."""
        return self.estimate(account, "")

    def observe(self, account: str, service: str, cost_tokens: float) -> None:
        """Learn what a request did cost, in tokens."""
        faded = self._largest_tokens * LARGEST_DECAY
        self._largest_tokens = max(faded, cost_tokens)
        self._observe(account, service, cost_tokens)
        self._observe(account, "", cost_tokens)

    def _observe(self, account: str, service: str, cost_tokens: float) -> None:
        key = (account, service)
        before = self._by_account.pop(key, None)
        if before is None:
            before = self._by_service.get(service, cost_tokens)
        self._by_account[key] = before + SMOOTHING * (cost_tokens - before)
        general = self._by_service.get(service, cost_tokens)
        self._by_service[service] = general + SMOOTHING * (cost_tokens - general)
        if len(self._by_account) > self._max_count:
            self._by_account.popitem(last=False)

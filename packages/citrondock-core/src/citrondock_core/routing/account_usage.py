"""Recent usage by account in tokens, for max-min fairness over seconds."""

import math
from abc import ABC, abstractmethod

from typing_extensions import override


class UsageTracker(ABC):
    """Recent usage by account."""

    @abstractmethod
    def received_tokens(self, account: str, *, now_s: float) -> float:
        """Return the tokens charged to an account, weighted down by their age."""

    @abstractmethod
    def add(self, account: str, tokens: float, *, now_s: float) -> None:
        """Charge tokens to an account whose request starts now."""

    @abstractmethod
    def give_back(
        self, account: str, tokens: float, *, charged_at_s: float, now_s: float
    ) -> None:
        """Take back a charge, as the request was not run."""


class DecayingUsage(UsageTracker):
    """Exponentially decaying sum of charged tokens for each account.

    Parameters
    ----------
    half_life_s : float
        Time in which a charge decays to half of its size.
    """

    def __init__(self, *, half_life_s: float) -> None:
        self._decay_per_s = math.log(2) / half_life_s
        self._tokens: dict[str, float] = {}
        self._at_s: dict[str, float] = {}

    @override
    def received_tokens(self, account: str, *, now_s: float) -> float:
        tokens = self._tokens.get(account)
        if tokens is None:
            return 0.0
        return tokens * math.exp((self._at_s[account] - now_s) * self._decay_per_s)

    @override
    def add(self, account: str, tokens: float, *, now_s: float) -> None:
        self._tokens[account] = self.received_tokens(account, now_s=now_s) + tokens
        self._at_s[account] = now_s

    @override
    def give_back(
        self, account: str, tokens: float, *, charged_at_s: float, now_s: float
    ) -> None:
        left = tokens * math.exp((charged_at_s - now_s) * self._decay_per_s)
        received = self.received_tokens(account, now_s=now_s)
        self._tokens[account] = max(received - left, 0.0)
        self._at_s[account] = now_s

    def accounts(self) -> list[str]:
        """Return all accounts that were ever charged."""
        return list(self._tokens)

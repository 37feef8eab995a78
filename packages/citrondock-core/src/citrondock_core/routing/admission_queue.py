"""Fair queue of requests that wait for capacity at a target."""

from collections.abc import Iterator
from typing import Generic, Protocol, TypeVar

from citrondock_core.routing.account_usage import UsageTracker
from citrondock_core.routing.served_ratios import ServedRatios


class WaitingRequest(Protocol):
    """Attributes of a request that its place in the queue depends on."""

    account: str
    kind: str
    arrived_at_s: float
    cost_tokens: int

    @property
    def continues_stream(self) -> bool:
        """Whether the client has part of the stream already."""

    @property
    def on_time_until_s(self) -> float:
        """Deadline after which the request counts as late."""


_W = TypeVar("_W", bound=WaitingRequest)

LATE_USAGE_FACTOR = 4 / 3
"""Late requests are ordered as if their account had this multiple of its usage. An
account that only has late ones, as it is refused, gets three quarters of what the
others get."""


class AdmissionQueue(Generic[_W]):
    """Waiting requests, ordered by fairness between accounts and by deadline.

    The account with the lowest recent usage goes first; for late requests that usage
    counts `LATE_USAGE_FACTOR` times. Within an account, streams that were begun go
    first, then requests that can be on time, then the kind of request with the lowest
    served ratio, and within a kind the earliest deadline.

    Parameters
    ----------
    usage : UsageTracker
        Recent usage by account.
    ratios : ServedRatios
        Recent served ratio by kind of request.
    """

    def __init__(self, usage: UsageTracker, ratios: ServedRatios) -> None:
        self._usage = usage
        self._ratios = ratios
        self._by_account: dict[str, dict[int, _W]] = {}
        self._count = 0
        self.waiting_tokens = 0
        self._tokens_by_account: dict[str, int] = {}

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[_W]:
        for waiting in self._by_account.values():
            yield from waiting.values()

    def waiting_tokens_of(self, account: str) -> int:
        """Return the cost in tokens of an account's waiting requests."""
        return self._tokens_by_account.get(account, 0)

    def push(self, request: _W) -> None:
        """Add a request."""
        self._by_account.setdefault(request.account, {})[id(request)] = request
        self._count += 1
        self.waiting_tokens += request.cost_tokens
        tokens = self.waiting_tokens_of(request.account) + request.cost_tokens
        self._tokens_by_account[request.account] = tokens

    def remove(self, request: _W) -> bool:
        """Remove a request; return whether it was in the queue."""
        waiting = self._by_account.get(request.account)
        if waiting is None or waiting.pop(id(request), None) is None:
            return False
        self._tokens_by_account[request.account] -= request.cost_tokens
        if not waiting:
            del self._by_account[request.account]
            del self._tokens_by_account[request.account]
        self._count -= 1
        self.waiting_tokens -= request.cost_tokens
        return True

    def in_order(self, *, now_s: float) -> list[_W]:
        """Return all requests in the order in which they should be sent.

        Each request counts as usage for the requests behind it of the same account.
        """
        ordered: list[tuple[float, bool, float, int, _W]] = []
        for account, waiting in self._by_account.items():
            received_tokens = self._usage.received_tokens(account, now_s=now_s)
            in_turn = sorted(
                waiting.values(),
                key=lambda request: self._order_in_account(request, now_s),
            )
            for request in in_turn:
                until_s = request.on_time_until_s
                is_late = until_s < now_s and not request.continues_stream
                rank_tokens = received_tokens * (LATE_USAGE_FACTOR if is_late else 1.0)
                rank = (rank_tokens, is_late, until_s, id(request), request)
                ordered.append(rank)
                received_tokens += request.cost_tokens
        ordered.sort(key=lambda rank: rank[:4])
        return [rank[4] for rank in ordered]

    def _order_in_account(
        self, request: _W, now_s: float
    ) -> tuple[bool, bool, float, float]:
        until_s = request.on_time_until_s
        ratio = self._ratios.ratio(request.kind)
        return not request.continues_stream, until_s < now_s, ratio, until_s

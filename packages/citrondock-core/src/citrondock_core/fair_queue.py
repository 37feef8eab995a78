"""Queue of the requests waiting for one pool, by account."""

from collections.abc import Callable, Iterator

from citrondock_core.request import WaitingRequest


class FairQueue:
    """Queue of one pool, in order of arrival within each account."""

    def __init__(self) -> None:
        self._by_account: dict[str, dict[str, WaitingRequest]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[WaitingRequest]:
        for waiting in self._by_account.values():
            yield from waiting.values()

    @property
    def accounts(self) -> list[str]:
        """Accounts with at least one waiting request."""
        return list(self._by_account)

    def count(self, account: str) -> int:
        """Return the number of waiting requests of an account."""
        return len(self._by_account.get(account, ()))

    def push(self, request: WaitingRequest) -> None:
        """Add a request in order of its arrival, also when it is queued again."""
        waiting = self._by_account.setdefault(request.account, {})
        last = next(reversed(waiting.values()), None)
        waiting[request.request_id] = request
        self._count += 1
        if last is not None and last.arrived_at_s > request.arrived_at_s:
            ordered = sorted(waiting.values(), key=lambda r: r.arrived_at_s)
            self._by_account[request.account] = {r.request_id: r for r in ordered}

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was in the queue."""
        waiting = self._by_account.get(request.account, {})
        if waiting.pop(request.request_id, None) is None:
            return False
        self._count -= 1
        if not waiting:
            del self._by_account[request.account]
        return True

    def head(self, account: str) -> WaitingRequest:
        """Return the longest waiting request of an account."""
        return next(iter(self._by_account[account].values()))

    def first(self, account: str, count: int) -> list[WaitingRequest]:
        """Return up to ``count`` requests of an account, in order of arrival."""
        waiting = iter(self._by_account[account].values())
        return [request for request, _ in zip(waiting, range(count), strict=False)]

    def lowest_account(self, normalised_service: Callable[[str], float]) -> str | None:
        """Return the waiting account of lowest normalised service, or None."""
        return min(self._by_account, key=normalised_service, default=None)

    def oldest_account(self) -> str | None:
        """Return the account whose first request arrived earliest, or None."""
        return min(
            self._by_account,
            key=lambda account: self.head(account).arrived_at_s,
            default=None,
        )

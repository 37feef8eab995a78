"""Queues of the requests waiting at this router, with limits and deadlines."""

import heapq
from collections import Counter
from collections.abc import Mapping

from citrondock_core.configuration import ClientAccount, Configuration
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.fair_queue import FairQueue
from citrondock_core.request import RefusalReason, RequestRefusedError, WaitingRequest

FULL_RETRY_AFTER_S = 1.0
"""Retry delay suggested to a caller whose request is refused."""

STEP = "queue"


class WaitingRequests:
    """Holds the queues of all pools, and enforces their limits.

    Parameters
    ----------
    options : DispatchOptions
        Limits of the router.
    """

    def __init__(self, options: DispatchOptions) -> None:
        self._options = options
        self._queues: dict[str, FairQueue] = {}
        self._requests: dict[str, WaitingRequest] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._bytes = 0
        self._bytes_by_account: Counter[str] = Counter()
        self._count_by_account: Counter[str] = Counter()
        self.changed: set[tuple[str, str]] = set()

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def count_by_account(self) -> Mapping[str, int]:
        """Number of waiting requests by account."""
        return +self._count_by_account

    def queue(self, pool: str) -> FairQueue:
        """Return the queue of a pool, which is created when missing."""
        queue = self._queues.get(pool)
        if queue is None:
            queue = self._queues[pool] = FairQueue()
        return queue

    def get(self, request_id: str) -> WaitingRequest | None:
        """Return a waiting request by its id, or None."""
        return self._requests.get(request_id)

    def admit(self, request: WaitingRequest, configuration: Configuration) -> None:
        """Add a request, or raise `RequestRefusedError` when a limit is exceeded."""
        if request.pool not in configuration.pools:
            raise self._refusal(
                RefusalReason.NO_TARGET, f"pool {request.pool} is not configured"
            )
        account = configuration.accounts.get(request.account)
        if account is None:
            text = f"account {request.account} is not configured"
            raise self._refusal(RefusalReason.UNKNOWN_KEY, text)
        self.check_capacity(account, 1, request.body_bytes)
        self.push(request)

    def check_capacity(
        self, account: ClientAccount, request_count: int, body_bytes: int
    ) -> None:
        """Raise `RequestRefusedError` when so many more requests or bytes don't fit."""
        waiting_bytes = self._bytes_by_account.get(account.name, 0) + body_bytes
        waiting_count = self._count_by_account.get(account.name, 0) + request_count
        if (
            waiting_count > account.max_waiting_requests
            or waiting_bytes > account.max_waiting_bytes
        ):
            text = (
                f"queue of account {account.name} is full: {waiting_count} requests "
                f"(max_waiting_requests {account.max_waiting_requests}), "
                f"{waiting_bytes} bytes (max_waiting_bytes {account.max_waiting_bytes})"
            )
            raise self._refusal(RefusalReason.ACCOUNT_QUEUE_FULL, text)
        if (
            len(self._requests) + request_count > self._options.max_waiting_requests
            or self._bytes + body_bytes > self._options.max_waiting_bytes
        ):
            text = "queue of the router is full"
            raise self._refusal(RefusalReason.ROUTER_QUEUE_FULL, text)

    @staticmethod
    def _refusal(cause: RefusalReason, reason: str) -> RequestRefusedError:
        return RequestRefusedError(
            reason, step=STEP, cause=cause, retry_after_s=FULL_RETRY_AFTER_S
        )

    def push(self, request: WaitingRequest) -> None:
        """Add a request in order of its arrival, without checking the limits."""
        self._requests[request.request_id] = request
        self.queue(request.pool).push(request)
        heapq.heappush(self._deadlines, (request.deadline_s, request.request_id))
        self._count(request, 1)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove and return a request, or return None when it is not waiting."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            self.queue(request.pool).remove(request)
            self._count(request, -1)
        return request

    def _count(self, request: WaitingRequest, sign: int) -> None:
        self._bytes += sign * request.body_bytes
        self._bytes_by_account[request.account] += sign * request.body_bytes
        self._count_by_account[request.account] += sign
        if not self._count_by_account[request.account]:
            del self._count_by_account[request.account]
            del self._bytes_by_account[request.account]
        self.changed.add((request.pool, request.account))

    def expire(self, *, now_s: float) -> list[WaitingRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, request_id = heapq.heappop(self._deadlines)
            request = self._requests.get(request_id)
            if request is not None and request.deadline_s <= now_s:
                self.remove(request_id)
                expired.append(request)
        return expired

    def remove_unknown_pools(self, configuration: Configuration) -> list[str]:
        """Remove requests for pools not in the configuration; return their ids."""
        gone = [
            request_id
            for request_id, request in self._requests.items()
            if request.pool not in configuration.pools
        ]
        for request_id in gone:
            self.remove(request_id)
        return gone

"""Shares out what unfinished requests of callers may hold."""

from collections import Counter
from collections.abc import Callable

import attrs

from citrondock_core.configuration import ClientAccount
from citrondock_core.request import RefusalReason, RequestRefusedError

CapacityCheck = Callable[[str, int, int], None]
"""Given account, request count and body bytes; raises when they may not wait."""

_STEP = "intake"
_ACCOUNT_DIVISOR = 4
_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Reservation:
    """What one unfinished request holds of its account's share."""

    account: str
    declared_bytes: int
    received_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that count against the account."""
        return max(self.declared_bytes, self.received_bytes)


class IntakeQuota:
    """Bounds unfinished requests by account and in all; used by one thread.

    No account gets more than a quarter of the requests and bytes.

    Parameters
    ----------
    max_request_count, max_total_bytes : int
        Most requests, and most received body bytes, over all accounts.
    max_body_bytes : int
        Longest body; an account may always send one.
    check_capacity : callable
        See `CapacityCheck`; told of the requests still to come.
    """

    def __init__(
        self,
        *,
        max_request_count: int,
        max_total_bytes: int,
        max_body_bytes: int,
        check_capacity: CapacityCheck,
    ) -> None:
        self._max_count = max(1, max_request_count // _ACCOUNT_DIVISOR)
        self._max_account_bytes = max(
            max_total_bytes // _ACCOUNT_DIVISOR, max_body_bytes
        )
        self._max_total_bytes = max_total_bytes
        self._check_capacity = check_capacity
        self._counts: Counter[str] = Counter()
        self._held_bytes: Counter[str] = Counter()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Received body bytes of unfinished requests."""
        return self._total_bytes

    def reserve(self, account: ClientAccount, declared_bytes: int) -> Reservation:
        """Take a request in whose head is known.

        Raises
        ------
        RequestRefusedError
            When the account or the router holds too much already.
        """
        name = account.name
        count = self._counts[name] + 1
        held_bytes = self._held_bytes[name] + declared_bytes
        if count > self._max_count or held_bytes > self._max_account_bytes:
            raise _account_full(name)
        if self._total_bytes + declared_bytes > self._max_total_bytes:
            raise _router_full()
        self._check_capacity(name, count, held_bytes)
        self._counts[name] = count
        self._held_bytes[name] = held_bytes
        return Reservation(name, declared_bytes)

    def receive(self, reservation: Reservation, received_bytes: int) -> None:
        """Count body bytes that arrived.

        Raises
        ------
        RequestRefusedError
            When the account or the router holds too much now.
        """
        before_bytes = reservation.held_bytes
        reservation.received_bytes += received_bytes
        self._total_bytes += received_bytes
        name = reservation.account
        self._held_bytes[name] += reservation.held_bytes - before_bytes
        if self._total_bytes > self._max_total_bytes:
            raise _router_full()
        if self._held_bytes[name] > self._max_account_bytes:
            raise _account_full(name)

    def release(self, reservation: Reservation) -> None:
        """Forget a request that is whole, refused or gone."""
        name = reservation.account
        self._total_bytes -= reservation.received_bytes
        self._counts[name] -= 1
        self._held_bytes[name] -= reservation.held_bytes
        if not self._counts[name]:
            del self._counts[name]
            del self._held_bytes[name]


def _account_full(account: str) -> RequestRefusedError:
    return RequestRefusedError(
        f"account {account} is sending too much at once",
        step=_STEP,
        cause=RefusalReason.ACCOUNT_QUEUE_FULL,
        retry_after_s=_RETRY_AFTER_S,
    )


def _router_full() -> RequestRefusedError:
    return RequestRefusedError(
        "the router is receiving too much at once",
        step=_STEP,
        cause=RefusalReason.ROUTER_QUEUE_FULL,
        retry_after_s=_RETRY_AFTER_S,
    )

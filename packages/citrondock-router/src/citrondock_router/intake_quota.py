"""Limits the requests that are still being received, by account and in total."""

from collections import Counter
from collections.abc import Callable

import attrs

from citrondock_core.configuration import ClientAccount
from citrondock_core.request import RefusalReason, RequestRefusedError

CapacityCheck = Callable[[str, int, int], None]
"""Called with account, request count and body bytes.

Raises `RequestRefusedError` if the account may not queue that many more.
"""

_STEP = "intake"
_ACCOUNT_DIVISOR = 4
_RETRY_AFTER_S = 1.0


@attrs.define(eq=False)
class Reservation:
    """Quota held by one request that is still being received.

    Parameters
    ----------
    account : str
        Name of the account.
    declared_bytes : int
        Body length as the head declares it; 0 if it doesn't.
    received_bytes : int
        Body bytes received so far.
    """

    account: str
    declared_bytes: int
    received_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that count against the account."""
        return max(self.declared_bytes, self.received_bytes)


class IntakeQuota:
    """Limits unfinished requests and their bytes; used by one thread.

    Each account may hold at most a quarter of the requests and bytes, so that one
    account can't use up what the others need.

    Parameters
    ----------
    max_request_count, max_total_bytes : int
        Maximum number of requests, and of received body bytes, over all accounts.
    max_body_bytes : int
        Maximum length of a body; an account's quota is never below it.
    check_capacity : callable
        See `CapacityCheck`; called with all unfinished requests of the account.
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
        """Received body bytes of all unfinished requests."""
        return self._total_bytes

    def reserve(self, account: ClientAccount, declared_bytes: int) -> Reservation:
        """Reserve quota for a request whose head was received.

        Raises
        ------
        RequestRefusedError
            When the account or the router has reached its limit.
        """
        name = account.name
        count = self._counts[name] + 1
        held_bytes = self._held_bytes[name] + declared_bytes
        if count > self._max_count or held_bytes > self._max_account_bytes:
            raise _account_limit_error(name)
        if self._total_bytes + declared_bytes > self._max_total_bytes:
            raise _router_limit_error()
        self._check_capacity(name, count, held_bytes)
        self._counts[name] = count
        self._held_bytes[name] = held_bytes
        return Reservation(name, declared_bytes)

    def receive(self, reservation: Reservation, received_bytes: int) -> None:
        """Count received body bytes.

        Raises
        ------
        RequestRefusedError
            When the account or the router now exceeds its limit.
        """
        before_bytes = reservation.held_bytes
        reservation.received_bytes += received_bytes
        self._total_bytes += received_bytes
        name = reservation.account
        self._held_bytes[name] += reservation.held_bytes - before_bytes
        if self._total_bytes > self._max_total_bytes:
            raise _router_limit_error()
        if self._held_bytes[name] > self._max_account_bytes:
            raise _account_limit_error(name)

    def release(self, reservation: Reservation) -> None:
        """Free the quota of a request that is complete, refused or disconnected."""
        name = reservation.account
        self._total_bytes -= reservation.received_bytes
        self._counts[name] -= 1
        self._held_bytes[name] -= reservation.held_bytes
        if not self._counts[name]:
            del self._counts[name]
            del self._held_bytes[name]


def _account_limit_error(account: str) -> RequestRefusedError:
    return RequestRefusedError(
        f"account {account} has too many unfinished requests or body bytes",
        step=_STEP,
        cause=RefusalReason.ACCOUNT_QUEUE_FULL,
        retry_after_s=_RETRY_AFTER_S,
    )


def _router_limit_error() -> RequestRefusedError:
    return RequestRefusedError(
        "the router is receiving too many body bytes",
        step=_STEP,
        cause=RefusalReason.ROUTER_QUEUE_FULL,
        retry_after_s=_RETRY_AFTER_S,
    )

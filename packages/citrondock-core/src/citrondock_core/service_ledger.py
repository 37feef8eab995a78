"""Service that accounts received, fleet-wide, and their order by it."""

import math
from collections import deque
from collections.abc import Iterable, Mapping

import attrs

from citrondock_core.configuration import ClientAccount
from citrondock_core.messages import ServiceTotal


@attrs.define
class Counter:
    """Two sums that only grow; their difference is the service."""

    charged_tokens: float = 0.0
    refunded_tokens: float = 0.0

    @property
    def net_tokens(self) -> float:
        """Service in tokens."""
        return self.charged_tokens - self.refunded_tokens

    def merge(self, charged_tokens: float, refunded_tokens: float) -> None:
        """Take the larger of each sum."""
        self.charged_tokens = max(self.charged_tokens, charged_tokens)
        self.refunded_tokens = max(self.refunded_tokens, refunded_tokens)

    def add(self, charged_tokens: float, refunded_tokens: float = 0.0) -> None:
        """Grow both sums."""
        self.charged_tokens += charged_tokens
        self.refunded_tokens += refunded_tokens

    def copy(self) -> "Counter":
        """Return an independent copy."""
        return Counter(self.charged_tokens, self.refunded_tokens)


@attrs.define
class AccountService:
    """Service of one account as one router knows it.

    Parameters
    ----------
    weight : float
        Share relative to other accounts.
    own : Counter
        Counted by this router incarnation.
    fleet : Counter
        Counted by all routers, as far as a relay has merged it.
    merged_own_tokens : float
        Part of ``own`` that ``fleet`` contains.
    reserved_tokens : float
        Estimates of slots lent for the account that no counter shows yet.
    lifted_tokens, clamped_tokens : float
        Corrections of the normalised service.
    least_level : float
        Level that it has at least while its counters may be on their way.
    """

    weight: float = 1.0
    own: Counter = attrs.field(factory=Counter)
    fleet: Counter = attrs.field(factory=Counter)
    merged_own_tokens: float = 0.0
    reserved_tokens: float = 0.0
    lifted_tokens: float = 0.0
    clamped_tokens: float = 0.0
    least_level: float = -math.inf

    @property
    def service_tokens(self) -> float:
        """Service received, fleet-wide."""
        own = self.own.charged_tokens - self.own.refunded_tokens
        fleet = self.fleet.charged_tokens - self.fleet.refunded_tokens
        return fleet + own - self.merged_own_tokens

    @property
    def level(self) -> float:
        """Normalised service by which accounts are ordered."""
        received = self.service_tokens + self.reserved_tokens
        level = received / self.weight + self.lifted_tokens - self.clamped_tokens
        return max(level, self.least_level)


@attrs.frozen
class _Reservation:
    account: str
    tokens: float
    deadline_s: float


class ServiceLedger:
    """Charges, refunds and corrections of all accounts.

    Only accounts that a charge or a total named have a record.
    """

    def __init__(self) -> None:
        self._records: dict[str, AccountService] = {}
        self._accounts: Mapping[str, ClientAccount] = {}
        self._reservations: deque[_Reservation] = deque()
        self.changed_accounts: set[str] = set()

    def __len__(self) -> int:
        return len(self._records)

    def set_accounts(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Take weights, and forget accounts that are gone."""
        self._accounts = accounts
        for name in [name for name in self._records if name not in accounts]:
            del self._records[name]
            self.changed_accounts.discard(name)
        for name, record in self._records.items():
            self._set_weight(record, accounts[name].weight)

    @staticmethod
    def _set_weight(record: AccountService, weight: float) -> None:
        if weight == record.weight:
            return
        before = record.level
        record.weight = weight
        difference = before - record.level
        record.lifted_tokens += max(difference, 0.0)
        record.clamped_tokens += max(-difference, 0.0)

    def record(self, account: str) -> AccountService:
        """Return the record of an account, made when there is none."""
        record = self._records.get(account)
        if record is None:
            known = self._accounts.get(account)
            record = AccountService(weight=known.weight if known else 1.0)
            self._records[account] = record
        return record

    def level(self, account: str) -> float:
        """Return the normalised service of an account."""
        return self.record(account).level

    def items(self) -> Iterable[tuple[str, AccountService]]:
        """Return all records by account."""
        return self._records.items()

    def charge(self, account: str, tokens: float) -> None:
        """Count service; a negative amount gives back an estimate."""
        own = self.record(account).own
        own.add(max(tokens, 0.0), max(-tokens, 0.0))
        self.changed_accounts.add(account)

    def reserve(self, account: str, tokens: float, *, deadline_s: float) -> None:
        """Count an estimate until its counter must have come round."""
        self.record(account).reserved_tokens += tokens
        self._reservations.append(_Reservation(account, tokens, deadline_s))

    def expire_reservations(self, *, now_s: float) -> None:
        """Drop reservations whose deadline has passed."""
        while self._reservations and self._reservations[0].deadline_s <= now_s:
            reservation = self._reservations.popleft()
            record = self.record(reservation.account)
            record.reserved_tokens = max(
                0.0, record.reserved_tokens - reservation.tokens
            )

    def hold(self, account: str, floor: float) -> None:
        """Keep an account that was idle at the lowest one that waits, for now."""
        self.record(account).least_level = floor

    def lift(self, account: str, floor: float | None) -> None:
        """Raise an account that was idle to the lowest one that waits, for good."""
        record = self.record(account)
        record.least_level = -math.inf
        if floor is None:
            return
        record.lifted_tokens += max(0.0, floor - record.level)

    def clamp(self, accounts: Iterable[str], *, floor: float, lead: float) -> None:
        """Forget what accounts lead over the lowest waiting one beyond a bound."""
        for account in accounts:
            record = self.record(account)
            record.clamped_tokens += max(0.0, record.level - floor - lead)

    def merge_total(self, total: ServiceTotal) -> None:
        """Take the larger of each part of a total."""
        if self._accounts and total.account not in self._accounts:
            return
        record = self.record(total.account)
        record.fleet.merge(total.charged_tokens, total.refunded_tokens)
        record.lifted_tokens = max(record.lifted_tokens, total.lifted_tokens)
        record.clamped_tokens = max(record.clamped_tokens, total.clamped_tokens)

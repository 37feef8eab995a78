"""Service that accounts received from the fleet, for fair queueing.

The service of an account is the sum of its charges in tokens. Divided by the account's
weight and corrected, it is the normalised service; the lowest is dispatched first.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping

import attrs

from citrondock_core.configuration import ClientAccount
from citrondock_core.messages import ServiceTotal


@attrs.define
class TokenCounter:
    """Charges and refunds in tokens, which only grow; the service is the difference."""

    charged_tokens: float = 0.0
    refunded_tokens: float = 0.0

    @property
    def net_tokens(self) -> float:
        """Charges minus refunds, in tokens."""
        return self.charged_tokens - self.refunded_tokens

    def merge(self, charged_tokens: float, refunded_tokens: float) -> None:
        """Set each sum to the larger of its own and the given value."""
        self.charged_tokens = max(self.charged_tokens, charged_tokens)
        self.refunded_tokens = max(self.refunded_tokens, refunded_tokens)

    def add(self, charged_tokens: float, refunded_tokens: float = 0.0) -> None:
        """Add to both sums."""
        self.charged_tokens += charged_tokens
        self.refunded_tokens += refunded_tokens

    def copy(self) -> "TokenCounter":
        """Return an independent copy."""
        return TokenCounter(self.charged_tokens, self.refunded_tokens)


@attrs.define
class AccountRecord:
    """Service of one account, as far as this router knows it.

    Parameters
    ----------
    weight : float
        Share relative to other accounts.
    own : TokenCounter
        Service counted by this incarnation of this router.
    fleet : TokenCounter
        Service counted by all routers, as far as a relay has merged it.
    merged_own_tokens : float
        Part of ``own`` that ``fleet`` contains.
    reserved_tokens : float
        Estimated cost of requests on slots lent for the account, until their charges
        are expected in the counters.
    lifted_tokens, clamped_tokens : float
        Amounts added to and subtracted from the normalised service; see
        `ServiceLedger.lift` and `ServiceLedger.clamp`.
    temporary_floor : float
        Lower bound of the normalised service while counters of other routers may still
        be missing.
    """

    weight: float = 1.0
    own: TokenCounter = attrs.field(factory=TokenCounter)
    fleet: TokenCounter = attrs.field(factory=TokenCounter)
    merged_own_tokens: float = 0.0
    reserved_tokens: float = 0.0
    lifted_tokens: float = 0.0
    clamped_tokens: float = 0.0
    temporary_floor: float = -math.inf

    @property
    def service_tokens(self) -> float:
        """Service received from all routers, in tokens."""
        own = self.own.charged_tokens - self.own.refunded_tokens
        fleet = self.fleet.charged_tokens - self.fleet.refunded_tokens
        return fleet + own - self.merged_own_tokens

    @property
    def normalised_service(self) -> float:
        """Service divided by the weight, with all corrections applied."""
        received = self.service_tokens + self.reserved_tokens
        corrected = received / self.weight + self.lifted_tokens - self.clamped_tokens
        return max(corrected, self.temporary_floor)


@attrs.frozen
class _Reservation:
    account: str
    tokens: float
    deadline_s: float


class ServiceLedger:
    """Keeps the service record of each account.

    A record is created on the first use of an account.
    """

    def __init__(self) -> None:
        self._records: dict[str, AccountRecord] = {}
        self._accounts: Mapping[str, ClientAccount] = {}
        self._reservations: deque[_Reservation] = deque()
        self.changed_accounts: set[str] = set()

    def __len__(self) -> int:
        return len(self._records)

    def set_accounts(self, accounts: Mapping[str, ClientAccount]) -> None:
        """Set the weights, and drop the records of accounts that are gone."""
        self._accounts = accounts
        for name in [name for name in self._records if name not in accounts]:
            del self._records[name]
            self.changed_accounts.discard(name)
        for name, record in self._records.items():
            self._set_weight(record, accounts[name].weight)

    @staticmethod
    def _set_weight(record: AccountRecord, weight: float) -> None:
        """Set a weight; the correction keeps the normalised service as it was."""
        if weight == record.weight:
            return
        before = record.normalised_service
        record.weight = weight
        difference = before - record.normalised_service
        record.lifted_tokens += max(difference, 0.0)
        record.clamped_tokens += max(-difference, 0.0)

    def record(self, account: str) -> AccountRecord:
        """Return the record of an account, which is created when missing."""
        record = self._records.get(account)
        if record is None:
            known = self._accounts.get(account)
            record = AccountRecord(weight=known.weight if known else 1.0)
            self._records[account] = record
        return record

    def normalised_service(self, account: str) -> float:
        """Return the normalised service of an account."""
        return self.record(account).normalised_service

    def items(self) -> Iterable[tuple[str, AccountRecord]]:
        """Return the pairs of account and record."""
        return self._records.items()

    def charge(self, account: str, tokens: float) -> None:
        """Charge an account; a negative amount is a refund."""
        own = self.record(account).own
        own.add(max(tokens, 0.0), max(-tokens, 0.0))
        self.changed_accounts.add(account)

    def reserve(self, account: str, tokens: float, *, deadline_s: float) -> None:
        """Add an estimated cost to an account's service until a deadline."""
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

    def set_temporary_floor(self, account: str, floor: float) -> None:
        """Set a lower bound of an account's normalised service, valid until `lift`."""
        self.record(account).temporary_floor = floor

    def lift(self, account: str, floor: float | None) -> None:
        """Replace the temporary floor by a lasting raise.

        Parameters
        ----------
        account : str
            Account that was idle.
        floor : float or None
            Lowest normalised service of the waiting accounts; None changes nothing.
        """
        record = self.record(account)
        record.temporary_floor = -math.inf
        if floor is None:
            return
        record.lifted_tokens += max(0.0, floor - record.normalised_service)

    def clamp(
        self, accounts: Iterable[str], *, floor: float, max_lead_tokens: float
    ) -> None:
        """Lower the normalised service of accounts to at most a lead over the floor."""
        for account in accounts:
            record = self.record(account)
            record.clamped_tokens += max(
                0.0, record.normalised_service - floor - max_lead_tokens
            )

    def merge_total(self, total: ServiceTotal) -> None:
        """Merge a fleet-wide total, keeping the larger value of each field."""
        if self._accounts and total.account not in self._accounts:
            return
        record = self.record(total.account)
        record.fleet.merge(total.charged_tokens, total.refunded_tokens)
        record.lifted_tokens = max(record.lifted_tokens, total.lifted_tokens)
        record.clamped_tokens = max(record.clamped_tokens, total.clamped_tokens)

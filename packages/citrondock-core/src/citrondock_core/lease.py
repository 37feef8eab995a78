"""The right of one router to do something alone, until a deadline."""

import attrs
from attrs.validators import gt

from citrondock_core.errors import CitrondockError


class LeaseLostError(CitrondockError):
    """The lease isn't held, or not for long enough."""


@attrs.frozen(kw_only=True)
class LeaseOptions:
    """Periods of a lease.

    Parameters
    ----------
    ttl_s : float
        Time for which a renewal holds.
    renewal_period_s : float
        Time between renewals.
    margin_s : float
        Part of `ttl_s` that a holder gives up, and that others wait longer.
    store_timeout_s : float
        Longest time of one call to the store.
    """

    ttl_s: float = attrs.field(default=15.0, validator=gt(0))
    renewal_period_s: float = attrs.field(default=5.0, validator=gt(0))
    margin_s: float = attrs.field(default=2.0, validator=gt(0))
    store_timeout_s: float = attrs.field(default=1.0, validator=gt(0))


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """A lease as it stands in the store; it is never deleted.

    Parameters
    ----------
    holder : str
        Router incarnation that holds it; empty after a release.
    fencing_token : int
        Grows by one with each change of the holder.
    renewal_id : str
        Differs with each write, so that a writer knows its own.
    """

    holder: str
    fencing_token: int
    renewal_id: str


@attrs.define(kw_only=True)
class Lease:
    """A held lease.

    Parameters
    ----------
    name : str
        What it is for.
    fencing_token : int
        Number that targets compare; a later holder has a larger one.
    deadline_s : float
        Monotonic time from which it must not be relied on.
    orders_from_s : float
        Monotonic time from which the former holder's orders have ended, also at
        targets that don't compare fencing tokens.
    """

    name: str
    fencing_token: int
    deadline_s: float
    orders_from_s: float

    def check(self, *, now_s: float, needed_s: float = 0.0) -> None:
        """Raise `LeaseLostError` unless the lease holds for ``needed_s`` longer."""
        if now_s + needed_s >= self.deadline_s:
            raise LeaseLostError(
                f"lease {self.name!r} lapses before the step would end", step="lease"
            )

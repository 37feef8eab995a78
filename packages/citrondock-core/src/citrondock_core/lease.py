"""Leases: exclusive rights of one router that expire at a deadline."""

import attrs
from attrs.validators import gt

from citrondock_core.errors import CitrondockError

TOKENS_PER_ERA = 2**32
"""Fencing tokens of one era of the store; those of a later era are all greater."""


class LeaseLostError(CitrondockError):
    """The lease is not held, or expires too soon."""


@attrs.frozen(kw_only=True)
class LeaseOptions:
    """Timing of a lease.

    Parameters
    ----------
    ttl_s : float
        Time for which the lease is valid after a renewal.
    renewal_period_s : float
        Time between renewals.
    margin_s : float
        Safety margin: the holder stops this long before `ttl_s` is over, and others
        wait this much longer.
    store_timeout_s : float
        Timeout of one call to the store.
    """

    ttl_s: float = attrs.field(default=15.0, validator=gt(0))
    renewal_period_s: float = attrs.field(default=5.0, validator=gt(0))
    margin_s: float = attrs.field(default=2.0, validator=gt(0))
    store_timeout_s: float = attrs.field(default=1.0, validator=gt(0))


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """A lease as it is stored; the record is never deleted.

    Parameters
    ----------
    holder : str
        Router incarnation that holds the lease; empty after a release.
    fencing_token : int
        Number that grows with each change of the holder.
    renewal_id : str
        Unique id of each write, by which a writer recognises its own.
    """

    holder: str
    fencing_token: int
    renewal_id: str

    @property
    def era(self) -> int:
        """Era of the store in which the holder acquired the lease."""
        return self.fencing_token // TOKENS_PER_ERA

    def next_token(self, *, era: int) -> int:
        """Return the token of the next holder, who acquires the lease in ``era``.

        A store that came back from a copy may have lost the latest tokens.
        """
        return max(self.fencing_token + 1, first_token(era))


@attrs.define(kw_only=True)
class Lease:
    """A lease that this router holds.

    Parameters
    ----------
    name : str
        Name of the lease.
    fencing_token : int
        Number that targets compare; a later holder has a larger one.
    deadline_s : float
        Monotonic time at which the lease expires for its holder.
    orders_from_s : float
        Monotonic time from which orders may be sent: the former holder's orders
        have then ended, also at targets that don't compare fencing tokens.
    """

    name: str
    fencing_token: int
    deadline_s: float
    orders_from_s: float

    @property
    def era(self) -> int:
        """Era of the store in which the lease was acquired."""
        return self.fencing_token // TOKENS_PER_ERA

    def check(self, *, now_s: float, needed_s: float = 0.0) -> None:
        """Raise `LeaseLostError` unless the lease is valid for ``needed_s`` more."""
        if now_s + needed_s >= self.deadline_s:
            raise LeaseLostError(
                f"lease {self.name!r} expires before the operation can finish",
                step="lease",
            )


def first_token(era: int) -> int:
    """Return the lowest fencing token of an era."""
    return era * TOKENS_PER_ERA + 1

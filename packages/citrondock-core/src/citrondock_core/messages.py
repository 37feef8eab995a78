"""What routers tell each other about shares and slots."""

from collections.abc import Sequence

import attrs


@attrs.frozen(kw_only=True)
class Member:
    """A live router.

    Parameters
    ----------
    vm_name : str
        Its VM.
    availability_zone : str
        Its zone.
    incarnation : int
        Differs between a restarted router and its former self; larger is newer.
    """

    vm_name: str
    availability_zone: str
    incarnation: int


@attrs.frozen(kw_only=True)
class ServiceCounter:
    """Service charged by one router incarnation to one account.

    Both counters only grow, so that merging is taking the maximum.

    Parameters
    ----------
    vm_name, incarnation : str, int
        Who counted.
    account : str
        Account.
    charged_tokens, refunded_tokens : float
        Service charged, and estimates given back at settlement.
    """

    vm_name: str
    incarnation: int
    account: str
    charged_tokens: float
    refunded_tokens: float


@attrs.frozen(kw_only=True)
class Demand:
    """Requests that wait at one router.

    Parameters
    ----------
    vm_name, incarnation : str, int
        Where they wait.
    pool, account : str
        For what and for whom.
    waiting_count : int
        How many; 0 withdraws an earlier statement.
    sequence : int
        Grows with each statement of that router; a late one is dropped.
    """

    vm_name: str
    incarnation: int
    pool: str
    account: str
    waiting_count: int
    sequence: int


@attrs.frozen(kw_only=True)
class Summary:
    """Changed counters and demand, on their way up to or down from a relay."""

    counters: Sequence[ServiceCounter] = ()
    demands: Sequence[Demand] = ()


@attrs.frozen(kw_only=True)
class SlotGrant:
    """Slots of a target, lent by its home router.

    Parameters
    ----------
    grant_id : str
        Unique id, so that a doubled message is harmless.
    target, pool : str
        Where the slots are.
    slot_count : int
        How many requests may be started.
    ttl_s : float
        How long after receipt they may be started.
    account : str
        Account for which the slots were lent; the holder may prefer a lower one.
    """

    grant_id: str
    target: str
    pool: str
    slot_count: int
    ttl_s: float
    account: str = ""


@attrs.frozen(kw_only=True)
class SlotReturn:
    """Slots given back to a home, unused or after their requests ended.

    Parameters
    ----------
    grant_id : str
        Grant they came from.
    target : str
        Where the slots are.
    returned_count : int
        Total returned so far of this grant, so that doubling is harmless.
    """

    grant_id: str
    target: str
    returned_count: int


@attrs.frozen(kw_only=True)
class InFlight:
    """Lent slots in use at the sender, for a new home of the target."""

    target: str
    in_flight_count: int
    sequence: int


PeerMessage = Summary | SlotGrant | SlotReturn | InFlight

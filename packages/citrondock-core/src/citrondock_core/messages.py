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
    stream : int
        Grows when the counters start from zero again for another receiver.
    """

    vm_name: str
    incarnation: int
    account: str
    charged_tokens: float
    refunded_tokens: float
    stream: int = 0


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
class ServiceTotal:
    """Service of one account over the whole fleet, as a relay knows it.

    All parts only grow, so that merging is taking the maximum.

    Parameters
    ----------
    account : str
        Account.
    charged_tokens, refunded_tokens : float
        Sums over all routers and incarnations.
    lifted_tokens, clamped_tokens : float
        How far its normalised service was raised out of idleness, and lowered after
        a partition; 0 where it did not change.
    """

    account: str
    charged_tokens: float
    refunded_tokens: float
    lifted_tokens: float = 0.0
    clamped_tokens: float = 0.0


@attrs.frozen(kw_only=True)
class Summary:
    """Changed counters and demand, on their way up to or down from a relay.

    Parameters
    ----------
    counters : sequence of ServiceCounter
        Service counted by the sender, or by the zone that it is the relay of.
    demands : sequence of Demand
        Requests that wait at the sender, or that it heard of.
    totals : sequence of ServiceTotal
        Sums over the fleet, on their way down.
    sequence : int
        Number of this message among those with counters of the sender; 0 for none.
    acknowledged : tuple of int
        Sequences of the receiver's messages that the sender merged lately.
    wants_totals : bool
        Whether the sender has no memory and asks for all totals.
    """

    counters: Sequence[ServiceCounter] = ()
    demands: Sequence[Demand] = ()
    totals: Sequence[ServiceTotal] = ()
    sequence: int = 0
    acknowledged: tuple[int, ...] = ()
    wants_totals: bool = False


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
    unused : bool
        Whether no request was started on any of them.
    """

    grant_id: str
    target: str
    returned_count: int
    unused: bool = False


@attrs.frozen(kw_only=True)
class InFlight:
    """Requests of the sender at a target that another router is home of.

    Parameters
    ----------
    target : str
        Where they run.
    in_flight_count : int
        How many.
    sequence : int
        Grows with each statement of the sender; a late one is dropped.
    first_token_s : float
        Latest time between a start and its first token; 0 for none.
    """

    target: str
    in_flight_count: int
    sequence: int
    first_token_s: float = 0.0


PeerMessage = Summary | SlotGrant | SlotReturn | InFlight

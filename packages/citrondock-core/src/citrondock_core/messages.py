"""Messages between routers about service, demand and slots."""

from collections.abc import Sequence

import attrs


@attrs.frozen(kw_only=True)
class Member:
    """Identity of a live router.

    Parameters
    ----------
    vm_name : str
        Name of its VM.
    availability_zone : str
        Availability zone of its VM.
    incarnation : int
        Differs from that of the router before a restart; larger is newer.
    """

    vm_name: str
    availability_zone: str
    incarnation: int


@attrs.frozen(kw_only=True)
class ServiceCounter:
    """Service charged to one account by one incarnation of a router.

    Both counters only grow, so they are merged by taking the maximum.

    Parameters
    ----------
    vm_name, incarnation : str, int
        Router that counted.
    account : str
        Name of the account.
    charged_tokens, refunded_tokens : float
        Tokens charged, and the part of estimates refunded when requests ended.
    stream : int
        Number of the sender's stream; it grows when the counters start from zero again
        for another receiver.
    """

    vm_name: str
    incarnation: int
    account: str
    charged_tokens: float
    refunded_tokens: float
    stream: int = 0


@attrs.frozen(kw_only=True)
class Demand:
    """Number of an account's requests that wait for a pool at one router.

    Parameters
    ----------
    vm_name, incarnation : str, int
        Router at which they wait.
    pool, account : str
        Pool that they wait for, and their account.
    waiting_count : int
        Number of waiting requests; 0 withdraws earlier demand.
    sequence : int
        Grows with each update of that router; an older update is dropped.
    """

    vm_name: str
    incarnation: int
    pool: str
    account: str
    waiting_count: int
    sequence: int


@attrs.frozen(kw_only=True)
class ServiceTotal:
    """Service of one account in the whole fleet, as summed by a relay.

    All fields only grow, so they are merged by taking the maximum.

    Parameters
    ----------
    account : str
        Name of the account.
    charged_tokens, refunded_tokens : float
        Sums over all routers and incarnations.
    lifted_tokens, clamped_tokens : float
        How far its normalised service was raised after it was idle, and lowered after
        a network partition; 0 when unchanged since the last message.
    """

    account: str
    charged_tokens: float
    refunded_tokens: float
    lifted_tokens: float = 0.0
    clamped_tokens: float = 0.0


@attrs.frozen(kw_only=True)
class Summary:
    """Changed counters and demand, sent to a relay or from it.

    Parameters
    ----------
    counters : sequence of ServiceCounter
        Service counted by the sender, or by its zone when it is the relay.
    demands : sequence of Demand
        Demand at the sender, or demand that it received from others.
    totals : sequence of ServiceTotal
        Sums over the fleet, from a relay to the members of its zone.
    sequence : int
        Number of this message among the sender's messages with counters; 0 for none.
    acknowledged : tuple of int
        Sequence numbers of the receiver's messages that the sender merged recently.
    wants_totals : bool
        Whether the sender has just started and asks for all totals.
    """

    counters: Sequence[ServiceCounter] = ()
    demands: Sequence[Demand] = ()
    totals: Sequence[ServiceTotal] = ()
    sequence: int = 0
    acknowledged: tuple[int, ...] = ()
    wants_totals: bool = False


@attrs.frozen(kw_only=True)
class SlotGrant:
    """Slots of a target that its home router lends to another router.

    Parameters
    ----------
    grant_id : str
        Unique id, so that a duplicate message is recognised.
    target, pool : str
        Target of the slots, and its pool.
    slot_count : int
        How many requests may run at the same time.
    ttl_s : float
        How long after receipt requests may be started; 0 recalls the grant.
    account : str
        Account for which the slots were lent. The borrower may use them for an account
        of lower normalised service.
    """

    grant_id: str
    target: str
    pool: str
    slot_count: int
    ttl_s: float
    account: str = ""


@attrs.frozen(kw_only=True)
class SlotReturn:
    """Slots given back to a home router, unused or after their requests ended.

    Parameters
    ----------
    grant_id : str
        Grant by which they were lent.
    target : str
        Target of the slots.
    returned_count : int
        Slots of this grant returned so far, in total, so that duplicates are harmless.
    unused : bool
        Whether no request was started on any slot of the grant.
    """

    grant_id: str
    target: str
    returned_count: int
    unused: bool = False


@attrs.frozen(kw_only=True)
class InFlight:
    """Report of the sender's requests in flight at a target of another home router.

    Parameters
    ----------
    target : str
        Target that runs them.
    in_flight_count : int
        Number of requests in flight.
    sequence : int
        Grows with each report of the sender; an older report is dropped.
    first_token_s : float
        Latest measured time from a start to its first token; 0 for none.
    """

    target: str
    in_flight_count: int
    sequence: int
    first_token_s: float = 0.0


PeerMessage = Summary | SlotGrant | SlotReturn | InFlight

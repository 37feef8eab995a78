"""Figures of a dispatcher, for metrics and status."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class DispatchStatistics:
    """State of one dispatcher at one moment.

    Parameters
    ----------
    slot_count : int
        Slots of the available targets that this router is home of.
    busy_slot_count : int
        How many of them run a request, here or at a router they are lent to.
    lent_slot_count : int
        How many of them are lent to other routers.
    borrowed_slot_count : int
        Slots that this router holds from other homes.
    waiting_count_by_account : mapping of str to int
        Requests that wait at this router.
    service_tokens_by_account : mapping of str to float
        Service charged to the accounts that this router knows, fleet-wide.
    level_by_account : mapping of str to float
        Normalised service by which the accounts that wait here are ordered.
    idle_slot_s : float
        Slot-seconds that were idle at this home while eligible work was known.
    limit_by_target : mapping of str to int
        Learned concurrency limits of the targets that this router is home of.
    """

    slot_count: int
    busy_slot_count: int
    lent_slot_count: int
    borrowed_slot_count: int
    waiting_count_by_account: Mapping[str, int]
    service_tokens_by_account: Mapping[str, float]
    level_by_account: Mapping[str, float]
    idle_slot_s: float
    limit_by_target: Mapping[str, int]

"""Snapshot of a dispatcher's state, for metrics and status."""

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class DispatchStatistics:
    """State of one dispatcher at one point in time.

    Parameters
    ----------
    slot_count : int
        Slots of the available targets whose home is this router.
    busy_slot_count : int
        Slots of these in use, including lent slots.
    lent_slot_count : int
        Slots of this router's own targets that are lent to other routers.
    borrowed_slot_count : int
        Slots that this router has borrowed from other home routers.
    waiting_count_by_account : mapping of str to int
        Requests waiting at this router.
    service_tokens_by_account : mapping of str to float
        Service charged by all routers to the accounts that this router knows.
    level_by_account : mapping of str to float
        Normalised service of the accounts with requests waiting at this router.
    idle_slot_s : float
        Slot-seconds in which slots of this router's own targets were idle although
        requests for their pool were known to wait.
    limit_by_target : mapping of str to int
        Adaptive concurrency limits of the targets whose home is this router.
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

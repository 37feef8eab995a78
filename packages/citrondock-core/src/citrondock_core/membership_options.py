"""Timing and limits of the membership view."""

import attrs
from attrs.validators import ge, gt


@attrs.frozen(kw_only=True)
class MembershipOptions:
    """Timing and limits of the membership view.

    Parameters
    ----------
    heartbeat_period_s : float
        Time between two heartbeats to the same contact.
    expiry_s : float
        Time without heartbeats after which a contact counts as lost.
    full_mesh_count : int
        Size of the largest fleet in which every router sends to every other.
    large_fleet_factor : float
        Factor on the heartbeat period and expiry in a larger fleet.
    zone_contact_count, remote_contact_count : int
        Contacts in the own zone and in other zones in a larger fleet.
    refresh_count : int
        Unchanged heartbeats of other routers relayed in each message in a larger
        fleet; one is relayed in a smaller fleet.
    max_gossip_count : int
        Most heartbeats of other routers in one message.
    lost_retention_s : float
        Time for which a lost incarnation is remembered, so that its late heartbeats
        are dropped.
    """

    heartbeat_period_s: float = attrs.field(default=1.5, validator=gt(0))
    expiry_s: float = attrs.field(default=4.0, validator=gt(0))
    full_mesh_count: int = attrs.field(default=8, validator=ge(2))
    large_fleet_factor: float = attrs.field(default=2.0, validator=ge(1))
    zone_contact_count: int = attrs.field(default=3, validator=ge(1))
    remote_contact_count: int = attrs.field(default=1, validator=ge(1))
    refresh_count: int = attrs.field(default=2, validator=ge(1))
    max_gossip_count: int = attrs.field(default=24, validator=ge(1))
    lost_retention_s: float = attrs.field(default=900.0, validator=gt(0))

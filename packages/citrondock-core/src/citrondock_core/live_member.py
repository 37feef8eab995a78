"""Live routers and contacts, as the membership view tells them."""

import attrs

from citrondock_core.messages import Member


@attrs.frozen(kw_only=True)
class LiveMember:
    """A router that counts as live.

    Parameters
    ----------
    member : Member
        VM, zone and incarnation.
    host, port : str, int
        Address of its peer service.
    leaving : bool
        Whether it is stopping gracefully.
    configuration_revision : int
        Revision that it last said it has in force.
    reachable : bool
        Whether it isn't known to be out of direct reach.
    """

    member: Member
    host: str
    port: int
    leaving: bool
    configuration_revision: int
    reachable: bool


@attrs.frozen(kw_only=True)
class Contact:
    """A router to which heartbeats are to be sent; it may be dead."""

    vm_name: str
    host: str
    port: int

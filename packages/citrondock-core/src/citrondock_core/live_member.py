"""Live routers and heartbeat contacts, as the membership view reports them."""

import attrs

from citrondock_core.messages import Member


@attrs.frozen(kw_only=True)
class LiveMember:
    """A router that the membership view considers live.

    Parameters
    ----------
    member : Member
        VM, zone and incarnation.
    host, port : str, int
        Address of its peer service.
    leaving : bool
        Whether the router is shutting down gracefully.
    configuration_revision : int
        Configuration revision in force at the router, as it last reported.
    reachable : bool
        False if heartbeats arrive only via other routers though direct ones are
        expected.
    """

    member: Member
    host: str
    port: int
    leaving: bool
    configuration_revision: int
    reachable: bool


@attrs.frozen(kw_only=True)
class Contact:
    """A router to which heartbeats are sent; it may be dead."""

    vm_name: str
    host: str
    port: int

"""What a router says of itself to other routers."""

import attrs


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A sign of life of one router, sent by itself or carried by another.

    Parameters
    ----------
    vm_name, availability_zone : str
        Where the router runs.
    incarnation : int
        Larger after each restart, for example the Unix time in milliseconds at
        which the process began.
    host : str
        IP number of its peer service.
    port : int
        Port of its peer service.
    leaving : bool
        Whether it is stopping gracefully.
    configuration_revision : int
        Revision that it has in force.
    sequence : int
        Grows by one with each heartbeat of an incarnation.
    gone : bool
        Whether the sender lost the router after this sequence number; a later
        heartbeat of the router itself refutes it.
    """

    vm_name: str
    availability_zone: str
    incarnation: int
    host: str
    port: int
    leaving: bool = False
    configuration_revision: int = 0
    sequence: int = 0
    gone: bool = False

    @property
    def freshness(self) -> tuple[int, int]:
        """Order of heartbeats of one VM, oldest first."""
        return (self.incarnation, self.sequence)

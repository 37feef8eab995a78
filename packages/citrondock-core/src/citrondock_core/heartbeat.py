"""Heartbeats that routers exchange."""

import attrs


@attrs.frozen(kw_only=True)
class Heartbeat:
    """The state of one router, sent by the router itself or relayed by another.

    Parameters
    ----------
    vm_name, availability_zone : str
        VM and zone of the router.
    incarnation : int
        Number that is larger after each restart, for example the Unix time in
        milliseconds at which the process started.
    host : str
        IP address of the router's peer service.
    port : int
        Port of the router's peer service.
    leaving : bool
        Whether the router is shutting down gracefully.
    configuration_revision : int
        Configuration revision in force at the router.
    sequence : int
        Grows by one with each heartbeat of an incarnation.
    gone : bool
        Whether the sender considers the router lost after this sequence number. A
        later heartbeat of the router itself refutes it.
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
        """Sort key of the heartbeats of one VM, oldest first."""
        return (self.incarnation, self.sequence)

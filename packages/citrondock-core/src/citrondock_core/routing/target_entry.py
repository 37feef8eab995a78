"""A target's entry in the registry."""

import attrs


@attrs.frozen(kw_only=True)
class TargetEntry:
    """One incarnation of one target.

    Parameters
    ----------
    target_id : str
        Id under which the target is registered.
    service : str
        Service that it belongs to.
    host, port : str, int
        Address at which it listens; a target of another service may get it later.
    availability_zone : str
        Zone that it runs in.
    max_concurrency : int
        Most requests that it runs at once.
    is_leaving : bool
        Whether it is shutting down and takes no new requests.
    software_version : str
        Version of its software; empty if unknown.
    started_at_ms : int
        Start of its process in Unix milliseconds; 0 if unknown.
    registered_revision : int
        Revision of the registry at which the entry was written; 0 if unknown. Entries
        that differ in it alone are equal.
    """

    target_id: str
    service: str
    host: str
    port: int
    availability_zone: str
    max_concurrency: int
    is_leaving: bool
    software_version: str = ""
    started_at_ms: int = 0
    registered_revision: int = attrs.field(default=0, eq=False)

    def is_other_incarnation_of(self, other: "TargetEntry") -> bool:
        """Return whether the target restarted or moved since ``other``."""
        return (
            self.started_at_ms,
            self.host,
            self.port,
            self.service,
            self.software_version,
        ) != (
            other.started_at_ms,
            other.host,
            other.port,
            other.service,
            other.software_version,
        )

"""Targets as their registry describes them."""

import attrs


@attrs.frozen(kw_only=True)
class TargetEntry:
    """One life of one target.

    Parameters
    ----------
    target_id : str
        Id under which it is registered.
    service : str
        Service that it belongs to.
    host, port : str, int
        Where it listens; the address may pass to a target of another service.
    availability_zone : str
        Zone it stands in.
    max_concurrency : int
        Requests that it runs at once.
    is_leaving : bool
        Whether it takes no new work.
    started_at_ms : int
        Its own start, Unix milliseconds; 0 where it is unknown.
    """

    target_id: str
    service: str
    host: str
    port: int
    availability_zone: str
    max_concurrency: int
    is_leaving: bool
    started_at_ms: int = 0

    def is_other_incarnation_of(self, other: "TargetEntry") -> bool:
        """Return whether the target restarted or moved since ``other``."""
        return (self.started_at_ms, self.host, self.port, self.service) != (
            other.started_at_ms,
            other.host,
            other.port,
            other.service,
        )

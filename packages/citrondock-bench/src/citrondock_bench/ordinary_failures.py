"""What ordinary failures cost at the two-year size."""

import attrs

from citrondock_bench import two_year

NODES_PER_RACK = 8
MEMBER_EXPIRY_S = 3.0
START_READS = 4
SECONDS_PER_HOUR = 3600


@attrs.frozen(kw_only=True)
class OrdinaryFailure:
    """One kind of failure.

    Parameters
    ----------
    name : str
        What fails.
    times_per_year : float
        How often.
    lost_nodes : int
        Routers lost at once.
    """

    name: str
    times_per_year: float
    lost_nodes: int

    @property
    def moved_targets(self) -> int:
        """Targets whose home moves."""
        return round(self.lost_nodes * two_year.TARGETS_PER_NODE)

    @property
    def returning_reads(self) -> int:
        """Store reads when the routers come back with no memory."""
        return self.lost_nodes * START_READS

    @property
    def returning_s(self) -> float:
        """Shortest time in which the store takes these reads."""
        return self.returning_reads / two_year.STORE_READS_PER_S


FAILURES = (
    OrdinaryFailure(
        name="a VM fails",
        times_per_year=365 * two_year.VM_FAILURES_PER_DAY,
        lost_nodes=1,
    ),
    OrdinaryFailure(
        name="a VM is replaced",
        times_per_year=365 * two_year.VM_REPLACEMENTS_PER_DAY,
        lost_nodes=1,
    ),
    OrdinaryFailure(name="a rack", times_per_year=8, lost_nodes=NODES_PER_RACK),
    OrdinaryFailure(
        name="an availability zone",
        times_per_year=1.5,
        lost_nodes=two_year.NODE_COUNT // two_year.ZONE_COUNT,
    ),
    OrdinaryFailure(
        name="a region cut off for an hour",
        times_per_year=4,
        lost_nodes=two_year.NODE_COUNT // two_year.REGION_COUNT,
    ),
)

"""The platform's lagging list of VMs."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Vm:
    """One VM of the platform's list.

    Parameters
    ----------
    name : str
        Name, unique in the deployment.
    availability_zone : str
        Name of its `AvailabilityZone`.
    host : str
        IP number.
    port : int
        Port of its peer service for routers, of its HTTP service for targets.
    state : VmState
        Live or leaving.
    """

    name: str
    availability_zone: str
    host: str
    port: int
    state: VmState = VmState.LIVE


class VmDirectory(ABC):
    """The list of live and leaving VMs; it lags and may be wrong."""

    @abstractmethod
    def list(self, *, timeout_s: float = 2.0) -> Sequence[Vm]:
        """Return the list as the platform has it now.

        Raises `citrondock_core.object_store.StoreUnavailableError` when the
        platform is not reached.
        """

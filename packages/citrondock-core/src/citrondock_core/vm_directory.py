"""The platform's list of VMs, which may be out of date."""

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs


class VmState(enum.Enum):
    """State of a VM, as the platform reports it."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen(kw_only=True)
class Vm:
    """An entry of the platform's list of VMs.

    Parameters
    ----------
    name : str
        Name, unique in the deployment.
    availability_zone : str
        Name of the availability zone in which it runs.
    host : str
        IP address.
    port : int
        TCP port: of the peer service for a router, of the HTTP service for a
        target.
    state : VmState
        Whether the platform keeps the VM or is about to remove it.
    """

    name: str
    availability_zone: str
    host: str
    port: int
    state: VmState = VmState.LIVE


class VmDirectory(ABC):
    """Source of the list of VMs; the list lags behind and may be wrong."""

    @abstractmethod
    def list(self, *, timeout_s: float = 2.0) -> Sequence[Vm]:
        """Return the list that the platform has at the moment.

        Raises `citrondock_core.object_store.StoreUnavailableError` when the
        platform cannot be reached.
        """

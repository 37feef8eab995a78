"""Settings of one gateway process."""

import attrs
from attrs.validators import ge, gt

from citrondock_core.routing.attempt_budget import (
    AttemptBudgetOptions,
    spare_count_per_router,
)
from citrondock_router.gateway.overload_guard import SHED_LAG_S


@attrs.frozen
class Address:
    """An IP number and a port; port 0 takes a free one when it is listened on."""

    host: str
    port: int = attrs.field(validator=[ge(0)])

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """What a gateway is told at its start.

    Parameters
    ----------
    vm_name : str
        Name of its VM.
    availability_zone : str
        Zone it stands in.
    client_address : Address
        Where clients connect.
    readiness_address : Address
        Where the balancer asks.
    metrics_address : Address
        Where metrics are served.
    peer_address : Address
        Where other routers send datagrams.
    store_address : Address
        The platform's object store.
    grace_s : float
        Time from the request to stop until the process is killed.
    registry_grace_s : float
        Time after an outage of the store within which living targets are back.
    retry_ratio, retry_window_s : float
        Repeated sends for each request, and the time over which both are counted.
    fleet_spare_retries : float
        Repeats beyond the ratio that all routers together may use in each window.
    shed_lag_s : float
        Requests that waited so long for the event loop are refused at once.
    """

    vm_name: str
    availability_zone: str
    client_address: Address
    readiness_address: Address
    metrics_address: Address
    peer_address: Address
    store_address: Address
    grace_s: float = attrs.field(validator=gt(0))
    registry_grace_s: float = attrs.field(validator=ge(0))
    retry_ratio: float = attrs.field(validator=ge(0))
    retry_window_s: float = attrs.field(validator=gt(0))
    fleet_spare_retries: float = attrs.field(validator=ge(0))
    shed_lag_s: float = attrs.field(default=SHED_LAG_S, validator=gt(0))

    def budget(self, known_router_count: int) -> AttemptBudgetOptions:
        """Return the limits of this router among so many."""
        return AttemptBudgetOptions(
            ratio=self.retry_ratio,
            window_s=self.retry_window_s,
            spare_count=spare_count_per_router(
                self.fleet_spare_retries, known_router_count
            ),
        )

"""Settings of one gateway process."""

import attrs
from attrs.validators import ge, gt

from citrondock_core.routing.retry_ratio_budget import (
    RetryRatioBudgetOptions,
    spare_count_per_router,
)
from citrondock_router.gateway.overload_guard import SHED_LAG_S


@attrs.frozen
class Address:
    """An IP address and a port; listening on port 0 picks a free port."""

    host: str
    port: int = attrs.field(validator=[ge(0)])

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings that a gateway is started with.

    Parameters
    ----------
    vm_name : str
        Name of the VM that the gateway runs on.
    availability_zone : str
        Zone of that VM.
    client_address : Address
        Address that clients connect to.
    readiness_address : Address
        Address of the load balancer's readiness check.
    metrics_address : Address
        Address that metrics are served on.
    peer_address : Address
        Address that other routers send datagrams to.
    store_address : Address
        Address of the platform's object store.
    grace_s : float
        Time from the request to stop until the process is killed.
    registry_grace_s : float
        Time after an outage of the store within which live targets register again.
    retry_ratio : float
        Retries allowed for each request.
    retry_window_s : float
        Time over which requests and retries are counted.
    fleet_spare_retries : float
        Retries beyond the ratio that all routers together may use in each window.
    memory_limit_bytes : int or None
        Memory of the machine that the process may use, if that is known.
    socket_limit : int or None
        Sockets that the process may have, if that is known.
    store_writes_per_s : float or None
        Write calls that the store takes from all routers, if that is known.
    has_evacuations : bool
        Whether the operator may evacuate zones, so that this has to be followed.
    shed_lag_s : float
        Requests that waited for the event loop longer than this are refused at once.
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
    memory_limit_bytes: int | None = attrs.field(
        default=None, validator=attrs.validators.optional(gt(0))
    )
    socket_limit: int | None = attrs.field(
        default=None, validator=attrs.validators.optional(gt(0))
    )
    store_writes_per_s: float | None = attrs.field(
        default=None, validator=attrs.validators.optional(gt(0))
    )
    has_evacuations: bool = False
    shed_lag_s: float = attrs.field(default=SHED_LAG_S, validator=gt(0))

    def budget_options(self, known_router_count: int) -> RetryRatioBudgetOptions:
        """Return the retry limits of this router.

        Parameters
        ----------
        known_router_count : int
            Routers that share the fleet's spare retries, this one included.
        """
        return RetryRatioBudgetOptions(
            ratio=self.retry_ratio,
            window_s=self.retry_window_s,
            spare_count=spare_count_per_router(
                self.fleet_spare_retries, known_router_count
            ),
        )

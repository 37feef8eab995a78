"""Shuts a gateway down gracefully, so that live requests can end."""

import asyncio

import attrs

from citrondock_router.gateway.gateway import Gateway
from citrondock_router.log import log_event


@attrs.frozen(kw_only=True)
class ShutdownOptions:
    """Timing of a shutdown.

    Parameters
    ----------
    accept_s : float
        Time from the request to stop for which requests are still accepted. The load
        balancer needs two failed checks of one second each before it sends new
        connections elsewhere.
    margin_s : float
        Time before the kill of the process at which the last requests are given up.
    poll_s : float
        Period in which live requests are counted.
    """

    accept_s: float = 3.0
    margin_s: float = 0.4
    poll_s: float = 0.05


async def shut_down(
    gateway: Gateway, *, grace_s: float, options: ShutdownOptions | None = None
) -> None:
    """Go on serving for a while, then refuse requests and wait for live ones to end.

    Parameters
    ----------
    gateway : Gateway
        Gateway to shut down.
    grace_s : float
        Time from now until the process is killed.
    options : ShutdownOptions, optional
        Timing.
    """
    options = options or ShutdownOptions()
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    end_s = started_at_s + max(grace_s - options.margin_s, 0.0)
    gateway.start_draining(stops_at_s=end_s)
    log_event("leaving", live_requests=gateway.live_count)
    await asyncio.sleep(min(options.accept_s, max(grace_s - options.margin_s, 0.0)))
    gateway.is_refusing = True
    while gateway.live_count and loop.time() < end_s:
        await asyncio.sleep(options.poll_s)
    log_event(
        "stopped",
        live_requests=gateway.live_count,
        duration_s=loop.time() - started_at_s,
    )
    gateway.end_requests()
    gateway.close_clients()
    await asyncio.sleep(options.poll_s)

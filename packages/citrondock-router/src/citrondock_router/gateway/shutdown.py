"""Stops a gateway so that no request is cut off."""

import asyncio

import attrs

from citrondock_router.gateway.gateway import Gateway
from citrondock_router.log import log_event


@attrs.frozen(kw_only=True)
class ShutdownOptions:
    """Times of a shutdown, from the request to stop.

    Parameters
    ----------
    accept_s : float
        Time for which requests are still taken; the balancer needs two missed checks
        of one second each before it sends new connections elsewhere.
    margin_s : float
        Time left before the process is killed when the last requests are given up.
    poll_s : float
        Period in which live requests are counted.
    """

    accept_s: float = 3.0
    margin_s: float = 0.4
    poll_s: float = 0.05


async def shut_down(
    gateway: Gateway, *, grace_s: float, options: ShutdownOptions | None = None
) -> None:
    """Serve on, then refuse, then wait for the last request or the end of grace."""
    options = options or ShutdownOptions()
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    end_s = started_at_s + max(grace_s - options.margin_s, 0.0)
    gateway.start_draining()
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
    gateway.close_clients()
    await asyncio.sleep(options.poll_s)

"""Shuts a gateway down gracefully, so that live requests can end."""

import asyncio
from collections.abc import Callable

import attrs

from citrondock_router.gateway.event_loop import wait_for_poll
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
    close_s : float
        Longest time for which requests that had arrived unread are still answered,
        after the last requests were given up. Clients that have not read their
        responses yet are waited for until the margin begins.
    """

    accept_s: float = 3.0
    margin_s: float = 0.4
    poll_s: float = 0.05
    close_s: float = 0.2


async def shut_down(
    gateway: Gateway,
    *,
    grace_s: float,
    options: ShutdownOptions | None = None,
    stop_accepting: Callable[[], None] | None = None,
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
    stop_accepting : callable, optional
        Closes the listening sockets, once the last requests have ended.
    """
    options = options or ShutdownOptions()
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    end_s = started_at_s + max(grace_s - options.margin_s, 0.0)
    gateway.start_draining(stops_at_s=end_s)
    log_event("leaving", live_requests=gateway.live_count)
    await asyncio.sleep(min(options.accept_s, max(grace_s - options.margin_s, 0.0)))
    gateway.is_refusing = True
    await wait_for_poll()
    while gateway.live_count and loop.time() < end_s:
        await asyncio.sleep(options.poll_s)
        await wait_for_poll()
    log_event(
        "stopped",
        live_requests=gateway.live_count,
        duration_s=loop.time() - started_at_s,
    )
    gateway.end_requests()
    if stop_accepting is not None:
        stop_accepting()
    close_by_s = loop.time() + options.close_s
    while open_count := gateway.close_clients():
        now_s = loop.time()
        undelivered = gateway.undelivered_clients()
        if now_s >= max(close_by_s, end_s) or (now_s >= close_by_s and not undelivered):
            log_event(
                "clients_left_open", count=open_count, undelivered=len(undelivered)
            )
            for client in undelivered:
                client.leave_to_kernel()
            break
        await asyncio.sleep(options.poll_s)
    await asyncio.sleep(options.poll_s)

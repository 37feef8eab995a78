"""Runs a coroutine on the event loop that gateways use."""

import asyncio
from collections.abc import Coroutine

import uvloop


def run(main: Coroutine[object, object, None]) -> None:
    """Run a coroutine to its end on a new uvloop event loop.

    uvloop needs a third less processor time per event than asyncio's own loop.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)

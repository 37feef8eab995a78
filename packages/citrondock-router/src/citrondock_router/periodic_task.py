"""A background thread that calls a function periodically."""

import random
import threading
from collections.abc import Callable

from citrondock_router.log import log_event

_JITTER = 0.1


class PeriodicTask:
    """Calls a function periodically on its own thread, until it is stopped.

    Parameters
    ----------
    name : str
        Name of the thread, also given in the log event of a failed call.
    function : callable
        Function to call; an exception is logged and does not end the thread.
    period_s : float
        Pause between two calls, with jitter so that routers don't synchronise.
    """

    def __init__(
        self, name: str, function: Callable[[], None], *, period_s: float
    ) -> None:
        self._name = name
        self._function = function
        self._period_s = period_s
        self._rng = random.Random(name)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, *, timeout_s: float = 2.0) -> None:
        """End the thread after the call under way; wait for it up to the timeout."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._function()
            except Exception as error:
                log_event(
                    "periodic_error",
                    level="ERROR",
                    periodic=self._name,
                    error=type(error).__name__,
                    detail=str(error),
                )
            spread = 1 + self._rng.uniform(-_JITTER, _JITTER)
            self._stopped.wait(self._period_s * spread)

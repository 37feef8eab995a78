"""Signal that tells the main thread to stop the router gracefully."""

import signal
import threading


class StopSignal:
    """Set by SIGTERM, SIGINT or an operator's drain."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def install(self) -> None:
        """Install the signal handlers; must be called from the main thread."""
        signal.signal(signal.SIGTERM, lambda *_: self._event.set())
        signal.signal(signal.SIGINT, lambda *_: self._event.set())

    def set(self) -> None:
        """Request a stop."""
        self._event.set()

    def is_set(self) -> bool:
        """Whether a stop was requested."""
        return self._event.is_set()

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for a stop request; return whether there is one."""
        return self._event.wait(timeout_s)

"""Tells the main thread to begin a graceful stop."""

import signal
import threading


class StopSignal:
    """Set by SIGTERM, SIGINT or an operator's drain."""

    def __init__(self) -> None:
        self._event = threading.Event()

    def install(self) -> None:
        """Handle the process's signals; only the main thread can."""
        signal.signal(signal.SIGTERM, lambda *_: self._event.set())
        signal.signal(signal.SIGINT, lambda *_: self._event.set())

    def set(self) -> None:
        """Ask for a stop."""
        self._event.set()

    def is_set(self) -> bool:
        """Whether a stop was asked for."""
        return self._event.is_set()

    def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until a stop is asked for."""
        return self._event.wait(timeout_s)

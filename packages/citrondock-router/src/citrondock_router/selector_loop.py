"""Base class of event loops that serve sockets in one thread."""

import selectors
import socket
import threading
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from functools import partial

from citrondock_router.log import log_event

_SELECT_TIMEOUT_S = 0.2


class SelectorLoop(ABC):
    """Event loop over a selector, run in its own thread.

    `start`, `stop` and `call_soon` may be called from any thread. All other methods run
    in the loop's thread.

    Parameters
    ----------
    name : str
        Name of the thread, also shown in log events.
    """

    def __init__(self, *, name: str) -> None:
        self.selector = selectors.DefaultSelector()
        self._name = name
        self._pending_calls: deque[Callable[[], None]] = deque()
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self.selector.register(self._wake_reader, selectors.EVENT_READ, None)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, *, timeout_s: float = 5.0) -> None:
        """Stop the thread and wait up to ``timeout_s`` seconds for its end."""
        self._stopping.set()
        self._wake()
        self._thread.join(timeout_s)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Schedule a function to run in the loop's thread."""
        self._pending_calls.append(function)
        if threading.current_thread() is not self._thread:
            self._wake()

    @abstractmethod
    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Handle a socket that is ready for the events in ``mask``."""

    @abstractmethod
    def on_idle(self) -> None:
        """Run periodic work; called after each round of events."""

    @abstractmethod
    def on_stop(self) -> None:
        """Release the remaining connections; called once before the thread ends."""

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"w")
        except OSError:
            return

    def _run(self) -> None:
        while not self._stopping.is_set():
            for key, mask in self.selector.select(_SELECT_TIMEOUT_S):
                if key.data is None:
                    self._drain_wake_socket()
                else:
                    self._run_guarded(partial(self.on_event, key, mask))
            self._run_pending()
            self._run_guarded(self.on_idle)
        self._run_guarded(self.on_stop)
        self.selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _run_pending(self) -> None:
        for _ in range(len(self._pending_calls)):
            self._run_guarded(self._pending_calls.popleft())

    def _run_guarded(self, function: Callable[[], None]) -> None:
        # An error on one connection must not stop the loop for all others.
        try:
            function()
        except Exception as error:
            log_event(
                "loop_error",
                level="ERROR",
                loop=self._name,
                error=type(error).__name__,
                message=str(error),
            )

    def _drain_wake_socket(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                continue
        except BlockingIOError:
            return

"""A thread that serves sockets through one selector."""

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
    """Base of loops that move bytes between sockets in one thread.

    Everything but `call_soon`, `start` and `stop` runs in the loop's own thread.
    """

    def __init__(self, *, name: str) -> None:
        self.selector = selectors.DefaultSelector()
        self._name = name
        self._pending: deque[Callable[[], None]] = deque()
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
        """End the thread and wait for it."""
        self._stopping.set()
        self._wake()
        self._thread.join(timeout_s)

    def call_soon(self, function: Callable[[], None]) -> None:
        """Run a function in the loop's thread; safe from every thread."""
        self._pending.append(function)
        if threading.current_thread() is not self._thread:
            self._wake()

    @abstractmethod
    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Serve one ready socket."""

    @abstractmethod
    def on_idle(self) -> None:
        """Run once after each round of events."""

    @abstractmethod
    def on_stop(self) -> None:
        """Release what the loop still holds."""

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"w")
        except OSError:
            return

    def _run(self) -> None:
        while not self._stopping.is_set():
            for key, mask in self.selector.select(_SELECT_TIMEOUT_S):
                if key.data is None:
                    self._drain_wake()
                else:
                    self._guard(partial(self.on_event, key, mask))
            self._run_pending()
            self._guard(self.on_idle)
        self._guard(self.on_stop)
        self.selector.close()
        self._wake_reader.close()
        self._wake_writer.close()

    def _run_pending(self) -> None:
        for _ in range(len(self._pending)):
            self._guard(self._pending.popleft())

    def _guard(self, function: Callable[[], None]) -> None:
        # One broken connection must not end the thread that serves all others.
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

    def _drain_wake(self) -> None:
        try:
            while self._wake_reader.recv(4096):
                continue
        except BlockingIOError:
            return

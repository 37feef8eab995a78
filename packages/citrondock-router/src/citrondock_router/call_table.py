"""Table of the calls that are waiting or running."""

import threading

from citrondock_router.call import Call


class CallTable:
    """Live calls by request id; may be used from any thread."""

    def __init__(self) -> None:
        self._calls: dict[str, Call] = {}
        self._lock = threading.Lock()
        self._empty = threading.Condition(self._lock)

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: Call) -> None:
        """Add a call."""
        with self._lock:
            self._calls[call.request_id] = call

    def get(self, request_id: str) -> Call | None:
        """Return a live call, or None if it ended or is unknown."""
        return self._calls.get(request_id)

    def target_names(self) -> set[str]:
        """Return the names of the targets that live calls were sent to."""
        with self._lock:
            targets = [call.target for call in self._calls.values()]
        return {target.name for target in targets if target is not None}

    def remove(self, request_id: str) -> None:
        """Remove a call that ended."""
        with self._lock:
            self._calls.pop(request_id, None)
            if not self._calls:
                self._empty.notify_all()

    def wait_until_empty(self, *, timeout_s: float) -> bool:
        """Wait until no call is live; return False on timeout."""
        with self._lock:
            return self._empty.wait_for(lambda: not self._calls, timeout_s)

"""Retries of store calls that failed or whose answers were lost."""

from collections.abc import Callable
from typing import TypeVar

from citrondock_core.object_store import AnswerLostError, StoreUnavailableError

MAX_ATTEMPTS = 5
FIRST_PAUSE_S = 0.1

T = TypeVar("T")


class StoreRetrier:
    """Retries idempotent store calls with exponential backoff.

    Parameters
    ----------
    pause : callable
        Called between two attempts with the seconds to wait.
    """

    def __init__(self, pause: Callable[[float], None]) -> None:
        self._pause = pause

    def retry(self, call: Callable[[], T]) -> T:
        """Return the result of ``call``, or raise the error of the last attempt."""
        for attempt in range(MAX_ATTEMPTS - 1):
            try:
                return call()
            except (StoreUnavailableError, AnswerLostError):
                self._pause(FIRST_PAUSE_S * 2**attempt)
        return call()

"""Repetition of store calls whose answers are lost or refused."""

from collections.abc import Callable
from typing import TypeVar

from citrondock_core.object_store import AnswerLostError, StoreUnavailableError

MAX_ATTEMPTS = 5
FIRST_PAUSE_S = 0.1

T = TypeVar("T")


class StoreRetrier:
    """Repeats calls that are harmless to repeat.

    Parameters
    ----------
    pause : callable
        Called with seconds between two attempts.
    """

    def __init__(self, pause: Callable[[float], None]) -> None:
        self._pause = pause

    def retry(self, call: Callable[[], T]) -> T:
        """Return the result of ``call``, or raise what its last attempt raised."""
        for attempt in range(MAX_ATTEMPTS - 1):
            try:
                return call()
            except (StoreUnavailableError, AnswerLostError):
                self._pause(FIRST_PAUSE_S * 2**attempt)
        return call()

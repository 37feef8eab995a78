"""Runs actions at given times during a load run."""

import threading
import time
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Self

import attrs


@attrs.frozen(kw_only=True)
class TimedAction:
    """A function and the time after the start at which it is called."""

    at_s: float
    action: Callable[[], None]


class Timeline:
    """Runs timed actions on a background thread while its context is open.

    An exception of an action ends the thread and is raised when the context closes.

    Parameters
    ----------
    actions : sequence of TimedAction
        Actions in any order.
    starts_at_s : float
        Monotonic time of the start, from which their times count.
    """

    def __init__(self, actions: Sequence[TimedAction], *, starts_at_s: float) -> None:
        self._actions = sorted(actions, key=lambda each: each.at_s)
        self._starts_at_s = starts_at_s
        self._stopped = threading.Event()
        self._error: BaseException | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if error is not None:
            self._stopped.set()
        self._thread.join()
        if error is None and self._error is not None:
            raise self._error

    def _run(self) -> None:
        try:
            for each in self._actions:
                delay_s = self._starts_at_s + each.at_s - time.monotonic()
                if self._stopped.wait(max(0.0, delay_s)):
                    return
                each.action()
        except Exception as error:
            self._error = error

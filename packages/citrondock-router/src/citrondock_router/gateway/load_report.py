"""Logs what a router that is short of processor time does with it."""

from collections.abc import Callable

import attrs

from citrondock_router.log import log_event

LATE_LAG_S = 0.025
"""Event loop lag from which on a report is logged: answers to grant requests may then
be read after their timeout."""


@attrs.frozen(kw_only=True)
class WorkCounts:
    """What a router has done since its start.

    Parameters
    ----------
    read_count, shed_count : int
        Client requests read, and those refused for lack of processor time.
    grant_request_count, sent_count : int
        Grant requests for prompts, and requests sent to targets.
    late_answer_count : int
        Answers to grant requests that came after these had ended.
    processor_s : float
        Processor time used.
    """

    read_count: int
    shed_count: int
    grant_request_count: int
    sent_count: int
    late_answer_count: int
    processor_s: float


class LoadReport:
    """Logs the work done in each period in which the event loop was late.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    counts : callable
        Returns the counts since the start.
    """

    def __init__(
        self, clock: Callable[[], float], counts: Callable[[], WorkCounts]
    ) -> None:
        self._clock = clock
        self._counts = counts
        self._began_at_s = clock()
        self._before = counts()
        self._max_lag_s = 0.0

    def observe_lag(self, lag_s: float) -> None:
        """Record how late a timer ran."""
        self._max_lag_s = max(self._max_lag_s, lag_s)

    def end_period(self, *, client_count: int, live_count: int) -> None:
        """Log the period that ends now, if the loop was late in it.

        Parameters
        ----------
        client_count, live_count : int
            Client connections, and requests that have not ended.
        """
        now_s, after, before = self._clock(), self._counts(), self._before
        if self._max_lag_s >= LATE_LAG_S and now_s > self._began_at_s:
            log_event(
                "router_late",
                level="WARNING",
                max_lag_s=self._max_lag_s,
                period_s=now_s - self._began_at_s,
                processor_s=after.processor_s - before.processor_s,
                read=after.read_count - before.read_count,
                shed=after.shed_count - before.shed_count,
                grant_requests=after.grant_request_count - before.grant_request_count,
                sent=after.sent_count - before.sent_count,
                late_answers=after.late_answer_count - before.late_answer_count,
                clients=client_count,
                live=live_count,
            )
        self._began_at_s, self._before, self._max_lag_s = now_s, after, 0.0

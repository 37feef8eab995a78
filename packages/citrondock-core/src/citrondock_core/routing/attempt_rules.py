"""Decides whether a failed request may be sent to another target."""

import enum

import attrs

from citrondock_core.routing.route import RouteKind

MAX_LOST_ATTEMPTS = 2
"""Attempts whose connection may end before the response has begun. A request that
crashes its targets is not sent to a third."""


class ExecutionStatus(enum.Enum):
    """Whether a target may have executed an attempt."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@attrs.define
class AttemptHistory:
    """Attempts to send one request.

    Parameters
    ----------
    kind : RouteKind
        Kind of the request's route; decides what may be sent again.
    max_attempts : int
        Most attempts for the request.
    sent_count : int
        Attempts so far.
    target_ids : list of str
        Targets of these attempts, in order.
    may_have_run : bool
        Whether a target may have executed one of them.
    lost_count : int
        Attempts whose connection ended before the response had begun.
    """

    kind: RouteKind
    max_attempts: int
    sent_count: int = 0
    target_ids: list[str] = attrs.field(factory=list)
    may_have_run: bool = False
    lost_count: int = 0

    def record_sent(self, target_id: str) -> None:
        """Record an attempt, just before its first bytes are sent."""
        self.sent_count += 1
        self.target_ids.append(target_id)

    def record_ended(self, status: ExecutionStatus) -> None:
        """Record the end of an attempt that gave the client no response."""
        if status is ExecutionStatus.MAY_HAVE_RUN:
            self.may_have_run = True

    def record_lost(self) -> None:
        """Record that a connection ended before the response had begun."""
        self.lost_count += 1

    def may_send_again(self) -> bool:
        """Return whether the request may be sent to one more target."""
        if self.sent_count >= self.max_attempts:
            return False
        if self.lost_count >= MAX_LOST_ATTEMPTS:
            return False
        return self.kind.may_run_again or not self.may_have_run

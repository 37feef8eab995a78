"""When a request may be sent again, and what may be said of one that failed."""

import enum

import attrs

from citrondock_core.routing.route import RouteKind


class ExecutionStatus(enum.Enum):
    """What is known about whether an attempt ran."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@attrs.define
class AttemptHistory:
    """Attempts of one request.

    Parameters
    ----------
    kind : RouteKind
        What may be repeated.
    max_attempts : int
        Most targets that it is sent to.
    """

    kind: RouteKind
    max_attempts: int
    sent_count: int = 0
    target_ids: list[str] = attrs.field(factory=list)
    may_have_run: bool = False

    def record_sent(self, target_id: str) -> None:
        """Note that bytes of the request are about to leave."""
        self.sent_count += 1
        self.target_ids.append(target_id)

    def record_ended(self, proof: ExecutionStatus) -> None:
        """Note how an attempt ended without an answer for the client."""
        if proof is ExecutionStatus.MAY_HAVE_RUN:
            self.may_have_run = True

    def may_send_again(self) -> bool:
        """Return whether one more target may be tried."""
        if self.sent_count >= self.max_attempts:
            return False
        return self.kind.may_run_again or not self.may_have_run

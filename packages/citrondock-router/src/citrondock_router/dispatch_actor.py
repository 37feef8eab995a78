"""Actor that owns the dispatcher, and the messages that it accepts."""

import time
from collections.abc import Callable, Sequence

import attrs
import pykka

from citrondock_core.actions import Action, Outcome, Refuse, Send, Start
from citrondock_core.configuration import Configuration
from citrondock_core.dispatch_statistics import DispatchStatistics
from citrondock_core.dispatcher import Dispatcher
from citrondock_core.load_report import LoadReport
from citrondock_core.messages import Member, PeerMessage
from citrondock_core.request import RequestRefusedError, Usage, WaitingRequest
from citrondock_router.log import log_event
from citrondock_router.relay import CallProgress


@attrs.frozen
class Submit:
    """A request arrived."""

    request: WaitingRequest


@attrs.frozen
class Withdraw:
    """The caller of a waiting request disconnected."""

    request_id: str


@attrs.frozen
class Progress:
    """Running requests generated more events."""

    progress: Sequence[CallProgress]


@attrs.frozen
class Finish:
    """A started request ended and is not retried."""

    request_id: str
    usage: Usage
    outcome: Outcome


@attrs.frozen
class Requeue:
    """A started request was not completed and is to be retried."""

    request_id: str


@attrs.frozen
class Receive:
    """A peer sent messages."""

    sender: Member
    messages: Sequence[PeerMessage]


@attrs.frozen
class SetMembers:
    """The set of live routers changed, or which of them are leaving."""

    members: Sequence[Member]
    leaving: frozenset[str]


@attrs.frozen
class SetConfiguration:
    """A new configuration applies."""

    configuration: Configuration


@attrs.frozen
class SetTargetAvailable:
    """A target became available for new requests, or unavailable."""

    target: str
    available: bool


@attrs.frozen
class ReportLoad:
    """A target reported its load."""

    target: str
    report: LoadReport


@attrs.frozen
class Tick:
    """Lets the dispatcher act on the time that has passed."""


@attrs.frozen
class ReadStatistics:
    """Asks for `DispatchStatistics`."""


@attrs.frozen
class Explain:
    """Asks why a request waits, or where it ran."""

    subject: str


DispatchMessage = (
    Submit
    | Withdraw
    | Progress
    | Finish
    | Requeue
    | Receive
    | SetMembers
    | SetConfiguration
    | SetTargetAvailable
    | ReportLoad
    | Tick
    | ReadStatistics
    | Explain
)


class DispatchActor(pykka.ThreadingActor):
    """Passes messages to the dispatcher and carries out the actions it returns.

    Parameters
    ----------
    dispatcher : Dispatcher
        Dispatcher, which only this actor uses.
    on_start : callable
        Called with the action that starts a request; must not block.
    on_refuse : callable
        Called with the action that refuses a request; must not block.
    on_send : callable
        Called with the action that sends a message to a peer; must not block.
    """

    use_daemon_thread = True

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        on_start: Callable[[Start], None],
        on_refuse: Callable[[Refuse], None],
        on_send: Callable[[Send], None],
    ) -> None:
        super().__init__()
        self._dispatcher = dispatcher
        self._on_start = on_start
        self._on_refuse = on_refuse
        self._on_send = on_send

    def on_receive(
        self, message: DispatchMessage
    ) -> DispatchStatistics | list[str] | None:
        """Apply one message, then carry out the dispatcher's next actions."""
        now_s = time.monotonic()
        if isinstance(message, ReadStatistics | Explain):
            return self._apply(message, now_s)
        try:
            self._apply(message, now_s)
            for action in self._dispatcher.step(now_s=now_s):
                self._carry_out(action)
        except Exception as error:
            # An unhandled exception would stop the actor, and so all dispatching.
            log_event(
                "dispatch_error",
                level="ERROR",
                message=type(message).__name__,
                error=type(error).__name__,
                detail=str(error),
            )
        return None

    def _apply(
        self, message: DispatchMessage, now_s: float
    ) -> DispatchStatistics | list[str] | None:
        dispatcher = self._dispatcher
        match message:
            case Submit(request):
                self._submit(request, now_s)
            case Withdraw(request_id):
                dispatcher.withdraw(request_id, now_s=now_s)
            case Progress(progress):
                for item in progress:
                    dispatcher.progress(
                        item.request_id,
                        generated_tokens=item.event_count,
                        now_s=now_s,
                    )
            case Finish(request_id, usage, outcome):
                dispatcher.finish(request_id, usage, outcome, now_s=now_s)
            case Requeue(request_id):
                dispatcher.requeue(request_id, now_s=now_s)
            case Receive(sender, messages):
                for received in messages:
                    dispatcher.receive(sender, received, now_s=now_s)
            case SetMembers(members, leaving):
                dispatcher.set_members(members, leaving=leaving, now_s=now_s)
            case SetConfiguration(configuration):
                dispatcher.set_configuration(configuration, now_s=now_s)
            case SetTargetAvailable(target, available):
                dispatcher.set_target_available(target, available, now_s=now_s)
            case ReportLoad(target, report):
                dispatcher.report_load(target, report, now_s=now_s)
            case ReadStatistics():
                return dispatcher.statistics(now_s=now_s)
            case Explain(subject):
                return dispatcher.explain(subject)
        return None

    def _submit(self, request: WaitingRequest, now_s: float) -> None:
        try:
            self._dispatcher.submit(request, now_s=now_s)
        except RequestRefusedError as error:
            self._on_refuse(Refuse(request.request_id, error))

    def _carry_out(self, action: Action) -> None:
        match action:
            case Start():
                self._on_start(action)
            case Refuse():
                self._on_refuse(action)
            case Send():
                self._on_send(action)

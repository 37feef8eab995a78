"""Actions that `Dispatcher.step` returns for the router to carry out."""

import enum

import attrs

from citrondock_core.messages import PeerMessage
from citrondock_core.request import RequestRefusedError


class Outcome(enum.Enum):
    """How a started request ended."""

    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class Start:
    """Tells the router to send a request to a target now."""

    request_id: str
    target: str


@attrs.frozen
class Refuse:
    """Tells the router to answer a request with a refusal."""

    request_id: str
    error: RequestRefusedError


@attrs.frozen
class Send:
    """Tells the router to send a message to a peer; delivery is not guaranteed."""

    vm_name: str
    message: PeerMessage


Action = Start | Refuse | Send

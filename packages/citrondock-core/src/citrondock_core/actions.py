"""What the dispatcher asks the router to do."""

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
    """Send a request to a target now."""

    request_id: str
    target: str


@attrs.frozen
class Refuse:
    """Answer a request with a refusal."""

    request_id: str
    error: RequestRefusedError


@attrs.frozen
class Send:
    """Deliver a message to a peer router; it may be lost."""

    vm_name: str
    message: PeerMessage


Action = Start | Refuse | Send

"""What requests, answers and targets are called where the gateway runs."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs

from citrondock_core.errors import CitrondockError
from citrondock_core.routing.request_facts import RequestFacts
from citrondock_core.routing.target_entry import TargetEntry

Header = tuple[bytes, bytes]


@attrs.define(eq=False)
class MalformedRequestError(CitrondockError):
    """A request that cannot be routed as it stands."""


@attrs.frozen(kw_only=True)
class RequestHead:
    """First line and headers of a request, as the client sent them.

    Parameters
    ----------
    method : bytes
        Method.
    target : bytes
        Path and query, unchanged.
    headers : sequence of Header
        All headers in order.
    """

    method: bytes
    target: bytes
    headers: Sequence[Header]


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status and headers of an answer.

    Parameters
    ----------
    status : int
        Status code.
    reason : bytes
        Reason phrase.
    headers : sequence of Header
        All headers in order.
    """

    status: int
    reason: bytes
    headers: Sequence[Header]

    @property
    def is_success(self) -> bool:
        """Whether the status is in the 200s."""
        return 200 <= self.status < 300


@attrs.frozen(kw_only=True)
class ResponseFacts:
    """What an answer says of itself.

    Parameters
    ----------
    request_id : str
        Request that it answers; empty if it names none.
    is_signed : bool
        Whether it carries the target's signature.
    did_not_run : bool
        Whether the target states that it did not run the request.
    """

    request_id: str
    is_signed: bool
    did_not_run: bool


class HeaderCodec(ABC):
    """Translates between headers and the gateway's own types."""

    @abstractmethod
    def request_facts(self, head: RequestHead) -> RequestFacts:
        """Read a request.

        Raises
        ------
        MalformedRequestError
            If something that is needed is missing or cannot be read.
        """

    @abstractmethod
    def target_headers(
        self,
        head: RequestHead,
        *,
        entry: TargetEntry,
        account: str | None,
        time_left_s: float,
        resume_after_event_id: int | None,
    ) -> list[Header]:
        """Return the headers that a target gets, those about framing left out."""

    @abstractmethod
    def response_facts(self, head: ResponseHead) -> ResponseFacts:
        """Read an answer."""

    @abstractmethod
    def client_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers that the client gets, those about framing left out."""

    @abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[Header]:
        """Return the headers of an answer of the gateway's own."""

"""Interface that translates between HTTP headers and the gateway's own types."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

import attrs

from citrondock_core.errors import CitrondockError
from citrondock_core.routing.request_facts import RequestFacts
from citrondock_core.routing.target_entry import TargetEntry

Header = tuple[bytes, bytes]
"""Name and value of a header."""


@attrs.define(eq=False)
class MalformedRequestError(CitrondockError):
    """A request head is contradictory or invalid, so the request cannot be routed."""


@attrs.frozen(kw_only=True)
class RequestHead:
    """Request line and headers of a request, as the client sent them.

    Parameters
    ----------
    method : bytes
        HTTP method.
    target : bytes
        Request target of HTTP: path and query, unchanged.
    headers : sequence of Header
        All headers in order.
    """

    method: bytes
    target: bytes
    headers: Sequence[Header]


@attrs.frozen(kw_only=True)
class ResponseHead:
    """Status line and headers of a response.

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

    @property
    def content_type(self) -> bytes:
        """Value of the header of that name; empty without one."""
        for name, value in self.headers:
            if name.lower() == b"content-type":
                return value.strip().lower()
        return b""


@attrs.frozen(kw_only=True)
class ResponseFacts:
    """What the headers of a target's response state about it.

    Parameters
    ----------
    request_id : str
        Request that it responds to; empty if the response names none.
    is_signed : bool
        Whether it carries the target's signature.
    did_not_run : bool
        Whether the target states that it did not run the request.
    max_requests_per_s : float or None
        Requests that the target takes from all routers together, if it names a limit.
    is_leaving : bool
        Whether the target states that it is leaving.
    retry_after_s : float or None
        Time for which the target wants no further requests from this router; 0 if it
        names one that cannot be read, None if it names none.
    """

    request_id: str
    is_signed: bool
    did_not_run: bool
    max_requests_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None

    @property
    def is_genuine(self) -> bool:
        """Whether the response is signed and names its request."""
        return self.is_signed and bool(self.request_id)


class HeaderCodec(ABC):
    """Reads facts from headers and writes the headers of both connections.

    Headers about the framing of a message, such as its length, are left out; the
    connections add them.
    """

    @abstractmethod
    def request_facts(self, head: RequestHead) -> RequestFacts:
        """Return the properties of a request that the gateway uses.

        Raises
        ------
        MalformedRequestError
            If a header that the gateway needs is missing or cannot be read.
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
        """Return the headers of the request that is sent to a target.

        Parameters
        ----------
        head : RequestHead
            The client's request.
        entry : TargetEntry
            Target that gets the request.
        account : str or None
            Client account of the request, if it has one.
        time_left_s : float
            Time until the request's deadline.
        resume_after_event_id : int or None
            Last event that the client has, if the target resumes a stream.
        """

    @abstractmethod
    def response_facts(self, head: ResponseHead) -> ResponseFacts:
        """Return what the headers of a target's response state about it."""

    @abstractmethod
    def client_headers(self, head: ResponseHead) -> list[Header]:
        """Return the headers that the client gets with a target's response."""

    @abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[Header]:
        """Return the headers of a response that the gateway itself makes."""

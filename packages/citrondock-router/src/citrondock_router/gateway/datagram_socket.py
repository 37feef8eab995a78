"""UDP socket whose waiting datagrams can be read at any moment."""

import asyncio
import socket
import time
from collections.abc import Callable

from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.log import log_event

MAX_DATAGRAMS_PER_READ = 512
"""Most datagrams read at once, so that other work can run; the receive buffer of the
kernel holds about 300."""

MAX_DATAGRAM_BYTES = 65_535

READ_PERIOD_S = 0.01
"""Period in which datagrams are read in the middle of a long iteration of the loop."""

Receiver = Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """Sends datagrams and passes on received ones.

    The transports of asyncio read only when the event loop polls, and uvloop's at most
    32 datagrams each time. Whoever decides that a peer did not answer has to read what
    has arrived first, see `read_waiting`.

    Parameters
    ----------
    address : Address
        Address to bind to; port 0 takes a free one.
    receiver : callable
        Called with each datagram and the address of its sender.
    loop : asyncio.AbstractEventLoop
        Event loop that reads the socket.
    clock : callable
        Monotonic time in seconds that goes on within an iteration of the loop.
    """

    def __init__(
        self,
        address: Address,
        receiver: Receiver,
        loop: asyncio.AbstractEventLoop,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._receiver = receiver
        self._clock = clock
        self._read_at_s = clock()
        self._loop = loop
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address.host, address.port))
        self._loop.add_reader(self._socket, self.read_waiting)

    @property
    def address(self) -> Address:
        """Address that the socket is bound to."""
        host, port = self._socket.getsockname()
        return Address(host, port)

    def read_waiting(self) -> bool:
        """Pass on the datagrams that have arrived.

        Returns
        -------
        bool
            Whether all of them were read.
        """
        self._read_at_s = self._clock()
        for _ in range(MAX_DATAGRAMS_PER_READ):
            if self._socket.fileno() < 0:
                return True
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return True
            except OSError as error:
                # An earlier datagram reached no socket.
                log_event("peer_unreachable", level="DEBUG", detail=str(error))
                continue
            self._receiver(data, sender)
        return False

    def read_if_due(self) -> None:
        """Read what has arrived, unless it was read within `READ_PERIOD_S`."""
        if self._clock() >= self._read_at_s + READ_PERIOD_S:
            self.read_waiting()

    def send(self, data: bytes, host: str, port: int) -> None:
        """Send a datagram; it is dropped if the socket cannot take it now."""
        try:
            self._socket.sendto(data, (host, port))
        except BlockingIOError:
            log_event("datagram_dropped", level="WARNING", peer=host)
        except OSError as error:
            # Grant requests to this peer time out and go to another home router.
            log_event("peer_unreachable", level="DEBUG", detail=str(error))

    def close(self) -> None:
        """Stop reading and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

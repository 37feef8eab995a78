"""Reads a connection in turns, so that no peer keeps the event loop from the others."""

import asyncio
import time
from collections import deque
from collections.abc import Callable

SLICE_BYTES = 8192
"""Bytes that are consumed between two looks at the clock."""

MAX_TURN_BYTES = 65_536
"""Bytes of one connection after which other connections get their turn."""

MAX_TURN_S = 0.002
"""Time for the bytes of one connection after which others get their turn. Small chunks
cost far more time per byte than large ones."""


MAX_ROUND_S = 0.01
"""Time that the turns of all connections together get in one iteration of the event
loop. Many clients that send costly bytes would delay all other work by a turn each."""


class TurnQueue:
    """Shares out the turns of many connections over iterations of the event loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connections.
    clock : callable
        Monotonic time in seconds that goes on within an iteration of the loop.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._loop = loop
        self._clock = clock
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_round_open = False
        self._spent_s = 0.0

    @property
    def has_time(self) -> bool:
        """Whether another turn fits into this iteration of the event loop."""
        return self._spent_s < MAX_ROUND_S

    def add(self, turn: Callable[[], None]) -> None:
        """Take a turn in a later iteration, after those that wait already."""
        self._waiting.append(turn)
        self._open_round()

    def record(self, began_at_s: float) -> None:
        """Count the time of a turn that began then and has just ended."""
        self._spent_s += self._clock() - began_at_s
        self._open_round()

    def _open_round(self) -> None:
        if not self._is_round_open:
            self._is_round_open = True
            self._loop.call_soon(self._start_round)

    def _start_round(self) -> None:
        self._is_round_open = False
        self._spent_s = 0.0
        for _ in range(len(self._waiting)):
            if not self.has_time:
                break
            # A turn records its own time, and may add the next one.
            self._waiting.popleft()()
        if self._waiting:
            self._open_round()


class PacedInput:
    """Passes the received bytes of one connection on in turns of limited length.

    What is left after a turn waits for the event loop's next iteration, and the
    connection isn't read meanwhile, so that no more than one read is held.

    Parameters
    ----------
    consume : callable
        Called with the next bytes, at most `SLICE_BYTES` of them.
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    turns : TurnQueue, optional
        Shares out the turns of connections whose bytes take long or are many; without
        it, a connection gets a turn in every iteration of the event loop.
    clock : callable
        Monotonic time in seconds that goes on within an iteration of the loop.

    Attributes
    ----------
    is_paused : bool
        Whether no more bytes are read until `resume`.
    """

    def __init__(
        self,
        consume: Callable[[bytes], None],
        loop: asyncio.AbstractEventLoop,
        *,
        turns: TurnQueue | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._consume = consume
        self._turns = turns
        self._loop = loop
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._backlog = b""
        self._position = 0
        self.is_paused = False
        self._is_turn_due = False
        # Whether turns end for their time, with bytes left.
        self._is_costly = False

    @property
    def backlog_bytes(self) -> int:
        """Received bytes that wait to be consumed."""
        return len(self._backlog) - self._position

    @property
    def has_backlog(self) -> bool:
        """Whether received bytes wait to be consumed."""
        return self._position < len(self._backlog)

    def attach(self, transport: asyncio.Transport) -> None:
        """Set the transport whose reading is paused between turns."""
        self._transport = transport

    def feed(self, data: bytes) -> None:
        """Consume received bytes, or as many as fit into a turn."""
        is_waiting = self._is_turn_due or self.has_backlog
        if len(data) <= SLICE_BYTES and not is_waiting:
            self._consume(data)
            return
        self._backlog = self._backlog[self._position :] + data
        self._position = 0
        if self._is_turn_due:
            return
        is_large = self._is_costly or len(data) > MAX_TURN_BYTES
        if not is_large or self._turns is None or self._turns.has_time:
            self._take_turn()
        else:
            self._schedule_turn()
            self._update_reading()

    def pause(self) -> None:
        """Read no more bytes until resumed; what was read is consumed."""
        self.is_paused = True
        self._update_reading()

    def resume(self) -> None:
        """Continue to read."""
        self.is_paused = False
        self._update_reading()

    def consume_slice(self) -> None:
        """Consume the next bytes, also of a connection that has ended."""
        self._consume(self._next_slice())

    def discard(self) -> None:
        """Drop what is left."""
        self._backlog = b""
        self._position = 0

    def _take_turn(self) -> None:
        began_at_s = self._clock()
        ends_at_s = began_at_s + MAX_TURN_S
        left_bytes = MAX_TURN_BYTES
        while self.has_backlog and not self._is_closing:
            data = self._next_slice()
            left_bytes -= len(data)
            self._consume(data)
            is_over = self._clock() >= ends_at_s
            if is_over or not self.has_backlog:
                self._is_costly = is_over and (self._is_costly or self.has_backlog)
            if left_bytes <= 0 or is_over:
                self._schedule_turn()
                break
        if self._turns is not None:
            self._turns.record(began_at_s)
        self._update_reading()

    def _next_slice(self) -> bytes:
        data = self._backlog[self._position : self._position + SLICE_BYTES]
        self._position += len(data)
        if not self.has_backlog:
            self.discard()
        return data

    def _schedule_turn(self) -> None:
        if not self._is_turn_due:
            self._is_turn_due = True
            if self._turns is not None:
                self._turns.add(self._take_later_turn)
            else:
                self._loop.call_soon(self._take_later_turn)

    def _take_later_turn(self) -> None:
        self._is_turn_due = False
        if self._is_closing:
            return
        try:
            self._take_turn()
        except Exception:
            # The transport closes after an error in `data_received` only.
            if self._transport is not None:
                self._transport.abort()
            raise

    @property
    def _is_closing(self) -> bool:
        return self._transport is not None and self._transport.is_closing()

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        may_read = not (self.is_paused or self._is_turn_due or self.has_backlog)
        if may_read and not transport.is_reading():
            transport.resume_reading()
        elif not may_read and transport.is_reading():
            transport.pause_reading()

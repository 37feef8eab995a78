"""Targets that mishandle a random share of their requests."""

import asyncio
import random

from soak_record import Run, SoakRecord, plain_body, stream_event

ANSWER_DELAY_S = 0.03
EVENT_INTERVAL_S = 0.03
UNFRAMED_SHARE = 0.1
REPEATED_REFUSAL_SHARE = 0.5
"""Share of answers that end with their connection, and of refusals that a target writes
once more on the connection, while it misbehaves."""

SILENT_SHARE = 0.1
TINY_CHUNKS_SHARE = 0.1
ENDLESS_SHARE = 0.05
"""Share of answers in which a target falls silent and goes on, of streams in chunks of
one byte, and of streams with an event that never ends, while it misbehaves."""

SILENCE_S = 1.2
ENDLESS_BLOCK = b"1\r\nx\r\n" * 4000

FAULTS = ("reject", "fail", "disconnect", "garble", "extra", "truncate", "hang")


class SoakTarget:
    """A target that runs requests, records each run and misbehaves at random.

    Parameters
    ----------
    target_id : str
        Id; requests that expect another instance are answered with 421.
    version : str
        Version of its software, which its events name.
    record : SoakRecord
        Records each run.
    rng : random.Random
        Draws the faults.

    Attributes
    ----------
    fault_probability : float
        Chance that a request meets one of `FAULTS`.
    late_after_s : float, optional
        Time after which an arriving request counts as late.
    """

    def __init__(
        self, target_id: str, version: str, record: SoakRecord, rng: random.Random
    ) -> None:
        self.target_id = target_id
        self.version = version
        self.fault_probability = 0.0
        self.late_after_s: float | None = None
        self._record = record
        self._rng = rng
        # A generator of its own, so that the faults of a seed stay the same.
        self._framing_rng = random.Random(target_id)
        self._pace_rng = random.Random(f"pace of {target_id}")
        # Refusals by the connection that they were written to.
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                if not await self._answer(lines[0].split()[1], headers, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The router closed the connection, or the soak is over.
            return
        finally:
            self._refusals.pop(writer, None)
            writer.close()

    async def _answer(self, path: str, headers: dict[str, str], writer) -> bool:
        """Answer one request; return whether the connection stays open."""
        request_id = headers["request-id"]
        refusal = self._refusals.pop(writer, b"")
        if refusal and self._draws(REPEATED_REFUSAL_SHARE):
            writer.write(refusal)
        if headers.get("expected-instance") != self.target_id:
            writer.write(self._head(421, request_id) + b"Content-Length: 0\r\n\r\n")
            return True
        fault = ""
        if self._rng.random() < self.fault_probability:
            fault = self._rng.choice(FAULTS)
        if fault == "reject":
            refusal = self._head(503, request_id)
            refusal += b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            writer.write(refusal)
            self._refusals[writer] = refusal
            return True
        after = headers.get("last-event-id")
        start = int(after) + 1 if after is not None else 0
        now_s = asyncio.get_running_loop().time()
        self._record.add_run(request_id, Run(self.target_id, start, now_s))
        if self.late_after_s is not None and now_s > self.late_after_s:
            late_s = now_s - self.late_after_s
            self._record.late_arrivals.append(
                f"{request_id}: reached {self.target_id} {late_s:.1f} s late"
            )
        if fault == "hang":
            await asyncio.sleep(20)
        if "stream" in path or "resumable" in path:
            stream_id = headers.get("resumes", request_id)
            return await self._stream(request_id, stream_id, start, fault, writer)
        await asyncio.sleep(ANSWER_DELAY_S)
        if self._paces(SILENT_SHARE):
            await asyncio.sleep(SILENCE_S)
        return self._plain(request_id, fault, writer)

    def _plain(self, request_id: str, fault: str, writer) -> bool:
        body = plain_body(request_id)
        length = f"Content-Length: {len(body)}\r\n\r\n".encode()
        response = self._head(200, request_id) + length + body
        if fault == "fail":
            failed = self._head(500, request_id)
            writer.write(failed + b"Content-Length: 0\r\n\r\n")
        elif fault == "disconnect":
            return False
        elif fault == "garble":
            writer.write(response.replace(b"HTTP/1.1 200", b"\x01\x02HTTQ 20", 1))
        elif fault == "extra":
            writer.write(response + response.replace(request_id.encode(), b"elsewhere"))
        elif fault == "truncate":
            writer.write(response[:-3])
            return False
        elif self._draws(UNFRAMED_SHARE):
            writer.write(self._head(200, request_id) + b"\r\n" + body)
            return False
        else:
            writer.write(response)
        return True

    async def _stream(self, request_id, stream_id, start, fault, writer) -> bool:
        is_framed = not self._draws(UNFRAMED_SHARE)
        framing = b"Transfer-Encoding: chunked\r\n" if is_framed else b""
        writer.write(self._head(200, request_id) + framing + b"\r\n")
        stop = self._rng.randrange(1, self._record.event_count) if fault else 0
        silent_at = endless_at = -1
        if self._paces(SILENT_SHARE):
            silent_at = self._pace_rng.randrange(self._record.event_count)
        if is_framed and self._paces(ENDLESS_SHARE):
            endless_at = self._pace_rng.randrange(self._record.event_count)
        has_tiny_chunks = is_framed and self._paces(TINY_CHUNKS_SHARE)
        for number in range(start, self._record.event_count):
            data = stream_event(number, stream_id, self.version)
            if number == silent_at:
                await asyncio.sleep(SILENCE_S)
            if number == endless_at:
                while not writer.is_closing():
                    writer.write(ENDLESS_BLOCK)
                    await writer.drain()
                return False
            if fault and number >= stop:
                size = b"%x\r\n" % len(data) if is_framed else b""
                writer.write(size + data[: len(data) // 2])
                await writer.drain()
                return False
            chunk_bytes = 1 if has_tiny_chunks else len(data)
            for at in range(0, len(data), chunk_bytes):
                part = data[at : at + chunk_bytes]
                writer.write(b"%x\r\n%b\r\n" % (len(part), part) if is_framed else part)
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        return is_framed

    def _draws(self, share: float) -> bool:
        return self.fault_probability > 0 and self._framing_rng.random() < share

    def _paces(self, share: float) -> bool:
        return self.fault_probability > 0 and self._pace_rng.random() < share

    def _head(self, status: int, request_id: str) -> bytes:
        return (
            f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n"
            "Response-Signature: s\r\n"
        ).encode()

"""Stand-ins of the platform's store, of engines and of clients, on loopback."""

import asyncio
import itertools
import json
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"


class Record:
    """Lines of what was sent, answered and run, written to a file.

    Parameters
    ----------
    path : str
        File that is replaced.
    """

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the record began."""
        return time.monotonic() - self._began_s

    def add(self, what: str, **fields: object) -> float:
        """Write one line, and return its time."""
        at_s = self.now_s()
        pairs = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_s:9.3f} {what} {pairs}\n")
        return at_s

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """A parsed HTTP/1.1 message.

    Parameters
    ----------
    first_line : str
        Request line or status line.
    headers : dict
        Headers by lower-case name.
    body : bytes
        The whole body.
    """

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = raw[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first_line, headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message with a length or in chunks; without either, no body."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        message.body = b"".join(parts)
    else:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


class RawJson:
    """JSON text that is sent as it is, such as nesting that no encoder writes.

    Parameters
    ----------
    text : str
        The text.
    """

    def __init__(self, text: str) -> None:
        self.text = text


def encode_json(value: object) -> bytes:
    """Return the JSON of a value that may contain `RawJson`."""
    raw: list[str] = []

    def mark(part: object) -> str:
        if not isinstance(part, RawJson):
            raise TypeError(f"{part!r} can't be encoded")
        raw.append(part.text)
        return f"@raw-{len(raw) - 1}@"

    text = json.dumps(value, default=mark)
    for number, part in enumerate(raw):
        text = text.replace(f'"@raw-{number}@"', part)
    return text.encode()


class Server:
    """TCP server whose open connections can fall silent or be cut."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._silenced: set[asyncio.StreamWriter] = set()
        self._drops: list[asyncio.Future[None]] = []

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, HOST, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listening socket and reset all connections."""
        if self._server is not None:
            self._server.close()
        for task, writer in list(self._writers.items()):
            task.cancel()
            writer.transport.abort()
        for drop in self._drops:
            drop.cancel()
        await asyncio.sleep(0.01)

    def silence_open_connections(self) -> int:
        """Let open connections go silent for good, without a reset; new ones work."""
        count = 0
        for task, writer in list(self._writers.items()):
            if writer in self._silenced:
                continue
            self._silenced.add(writer)
            # Nothing more is answered, and the socket stays open.
            task.cancel()
            count += 1
        return count

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writers[task] = writer
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            pass
        except asyncio.CancelledError:
            if writer in self._silenced:
                # The bytes that still come are read and dropped.
                self._drops.append(asyncio.ensure_future(_drop(reader)))
                return
        self._writers.pop(task, None)
        writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        raise NotImplementedError


async def _drop(reader: asyncio.StreamReader) -> None:
    try:
        while await reader.read(65536):
            pass
    except ConnectionError:
        pass


class Store(Server):
    """The platform's store: objects by kind, with revisions and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 10
        self.era = 1
        self.is_away = False
        self._copy: tuple[int, dict[str, dict[str, dict]], list] | None = None
        self._objects: dict[str, dict[str, dict]] = {}
        self._history: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Condition()
        self._watch_tasks: set[asyncio.Task[None]] = set()
        # Loop times at which watches began, by kind.
        self.watches_began_s: dict[str, float] = {}

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object; it is acknowledged when this returns."""
        await self._change(kind, name, spec, is_deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object; it is acknowledged when this returns."""
        await self._change(kind, name, None, is_deleted=True)

    def cut_watches(self) -> int:
        """Cut off the watches that wait."""
        tasks = list(self._watch_tasks)
        for task in tasks:
            self._writers[task].transport.abort()
            task.cancel()
        return len(tasks)

    def make_copy(self) -> None:
        """Make the copy that the store comes back from."""
        objects = {kind: dict(known) for kind, known in self._objects.items()}
        self._copy = (self.revision, objects, list(self._history))

    def go_away(self) -> None:
        """Reset all connections, and turn away all calls with 503."""
        self.is_away = True
        for task, writer in list(self._writers.items()):
            task.cancel()
            writer.transport.abort()

    async def come_back(self) -> None:
        """Answer again, from the copy and in a new era."""
        assert self._copy is not None
        self.revision, objects, history = self._copy
        self._objects = {kind: dict(known) for kind, known in objects.items()}
        self._history = list(history)
        self.era += 1
        self.is_away = False

    async def _change(
        self, kind: str, name: str, spec: object, *, is_deleted: bool
    ) -> dict:
        async with self._changed:
            known = self._objects.setdefault(kind, {})
            if not is_deleted and name in known and known[name]["spec"] == spec:
                # A write that changes nothing makes no revision and no event.
                return known[name]
            self.revision += 1
            found = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created": self.revision,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": None,
            }
            if is_deleted:
                found = {**known.pop(name)}
            else:
                known[name] = found
            event = {"object": found, "deleted": is_deleted}
            self._history.append((self.revision, kind, event))
            self._changed.notify_all()
            return found

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        while True:
            request = await read_message(reader)
            method, target, _ = request.first_line.split(" ")
            status, answer = 503, {}
            if not self.is_away:
                status, answer = await self._answer(method, target, request.body)
            data = encode_json(answer)
            writer.write(
                f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            await writer.drain()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, object]:
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        _, _, _, kind, *rest = [unquote(part) for part in url.path.split("/")]
        known = self._objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET" and not rest:
            names = sorted(name for name in known if name > query.get("after", ""))
            items = [known[name] for name in names]
            return 200, {"items": items, "morePages": False, "asOf": self.revision}
        if method == "POST":
            given = json.loads(body)
            name = given["metadata"]["name"]
            if name in known:
                return 409, known[name]
            return 200, await self._change(kind, name, given["spec"], is_deleted=False)
        if rest[0] not in known:
            return 404, {}
        if method == "GET":
            return 200, known[rest[0]]
        is_deleted = method == "DELETE"
        spec = None if is_deleted else json.loads(body)["spec"]
        return 200, await self._change(kind, rest[0], spec, is_deleted=is_deleted)

    async def _watch(
        self, kind: str, after: int, query: dict[str, str]
    ) -> tuple[int, object]:
        if after > self.revision:
            return 410, {}
        loop = asyncio.get_running_loop()
        self.watches_began_s[kind] = loop.time()
        until_s = loop.time() + int(query["waitMs"]) / 1000
        task = asyncio.current_task()
        assert task is not None
        self._watch_tasks.add(task)
        try:
            while True:
                events = [e for rev, k, e in self._history if k == kind and rev > after]
                left_s = until_s - loop.time()
                if events or left_s <= 0:
                    return 200, {"events": events, "asOf": self.revision}
                try:
                    async with asyncio.timeout(left_s), self._changed:
                        await self._changed.wait()
                except TimeoutError:
                    continue
        finally:
            self._watch_tasks.discard(task)


class Engine(Server):
    """An engine of a service; answers after its work time.

    Parameters
    ----------
    engine_id : str
        Its id.
    service : str
        Name of its service.
    zone : str
        Its zone.
    record : Record
        Receives what reaches it and what it runs.
    work_s : float
        Time that a request takes.
    """

    def __init__(
        self,
        engine_id: str,
        service: str,
        zone: str,
        record: Record,
        *,
        work_s: float = 0.0225,
    ) -> None:
        super().__init__()
        self.engine_id = engine_id
        self.service = service
        self.zone = zone
        self.record = record
        self.work_s = work_s
        self.born_ms = int(time.time() * 1000)
        self.has_left = False
        # Time and request id of each request that reached it.
        self.arrivals: list[tuple[float, str]] = []

    def entry(self) -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "maxBatchSize": 24,
            "state": "ready",
            "warmupLeftMs": 0,
            "sequence": 1,
            "born": self.born_ms,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        while True:
            request = await read_message(reader)
            request_id = request.headers.get("request-id", "")
            at_s = self.record.add(
                "reaches", engine=self.engine_id, id=request_id, of=self.service
            )
            self.arrivals.append((at_s, request_id))
            if request.headers.get("expected-instance") != self.engine_id:
                head = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
                head += f"Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
                continue
            await self.run(request, request_id, writer)

    async def run(
        self, request: Message, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"{self.engine_id} ran {request_id}\n".encode()
        writer.write(self.head(request_id, f"Content-Length: {len(body)}") + body)
        await writer.drain()

    def head(self, request_id: str, *headers: str) -> bytes:
        """Return the head of a successful response."""
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request_id}",
            f"Response-Signature: {self.engine_id}.{request_id}",
            f"Instance-Id: {self.engine_id}",
            "Keep-Alive: timeout=5",
            *headers,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"


class Answer:
    """What a client got for one request.

    Parameters
    ----------
    request_id : str
        Its id.
    sent_s : float
        When it was sent.
    """

    def __init__(self, request_id: str, sent_s: float) -> None:
        self.request_id = request_id
        self.sent_s = sent_s
        self.status: int | None = None
        self.ended_s: float | None = None
        self.signature = ""


_numbers = itertools.count(1)


async def send_request(
    record: Record,
    port: int,
    method: str,
    path: str,
    *,
    host: str,
    key: str,
    deadline_s: float,
    headers: tuple[str, ...] = (),
    patience_s: float | None = None,
) -> Answer:
    """Send one request on a new connection and read its whole response.

    Parameters
    ----------
    record : Record
        Receives what was sent and answered.
    port : int
        Port of a router's frontend.
    method, path, host, key, headers
        The request; it has no body.
    deadline_s : float
        Its deadline.
    patience_s : float, optional
        Time until the client goes away; its deadline by default.
    """
    request_id = f"{next(_numbers):016x}"
    answer = Answer(request_id, record.now_s())
    record.add("sent", id=request_id, port=port, path=path)
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {int(deadline_s * 1000)}",
        f"Authorization: Bearer {key}",
        *headers,
    ]
    if method == "POST":
        head.append("Content-Length: 0")
    writer = None
    reason = ""
    try:
        async with asyncio.timeout(deadline_s if patience_s is None else patience_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
            response = await read_message(reader)
            answer.status = response.status
            answer.signature = response.headers.get("response-signature", "")
    except TimeoutError:
        reason = "no_answer_in_time"
    except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        reason = f"connection_ended:{type(error).__name__}"
    if writer is not None:
        writer.transport.abort()
    answer.ended_s = record.add(
        "answered", id=request_id, status=answer.status, by=answer.signature, why=reason
    )
    return answer


async def send_steadily(
    send: Callable[[int], Awaitable[Answer]], *, per_s: float, for_s: float
) -> list[Answer]:
    """Send requests at a steady rate; return their answers once all have ended."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    tasks = []
    for number in range(int(per_s * for_s)):
        await asyncio.sleep(max(began_s + number / per_s - loop.time(), 0.0))
        tasks.append(asyncio.ensure_future(send(number)))
    return await asyncio.gather(*tasks)

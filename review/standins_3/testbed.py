"""Stand-ins for the platform's store, engines and clients, and real router processes.

They follow the users' pages and need nothing beside the standard library. Everything
listens on loopback addresses and ends with the script.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, UNABLE = 0, 1, 2

HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
"""Mean time that the store takes for an answer; one takes up to twice as long."""

PREFILL_TOKENS_PER_S = 69_800
MAX_KEPT_PARTS = 1_000
TOKENS_PER_EVENT = 4

HOST_NAME = "library.example"
_NETWORK = f"127.{random.randint(1, 254)}.{random.randint(0, 254)}"
ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
"""How a connection of a stand-in ends; it is cancelled at the end of the script."""

KEY = "key-of-the-reading-room"
TENANT = "reading-room"


class CannotRunError(Exception):
    """The case cannot be played here."""


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def machine_address(number: int) -> str:
    """Return the loopback address of a machine; other scripts have other ones."""
    return f"{_NETWORK}.{number + 11}"


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, line: str) -> None:
        """Add a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {line}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of an HTTP message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length, or with chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return an encoded HTTP message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Store:
    """The platform's store: objects by kind, with revisions and watches."""

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._revision = 100
        self._changed = asyncio.Condition()
        self._cut_count = 0
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    async def put(self, kind: str, name: str, spec: object) -> dict:
        """Create or replace an object, unless it would stay the same."""
        known = self._objects.setdefault(kind, {})
        if name in known and known[name]["spec"] == spec:
            return known[name]
        self._revision += 1
        created = known[name]["metadata"]["created"] if name in known else None
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": created or self._revision,
            "finalizers": [],
            "deleting": False,
        }
        known[name] = {"metadata": metadata, "spec": spec, "status": None}
        await self._tell(kind, known[name], deleted=False)
        return known[name]

    async def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether it was there."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is None:
            return False
        self._revision += 1
        metadata = {**found["metadata"], "revision": self._revision}
        await self._tell(kind, {**found, "metadata": metadata}, deleted=True)
        return True

    async def cut_watches(self) -> None:
        """Cut off all watches that wait now."""
        self._cut_count += 1
        async with self._changed:
            self._changed.notify_all()

    async def _tell(self, kind: str, found: dict, *, deleted: bool) -> None:
        event = {"object": found, "deleted": deleted}
        self._events.append((self._revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*ENDS):
            while True:
                first, headers = await read_message(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, answer = await self._answer(method, target, body)
                await asyncio.sleep(random.uniform(0.0, 2 * STORE_ANSWER_S))
                data = json.dumps(answer).encode()
                fields = {
                    "Content-Type": "application/json",
                    "Content-Length": len(data),
                    "Store-Era": 1,
                }
                writer.write(message(f"HTTP/1.1 {status} X", fields, data))
                await writer.drain()
        writer.close()

    async def _answer(
        self, method: str, target: str, body: bytes
    ) -> tuple[int, object]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        _, _, _, kind, *rest = url.path.split("/")
        known = self._objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET" and not rest:
            names = sorted(name for name in known if name > query.get("after", ""))
            return 200, {
                "items": [known[name] for name in names[:500]],
                "morePages": len(names) > 500,
                "asOf": self._revision,
            }
        if method == "POST":
            given = json.loads(body)
            name = given["metadata"]["name"]
            if name in known:
                return 409, known[name]
            return 200, await self.put(kind, name, given["spec"])
        found = known.get(rest[0])
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        given = json.loads(body) if body else {}
        wanted = given.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != found["metadata"]["revision"]:
            return 409, found
        if method == "PUT":
            return 200, await self.put(kind, rest[0], given["spec"])
        await self.delete(kind, rest[0])
        return 200, found

    async def _watch(
        self, kind: str, after: int, query: dict[str, str]
    ) -> tuple[int, object]:
        until_s = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        cut_count = self._cut_count
        while True:
            if cut_count != self._cut_count:
                raise ConnectionAbortedError("the watch is cut off")
            events = [
                event
                for revision, other, event in self._events
                if other == kind and revision > after
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self._revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()


class Engine:
    """A model engine or a plain server, registered in the store.

    Attributes
    ----------
    runs : list of tuple
        Request id and version of each run that has begun.
    bodies : dict of str
        Body of each plain request that was run, by its id.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        name: str,
        service: str,
        *,
        version: str = "v1",
        slots: int = 128,
        memory_tokens: int = 321_962,
        answer_bytes: int = 800,
        work_s: float = 0.045,
        event_pause_s: float = 0.04,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.runs: list[tuple[str, str]] = []
        self.bodies: dict[str, bytes] = {}
        self.refused_count = 0
        self._store = store
        self._record = record
        self._slots = slots
        self._memory_tokens = memory_tokens
        self._answer_bytes = answer_bytes
        self._work_s = work_s
        self._event_pause_s = event_pause_s
        self._running = 0
        self._read_until_s = 0.0
        self._kept_parts: set[str] = set()
        self._host, self._port = "127.0.0.1", 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, on the same port after a restart, and register."""
        self._running, self._read_until_s = 0, 0.0
        self._kept_parts.clear()
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        entry = {
            "service": self.service,
            "address": f"{self._host}:{self._port}",
            "zone": "z1",
            "version": self.version,
            "maxBatchSize": self._slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "born": int(time.time() * 1000),
        }
        await self._store.put("servers", self.name, entry)
        self._record.write(f"engine {self.name} serves as version {self.version}")

    def crash(self) -> None:
        """End at once, as a process that is killed."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record.write(f"engine {self.name} of version {self.version} crashed")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_message(reader)
                body = await read_body(reader, headers)
                await self._respond(first, headers, body, writer)
                await writer.drain()
        except ENDS:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self,
        first: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = headers.get("request-id", "")
        fields: dict[str, object] = {"Request-Id": request_id, "Content-Length": 0}
        if first.startswith("GET /healthz"):
            fields = {"Instance-Id": self.name, "Content-Length": 0}
            writer.write(message("HTTP/1.1 200 OK", fields))
            return
        if headers.get("expected-instance") not in (None, self.name):
            fields["Instance-Id"] = self.name
            writer.write(message("HTTP/1.1 421 Misdirected Request", fields))
            return
        prompt, output = 0, 0
        if usage := headers.get("token-usage"):
            prompt, output = (int(part) for part in usage.split(","))
        is_too_large = prompt + output > self._memory_tokens
        if is_too_large or self._running >= self._slots:
            self.refused_count += 1
            fields["Not-Executed"] = 1
            writer.write(message("HTTP/1.1 503 Service Unavailable", fields))
            return
        self._running += 1
        try:
            if usage:
                await self._stream(request_id, prompt, output, headers, writer)
            else:
                await asyncio.sleep(self._work_s)
                self.runs.append((request_id, self.version))
                self.bodies[request_id] = body
                answer = b"x" * self._answer_bytes
                fields = {
                    "Request-Id": request_id,
                    "Response-Signature": f"s.{request_id}",
                    "Content-Length": len(answer),
                }
                writer.write(message("HTTP/1.1 200 OK", fields, answer))
        finally:
            self._running -= 1

    def _tokens_to_read(self, prompt: int, headers: dict[str, str]) -> int:
        """Return the tokens beyond the kept parts, and keep the shared ones."""
        parts = headers.get("prefix-hash", "").split(",")[:-1]
        is_kept = True
        for part in parts:
            is_kept = is_kept and part in self._kept_parts
            if is_kept:
                prompt -= int(part.partition(":")[2])
            elif len(self._kept_parts) < MAX_KEPT_PARTS:
                self._kept_parts.add(part)
        return prompt

    async def _stream(
        self,
        request_id: str,
        prompt: int,
        output: int,
        headers: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        now_s = time.monotonic()
        read_s = self._tokens_to_read(prompt, headers) / PREFILL_TOKENS_PER_S
        self._read_until_s = max(self._read_until_s, now_s) + read_s
        await asyncio.sleep(self._read_until_s - now_s + 0.01)
        if writer.transport.is_closing():
            return
        version = self.version
        self.runs.append((request_id, version))
        fields = {
            "Request-Id": request_id,
            "Response-Signature": f"s.{request_id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(message("HTTP/1.1 200 OK", fields))
        first = int(headers.get("last-event-id", "-1")) + 1
        for number in range(first, max(output // TOKENS_PER_EVENT, 1)):
            event = f"id: {number}\ndata: {self.name} {version} {'t' * 30}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(self._event_pause_s)
        writer.write(b"0\r\n\r\n")


class Router:
    """One router process, started with the command of the deploy file."""

    def __init__(
        self,
        folder: Path,
        name: str,
        host: str,
        store_address: str,
        *,
        memory_mb: int = 150,
        max_fds: int = 4200,
    ) -> None:
        self.name, self.host = name, host
        self.memory_mb = memory_mb
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.port, ready_port, internal = _free_ports(host)
        self._ready_port = ready_port
        settings = {
            "nodeName": name,
            "role": "router",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": {
                "frontend": f"{host}:{self.port}",
                "readiness": f"{host}:{ready_port}",
            },
            "internalPorts": [internal, internal + 1],
            "seedNodes": [],
            "firstStart": True,
            "limits": {
                "cpuQuota": 0.537,
                "cpuCores": 2,
                "memoryMb": memory_mb,
                "maxFds": max_fds,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": {
                "stableWindowMs": 3000,
                "drainMs": 2000,
                "graceS": 8,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "budgetSlack": 54,
            },
            "platform": {
                "address": store_address,
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
            },
        }
        self._settings = settings
        self._settings_path.write_text(json.dumps(settings))

    def change_settings(self) -> None:
        """Write the settings file anew, with a field that routers may ignore."""
        self._settings["changed"] = self._settings.get("changed", 0) + 1
        new_path = self._settings_path.with_suffix(".new")
        new_path.write_text(json.dumps(self._settings))
        new_path.rename(self._settings_path)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        with (ROOT / "deploy/system.toml").open("rb") as file:
            command = shlex.split(tomllib.load(file)["roles"]["router"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CITRONDOCK_SETTINGS": str(self._settings_path),
            "LANG": "C.UTF-8",
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        for _ in range(100):
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        log_end = self.log_path.read_text()[-2000:]
        raise CannotRunError(f"{self.name} does not get ready: {log_end}")

    async def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask as the load balancer does."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    self.host, self._ready_port
                )
                try:
                    fields = {"Host": self.host}
                    writer.write(message("GET /v1/readyz HTTP/1.1", fields))
                    first, _ = await read_message(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return " 200 " in first

    @property
    def memory_used_mb(self) -> float:
        """Resident memory of the process; 0 if it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1_048_576

    async def kill(self) -> None:
        """End the process as the platform does with one over its memory."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


def _free_ports(host: str) -> tuple[int, int, int]:
    """Return two free ports, and the first of two neighbouring ones."""
    for internal in range(17400, 30000, 7):
        with contextlib.ExitStack() as stack:
            try:
                for kind, port in (
                    (socket.SOCK_STREAM, internal),
                    (socket.SOCK_DGRAM, internal + 1),
                    (socket.SOCK_STREAM, internal + 2),
                    (socket.SOCK_STREAM, internal + 3),
                ):
                    sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                    sock.bind((host, port))
            except OSError:
                continue
            return internal + 2, internal + 3, internal
    raise CannotRunError("no free ports")


class Answer:
    """What a client got for one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False

    @property
    def is_served(self) -> bool:
        """Whether it is a whole success."""
        return self.is_complete and 200 <= self.status < 300

    @property
    def events(self) -> list[tuple[int, str]]:
        """Ids of the whole events, and the versions that wrote them."""
        found = []
        for event in self.body.split(b"\n\n")[:-1]:
            fields = dict(
                line.split(": ", 1) for line in event.decode().split("\n") if line
            )
            found.append((int(fields["id"]), fields["data"].split(" ")[1]))
        return found


async def call(
    router: Router,
    path: str,
    request_id: str,
    *,
    method: str = "POST",
    headers: dict[str, object] | None = None,
    body: bytes = b"{}",
    deadline_s: float = 5.0,
) -> Answer:
    """Send one request on a new connection and read its answer until the deadline."""
    answer = Answer()
    fields: dict[str, object] = {
        "Host": HOST_NAME,
        "Request-Id": request_id,
        "Deadline-Ms": int(deadline_s * 1000),
        "Authorization": f"Bearer {KEY}",
        **(headers or {}),
    }
    if method == "POST":
        fields["Content-Length"] = len(body)
    else:
        body = b""
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(router.host, router.port)
            writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            first, answer.headers = await read_message(reader)
            answer.status = int(first.split(" ")[1])
            if "chunked" not in answer.headers.get("transfer-encoding", ""):
                answer.body = await read_body(reader, answer.headers)
                answer.is_complete = True
                return answer
            while size := int((await reader.readline()).strip() or b"x", 16):
                answer.body += await reader.readexactly(size)
                await reader.readline()
            answer.is_complete = True
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


def route(
    name: str, kind: str, service: str, *, timeout_s: float, aim_s: float, **more
) -> dict:
    """Return a route of the configuration, below the path of its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": int(timeout_s * 1000),
        "targetLatencyMs": int(aim_s * 1000),
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": kind == "streaming",
        **({"targetGapMs": 300} if kind == "streaming" else {}),
        **more,
    }


def configuration() -> dict:
    """Return a configuration with a model service and a plain one."""
    engine = {"maxBatchSize": 128, "kvCapacity": 321_962}
    return {
        "version": 7,
        "routes": [
            route("chat", "streaming", "model", timeout_s=15.0, aim_s=0.4),
            route("draft", "streaming", "model", timeout_s=6.0, aim_s=0.6),
            route("read", "safe", "app", timeout_s=1.5, aim_s=0.2),
        ],
        "services": [
            {"name": "model", "healthPath": "/healthz", "engine": engine},
            {"name": "app", "healthPath": "/healthz"},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def play(folder: Path, case, *, limit_s: float = 115.0) -> None:
    """Run a case and exit with its result.

    ``case`` is called with a temporary folder and the record, and with an exit stack
    for what has to end; it returns whether the rule held.
    """

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # The processes have to end, too, if the script is told to.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder)
        try:
            with tempfile.TemporaryDirectory() as temporary:
                async with contextlib.AsyncExitStack() as stack:
                    stack.callback(record.close)
                    async with asyncio.timeout(limit_s):
                        held = await case(Path(temporary), record, stack)
                    record.write("the rule held" if held else "the rule was broken")
                    return held
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

    try:
        held = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(UNABLE)
    print("held" if held else "broken")
    sys.exit(HELD if held else BROKEN)


class Proxy:
    """Passes connections on to an address; a cut holds everything back, silently."""

    def __init__(self, target: str) -> None:
        self._target_host, _, port = target.rpartition(":")
        self._target_port = int(port)
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def cut(self) -> None:
        """Let nothing pass any more, in either direction."""
        self._is_open.clear()

    def heal(self) -> None:
        """Let new connections pass; what was held up is lost."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self._is_open.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(*ENDS):
            await self._is_open.wait()
            further, onward = await asyncio.open_connection(
                self._target_host, self._target_port
            )
            self._writers.append(onward)
            await asyncio.gather(
                self._pass_on(reader, onward), self._pass_on(further, writer)
            )

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            await self._is_open.wait()
            writer.write(data)
            await writer.drain()
        writer.close()

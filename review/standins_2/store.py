"""Stand-in of the platform's object store, with one door for each router.

Each door is a listener on a port of its own, so that the store can turn one machine
away while it serves the others and the operator.
"""

import asyncio
import copy
import json
from urllib.parse import parse_qs, unquote, urlsplit

HOST = "127.0.0.1"


class Door:
    """Port at which one machine reaches the store.

    Attributes
    ----------
    mode : str
        ``"serve"``, or ``"busy"`` for answers with 503.
    """

    def __init__(self, store: "Store") -> None:
        self.mode = "serve"
        self.port = 0
        self._store = store
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def turn_away(self) -> None:
        """Answer with 503 from now on; watches that wait are cut off."""
        self.mode = "busy"
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split("\r\n")[0].split(" ")
                length = 0
                for line in head.split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length)
                await self._store.is_up.wait()
                if self.mode == "serve" and self._store.loses(method, target, body):
                    # A connection on which an answer is lost returns nothing more.
                    await reader.read()
                    return
                status, answer = 503, {}
                if self.mode == "serve":
                    status, answer = await self._store.call(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self._store.era}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """Objects by kind and name, with revisions, watches and a history.

    Attributes
    ----------
    is_up : asyncio.Event
        Not set while the store is away; calls are answered once it is back.
    era : int
        Value of the header `Store-Era`.
    lose_next : int
        How many of the next writes are not answered, and are done some seconds later if
        their condition still holds.
    late_s : float
        That time.
    on_lost : callable
        Called with a line for each such write.
    """

    def __init__(self) -> None:
        self.is_up = asyncio.Event()
        self.is_up.set()
        self.era = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 1
        self.history: list[tuple[int, str, dict]] = []
        self.oldest_revision = 0
        self.doors: list[Door] = []
        self.lose_next = 0
        self.late_s = 0.0
        self.on_lost = lambda line: None
        self._late_calls: set[asyncio.Task] = set()
        self._changed = asyncio.Condition()
        self._cut_count = 0

    async def add_door(self) -> Door:
        """Open one more port."""
        door = Door(self)
        await door.open()
        self.doors.append(door)
        return door

    async def put(self, kind: str, name: str, spec) -> None:
        """Write an object, as the operator and the engines do."""
        await self._change(kind, name, spec, deleted=False)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        if name in self.objects.get(kind, {}):
            await self._change(kind, name, None, deleted=True)

    def loses(self, method: str, target: str, body: bytes) -> bool:
        """Return whether the answer to a call is lost; it is carried out later then."""
        if method == "GET" or not self.lose_next:
            return False
        self.lose_next -= 1
        self.on_lost(f"store loses {method} {target}, does it {self.late_s} s later")

        async def carry_out() -> None:
            await asyncio.sleep(self.late_s)
            status, _ = await self.call(method, target, body)
            self.on_lost(f"store does the late {method} {target}: {status}")

        task = asyncio.create_task(carry_out())
        self._late_calls.add(task)
        task.add_done_callback(self._late_calls.discard)
        return True

    def take_copy(self):
        """Return a copy that the store may come back from."""
        return copy.deepcopy((self.objects, self.revision, self.history))

    async def restore(self, taken) -> None:
        """Come back from a copy as the next era; watches that wait are cut off."""
        async with self._changed:
            self.objects, self.revision, self.history = copy.deepcopy(taken)
            self.era += 1
            self._cut_count += 1
            self._changed.notify_all()

    async def _change(self, kind, name, spec, *, deleted: bool) -> None:
        async with self._changed:
            known = self.objects.setdefault(kind, {})
            if not deleted and name in known and known[name]["spec"] == spec:
                return
            self.revision += 1
            found = {
                "metadata": {
                    "name": name,
                    "revision": self.revision,
                    "created": 0,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": {},
            }
            if deleted:
                found = {**known.pop(name), "metadata": found["metadata"]}
            else:
                known[name] = found
            self.history.append(
                (self.revision, kind, {"object": found, "deleted": deleted})
            )
            self._changed.notify_all()

    async def call(self, method: str, target: str, body: bytes):
        """Carry out one call; return its status and answer."""
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, *rest = url.path.removeprefix("/v1/objects/").split("/")
        known = self.objects.setdefault(kind, {})
        name = unquote(rest[0]) if rest else ""
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET" and not name:
            names = sorted(found for found in known if found > query.get("after", ""))
            page = names[:500]
            return 200, {
                "items": [known[found] for found in page],
                "morePages": len(names) > len(page),
                "asOf": self.revision,
            }
        if method == "POST":
            given = json.loads(body)
            name = given["metadata"]["name"]
            if name in known:
                return 409, known[name]
            await self._change(kind, name, given["spec"], deleted=False)
            return 200, self.objects[kind][name]
        if name not in known:
            return 404, {}
        if method == "GET":
            return 200, known[name]
        given = json.loads(body) if body else {}
        stated = given.get("metadata", {}).get("revision", query.get("revision"))
        if stated is not None and int(stated) != known[name]["metadata"]["revision"]:
            return 409, known[name]
        if method == "PUT":
            await self._change(kind, name, given["spec"], deleted=False)
            return 200, self.objects[kind][name]
        await self._change(kind, name, None, deleted=True)
        return 200, {}

    async def _watch(self, kind: str, after: int, query):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("waitMs", 0)) / 1000
        cut_count = self._cut_count
        if after > self.revision or after < self.oldest_revision:
            return 410, {}
        while True:
            if cut_count != self._cut_count:
                raise ConnectionAbortedError("the watch is cut off")
            events = [
                event
                for revision, changed_kind, event in self.history
                if changed_kind == kind and revision > after
            ]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    continue

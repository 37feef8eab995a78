"""In-memory HTTP stand-in for the platform's object store."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import attrs


class RawJson:
    """JSON text that is sent as it is, such as numbers that no encoder writes."""

    def __init__(self, text: str) -> None:
        self.text = text


def _encode(answer) -> bytes:
    raw: list[str] = []

    def mark(value):
        if not isinstance(value, RawJson):
            raise TypeError(f"{value!r} cannot be encoded")
        raw.append(value.text)
        return f"@raw-{len(raw) - 1}@"

    text = json.dumps(answer, default=mark)
    for number, value in enumerate(raw):
        text = text.replace(f'"@raw-{number}@"', value)
    return text.encode()


@attrs.frozen
class StoreCopy:
    """Objects, revision and history of the store at one moment."""

    objects: dict[str, dict[str, dict]]
    revision: int
    oldest_revision: int
    history: list[tuple[int, str, dict]]


class StoreStandIn:
    """Serves objects by kind, with revisions, watches and faults that tests switch on.

    Attributes
    ----------
    fault : str
        ``""`` for none, ``"busy"`` (answers with 503), ``"silent"`` (delays answers for
        30 s) or ``"reset"`` (resets the connection).
    era : int or None
        How often the store has come back from a copy; None for a store that does not
        tell.
    """

    def __init__(self, page_size: int = 500, era: int | None = 4) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 1
        self.oldest_revision = 0
        self.history: list[tuple[int, str, dict]] = []
        self.calls: list[str] = []
        self.fault = ""
        self.page_size = page_size
        self.era = era
        self._cut_count = 0
        self.changed = asyncio.Condition()
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def put(self, kind: str, name: str, spec, deleted: bool = False) -> None:
        async with self.changed:
            self.revision += 1
            found = {
                "metadata": {"name": name, "revision": self.revision},
                "spec": spec,
            }
            if deleted:
                self.objects.get(kind, {}).pop(name, None)
            else:
                self.objects.setdefault(kind, {})[name] = found
            event = {"object": found, "deleted": deleted}
            self.history.append((self.revision, kind, event))
            self.changed.notify_all()

    def forget_history(self) -> None:
        """Drop all history; a watch from an earlier revision gets 410."""
        self.history.clear()
        self.oldest_revision = self.revision

    def copy(self) -> StoreCopy:
        """Return a copy that the store can come back from."""
        return StoreCopy(
            {kind: dict(objects) for kind, objects in self.objects.items()},
            self.revision,
            self.oldest_revision,
            list(self.history),
        )

    async def restore(self, copy: StoreCopy, *, cuts_watches: bool = True) -> None:
        """Come back from a copy; what was written since is gone.

        Parameters
        ----------
        copy : StoreCopy
            The copy.
        cuts_watches : bool
            Whether watches that wait are cut; others wait on from their revision.
        """
        async with self.changed:
            self.objects = {
                kind: dict(objects) for kind, objects in copy.objects.items()
            }
            self.revision = copy.revision
            self.oldest_revision = copy.oldest_revision
            self.history = list(copy.history)
            if self.era is not None:
                self.era += 1
            if cuts_watches:
                self._cut_count += 1
            self.changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = 0
                for line in head.lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        length = int(line.partition(":")[2])
                body = await reader.readexactly(length)
                method, target, _ = head.split(" ", 2)
                self.calls.append(f"{method} {target}")
                if self.fault == "reset":
                    writer.transport.abort()
                    return
                if self.fault == "silent":
                    await asyncio.sleep(30)
                status, answer = 503, {}
                if self.fault != "busy":
                    status, answer = await self._answer(method, target, body)
                data = _encode(answer)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                if self.era is not None:
                    head += f"Store-Era: {self.era}\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The task is cancelled if a test's event loop ends with open connections.
            writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        _, _, _, kind, *rest = url.path.split("/")
        known = self.objects.setdefault(kind, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET":
            names = sorted(name for name in known if name > query.get("after", ""))
            page = names[: self.page_size]
            return 200, {
                "items": [known[name] for name in page],
                "morePages": len(names) > len(page),
                "asOf": self.revision,
            }
        if method == "POST":
            given = json.loads(body)
            name = given["metadata"]["name"]
            if name in known:
                return 409, known[name]
            await self.put(kind, name, given["spec"])
            return 200, known[name]
        if rest[0] not in known:
            return 404, {}
        if method == "PUT":
            given = json.loads(body)
            revision = given["metadata"].get("revision")
            if revision not in (None, known[rest[0]]["metadata"]["revision"]):
                return 409, known[rest[0]]
            await self.put(kind, rest[0], given["spec"])
            return 200, known[rest[0]]
        await self.put(kind, rest[0], None, deleted=True)
        return 200, {}

    async def _watch(self, kind, after, query):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["waitMs"]) / 1000
        cut_count = self._cut_count
        if after > self.revision:
            return 410, {}
        while True:
            if cut_count != self._cut_count:
                raise ConnectionAbortedError("the watch is cut")
            if after < self.oldest_revision:
                return 410, {}
            events = [e for rev, k, e in self.history if k == kind and rev > after]
            left_s = until_s - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "asOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left_s)
                except TimeoutError:
                    continue

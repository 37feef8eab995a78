"""Callers of a fleet, and the checker of what they got."""

import itertools
import json
import threading
import time

import attrs
import urllib3

from citrondock_standins.engine_text import expected_text
from citrondock_standins.small_deployment import account_api_key

HTTP = urllib3.PoolManager(retries=False, timeout=40.0, maxsize=200)
WAIT_S = 20.0


@attrs.define(kw_only=True)
class Received:
    """What a caller got: all bytes, and whether the framing says that they are all."""

    status: int = 0
    headers: urllib3.HTTPHeaderDict = attrs.field(factory=urllib3.HTTPHeaderDict)
    data: bytes = b""
    ended: bool = False
    fault: str = ""

    @property
    def events(self):
        return [e for e in self.data.decode(errors="replace").split("\n\n") if e]

    @property
    def is_whole(self):
        if not self.ended or self.status != 200:
            return False
        if "event-stream" in self.headers.get("Content-Type", ""):
            return bool(self.events) and self.events[-1] == "data: [DONE]"
        return True

    @property
    def error(self):
        """The refusal, or the error event that ended a stream; None without one."""
        if self.status >= 400 and self.data:
            return json.loads(self.data)["error"]
        last = self.events[-1] if self.events else ""
        if last.startswith("event: error\ndata: "):
            return json.loads(last.removeprefix("event: error\ndata: "))["error"]
        return None

    @property
    def text(self):
        """The generated text, from a stream or an answer in one piece."""
        if "event-stream" not in self.headers.get("Content-Type", ""):
            return json.loads(self.data)["choices"][0]["message"]["content"]
        lines = [e for e in self.events if e.startswith("data: {")]
        choices = [json.loads(line[6:])["choices"][0] for line in lines]
        return "".join(each["delta"].get("content", "") for each in choices)

    @property
    def ids(self):
        """Ids that the answer and its parts carry; all are the request's own."""
        if "event-stream" not in self.headers.get("Content-Type", ""):
            parts = [json.loads(self.data)]
        else:
            lines = [e for e in self.events if e.startswith("data: {")]
            parts = [json.loads(line[6:]) for line in lines]
        return {self.headers["X-Request-Id"], *(part["id"] for part in parts)}


def wait_until(condition, *, wait_s=WAIT_S):
    deadline_s = time.monotonic() + wait_s
    while not condition():
        assert time.monotonic() < deadline_s, "it did not happen in time"
        time.sleep(0.02)


def chat_body(**fields):
    content = fields.pop("content", "hi")
    message = {"role": "user", "content": content}
    return {"model": "small", "messages": [message], "max_tokens": 20, **fields}


def send(url, path, body=b"", *, method="POST", account="alice", http=HTTP, **headers):
    """Send a request and read what comes, to its end or to a fault."""
    got = Received()
    sent = {"Authorization": f"Bearer {account_api_key(account)}", **headers}
    try:
        answer = http.request(
            method, url + path, body=body, headers=sent, preload_content=False
        )
        got.status, got.headers = answer.status, answer.headers
        while part := answer.read1(65_536):
            got.data += part
        length = got.headers.get("Content-Length")
        got.ended = length is None or int(length) == len(got.data)
        answer.release_conn()
    except urllib3.exceptions.ReadTimeoutError:
        raise
    except urllib3.exceptions.HTTPError as error:
        got.fault = str(error)
    return got


def ask(url, body, *, account="alice", http=HTTP, **headers):
    """Send a chat request."""
    document = json.dumps(body).encode()
    path = "/v1/chat/completions"
    return send(url, path, document, account=account, http=http, **headers)


def check_answer(got, body):
    """An answer is whole and its own, or its caller can see that it is not."""
    if got.is_whole:
        assert got.text == expected_text(body)
        assert len(got.ids) == 1, got.ids
        assert got.error is None
        return
    assert got.error is not None or got.fault, got
    if got.status == 200 and "event-stream" in got.headers["Content-Type"]:
        assert expected_text(body).startswith(got.text)
        assert "data: [DONE]" not in got.events


class Balancer:
    """Sends callers to routers that say they are ready, as the platform's does."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._ready = ()
        self._turn = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._look()
        self._thread.start()

    def url(self):
        ready = self._ready
        return ready[next(self._turn) % len(ready)]

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(0.05):
            self._look()

    def _look(self):
        urls = []
        for name, router in list(self._fleet.routers.items()):
            url = router.callers_url
            if router.process.is_running and self._fleet.is_ready(name):
                urls.append(url)
        self._ready = urls


class Load:
    """Callers that each ask again as soon as they have an answer."""

    def __init__(self, find_url, *, caller_count, requests):
        self.answers = []
        self.errors = []
        self._find_url = find_url
        self._requests = requests
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,)) for n in range(caller_count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        assert self.errors == []

    def _run(self, number):
        try:
            self._ask_again_and_again(number)
        except Exception as error:
            self.errors.append(error)

    def _ask_again_and_again(self, number):
        turn = 0
        with urllib3.PoolManager(retries=False, timeout=40.0) as http:
            while not self._stopped.is_set():
                turn += 1
                self.answers.append(
                    self._requests(self._find_url(), number, turn, http)
                )

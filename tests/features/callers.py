"""Callers of a fleet, and checks of the answers that they get."""

import itertools
import json
import threading
import time

import attrs
import urllib3

from citrondock_standins.engine_text import expected_text
from citrondock_standins.small_deployment import account_api_key

HTTP = urllib3.PoolManager(retries=False, timeout=40.0, maxsize=200)
WAIT_TIMEOUT_S = 20.0


@attrs.define(kw_only=True)
class ReceivedAnswer:
    """An answer as its caller received it.

    Attributes
    ----------
    data : bytes
        The body, as far as it was received.
    has_full_body : bool
        Whether the body ended as its framing says: by its length or its last chunk.
    transport_error : str
        Error of the connection; empty without one.
    """

    status: int = 0
    headers: urllib3.HTTPHeaderDict = attrs.field(factory=urllib3.HTTPHeaderDict)
    data: bytes = b""
    has_full_body: bool = False
    transport_error: str = ""

    @property
    def events(self):
        return [e for e in self.data.decode(errors="replace").split("\n\n") if e]

    @property
    def is_complete(self):
        if not self.has_full_body or self.status != 200:
            return False
        if "event-stream" in self.headers.get("Content-Type", ""):
            return bool(self.events) and self.events[-1] == "data: [DONE]"
        return True

    @property
    def error(self):
        """Error of an error response or of a stream's last event; None without one."""
        if self.status >= 400 and self.data:
            return json.loads(self.data)["error"]
        last = self.events[-1] if self.events else ""
        if last.startswith("event: error\ndata: "):
            return json.loads(last.removeprefix("event: error\ndata: "))["error"]
        return None

    @property
    def text(self):
        """The generated text, from a stream or a non-streamed answer."""
        if "event-stream" not in self.headers.get("Content-Type", ""):
            return json.loads(self.data)["choices"][0]["message"]["content"]
        lines = [e for e in self.events if e.startswith("data: {")]
        choices = [json.loads(line[6:])["choices"][0] for line in lines]
        return "".join(each["delta"].get("content", "") for each in choices)

    @property
    def ids(self):
        """Request ids in the header and in each part; a correct answer has just one."""
        if "event-stream" not in self.headers.get("Content-Type", ""):
            parts = [json.loads(self.data)]
        else:
            lines = [e for e in self.events if e.startswith("data: {")]
            parts = [json.loads(line[6:]) for line in lines]
        return {self.headers["X-Request-Id"], *(part["id"] for part in parts)}


def wait_until(condition, *, timeout_s=WAIT_TIMEOUT_S):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, (
            f"the condition did not hold within {timeout_s} s"
        )
        time.sleep(0.02)


def chat_body(**fields):
    content = fields.pop("content", "hi")
    message = {"role": "user", "content": content}
    return {"model": "small", "messages": [message], "max_tokens": 20, **fields}


def send(url, path, body=b"", *, method="POST", account="alice", http=HTTP, **headers):
    """Send a request and read its answer to the end or to a connection error."""
    answer = ReceivedAnswer()
    sent = {"Authorization": f"Bearer {account_api_key(account)}", **headers}
    try:
        response = http.request(
            method, url + path, body=body, headers=sent, preload_content=False
        )
        answer.status, answer.headers = response.status, response.headers
        while part := response.read1(65_536):
            answer.data += part
        length = answer.headers.get("Content-Length")
        answer.has_full_body = length is None or int(length) == len(answer.data)
        response.release_conn()
    except urllib3.exceptions.ReadTimeoutError:
        raise
    except urllib3.exceptions.HTTPError as error:
        answer.transport_error = str(error)
    return answer


def send_chat_request(url, body, *, account="alice", http=HTTP, **headers):
    """Send a chat request."""
    document = json.dumps(body).encode()
    path = "/v1/chat/completions"
    return send(url, path, document, account=account, http=http, **headers)


def check_answer(answer, body):
    """Check that an answer is complete and the request's own, or visibly is not."""
    if answer.is_complete:
        assert answer.text == expected_text(body)
        assert len(answer.ids) == 1, answer.ids
        assert answer.error is None
        return
    assert answer.error is not None or answer.transport_error, answer
    if answer.status == 200 and "event-stream" in answer.headers["Content-Type"]:
        assert expected_text(body).startswith(answer.text)
        assert "data: [DONE]" not in answer.events


class LoadBalancer:
    """Chooses routers in turn among those that report ready, like the platform's."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._ready_urls = ()
        self._calls = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._poll)
        self._refresh()
        self._thread.start()

    def url(self):
        ready = self._ready_urls
        return ready[next(self._calls) % len(ready)]

    def stop(self):
        self._stopped.set()
        self._thread.join()

    def _poll(self):
        while not self._stopped.wait(0.05):
            self._refresh()

    def _refresh(self):
        urls = []
        for name, router in list(self._fleet.routers.items()):
            url = router.callers_url
            if router.process.is_running and self._fleet.is_ready(name):
                urls.append(url)
        self._ready_urls = urls


class LoadGenerator:
    """Callers that each send a request as soon as the one before is answered."""

    def __init__(self, choose_url, *, caller_count, send_request):
        self.answers = []
        self.errors = []
        self._choose_url = choose_url
        self._send_request = send_request
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
            self._send_until_stopped(number)
        except Exception as error:
            self.errors.append(error)

    def _send_until_stopped(self, number):
        turn = 0
        with urllib3.PoolManager(retries=False, timeout=40.0) as http:
            while not self._stopped.is_set():
                turn += 1
                self.answers.append(
                    self._send_request(self._choose_url(), number, turn, http)
                )

"""Child processes that end for sure."""

import atexit
import json
import os
import re
import signal
import subprocess
import sys
import threading
from collections import deque
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import attrs
import psutil
import urllib3

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 5.0
MAX_LOG_LINES = 20_000
LISTENING = "event=listening"
_FIELD = re.compile(r"(\w+)=(\S+)")


class ChildError(Exception):
    """A child process did not start or did not answer as expected."""


class ChildProcess:
    """A child process whose output lines are kept.

    Parameters
    ----------
    arguments : sequence of str
        Arguments of the Python interpreter.

    Attributes
    ----------
    lines : deque of str
        Latest lines of its output.
    """

    def __init__(self, arguments: Sequence[str]) -> None:
        self.lines: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self._arrived = threading.Condition()
        self._process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(filter(None, sys.path))},
            text=True,
        )
        atexit.register(self.kill)
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended yet."""
        return self._process.poll() is None

    def has_connection_from(self, address: tuple[str, int]) -> bool:
        """Whether it has a TCP connection from an address."""
        try:
            held = psutil.Process(self.pid).net_connections("tcp")
        except psutil.Error:
            return False
        return any(connection.laddr == address for connection in held)

    def wait_for_lines(
        self, text: str, *, count: int = 1, timeout_s: float = START_TIMEOUT_S
    ) -> Sequence[Mapping[str, str]]:
        """Return the fields of the first ``count`` lines that contain ``text``."""

        def found() -> list[str]:
            return [line for line in self.lines if text in line]

        def is_decided() -> bool:
            return len(found()) >= count or not self._reader.is_alive()

        with self._arrived:
            self._arrived.wait_for(is_decided, timeout_s)
            lines = found()[:count]
        if len(lines) < count:
            tail = "\n".join(list(self.lines)[-20:])
            raise ChildError(f"no line with {text!r} from {self.pid}:\n{tail}")
        return [dict(_FIELD.findall(line)) for line in lines]

    def terminate(self) -> None:
        """Ask it to end with SIGTERM."""
        if self.is_running:
            self._process.terminate()

    def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """End it with SIGTERM, or else with SIGKILL, and return its exit code."""
        self.terminate()
        try:
            code = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()
        self._close()
        return code

    def kill(self) -> int:
        """End it with SIGKILL."""
        if self.is_running:
            self._process.kill()
        code = self._process.wait()
        self._close()
        return code

    def pause(self) -> None:
        """Stop it from running until `resume`."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let it run again."""
        os.kill(self.pid, signal.SIGCONT)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            with self._arrived:
                self.lines.append(line.rstrip("\n"))
                self._arrived.notify_all()
        with self._arrived:
            self._arrived.notify_all()

    def _close(self) -> None:
        atexit.unregister(self.kill)
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._reader.join(STOP_TIMEOUT_S)


class StandinProcess(ChildProcess):
    """A stand-in in a process of its own.

    Attributes
    ----------
    listening : sequence of mapping
        Fields of its listening lines.

    Examples
    --------
    ``with StandinProcess.start("engine", engines=3) as engines: ...``
    """

    def __init__(self, arguments: Sequence[str], *, listener_count: int) -> None:
        super().__init__(arguments)
        try:
            self.listening = self.wait_for_lines(LISTENING, count=listener_count)
        except BaseException:
            self.kill()
            raise
        self._http = urllib3.PoolManager(retries=False, timeout=10.0)

    @classmethod
    def start(cls, kind: str, **flags: object) -> Self:
        """Start a stand-in of a kind with flags."""
        options = [f"--{name}={value}" for name, value in flags.items()]
        arguments = ["-m", "citrondock_standins", kind, "--exit_with_parent"]
        engines = flags.get("engines", 1)
        assert isinstance(engines, int)
        return cls([*arguments, *options], listener_count=engines)

    @property
    def ports(self) -> Sequence[int]:
        """Ports on which it listens."""
        return [int(fields["port"]) for fields in self.listening]

    @property
    def port(self) -> int:
        """First port on which it listens."""
        return self.ports[0]

    @property
    def url(self) -> str:
        """Where its first HTTP port is."""
        return self.http_url(0)

    def http_url(self, index: int) -> str:
        """Return where one of its HTTP ports is."""
        fields = self.listening[index]
        return f"http://127.0.0.1:{fields.get('control_port', fields['port'])}"

    def read(self, path: str, *, index: int = 0) -> Any:
        """Return the JSON document at a path."""
        return self._ask("GET", path, None, index)

    def post(self, path: str, document: object, *, index: int = 0) -> Any:
        """Post a JSON document to a path."""
        return self._ask("POST", path, document, index)

    def delete(self, path: str, *, index: int = 0) -> Any:
        """Delete what is at a path."""
        return self._ask("DELETE", path, None, index)

    def set_faults(self, *, index: int = 0, **faults: object) -> None:
        """Replace the faults in force; none given ends all."""
        self.post("/control/faults", faults, index=index)

    def _ask(self, method: str, path: str, document: object, index: int) -> Any:
        body = None if document is None else json.dumps(document).encode()
        url = self.http_url(index) + path
        answer = self._http.request(method, url, body=body)
        if answer.status != 200:
            raise ChildError(f"{method} {url}: {answer.status} {answer.data!r}")
        return json.loads(answer.data)


@attrs.frozen(kw_only=True)
class RouterLaunch:
    """How to start a router.

    Parameters
    ----------
    settings_path : Path
        Its settings file.
    flags : tuple of str
        Further arguments.
    """

    settings_path: Path
    flags: tuple[str, ...] = ()


class RouterProcess(ChildProcess):
    """A router in a process of its own.

    Attributes
    ----------
    callers_port, operators_port, peers_port : int
        Ports on which it listens.
    """

    def __init__(self, launch: RouterLaunch) -> None:
        settings = f"--settings={launch.settings_path}"
        super().__init__(["-m", "citrondock_router", settings, *launch.flags])
        try:
            (fields,) = self.wait_for_lines(LISTENING)
        except BaseException:
            self.kill()
            raise
        self.callers_port = int(fields["callers_port"])
        self.operators_port = int(fields["operators_port"])
        self.peers_port = int(fields["peers_port"])

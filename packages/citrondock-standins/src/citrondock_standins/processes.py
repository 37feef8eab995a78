"""Child processes that are stopped at the latest when this process exits."""

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
    """A child process failed to start or to respond as expected."""


class ChildProcess:
    """A Python child process with its latest output lines.

    Parameters
    ----------
    arguments : sequence of str
        Arguments for the Python interpreter.

    Attributes
    ----------
    lines : deque of str
        Latest lines of standard output and standard error.
    """

    def __init__(self, arguments: Sequence[str]) -> None:
        self.lines: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self._output_changed = threading.Condition()
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
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has not exited yet."""
        return self._process.poll() is None

    def has_connection_from(self, address: tuple[str, int]) -> bool:
        """Whether the process has a TCP socket bound to a local address."""
        try:
            connections = psutil.Process(self.pid).net_connections("tcp")
        except psutil.Error:
            return False
        return any(connection.laddr == address for connection in connections)

    def wait_for_lines(
        self, text: str, *, count: int = 1, timeout_s: float = START_TIMEOUT_S
    ) -> Sequence[Mapping[str, str]]:
        """Wait for output lines that contain ``text``.

        Returns
        -------
        sequence of mapping
            The ``key=value`` fields of the first ``count`` such lines.

        Raises
        ------
        ChildError
            If there are fewer such lines at the timeout or at the end of the output.
        """

        def matching_lines() -> list[str]:
            return [line for line in self.lines if text in line]

        def is_done() -> bool:
            return len(matching_lines()) >= count or not self._reader.is_alive()

        with self._output_changed:
            self._output_changed.wait_for(is_done, timeout_s)
            lines = matching_lines()[:count]
        if len(lines) < count:
            tail = "\n".join(list(self.lines)[-20:])
            raise ChildError(
                f"process {self.pid} logged {len(lines)} of {count} lines "
                f"with {text!r}, last output:\n{tail}"
            )
        return [dict(_FIELD.findall(line)) for line in lines]

    def terminate(self) -> None:
        """Send SIGTERM, without waiting."""
        if self.is_running:
            self._process.terminate()

    def stop(self, *, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop the process by SIGTERM, then SIGKILL, and return its exit code."""
        self.terminate()
        try:
            code = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()
        self._close()
        return code

    def kill(self) -> int:
        """Stop the process by SIGKILL and return its exit code."""
        if self.is_running:
            self._process.kill()
        code = self._process.wait()
        self._close()
        return code

    def pause(self) -> None:
        """Suspend the process until `resume`."""
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a suspended process."""
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
            with self._output_changed:
                self.lines.append(line.rstrip("\n"))
                self._output_changed.notify_all()
        with self._output_changed:
            self._output_changed.notify_all()

    def _close(self) -> None:
        atexit.unregister(self.kill)
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._reader.join(STOP_TIMEOUT_S)


class StandinProcess(ChildProcess):
    """Process that runs stand-ins.

    Attributes
    ----------
    listening : sequence of mapping
        Fields of the listening line of each stand-in.

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
        """Start stand-ins of a kind with the given flags."""
        options = [f"--{name}={value}" for name, value in flags.items()]
        arguments = ["-m", "citrondock_standins", kind, "--exit_with_parent"]
        engines = flags.get("engines", 1)
        assert isinstance(engines, int)
        return cls([*arguments, *options], listener_count=engines)

    @property
    def ports(self) -> Sequence[int]:
        """Ports that the stand-ins listen on."""
        return [int(fields["port"]) for fields in self.listening]

    @property
    def port(self) -> int:
        """Port that the first stand-in listens on."""
        return self.ports[0]

    @property
    def url(self) -> str:
        """Base URL of the first stand-in, or of its control port."""
        return self.http_url(0)

    def http_url(self, index: int) -> str:
        """Return the base URL of a stand-in, or of its control port if it has one."""
        fields = self.listening[index]
        return f"http://127.0.0.1:{fields.get('control_port', fields['port'])}"

    def read(self, path: str, *, index: int = 0) -> Any:
        """Send GET and return the JSON response."""
        return self._request("GET", path, None, index)

    def post(self, path: str, document: object, *, index: int = 0) -> Any:
        """Send POST with a JSON document and return the JSON response."""
        return self._request("POST", path, document, index)

    def delete(self, path: str, *, index: int = 0) -> Any:
        """Send DELETE and return the JSON response."""
        return self._request("DELETE", path, None, index)

    def set_faults(self, *, index: int = 0, **faults: object) -> None:
        """Replace the faults of a stand-in; none given clears all."""
        self.post("/control/faults", faults, index=index)

    def take_copy(self, *, index: int = 0) -> None:
        """Copy the objects of an object store, for a later `restore`."""
        self.post("/control/copy", {}, index=index)

    def restore(self, *, index: int = 0) -> None:
        """Let an object store come back from its copy."""
        self.post("/control/restore", {}, index=index)

    def _request(self, method: str, path: str, document: object, index: int) -> Any:
        body = None if document is None else json.dumps(document).encode()
        url = self.http_url(index) + path
        response = self._http.request(method, url, body=body)
        if response.status != 200:
            raise ChildError(
                f"{method} {url}: status {response.status}, body {response.data!r}"
            )
        return json.loads(response.data)


@attrs.frozen(kw_only=True)
class RouterLaunch:
    """How to start a router.

    Parameters
    ----------
    settings_path : Path
        Path of its settings file.
    flags : tuple of str
        Additional command line arguments.
    """

    settings_path: Path
    flags: tuple[str, ...] = ()


class RouterProcess(ChildProcess):
    """Process that runs a router.

    Attributes
    ----------
    callers_port, operators_port, peers_port : int
        Ports that it listens on.
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

"""Runs an earlier checkout beside this one, on data that either of them wrote.

Run by hand: ``python tests/compatibility/old_beside_new.py --old=CHECKOUT``.

Everything is started through the interfaces that users see: commands, settings files,
HTTP and the platform's store. Prints a line for each check and fails at the first that
does not hold.
"""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from absl import app, flags

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

from host_probe import is_port_free  # noqa: E402
from store_standin import StoreStandIn  # noqa: E402

OLD = flags.DEFINE_string("old", None, "Root of the earlier checkout.", required=True)

HOST = "127.0.0.1"
WAIT_S = 30.0
PACKAGES = ("core", "wire", "router", "cli", "standins", "bench")
SHARED_KEY = "shared-key-of-the-compatibility-run"
PROMPT_COUNT = 40
LAST = PROMPT_COUNT - 1
FIELD = re.compile(r"(\w+)=(\S+)")


class Checkout:
    """One version of the code, run as processes of its own."""

    def __init__(self, name: str, root: Path) -> None:
        self.name = name
        self.root = root
        paths = [root / f"packages/citrondock-{p}/src" for p in PACKAGES]
        paths.append(root / "platform")
        self.environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(map(str, paths)),
        }

    def run(self, *arguments: str, accepted: tuple[int, ...] = (0,)) -> str:
        """Run a command of Python to its end and return what it printed."""
        done = subprocess.run(
            [sys.executable, *arguments],
            env=self.environment,
            cwd=self.root,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if done.returncode not in accepted:
            raise AssertionError(
                f"{self.name}: {arguments} ended with {done.returncode}: {done.stderr}"
            )
        return done.stdout

    def command(self, *arguments: str, accepted: tuple[int, ...] = (0,)) -> str:
        """Run ``citrondock``."""
        return self.run("-m", "citrondock_cli", *arguments, accepted=accepted)

    def start(self, log: Path, *arguments: str, **variables: str) -> subprocess.Popen:
        """Start a command of Python whose output goes to a log."""
        with log.open("ab") as stream:
            return subprocess.Popen(
                [sys.executable, "-u", *arguments],
                env={**self.environment, **variables},
                cwd=self.root,
                stdout=stream,
                stderr=subprocess.STDOUT,
            )


def passed(text: str) -> None:
    """Print a check that holds."""
    print(f"ok   {text}", flush=True)


def wait_for(found, what: str):
    """Return the first true result of a function, or fail after `WAIT_S`."""
    deadline_s = time.monotonic() + WAIT_S
    while True:
        with contextlib.suppress(OSError, KeyError, ValueError):
            if result := found():
                return result
        if time.monotonic() > deadline_s:
            raise AssertionError(f"not within {WAIT_S:g} s: {what}")
        time.sleep(0.05)


def listening(log: Path) -> dict[str, str]:
    """Return the fields of the last listening line of a log."""
    lines = [line for line in log.read_text().splitlines() if "event=listening" in line]
    return dict(FIELD.findall(lines[-1])) if lines else {}


def call(port, method, path, document=None, **headers) -> tuple[int, bytes]:
    """Return status and body of an HTTP call."""
    connection = http.client.HTTPConnection(HOST, int(port), timeout=20)
    body = None if document is None else json.dumps(document)
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    connection.request(method, path, body, names)
    answer = connection.getresponse()
    result = answer.status, answer.read()
    connection.close()
    return result


class OwnInterface:
    """Two routers of two versions in one fleet on stand-ins of the first version."""

    def __init__(self, first: Checkout, second: Checkout, folder: Path) -> None:
        self.first, self.second, self.folder = first, second, folder
        self.processes: dict[str, subprocess.Popen] = {}
        self.fields: dict[str, dict[str, str]] = {}
        self.title = f"{first.name} first, {second.name} second"

    def run(self) -> None:
        try:
            self._start_standins()
            self._publish()
            self._start_router("router-a1", "a", self.first)
            self._start_router("router-b1", "b", self.second)
            self._check_membership()
            self._check_calls()
            self._check_claim_of_the_other("router-a1", "router-b1", "key-1")
            self._check_claim_of_the_other("router-b1", "router-a1", "key-2")
            self._check_commands()
            self._check_edit(self.second, base=1, limit=7)
            self._check_edit(self.first, base=2, limit=6)
            self._check_restart_on_written_data()
        finally:
            for process in self.processes.values():
                process.kill()
                process.wait()

    def _start(self, name: str, code: Checkout, *arguments: str) -> dict[str, str]:
        log = self.folder / f"{name}.log"
        log.write_bytes(b"")
        self.processes[name] = code.start(log, *arguments)
        self.fields[name] = wait_for(lambda: listening(log), f"start of {name}")
        return self.fields[name]

    def _start_standins(self) -> None:
        for kind in ("object_store", "vm_list", "engine", "plain_service"):
            self._start(kind, self.first, "-m", "citrondock_standins", kind)
        port = self.fields["object_store"]["port"]
        self.store = f"--store=http://{HOST}:{port}"

    def _publish(self) -> None:
        made = json.loads(self.first.command("accounts", "new-key", "alice", "--json"))
        self.key = made["key"]
        self.text = {
            "accounts": {"alice": {"key_hashes": [made["key_hash"]]}},
            "pools": {
                "engines": self._pool("engine"),
                "archive": self._pool("plain_service", "application"),
            },
            "services": {
                "chat": {"kind": "chat", "pool": "engines", "model": "small"},
                "bookings": {
                    "kind": "plain",
                    "pool": "archive",
                    "path": "/bookings",
                    "idempotent": False,
                },
            },
        }
        self.first.command("apply", self._write_text(), self.store, "--reason=first")

    def _pool(self, standin: str, kind: str = "") -> dict:
        target = {
            "availability_zone": "a",
            "host": HOST,
            "port": int(self.fields[standin]["port"]),
            "max_in_flight": 8,
        }
        return {"kind": kind or standin, "targets": {f"{standin}-1": target}}

    def _write_text(self) -> str:
        path = self.folder / "text.json"
        path.write_text(json.dumps(self.text))
        return str(path)

    def _start_router(self, name: str, zone: str, code: Checkout) -> None:
        settings = {
            "vm": {"name": name, "availability_zone": zone},
            "callers": {"host": HOST, "port": 0},
            "operators": {"host": HOST, "port": 0},
            "peers": {"host": HOST, "port": 0, "shared_key": SHARED_KEY},
            "platform": {
                "object_store_url": f"http://{HOST}:{self.fields['object_store']['port']}",
                "vm_directory_url": f"http://{HOST}:{self.fields['vm_list']['port']}",
            },
        }
        path = self.folder / f"{name}.json"
        if not path.exists():
            path.write_text(json.dumps(settings))
        arguments = ("-m", "citrondock_router", f"--settings={path}")
        fields = self._start(name, code, *arguments)
        vm = {"name": name, "availability_zone": zone, "host": HOST}
        vm["port"] = int(fields["peers_port"])
        call(self.fields["vm_list"]["port"], "POST", "/control/vms", vm)

    def _status(self, name: str) -> dict:
        status, body = call(self.fields[name]["operators_port"], "GET", "/v1/status")
        assert status == 200
        return json.loads(body)

    def _check_membership(self) -> None:
        names = {"router-a1", "router-b1"}
        for name in sorted(names):

            def joined(name=name):
                found = {each["vm_name"] for each in self._status(name)["members"]}
                return found == names

            wait_for(joined, f"{name} counts both as members")
            port = self.fields[name]["operators_port"]
            wait_for(
                lambda port=port: call(port, "GET", "/readyz")[0] == 200, "readiness"
            )
        passed(f"{self.title}: each counts the other as a member and is ready")

    def _send(self, name: str, path: str, document: dict, **headers: str):
        headers["Authorization"] = f"Bearer {self.key}"
        port = self.fields[name]["callers_port"]
        return call(port, "POST", path, document, **headers)

    def _check_calls(self) -> None:
        body = {
            "model": "small",
            "stream": True,
            "max_tokens": 20,
            "messages": [{"role": "user", "content": "hi"}],
        }
        answers = set()
        for name in ("router-a1", "router-b1"):
            for _ in range(10):
                status, data = self._send(name, "/v1/chat/completions", body)
                assert status == 200 and data.endswith(b"data: [DONE]\n\n"), data
                events = data.decode().split("\n\n")[:-2]
                parts = [json.loads(each[6:]) for each in events]
                self.request_id = parts[0]["id"]
                deltas = [part["choices"][0]["delta"] for part in parts]
                answers.add("".join(delta.get("content", "") for delta in deltas))
        assert len(answers) == 1, answers
        passed(f"{self.title}: 10 streams through each, whole and of the same text")

    def _book(self, name: str, key: str) -> tuple[int, bytes]:
        """Send a keyed call until its claim is free or its outcome known (not 409)."""

        def answered():
            got = self._send(name, "/bookings", {"slot": key}, Idempotency_Key=key)
            return got if got[0] != 409 else None

        return wait_for(answered, f"an answer to {key} at {name}")

    def _runs(self, key: str) -> int:
        port = self.fields["plain_service"]["port"]
        runs = json.loads(call(port, "GET", "/control/runs")[1])["runs"]
        return sum(run["idempotency_key"] == key for run in runs)

    def _check_claim_of_the_other(self, first: str, repeat: str, key: str) -> None:
        answer = self._book(first, key)
        repeated = self._book(repeat, key)
        assert answer[0] == 200 and repeated == answer, (answer, repeated)
        assert self._runs(key) == 1
        passed(
            f"{self.title}: {repeat} repeats the answer of {first}; the call ran once"
        )

    def _check_commands(self) -> None:
        ports = [
            self.fields[name]["operators_port"] for name in ("router-a1", "router-b1")
        ]
        routers = "--router=" + ",".join(f"http://{HOST}:{port}" for port in ports)
        commands = (
            ("show", self.store),
            ("history", self.store, "--json"),
            ("audit", self.store, "--json"),
            ("accounts", self.store),
            ("services", self.store, "--json"),
            ("status", routers, self.store),
            ("explain", self.request_id, f"--router=http://{HOST}:{ports[0]}"),
            ("explain", self.request_id, f"--router=http://{HOST}:{ports[1]}"),
        )
        for command in commands:
            shown = [code.command(*command) for code in (self.first, self.second)]
            plain = [re.sub(r"\d+(\.\d+)?", "N", text) for text in shown]
            assert plain[0] == plain[1] and shown[0], (command, shown)
        passed(f"{self.title}: {len(commands)} commands of both print the same")

    def _check_edit(self, code: Checkout, *, base: int, limit: int) -> None:
        pool = self.text["pools"]["archive"]["targets"]
        pool["plain_service-1"]["max_in_flight"] = limit
        ports = [
            self.fields[name]["operators_port"] for name in ("router-a1", "router-b1")
        ]
        code.command(
            "apply",
            self._write_text(),
            self.store,
            "--reason=edit",
            f"--base={base}",
            "--wait",
            "--router=" + ",".join(f"http://{HOST}:{port}" for port in ports),
        )
        for name in ("router-a1", "router-b1"):
            revision = self._status(name)["configuration_revision"]
            assert revision == base + 1, (name, revision)
        passed(f"{self.title}: an edit by the {code.name} command is in force on both")

    def _check_restart_on_written_data(self) -> None:
        for name in ("router-a1", "router-b1"):
            self.processes[name].terminate()
            assert self.processes[name].wait(WAIT_S) == 0
        # The versions change places: each starts on what the other left behind.
        self._start_router("router-a1", "a", self.second)
        self._start_router("router-b1", "b", self.first)
        self._check_membership()
        self._check_calls()
        for key in ("key-1", "key-2"):
            for name in ("router-a1", "router-b1"):
                assert self._book(name, key)[0] == 200, (name, key)
            assert self._runs(key) == 1
        for name in ("router-a1", "router-b1"):
            assert self._status(name)["configuration_revision"] == 3
        self._check_commands()
        passed(f"{self.title}: after changing places, claims and revision are kept")
        for name in ("router-a1", "router-b1"):
            log = (self.folder / f"{name}.log").read_text()
            bad = [line for line in log.splitlines() if "level=ERROR" in line]
            assert not bad, bad
        passed(f"{self.title}: no line of level ERROR")


async def stream_answer(reader, writer) -> None:
    """Answer requests on a connection with three events each."""
    # Cancelled when the run ends with connections open.
    ends = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
    with contextlib.suppress(*ends):
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = [line.partition(":") for line in head.split("\r\n")]
            headers = {name.lower(): value.strip() for name, _, value in lines}
            await reader.readexactly(int(headers.get("content-length", 0)))
            writer.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {headers['request-id']}\r\n"
                "Response-Signature: x\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
            )
            await asyncio.sleep(0.02)
            for number in range(3):
                event = b"id: %d\ndata: x\n\n" % number
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
    writer.close()


def free_ports(count: int) -> list[int]:
    """Return even ports that are free together with the odd port behind each."""
    first = 21_000 + os.getpid() * 16 % 9_000
    pairs = (port for port in range(first, 32_000, 2) if is_pair_free(port))
    return list(itertools.islice(pairs, count))


def is_pair_free(port: int) -> bool:
    """Return whether a port and the one behind it can be bound."""
    return is_port_free(port) and is_port_free(port + 1)


class Gateways:
    """Two gateways of two versions that share the engines of a service."""

    def __init__(self, first: Checkout, second: Checkout, folder: Path) -> None:
        self.codes = {"v1": first, "v2": second}
        self.folder = folder
        self.title = f"gateways, v1 {first.name}, v2 {second.name}"
        self.ports: dict[str, list[int]] = {}
        self.processes: dict[str, subprocess.Popen] = {}

    async def run(self) -> None:
        self.store = StoreStandIn()
        await self.store.start()
        await self.store.put("config", "main", self._configuration())
        servers = [await asyncio.start_server(stream_answer, HOST, 0) for _ in range(4)]
        for number, server in enumerate(servers):
            entry = {
                "service": "llm",
                "address": f"{HOST}:{server.sockets[0].getsockname()[1]}",
                "zone": f"z{number % 2 + 1}",
                "maxBatchSize": 8,
                "state": "ready",
            }
            await self.store.put("servers", f"e-{number}", entry)
        try:
            await asyncio.to_thread(self._check)
        finally:
            for process in self.processes.values():
                process.kill()
                process.wait()
            for server in servers:
                server.close()

    def _configuration(self) -> dict:
        route = {
            "name": "r",
            "host": "h.example",
            "pathPrefix": "/a/",
            "routeType": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 600,
            "targetGapMs": 300,
            "service": "llm",
            "maxAttempts": 2,
            "public": True,
        }
        engine = {"maxBatchSize": 8, "kvCapacity": 300_000}
        return {
            "version": 3,
            "routes": [route],
            "services": [{"name": "llm", "engine": engine}],
            "limits": {
                "maxHeaderBytes": 8192,
                "maxBodyBytes": 10_000,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 5000,
            },
        }

    def _start(self, name: str) -> None:
        ports = self.ports[name]
        path = self.folder / f"{name}.json"
        settings = {
            "nodeName": name,
            "zone": f"z{name[-1]}",
            "ip": HOST,
            "listen": {
                "frontend": f"{HOST}:{ports[0]}",
                "readiness": f"{HOST}:{ports[1]}",
            },
            "internalPorts": [ports[2], ports[2] + 1],
            "bounds": {
                "graceS": 4,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "budgetSlack": 54,
            },
            "platform": {"address": f"{HOST}:{self.store.port}"},
        }
        path.write_text(json.dumps(settings))
        code = self.codes[name]
        self.processes[name] = code.start(
            self.folder / f"{name}.log",
            str(code.root / "platform" / "run_router.py"),
            CITRONDOCK_SETTINGS=str(path),
        )

    def _check(self) -> None:
        ports = free_ports(6)
        self.ports = {"v1": ports[:3], "v2": ports[3:]}
        for name in self.codes:
            self._start(name)
        for name in self.codes:
            self._wait_ready(name)
            self._wait_for_line(name, "event=peer_known")
        passed(f"{self.title}: each knows the other")
        for round_number in range(PROMPT_COUNT):
            for name in self.codes:
                status, body = call(
                    self.ports[name][0],
                    "POST",
                    "/a/x",
                    {},
                    Host="h.example",
                    Request_Id=f"{name}-{round_number}",
                    Token_Usage="900,20",
                    Prefix_Hash=f"p{round_number % 16}:600,own{name}{round_number}:300",
                )
                assert status == 200 and body.count(b"data: x") == 3, (status, body)
        passed(f"{self.title}: {PROMPT_COUNT} streams through each, all whole")
        for name in self.codes:
            # Logs are written with a delay.
            self._wait_for_line(name, f"request_ended request_id={name}-{LAST}")
            asked = self._lines(name, "event=engine_asked")
            answered = self._lines(name, "event=engine_answered")
            targets = {dict(FIELD.findall(line))["target"] for line in asked}
            # A home is in the zone of its engine: some are homed at the other version.
            assert {int(target[-1]) % 2 for target in targets} == {0, 1}, targets
            asked_ids, answered_ids = (
                {dict(FIELD.findall(line))["request_id"] for line in lines}
                for lines in (asked, answered)
            )
            assert len(asked_ids) == PROMPT_COUNT, len(asked_ids)
            missing = [
                line
                for request_id in asked_ids - answered_ids
                for line in self._lines(name, f"request_id={request_id}")
            ]
            assert not missing, missing
            sent = self._metric(name, 'citrondock_totals{kind="peer_bytes_sent"}')
            assert sent > 1000, sent
        passed(f"{self.title}: prompts at engines homed at either version")
        bad = ("unreadable", "home_silent", "level=ERROR", "Traceback")
        for name in self.codes:
            found = [line for word in bad for line in self._lines(name, word)]
            assert not found, found
        passed(f"{self.title}: no unreadable datagram, no silent home, no error")
        logs = [str(self.folder / f"{name}.log") for name in self.codes]
        for request_id in ("v1-3", "v2-3"):
            shown = {c.command("story", request_id, *logs) for c in self.codes.values()}
            assert len(shown) == 1 and "request_ended" in shown.pop()
        passed(f"{self.title}: story of both prints the same")
        for name in self.codes:
            self.processes[name].terminate()
            assert self.processes[name].wait(WAIT_S) == 0
        assert self.store.objects["citrondock-routers"] == {}
        passed(f"{self.title}: both leave and end with 0")

    def _wait_ready(self, name: str) -> None:
        port = self.ports[name][1]
        wait_for(lambda: call(port, "GET", "/v1/readyz")[0] == 200, f"{name} ready")

    def _wait_for_line(self, name: str, text: str) -> None:
        wait_for(lambda: self._lines(name, text), f"{text} of {name}")

    def _lines(self, name: str, text: str) -> list[str]:
        lines = (self.folder / f"{name}.log").read_text().splitlines()
        return [line for line in lines if text in line]

    def _metric(self, name: str, label: str) -> float:
        page = call(self.ports[name][2], "GET", "/metrics")[1].decode()
        return next(
            float(line.rpartition(" ")[2])
            for line in page.splitlines()
            if line.startswith(label)
        )


def check_files(old: Checkout, new: Checkout) -> None:
    """Check that both read settings, texts and the journal alike."""
    for example in sorted((old.root / "examples").glob("*.jsonc")):
        if example.name != "router-settings.jsonc":
            assert old.command("check", str(example)) == new.command(
                "check", str(example)
            )
    passed("check of both says the same of the example texts")
    journal = str(old.root / "journal")
    pages = [c.run("-m", "citrondock_bench.measurements", journal) for c in (old, new)]
    assert pages[0] == pages[1]
    passed("measurements of both makes the same page of the journal")
    names = [
        re.findall(r"`[\w.]+`", c.run("-m", "citrondock_router.settings_page"))
        for c in (old, new)
    ]
    assert names[0] == names[1] and names[0]
    passed("the settings of both have the same names")


def main(_arguments: list[str]) -> None:
    """Run all checks, each version in each place."""
    old = Checkout("old", Path(OLD.value).resolve())
    new = Checkout("new", ROOT)
    check_files(old, new)
    for first, second in ((old, new), (new, old)):
        with tempfile.TemporaryDirectory() as folder:
            OwnInterface(first, second, Path(folder)).run()
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(Gateways(first, second, Path(folder)).run())
    print("old and new run beside each other")


if __name__ == "__main__":
    app.run(main)

"""Tests of the router process: settings, startup, signals and shutdown."""

import asyncio
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from host_probe import HOST, ignores, is_port_free
from store_standin import StoreStandIn

from citrondock_platform.settings import SettingsFileError, read_settings

ROOT = Path(__file__).resolve().parents[2]


def free_ports(count):
    """Return ports below the kernel's ephemeral range, so that no connection gets one.

    The first port depends on the process id, so that parallel tests use others.
    """
    for first in range(20_000 + os.getpid() * 16 % 10_000, 32_000, 16):
        ports = list(range(first, first + count))
        if all(is_port_free(port) for port in ports):
            return ports
    raise OSError("no free ports")


def settings(store_port, ports, **fields):
    return {
        "nodeName": "v1",
        "zone": "z1",
        "ip": HOST,
        "listen": {
            "frontend": f"{HOST}:{ports[0]}",
            "readiness": f"{HOST}:{ports[1]}",
        },
        "internalPorts": [ports[2], ports[2] + 15],
        "bounds": {
            "graceS": 4,
            "retryBudgetRatio": 0.2,
            "retryWindowS": 10,
            "budgetSlack": 54,
        },
        "platform": {"address": f"{HOST}:{store_port}"},
        **fields,
    }


def configuration():
    return {
        "version": 3,
        "routes": [
            {
                "name": "r",
                "host": "h.example",
                "pathPrefix": "/a/",
                "routeType": "streaming",
                "timeoutMs": 5000,
                "targetLatencyMs": 600,
                "service": "s",
                "maxAttempts": 1,
                "public": True,
            }
        ],
        "services": [{"name": "s", "maxConnections": 50}],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 10_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 5000,
        },
    }


async def slow_stream(reader, writer):
    """Answer one request with a stream of five events within a second."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    request_id = next(
        line.partition(":")[2].strip()
        for line in head.split("\r\n")
        if line.lower().startswith("request-id:")
    )
    writer.write(
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nResponse-Signature: x\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for number in range(5):
        event = b"id: %d\ndata: x\n\n" % number
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.2)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


async def wait_until_ready(port):
    for _ in range(300):
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            status = await reader.readline()
            writer.close()
            if b" 200 " in status:
                return True
        except OSError:
            pass
        await asyncio.sleep(0.05)
    return False


class TestProcess:
    def test_a_stream_is_completed_on_shutdown(self, tmp_path):
        async def check():
            store = StoreStandIn()
            await store.start()
            target = await asyncio.start_server(slow_stream, HOST, 0)
            address = f"{HOST}:{target.sockets[0].getsockname()[1]}"
            await store.put("config", "main", configuration())
            entry = {
                "service": "s",
                "address": address,
                "zone": "z1",
                "maxBatchSize": 4,
                "state": "ready",
            }
            await store.put("servers", "i-1", entry)
            ports = free_ports(4)
            path = tmp_path / "local.json"
            path.write_text(json.dumps(settings(store.port, ports)))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-u",
                str(ROOT / "platform" / "run_router.py"),
                env={**os.environ, "CITRONDOCK_SETTINGS": str(path)},
                stdout=subprocess.PIPE,
            )
            try:
                assert await wait_until_ready(ports[1])
                reader, writer = await asyncio.open_connection(HOST, ports[0])
                writer.write(
                    b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n\r\n"
                )
                await reader.readuntil(b"id: 1")
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
                rest = await asyncio.wait_for(reader.read(), 5)
                assert rest.endswith(b"0\r\n\r\n")
                assert await asyncio.wait_for(process.wait(), 6) == 0
                output = (await process.stdout.read()).decode()
            finally:
                if process.returncode is None:
                    process.kill()
                target.close()
            for event in ("started", "settings_read", "leaving", "stopped"):
                assert f"event={event}" in output
            assert "citrondock-routers" in store.objects
            assert store.objects["citrondock-routers"] == {}

        asyncio.run(asyncio.wait_for(check(), 40))

    def test_a_sighup_during_startup_does_not_end_the_process(self, tmp_path):
        path = tmp_path / "local.json"
        path.write_text("{}")
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "run_router.py")],
            env={**os.environ, "CITRONDOCK_SETTINGS": str(path)},
            stdout=subprocess.DEVNULL,
        )
        ignored = False
        while process.poll() is None and not ignored:
            ignored = ignores(process.pid, signal.SIGHUP)
        assert ignored
        process.send_signal(signal.SIGHUP)
        # Startup goes on to read the settings, which cannot be used.
        assert process.wait(20) == 2

    def test_unusable_settings_end_the_process_with_a_logged_reason(self, tmp_path):
        path = tmp_path / "local.json"
        path.write_text("{}")
        done = subprocess.run(
            [sys.executable, str(ROOT / "platform" / "run_router.py")],
            env={**os.environ, "CITRONDOCK_SETTINGS": str(path)},
            capture_output=True,
            timeout=20,
            check=False,
        )
        assert done.returncode == 2
        assert b"field 'listen' is missing" in done.stdout


class TestSettings:
    def written(self, tmp_path, **fields):
        path = tmp_path / "local.json"
        path.write_text(json.dumps({**settings(1, [1, 2, 3, 4]), **fields}))
        return path

    def test_unknown_fields_are_ignored(self, tmp_path):
        read = read_settings(self.written(tmp_path, later={"any": 1}))
        assert (read.vm_name, read.availability_zone) == ("v1", "z1")
        assert read.budget_options(7).spare_count == 54 / 16

    @pytest.mark.parametrize(
        "fields",
        [
            {"listen": {"frontend": "nowhere"}},
            {"listen": None},
            {"bounds": {"graceS": 0}},
            {"platform": {}},
            {"internalPorts": []},
        ],
    )
    def test_errors_name_the_file(self, tmp_path, fields):
        path = self.written(tmp_path, **fields)
        with pytest.raises(SettingsFileError) as raised:
            read_settings(path)
        assert str(path) in str(raised.value)

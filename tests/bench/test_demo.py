import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 60.0


def session_command_lines(session_id):
    command_lines = []
    for process in psutil.process_iter():
        try:
            if os.getsid(process.pid) == session_id:
                command_lines.append(process.cmdline())
        except (ProcessLookupError, psutil.Error):
            continue
    return command_lines


@pytest.fixture
def demo():
    process = subprocess.Popen(
        [sys.executable, "-m", "citrondock_bench.demo", "--seconds=2"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.default_int_handler),
    )
    yield process
    if process.poll() is None:
        os.killpg(process.pid, signal.SIGKILL)
        process.wait()


def wait_for_line(process, text):
    for line in process.stdout:
        if text in line:
            return
    raise AssertionError(f"output ended without a line with {text!r}")


def session_becomes_empty(session_id):
    deadline_s = time.monotonic() + TIMEOUT_S
    while session_command_lines(session_id) and time.monotonic() < deadline_s:
        time.sleep(0.1)
    return session_command_lines(session_id) == []


class TestDemo:
    def test_prints_accounts_and_routers_and_leaves_no_process(self, demo):
        output, _ = demo.communicate(timeout=TIMEOUT_S)
        assert demo.returncode == 0, output
        assert "utilisation while work waited" in output
        assert "zine-archive" in output
        assert "router-qc-est-c2" in output
        assert "wrong" not in output
        assert session_becomes_empty(demo.pid)

    def test_interrupt_leaves_no_process(self, demo):
        wait_for_line(demo, "routers ready")
        os.killpg(demo.pid, signal.SIGINT)
        demo.communicate(timeout=TIMEOUT_S)
        assert demo.returncode == 130
        assert session_becomes_empty(demo.pid)

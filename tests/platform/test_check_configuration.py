"""The check of a configuration file, as operators run it."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from test_process import configuration

ROOT = Path(__file__).resolve().parents[2]


def check(*paths):
    return subprocess.run(
        [sys.executable, str(ROOT / "platform" / "check_configuration.py"), *paths],
        env={},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )


def written(path, **fields):
    path.write_text(json.dumps({**configuration(), **fields}))
    return path


class TestCheckConfiguration:
    def test_a_sound_file_prints_nothing(self, tmp_path):
        done = check(written(tmp_path / "new.json"))
        assert (done.returncode, done.stdout) == (0, "")

    def test_an_error_is_printed_and_ends_with_1(self, tmp_path):
        done = check(written(tmp_path / "new.json", services=[]))
        assert done.returncode == 1
        assert done.stdout == "error: route r: service s does not exist\n"

    def test_differences_from_the_file_in_force_are_printed(self, tmp_path):
        limits = {**configuration()["limits"], "idleTimeoutMs": 9000}
        new = written(tmp_path / "new.json", version=4, limits=limits)
        done = check(new, written(tmp_path / "old.json"))
        assert done.returncode == 0
        assert done.stdout == (
            "differs: limits: [idle_timeout_s=5.0] -> [idle_timeout_s=9.0]\n"
        )

    @pytest.mark.parametrize("text", ["", "[]", "{}", '{"version": 1}'])
    def test_a_file_that_cannot_be_read_ends_with_2(self, tmp_path, text):
        path = tmp_path / "new.json"
        path.write_text(text)
        assert check(path).returncode == 2

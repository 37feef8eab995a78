"""Runs one tool: ``python -m citrondock_bench load|demo|bench|experiment|capacity``."""

import importlib
import sys

from absl import app

COMMANDS = ("load", "demo", "bench", "experiment", "capacity")

if __name__ == "__main__":
    if len(sys.argv) < 2 or sys.argv[1] not in COMMANDS:
        sys.exit(f"usage: python -m citrondock_bench {'|'.join(COMMANDS)} [flags]")
    command = importlib.import_module(f"citrondock_bench.{sys.argv[1]}")
    app.run(command.main, [f"citrondock_bench {sys.argv[1]}", *sys.argv[2:]])

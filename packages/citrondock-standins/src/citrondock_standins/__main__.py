"""Command line of the stand-ins: ``python -m citrondock_standins KIND --port=0``."""

import asyncio
import importlib
import os
import signal
import sys

from absl import app, flags

HOST = flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
PORT = flags.DEFINE_integer("port", 0, "Port to listen on; 0 picks a free one.")
EXIT_WITH_PARENT = flags.DEFINE_bool(
    "exit_with_parent", False, "Exit when standard input is closed."
)
KINDS = ("object_store", "vm_list", "engine", "plain_service", "proxy")


async def _exit_when_stdin_closes() -> None:
    data = await asyncio.to_thread(sys.stdin.buffer.read)
    os._exit(0 if data == b"" else 1)


async def _serve(kind: str) -> None:
    module = importlib.import_module(f"citrondock_standins.{kind}")
    created = module.create()
    for stand_in in created if isinstance(created, list) else [created]:
        port = await stand_in.start(HOST.value, PORT.value)
        print(f"event=listening port={port}{stand_in.details()}", flush=True)
    if EXIT_WITH_PARENT.value:
        await _exit_when_stdin_closes()
    await asyncio.Event().wait()


def _main(arguments: list[str]) -> None:
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.SIG_DFL)
    asyncio.run(_serve(arguments[1]))


if __name__ == "__main__":
    if len(sys.argv) < 2 or sys.argv[1] not in KINDS:
        sys.exit(f"usage: python -m citrondock_standins {'|'.join(KINDS)} [FLAGS]")
    importlib.import_module(f"citrondock_standins.{sys.argv[1]}")
    app.run(_main)

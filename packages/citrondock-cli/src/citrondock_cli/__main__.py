"""Entry point of ``python -m citrondock_cli``."""

from citrondock_cli.main import run

run()

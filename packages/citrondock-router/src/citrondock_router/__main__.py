"""Runs the router as ``python -m citrondock_router``."""

from citrondock_router.main import run

run()

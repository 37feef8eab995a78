"""Command line for operators of the routers."""

from citrondock_cli.exit_code import ExitCode

__all__ = ["ExitCode"]

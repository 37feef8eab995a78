"""The operator command line."""

from citrondock_cli.exit_code import ExitCode

__all__ = ["ExitCode"]

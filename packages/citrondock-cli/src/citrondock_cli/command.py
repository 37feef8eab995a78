"""What every command has."""

import time
from abc import ABC, abstractmethod
from collections.abc import Sequence
from pathlib import Path

import attrs

from citrondock_cli.exit_code import ExitCode
from citrondock_cli.options import Options
from citrondock_cli.output import Output
from citrondock_cli.router_client import RouterClient
from citrondock_core.configuration_repository import ConfigurationRepository
from citrondock_core.faults import Location, MissingFileFault, SettingsError
from citrondock_core.object_store import ObjectStore


class UsageError(Exception):
    """The arguments do not fit the command."""


@attrs.frozen(kw_only=True)
class Context:
    """What commands work with.

    Parameters
    ----------
    options : Options
        Values of the flags.
    output : Output
        Where results go.
    store : ObjectStore
        The platform's store.
    routers : RouterClient
        Operators' ports.
    """

    options: Options
    output: Output
    store: ObjectStore
    routers: RouterClient

    @property
    def repository(self) -> ConfigurationRepository:
        """The configuration in the store."""
        return ConfigurationRepository(
            self.store, pause=time.sleep, call_timeout_s=self.options.timeout_s
        )


class Command(ABC):
    """One command of ``citrondock``.

    Attributes
    ----------
    name : str
        First argument.
    usage : str
        Further arguments.
    summary : str
        What it does, in a line.
    argument_counts : tuple of int
        How many further arguments it takes.
    """

    name: str
    usage: str = ""
    summary: str
    argument_counts: tuple[int, ...] = (0,)

    @abstractmethod
    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Run it with its further arguments."""


def read_file(file: str) -> bytes:
    """Return the content of a file.

    Raises
    ------
    SettingsError
        It cannot be read.
    """
    try:
        return Path(file).read_bytes()
    except OSError as error:
        fault = MissingFileFault(
            f"cannot be read: {error.strerror}",
            location=Location(file),
            remedy="name a file that exists",
        )
        raise SettingsError("no text", [fault]) from error

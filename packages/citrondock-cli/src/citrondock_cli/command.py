"""Base class of the commands, and what they share."""

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
    """The arguments of the command line are not valid."""


@attrs.frozen(kw_only=True)
class Context:
    """Options, output and clients that a command runs with.

    Parameters
    ----------
    options : Options
        Values of the flags.
    output : Output
        Writes results and messages.
    store : ObjectStore
        The platform's object store.
    routers : RouterClient
        Client of the routers' operator API.
    """

    options: Options
    output: Output
    store: ObjectStore
    routers: RouterClient

    @property
    def repository(self) -> ConfigurationRepository:
        """Repository of the configuration in the object store."""
        return ConfigurationRepository(
            self.store, pause=time.sleep, call_timeout_s=self.options.timeout_s
        )


class Command(ABC):
    """Base class of the commands of ``citrondock``.

    Attributes
    ----------
    name : str
        Name of the command, its first argument.
    usage : str
        Arguments and flags, as the help shows them.
    summary : str
        Description for the help, in one line.
    argument_counts : tuple of int
        Allowed numbers of arguments after the name.
    """

    name: str
    usage: str = ""
    summary: str
    argument_counts: tuple[int, ...] = (0,)

    @abstractmethod
    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Run the command with the arguments after its name."""


def read_file(file: str) -> bytes:
    """Return the content of a file.

    Raises
    ------
    SettingsError
        If the file cannot be read.
    """
    try:
        return Path(file).read_bytes()
    except OSError as error:
        fault = MissingFileFault(
            f"cannot be read: {error.strerror}",
            location=Location(file),
            remedy="name a file that exists",
        )
        raise SettingsError(f"{file} cannot be read", [fault]) from error

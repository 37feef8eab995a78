"""The command line program ``citrondock``."""

import os
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import TextIO

import attrs
from absl import flags

from citrondock_cli.audit_command import AuditCommand
from citrondock_cli.command import Command, Context, UsageError
from citrondock_cli.edit_commands import ApplyCommand, CheckCommand, PlanCommand
from citrondock_cli.exit_code import ExitCode
from citrondock_cli.fleet_commands import DrainCommand, ExplainCommand, StatusCommand
from citrondock_cli.options import Options, define_flags, read_options
from citrondock_cli.output import Output
from citrondock_cli.read_commands import (
    AccountsCommand,
    HistoryCommand,
    ServicesCommand,
    ShowCommand,
)
from citrondock_cli.router_client import RouterClient, SubjectUnknownError
from citrondock_cli.story_command import StoryCommand
from citrondock_core.configuration_patch import TargetUnknownError
from citrondock_core.configuration_reader import RevisionMissingError
from citrondock_core.configuration_repository import (
    EditConflictError,
    EditOutcomeUnknownError,
)
from citrondock_core.errors import CitrondockError
from citrondock_core.faults import Fault, SettingsError
from citrondock_core.object_store import ObjectStore
from citrondock_wire.http_object_store import HttpObjectStore

COMMANDS: Mapping[str, Command] = {
    command.name: command
    for command in (
        CheckCommand(),
        PlanCommand(),
        ApplyCommand(),
        ShowCommand(),
        HistoryCommand(),
        AuditCommand(),
        StatusCommand(),
        ExplainCommand(),
        DrainCommand(),
        AccountsCommand(),
        ServicesCommand(),
        StoryCommand(),
    )
}

StoreFactory = Callable[[Options], ObjectStore]


@attrs.frozen(kw_only=True)
class ShownFault:
    """An error in a configuration file, as printed with ``--json``."""

    file: str
    line: int
    column: int
    path: str
    reason: str
    remedy: str


def run() -> None:
    """Run the command in the arguments of this process, then exit."""
    sys.exit(execute(sys.argv, environment=os.environ))


def execute(
    arguments: Sequence[str],
    *,
    environment: Mapping[str, str],
    out: TextIO | None = None,
    err: TextIO | None = None,
    make_store: StoreFactory | None = None,
) -> ExitCode:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        Program name, command, and its arguments and flags.
    environment : mapping of str
        Environment variables, which set the defaults of some flags.
    out, err : TextIO, optional
        Streams for results and messages; by default those of the process.
    make_store : callable, optional
        Returns the object store for given options; an HTTP client by default.

    Returns
    -------
    ExitCode
        Exit code of the command.
    """
    values = define_flags(environment)
    output = Output(out or sys.stdout, err or sys.stderr, as_json=False)
    try:
        _, *positional = values(list(arguments))
        options = read_options(values)
        output = Output(out or sys.stdout, err or sys.stderr, as_json=options.as_json)
        if values["help"].value or not positional:
            output.text(_help_text(values))
            return ExitCode.DONE if values["help"].value else ExitCode.FAULTS
        context = Context(
            options=options,
            output=output,
            store=(make_store or _http_store)(options),
            routers=RouterClient(options.router_urls, timeout_s=options.timeout_s),
        )
        return _run_command(context, positional)
    except (flags.Error, UsageError) as error:
        output.message(str(error))
        return ExitCode.FAULTS
    except SettingsError as error:
        _print_faults(output, error)
        return ExitCode.FAULTS
    except CitrondockError as error:
        output.message(str(error))
        return _exit_code_of(error)


def _run_command(context: Context, positional: Sequence[str]) -> ExitCode:
    name, *arguments = positional
    command = COMMANDS.get(name)
    if command is None:
        raise UsageError(f"unknown command {name!r}; use one of {', '.join(COMMANDS)}")
    if len(arguments) not in command.argument_counts:
        raise UsageError(f"usage: citrondock {name} {command.usage}".rstrip())
    return command.run(context, arguments)


def _http_store(options: Options) -> ObjectStore:
    return HttpObjectStore(options.store_url, client="citrondock")


def _exit_code_of(error: CitrondockError) -> ExitCode:
    if isinstance(error, EditConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, EditOutcomeUnknownError):
        return ExitCode.UNSETTLED
    if isinstance(
        error, RevisionMissingError | SubjectUnknownError | TargetUnknownError
    ):
        return ExitCode.NOT_FOUND
    return ExitCode.FAILED


def _print_faults(output: Output, error: SettingsError) -> None:
    faults = [fault for fault in error.exceptions if isinstance(fault, Fault)]
    if output.as_json:
        output.result([_shown(fault) for fault in faults], [])
        return
    for fault in faults:
        output.message(str(fault))
    output.message(f"{len(faults)} fault{'s' if len(faults) != 1 else ''}")


def _shown(fault: Fault) -> ShownFault:
    return ShownFault(
        file=fault.location.file,
        line=fault.location.line,
        column=fault.location.column,
        path=fault.path,
        reason=fault.reason,
        remedy=fault.remedy,
    )


def _help_text(values: flags.FlagValues) -> str:
    lines = ["usage: citrondock COMMAND [ARGUMENTS] [--flags]", "", "commands:"]
    for command in COMMANDS.values():
        lines.append(f"  {command.name} {command.usage}".rstrip())
        lines.append(f"      {command.summary}")
    lines += ["", "exit codes:"]
    lines += [f"  {code.value} {code.name.lower()}" for code in ExitCode]
    return "\n".join([*lines, values.get_help(), ""])


if __name__ == "__main__":
    run()

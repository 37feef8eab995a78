"""The command that tells one request's story from logs."""

from collections.abc import Sequence
from pathlib import Path

from citrondock_cli.command import Command, Context, UsageError, read_file
from citrondock_cli.exit_code import ExitCode
from citrondock_cli.log_lines import LogLine, parse_log_lines
from citrondock_cli.output import table

MAX_FILES = 500
"""Logs of one command; more than the routers of a large fleet."""


class StoryCommand(Command):
    """Tells what happened to one request, from the logs of several routers."""

    name = "story"
    usage = "REQUEST_ID LOG..."
    summary = "Show all lines about a request in order of time."
    argument_counts = tuple(range(2, 2 + MAX_FILES))

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Print the lines that name the request."""
        request_id, *files = arguments
        if not request_id:
            raise UsageError("the request id is empty")
        found: list[LogLine] = []
        for file in files:
            text = read_file(file).decode("utf-8", "replace")
            lines = parse_log_lines(Path(file).name, text.splitlines())
            found += [line for line in lines if line.request_id == request_id]
        if not found:
            context.output.message(f"no line in {len(files)} logs names {request_id}")
            return ExitCode.NOT_FOUND
        found.sort(key=lambda line: line.time)
        rows = [
            (line.time, line.source, line.event, _fields_text(line)) for line in found
        ]
        context.output.result(found, table(("time", "log", "event", "fields"), rows))
        return ExitCode.DONE


def _fields_text(line: LogLine) -> str:
    hidden = ("level", "request_id")
    shown = (f"{k}={v}" for k, v in line.fields.items() if k not in hidden)
    return " ".join(shown)

"""The command ``story``, which lists the log lines of one request."""

from collections.abc import Sequence
from pathlib import Path

from citrondock_cli.command import Command, Context, UsageError, read_file
from citrondock_cli.exit_code import ExitCode
from citrondock_cli.log_lines import LogLine, parse_log_lines
from citrondock_cli.output import table

MAX_FILES = 500
"""Most log files of one call; more than a large fleet has routers."""


class StoryCommand(Command):
    """Lists what the logs of several routers say about one request."""

    name = "story"
    usage = "REQUEST_ID LOG..."
    summary = "Show all log lines about a request, ordered by time."
    argument_counts = tuple(range(2, 2 + MAX_FILES))

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Print the log lines with the id of the request."""
        request_id, *files = arguments
        if not request_id:
            raise UsageError("the request id is empty")
        found: list[LogLine] = []
        for file in files:
            text = read_file(file).decode("utf-8", "replace")
            lines = parse_log_lines(Path(file).name, text.splitlines())
            found += [line for line in lines if line.request_id == request_id]
        if not found:
            context.output.message(
                f"none of {len(files)} logs has a line about request {request_id}"
            )
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

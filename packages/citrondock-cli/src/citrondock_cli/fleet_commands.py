"""Commands that ask or tell the routers."""

from collections.abc import Sequence

import attrs

from citrondock_cli.command import Command, Context
from citrondock_cli.edit_commands import commit_text
from citrondock_cli.exit_code import ExitCode
from citrondock_cli.output import table
from citrondock_cli.router_client import FleetSurvey
from citrondock_core.configuration_patch import TargetUnknownError, set_draining
from citrondock_core.errors import CitrondockError


@attrs.frozen(kw_only=True)
class FleetStatus:
    """What the store and the named routers say.

    Parameters
    ----------
    accepted_revision : int or None
        Revision of the head; None when the store is not reached.
    fleet : FleetSurvey
        What the routers say.
    """

    accepted_revision: int | None
    fleet: FleetSurvey


class StatusCommand(Command):
    """Shows the routers and their revisions."""

    name = "status"
    summary = "Show each router, its revision, and which cannot be reached."

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Show the fleet as the named routers see it."""
        survey = context.routers.survey()
        accepted = self._accepted_revision(context)
        rows = [
            (
                member.vm_name,
                member.availability_zone,
                member.incarnation,
                member.configuration_revision,
                member.reachable,
            )
            for member in survey.members
        ]
        header = ("vm", "zone", "incarnation", "revision", "reachable")
        told = "unknown, the store is not reached" if accepted is None else accepted
        lines = [f"accepted revision: {told}", *table(header, rows)]
        lines += [f"not reached: {url}" for url in survey.silent_urls]
        fleet = FleetStatus(accepted_revision=accepted, fleet=survey)
        context.output.result(fleet, lines)
        return ExitCode.DONE

    def _accepted_revision(self, context: Context) -> int | None:
        try:
            return context.repository.read_head().head.revision
        except CitrondockError as error:
            context.output.message(str(error))
            return None


class ExplainCommand(Command):
    """Tells why a request waited or was refused."""

    name = "explain"
    usage = "REQUEST|ACCOUNT"
    summary = "Tell why a request waited, where it ran, what it was charged."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Print what the routers know."""
        (subject,) = arguments
        explanation = context.routers.explain(subject)
        context.output.result(explanation, explanation.lines)
        return ExitCode.DONE if explanation.lines else ExitCode.NOT_FOUND


class DrainCommand(Command):
    """Takes a target or a router out of work."""

    name = "drain"
    usage = "VM|TARGET [--reason=TEXT] [--undo] [--wait]"
    summary = "Give a target no new work by an edit, or tell a router to leave."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Edit the text if it names the target; else ask the routers."""
        (name,) = arguments
        options = context.options
        head = context.repository.read_head().head
        if head.revision:
            text = context.repository.read_text(head.revision, head.edit_id).decode()
            try:
                edited = set_draining(text, name, draining=not options.undo)
                return self._drain_target(context, name, edited, head.revision)
            except TargetUnknownError:
                if options.undo:
                    raise
        context.routers.drain_vm(name, author=options.author, reason=options.reason)
        context.output.result({"vm_name": name, "draining": True}, [f"{name} leaves"])
        return ExitCode.DONE

    def _drain_target(
        self, context: Context, name: str, edited: str, base_revision: int
    ) -> ExitCode:
        options = context.options
        action = "end drain of" if options.undo else "drain"
        edit = attrs.evolve(
            context,
            options=attrs.evolve(
                options,
                base_revision=base_revision,
                reason=options.reason or f"{action} {name}",
            ),
        )
        return commit_text(edit, edited.encode(), "configuration")

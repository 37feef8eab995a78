"""Commands that query the routers or drain targets and routers."""

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
    """Accepted revision, and the fleet as the given routers see it.

    Parameters
    ----------
    accepted_revision : int or None
        Accepted revision; None if the store could not be reached.
    fleet : FleetSurvey
        Answers of the routers.
    """

    accepted_revision: int | None
    fleet: FleetSurvey


class StatusCommand(Command):
    """Shows the routers and their configuration revisions."""

    name = "status"
    summary = (
        "Show each router, its configuration revision, and whether it is reachable."
    )

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Show the fleet as the given routers see it."""
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
        accepted_text = (
            "unknown, the store could not be reached" if accepted is None else accepted
        )
        lines = [f"accepted revision: {accepted_text}", *table(header, rows)]
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
    """Explains why a request waited or was refused."""

    name = "explain"
    usage = "REQUEST|ACCOUNT"
    summary = "Explain why a request waited, where it ran and what it was charged."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Print what the routers know about a request or account."""
        (subject,) = arguments
        explanation = context.routers.explain(subject)
        context.output.result(explanation, explanation.lines)
        return ExitCode.DONE if explanation.lines else ExitCode.NOT_FOUND


class DrainCommand(Command):
    """Drains a target or a router."""

    name = "drain"
    usage = "VM|TARGET [--reason=TEXT] [--undo] [--wait]"
    summary = (
        "Drain a target by an edit of the configuration, or a router by a call to it."
    )
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Drain the target of that name; if there is none, drain the router."""
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
        context.output.result(
            {"vm_name": name, "draining": True}, [f"{name} is draining"]
        )
        return ExitCode.DONE

    def _drain_target(
        self, context: Context, name: str, edited: str, base_revision: int
    ) -> ExitCode:
        options = context.options
        action = "end drain of" if options.undo else "drain"
        edit_context = attrs.evolve(
            context,
            options=attrs.evolve(
                options,
                base_revision=base_revision,
                reason=options.reason or f"{action} {name}",
            ),
        )
        return commit_text(edit_context, edited.encode(), "configuration")

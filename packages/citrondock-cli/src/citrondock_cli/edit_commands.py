"""Commands that check and change the configuration."""

import time
from collections.abc import Sequence

import attrs

from citrondock_cli.command import Command, Context, UsageError, read_file
from citrondock_cli.exit_code import ExitCode
from citrondock_cli.propagation import Propagation, wait_until_in_force
from citrondock_core.configuration import Configuration
from citrondock_core.configuration_difference import Change, difference
from citrondock_core.configuration_garbage_collector import (
    ConfigurationGarbageCollector,
)
from citrondock_core.configuration_repository import Commit, EditRequest
from citrondock_core.configuration_revisions import Edit
from citrondock_core.configuration_text import parse_configuration
from citrondock_core.errors import CitrondockError


@attrs.frozen(kw_only=True)
class CheckResult:
    """Counts of the entries in a valid configuration file."""

    file: str
    account_count: int
    pool_count: int
    target_count: int
    service_count: int


@attrs.frozen(kw_only=True)
class PlanResult:
    """Difference between a configuration file and the accepted configuration."""

    base_revision: int
    changes: tuple[Change, ...]


@attrs.frozen(kw_only=True)
class ApplyResult:
    """Result of committing an edit."""

    revision: int
    edit: Edit | None
    later_edits: tuple[Edit, ...]
    propagation: Propagation | None = None


class CheckCommand(Command):
    """Checks a configuration file without the store."""

    name = "check"
    usage = "FILE"
    summary = "Check a configuration file; show every error and how to correct it."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Check the file."""
        (file,) = arguments
        configuration = parse_configuration(read_file(file), file)
        result = CheckResult(
            file=file,
            account_count=len(configuration.accounts),
            pool_count=len(configuration.pools),
            target_count=sum(len(p.targets) for p in configuration.pools.values()),
            service_count=len(configuration.services),
        )
        line = (
            f"{file}: no faults; {result.account_count} accounts, "
            f"{result.pool_count} pools with {result.target_count} targets, "
            f"{result.service_count} services"
        )
        context.output.result(result, [line])
        return ExitCode.DONE


class PlanCommand(Command):
    """Shows what applying a configuration file would change."""

    name = "plan"
    usage = "FILE"
    summary = "Show what a configuration file would change."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Show the difference from the accepted configuration."""
        (file,) = arguments
        after = parse_configuration(read_file(file), file)
        head = context.repository.read_head().head
        before = Configuration()
        if head.revision:
            before = context.repository.read_snapshot(head.revision, head.edit_id)
        changes = tuple(difference(before, after))
        result = PlanResult(base_revision=head.revision, changes=changes)
        lines = [*map(str, changes)] or ["no changes, except perhaps in comments"]
        lines.append(f"apply with: citrondock apply {file} --base={head.revision}")
        context.output.result(result, lines)
        return ExitCode.DONE


class ApplyCommand(Command):
    """Commits a configuration file."""

    name = "apply"
    usage = "FILE [--base=N] [--reason=TEXT] [--wait]"
    summary = (
        "Apply a configuration file unless another edit was accepted since --base."
    )
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Commit the file and, with ``--wait``, wait until it is in force."""
        (file,) = arguments
        return commit_text(context, read_file(file), file)


def commit_text(context: Context, text: bytes, file: str) -> ExitCode:
    """Commit a text with the flags of ``apply`` and print the result."""
    options = context.options
    repository = context.repository
    base = options.base_revision
    if base is None:
        base = _default_base_revision(context, text)
    commit = repository.commit(
        EditRequest(
            edit_id=options.edit_id,
            author=options.author,
            reason=options.reason,
            base_revision=base,
            text=text,
            file=file,
            now_epoch_s=time.time(),
        )
    )
    propagation = None
    if options.wait:
        propagation = wait_until_in_force(context, commit.configuration.revision)
    _print_commit(context, commit, propagation)
    _collect_garbage(context)
    if propagation is not None and not propagation.is_everywhere:
        return ExitCode.NOT_EVERYWHERE
    return ExitCode.DONE


def _default_base_revision(context: Context, text: bytes) -> int:
    head = context.repository.read_head().head
    if head.revision == 0:
        return 0
    if context.repository.read_text(head.revision, head.edit_id) == text:
        return head.revision
    raise UsageError(
        f"{head.recent[-1]} is in force; pass the revision that the text is based "
        f"on, such as --base={head.revision}"
    )


def _print_commit(
    context: Context, commit: Commit, propagation: Propagation | None
) -> None:
    result = ApplyResult(
        revision=commit.configuration.revision,
        edit=commit.edit,
        later_edits=commit.later_edits,
        propagation=propagation,
    )
    if commit.edit is None:
        lines = [f"unchanged: revision {result.revision} has this text already"]
    else:
        lines = [f"accepted: {commit.edit}"]
        lines += [f"followed by: {edit}" for edit in commit.later_edits]
    if propagation is not None:
        lines += propagation.lines()
    context.output.result(result, lines)


def _collect_garbage(context: Context) -> None:
    """Delete obsolete objects; after a failure the next edit tries again."""
    try:
        ConfigurationGarbageCollector(context.store, context.repository).collect()
    except CitrondockError as error:
        context.output.message(
            f"obsolete configuration objects were not deleted: {error}"
        )

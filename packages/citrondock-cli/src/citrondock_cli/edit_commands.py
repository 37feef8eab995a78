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
    """What a text without faults holds."""

    file: str
    account_count: int
    pool_count: int
    target_count: int
    service_count: int


@attrs.frozen(kw_only=True)
class PlanResult:
    """What an edit would change."""

    base_revision: int
    changes: tuple[Change, ...]


@attrs.frozen(kw_only=True)
class ApplyResult:
    """What became of an edit."""

    revision: int
    edit: Edit | None
    later_edits: tuple[Edit, ...]
    propagation: Propagation | None = None


class CheckCommand(Command):
    """Checks a text without the store."""

    name = "check"
    usage = "FILE"
    summary = "Check a configuration text; every fault is shown with its remedy."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Check the text."""
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
    """Shows what an edit would change."""

    name = "plan"
    usage = "FILE"
    summary = "Show the difference between a text and the one in force."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Show the difference."""
        (file,) = arguments
        after = parse_configuration(read_file(file), file)
        head = context.repository.read_head().head
        before = Configuration()
        if head.revision:
            before = context.repository.read_snapshot(head.revision, head.edit_id)
        changes = tuple(difference(before, after))
        result = PlanResult(base_revision=head.revision, changes=changes)
        lines = [*map(str, changes)] or ["nothing changes, comments aside"]
        lines.append(f"apply with: citrondock apply {file} --base={head.revision}")
        context.output.result(result, lines)
        return ExitCode.DONE


class ApplyCommand(Command):
    """Puts a text in force."""

    name = "apply"
    usage = "FILE [--base=N] [--reason=TEXT] [--wait]"
    summary = "Put a text in force, unless another edit was accepted since --base."
    argument_counts = (1,)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Commit the text and wait for it if asked to."""
        (file,) = arguments
        return commit_text(context, read_file(file), file)


def commit_text(context: Context, text: bytes, file: str) -> ExitCode:
    """Commit a text with the flags of ``apply``, and tell what became of it."""
    options = context.options
    repository = context.repository
    base = options.base_revision
    if base is None:
        base = _base_without_flag(context, text)
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
    _tell(context, commit, propagation)
    _collect(context)
    if propagation is not None and not propagation.is_everywhere:
        return ExitCode.NOT_EVERYWHERE
    return ExitCode.DONE


def _base_without_flag(context: Context, text: bytes) -> int:
    head = context.repository.read_head().head
    if head.revision == 0:
        return 0
    if context.repository.read_text(head.revision, head.edit_id) == text:
        return head.revision
    raise UsageError(
        f"{head.recent[-1]} is in force; name the revision that the text was made "
        f"from, as --base={head.revision}"
    )


def _tell(context: Context, commit: Commit, propagation: Propagation | None) -> None:
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


def _collect(context: Context) -> None:
    """Remove old parts; what fails here is left for the next edit."""
    try:
        ConfigurationGarbageCollector(context.store, context.repository).collect()
    except CitrondockError as error:
        context.output.message(f"old parts were not collected: {error}")

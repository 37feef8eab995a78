"""Commands that show the configuration and its history."""

import os
import time
from collections.abc import Sequence

import attrs

from citrondock_cli.command import Command, Context, UsageError
from citrondock_cli.exit_code import ExitCode
from citrondock_cli.output import table
from citrondock_core.account_keys import (
    SALT_BYTES,
    SECRET_BYTES,
    format_key,
    format_key_hash,
    hash_key,
)
from citrondock_core.configuration import Configuration
from citrondock_core.configuration_reader import RevisionMissingError
from citrondock_core.configuration_revisions import Edit, Head


@attrs.frozen(kw_only=True)
class ShownText:
    """Configuration text of a revision."""

    revision: int
    edit_id: str
    text: str


@attrs.frozen(kw_only=True)
class NewKey:
    """A new account key; only its hash is stored."""

    account: str
    key: str
    key_hash: str


class ShowCommand(Command):
    """Prints the accepted configuration text."""

    name = "show"
    usage = "[--revision=N]"
    summary = (
        "Print the accepted configuration, or an earlier revision, with its comments."
    )

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """Print the text, and the revision to base an edit on."""
        head = _accepted_head(context)
        revision, edit_id = _requested_revision(context, head)
        text = context.repository.read_text(revision, edit_id).decode()
        if context.output.as_json:
            shown = ShownText(revision=revision, edit_id=edit_id, text=text)
            context.output.result(shown, [])
        else:
            context.output.message(f"revision {revision}; apply with --base={revision}")
            context.output.text(text)
        return ExitCode.DONE


class HistoryCommand(Command):
    """Lists accepted edits."""

    name = "history"
    usage = "[--limit=N]"
    summary = "List accepted edits with their author, reason, time and changes."

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """List the edits."""
        edits = recent_edits(context)
        rows = [
            (
                edit.revision,
                time_text(edit.written_at_epoch_s),
                edit.author,
                edit.reason,
                changes_text(edit),
            )
            for edit in edits
        ]
        header = ("revision", "time", "who", "why", "changed")
        summaries = [attrs.evolve(edit, delta=None) for edit in edits]
        context.output.result(summaries, table(header, rows))
        return ExitCode.DONE


class AccountsCommand(Command):
    """Lists client accounts, or generates a key for one."""

    name = "accounts"
    usage = "[new-key NAME]"
    summary = (
        "List client accounts, or generate a key and its hash for the configuration."
    )
    argument_counts = (0, 2)

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """List the accounts or generate a key."""
        if not arguments:
            return self._list(context)
        action, account = arguments
        if action != "new-key":
            raise UsageError(f"unknown action {action!r}; use accounts new-key NAME")
        key = format_key(account, os.urandom(SECRET_BYTES))
        key_hash = format_key_hash(hash_key(key, salt=os.urandom(SALT_BYTES)))
        lines = [
            f"key, shown only once; pass it on to the account: {key}",
            f'hash, to add to "key_hashes" of {account!r}: "{key_hash}"',
        ]
        made = NewKey(account=account, key=key, key_hash=key_hash)
        context.output.result(made, lines)
        return ExitCode.DONE

    def _list(self, context: Context) -> ExitCode:
        accounts = sorted(
            _accepted_configuration(context).accounts.values(), key=lambda a: a.name
        )
        rows = [
            (
                account.name,
                account.weight,
                len(account.key_hashes),
                account.max_waiting_requests,
                account.max_waiting_bytes,
            )
            for account in accounts
        ]
        header = ("account", "weight", "keys", "waiting requests", "waiting bytes")
        shown = [attrs.evolve(account, key_hashes=()) for account in accounts]
        context.output.result(shown, table(header, rows))
        return ExitCode.DONE


class ServicesCommand(Command):
    """Lists services."""

    name = "services"
    summary = (
        "List services with their pools and dependencies, and whether to retry them."
    )

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """List the services."""
        services = sorted(
            _accepted_configuration(context).services.values(), key=lambda s: s.name
        )
        rows = [
            (
                service.name,
                service.kind.value,
                service.pool,
                service.model or service.path,
                ", ".join(service.depends_on),
                service.idempotent,
                service.timeout_s,
            )
            for service in services
        ]
        header = (
            "service",
            "kind",
            "pool",
            "model or path",
            "needs",
            "idempotent",
            "timeout s",
        )
        context.output.result(services, table(header, rows))
        return ExitCode.DONE


def _accepted_head(context: Context) -> Head:
    head = context.repository.read_head().head
    if head.revision == 0:
        raise RevisionMissingError(
            "the store has no accepted configuration yet", step="read"
        )
    return head


def _accepted_configuration(context: Context) -> Configuration:
    head = _accepted_head(context)
    return context.repository.read_snapshot(head.revision, head.edit_id)


def _requested_revision(context: Context, head: Head) -> tuple[int, str]:
    requested = context.options.revision
    if requested is None:
        return head.revision, head.edit_id
    for edit in context.repository.history(head, after_revision=requested - 1):
        if edit.revision == requested:
            return requested, edit.edit_id
    raise RevisionMissingError(
        f"revision {requested} is not in the kept history", step="read"
    )


def recent_edits(context: Context) -> Sequence[Edit]:
    """Return the newest accepted edits, oldest first."""
    head = context.repository.read_head().head
    after_revision = max(0, head.revision - context.options.limit)
    return context.repository.history(head, after_revision=after_revision)


def changes_text(edit: Edit) -> str:
    """Return the keys of the entries that an edit changed."""
    more = edit.changed_count - len(edit.changed)
    suffix = f" and {more} more" if more > 0 else ""
    return f"{', '.join(edit.changed) or 'comments only'}{suffix}"


def time_text(at_unix_s: float) -> str:
    """Return a time in UTC in the format of ISO 8601."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(at_unix_s))

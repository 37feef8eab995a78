"""The command ``audit``, which lists the audit trail."""

from collections.abc import Sequence

from citrondock_cli.command import Command, Context
from citrondock_cli.exit_code import ExitCode
from citrondock_cli.options import Options
from citrondock_cli.output import table
from citrondock_cli.read_commands import changes_text, recent_edits, time_text
from citrondock_core.audit_reader import read_audit
from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.configuration_revisions import Edit


class AuditCommand(Command):
    """Lists audit records and accepted edits."""

    name = "audit"
    usage = "[--limit=N] [--kind=KIND] [--subject=NAME] [--who=NAME]"
    summary = "List edits, engine orders, drains, membership changes and takeovers."

    def run(self, context: Context, arguments: Sequence[str]) -> ExitCode:
        """List the routers' records and the accepted edits, ordered by time."""
        options = context.options
        records = [
            *read_audit(
                context.store,
                limit=options.limit,
                kind=options.kind,
                subject=options.subject,
                who=options.who,
            )
        ]
        edits = map(_edit_record, recent_edits(context))
        records += [record for record in edits if _matches(record, options)]
        records.sort(key=lambda record: record.at_unix_s)
        newest = records[-options.limit :]
        rows = [
            (
                time_text(record.at_unix_s),
                record.kind.value,
                record.who,
                record.subject,
                record.what,
                record.why,
                _revisions_text(record),
            )
            for record in newest
        ]
        header = ("time", "kind", "who", "subject", "what", "why", "revisions")
        context.output.result(newest, table(header, rows))
        return ExitCode.DONE


def _edit_record(edit: Edit) -> AuditRecord:
    return AuditRecord(
        at_unix_s=edit.written_at_epoch_s,
        kind=AuditKind.EDIT,
        who=edit.author,
        what=changes_text(edit),
        why=edit.reason,
        subject="configuration",
        from_revision=edit.revision - 1,
        to_revision=edit.revision,
        step="accept",
        peer="object store",
    )


def _matches(record: AuditRecord, options: Options) -> bool:
    return (
        options.kind in (None, record.kind)
        and options.subject in (None, record.subject)
        and options.who in (None, record.who)
    )


def _revisions_text(record: AuditRecord) -> str:
    if record.to_revision is None:
        return ""
    return f"{record.from_revision} -> {record.to_revision}"

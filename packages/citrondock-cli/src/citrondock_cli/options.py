"""Command line flags."""

import getpass
import uuid
from collections.abc import Mapping
from typing import Any

import attrs
from absl import flags

from citrondock_core.audit_record import AuditKind

STORE_VARIABLE = "CITRONDOCK_STORE"
ROUTERS_VARIABLE = "CITRONDOCK_ROUTERS"
DEFAULT_STORE_URL = "http://127.0.0.1:7000"


@attrs.frozen(kw_only=True)
class Options:
    """Values of the command line flags.

    Parameters
    ----------
    store_url : str
        URL of the platform's object store.
    router_urls : tuple of str
        URLs of the routers' operator ports, queried in this order.
    as_json : bool
        Whether results are printed as JSON.
    author, reason : str
        Author of an edit or drain, and the reason for it.
    base_revision : int or None
        Revision that the edited text is based on.
    edit_id : str
        Id of the edit; random unless an edit is repeated.
    revision : int or None
        Revision to show.
    limit : int
        Most entries to list.
    wait : bool
        Whether to wait until the edit is in force.
    wait_timeout_s, timeout_s : float
        Timeout of ``--wait``, and timeout of one call, in seconds.
    undo : bool
        Whether to end a drain instead of starting one.
    kind : AuditKind or None
        Only audit records of this kind.
    subject, who : str or None
        Only audit records of this subject, or by this operator or router.
    """

    store_url: str
    router_urls: tuple[str, ...]
    as_json: bool
    author: str
    reason: str
    base_revision: int | None
    edit_id: str
    revision: int | None
    limit: int
    wait: bool
    wait_timeout_s: float
    timeout_s: float
    undo: bool
    kind: AuditKind | None
    subject: str | None
    who: str | None


def define_flags(environment: Mapping[str, str]) -> flags.FlagValues:
    """Return the flags; environment variables set some of the defaults."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    routers = environment.get(ROUTERS_VARIABLE, "")
    flags.DEFINE_string(
        "store",
        environment.get(STORE_VARIABLE, DEFAULT_STORE_URL),
        f"URL of the platform's object store; default from {STORE_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_list(
        "router",
        [url for url in routers.split(",") if url],
        "URLs of the routers' operator ports, separated by commas; default from "
        f"{ROUTERS_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_boolean("json", False, "Print results as JSON.", flag_values=values)
    flags.DEFINE_string(
        "author", _user(), "Author of the edit or drain.", flag_values=values
    )
    flags.DEFINE_string(
        "reason", "", "Reason for the edit or drain.", flag_values=values
    )
    flags.DEFINE_integer(
        "base",
        None,
        "Revision that the file is based on; required once a revision is accepted.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "edit_id",
        None,
        "Id of an earlier edit, to repeat it safely if its outcome is unknown.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "revision",
        None,
        "Revision to show; by default the accepted one.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "limit",
        20,
        "Most entries to list, the newest ones.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "wait",
        False,
        "Wait until the edit is in force on the routers.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait_timeout_s",
        15.0,
        "Timeout of --wait, in seconds.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout_s",
        5.0,
        "Timeout of one call, in seconds.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_boolean(
        "undo", False, "End a drain instead of starting one.", flag_values=values
    )
    flags.DEFINE_enum(
        "kind",
        None,
        [kind.value for kind in AuditKind],
        "Only audit records of this kind.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "subject", None, "Only audit records of this subject.", flag_values=values
    )
    flags.DEFINE_string(
        "who",
        None,
        "Only audit records by this operator or router.",
        flag_values=values,
    )
    flags.DEFINE_boolean("help", False, "Show this help.", flag_values=values)
    return values


def read_options(values: flags.FlagValues) -> Options:
    """Return the values of parsed flags."""
    given: dict[str, Any] = {name: values[name].value for name in values}
    return Options(
        store_url=given["store"],
        router_urls=tuple(url.rstrip("/") for url in given["router"]),
        as_json=given["json"],
        author=given["author"],
        reason=given["reason"],
        base_revision=given["base"],
        edit_id=given["edit_id"] or uuid.uuid4().hex[:16],
        revision=given["revision"],
        limit=given["limit"],
        wait=given["wait"],
        wait_timeout_s=given["wait_timeout_s"],
        timeout_s=given["timeout_s"],
        undo=given["undo"],
        kind=AuditKind(given["kind"]) if given["kind"] else None,
        subject=given["subject"],
        who=given["who"],
    )


def _user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"

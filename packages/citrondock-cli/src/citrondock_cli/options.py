"""Flags of the command line."""

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
    """Values of the flags.

    Parameters
    ----------
    store_url : str
        The platform's object API.
    router_urls : tuple of str
        Operators' ports of routers, asked in this order.
    as_json : bool
        Whether the output is JSON.
    author, reason : str
        Who edits and why.
    base_revision : int or None
        Revision that the edited text was made from.
    edit_id : str
        Id of the edit; new unless one is repeated.
    revision : int or None
        Revision to show.
    limit : int
        Most lines of a history.
    wait : bool
        Whether to wait until the edit is in force.
    wait_timeout_s, timeout_s : float
        Longest wait, and longest time of one call, in seconds.
    undo : bool
        Whether a drain ends.
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
    """Return the flags with the defaults that the environment gives."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    routers = environment.get(ROUTERS_VARIABLE, "")
    flags.DEFINE_string(
        "store",
        environment.get(STORE_VARIABLE, DEFAULT_STORE_URL),
        f"URL of the platform's object API; default also from {STORE_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_list(
        "router",
        [url for url in routers.split(",") if url],
        "URLs of routers' operators' ports, separated by commas; default also from "
        f"{ROUTERS_VARIABLE}.",
        flag_values=values,
    )
    flags.DEFINE_boolean("json", False, "Print JSON.", flag_values=values)
    flags.DEFINE_string("author", _user(), "Who edits.", flag_values=values)
    flags.DEFINE_string("reason", "", "Why, for the history.", flag_values=values)
    flags.DEFINE_integer(
        "base",
        None,
        "Revision that the text was made from; needed once one is in force.",
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        "edit_id",
        None,
        "Id of an edit that may be accepted already, to settle it.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "revision",
        None,
        "Revision to show; default the one in force.",
        lower_bound=1,
        flag_values=values,
    )
    flags.DEFINE_integer(
        "limit", 20, "Most entries, newest kept.", lower_bound=1, flag_values=values
    )
    flags.DEFINE_boolean(
        "wait",
        False,
        "Wait until the routers have the edit in force.",
        flag_values=values,
    )
    flags.DEFINE_float(
        "wait_timeout_s",
        15.0,
        "Longest wait of --wait, in seconds.",
        lower_bound=0.0,
        flag_values=values,
    )
    flags.DEFINE_float(
        "timeout_s",
        5.0,
        "Longest time of one call, in seconds.",
        lower_bound=0.1,
        flag_values=values,
    )
    flags.DEFINE_boolean("undo", False, "End a drain.", flag_values=values)
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

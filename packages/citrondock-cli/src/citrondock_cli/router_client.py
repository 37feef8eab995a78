"""The operators' port of routers."""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from citrondock_core.configuration_entries import load
from citrondock_core.errors import CitrondockError


class RouterUnreachableError(CitrondockError):
    """No router answered."""


class SubjectUnknownError(CitrondockError):
    """The router knows no such request, account, VM or target."""


@attrs.frozen(kw_only=True)
class MemberStatus:
    """What a router says of a router.

    Parameters
    ----------
    vm_name, availability_zone : str
        Which one.
    incarnation : int
        Differs after a restart.
    configuration_revision : int
        Revision that it has in force.
    reachable : bool
        Whether it answers.
    """

    vm_name: str
    availability_zone: str = ""
    incarnation: int = 0
    configuration_revision: int = 0
    reachable: bool = True


@attrs.frozen(kw_only=True)
class RouterStatus:
    """State of the fleet as one router sees it.

    Parameters
    ----------
    configuration_revision : int
        Revision in force at the router itself.
    members : tuple of MemberStatus
        Routers that it knows, itself among them.
    vm_name : str
        The router itself.
    """

    configuration_revision: int = 0
    members: tuple[MemberStatus, ...] = ()
    vm_name: str = ""


@attrs.frozen(kw_only=True)
class FleetSurvey:
    """What all named routers say.

    Parameters
    ----------
    members : tuple of MemberStatus
        Routers that any of them knows, in order of names.
    silent_urls : tuple of str
        Named URLs that did not answer.
    answers : tuple of object
        Answers as the routers wrote them.
    """

    members: tuple[MemberStatus, ...]
    silent_urls: tuple[str, ...] = ()
    answers: tuple[Any, ...] = ()


@attrs.frozen(kw_only=True)
class Explanation:
    """What the routers know of a request or an account.

    Parameters
    ----------
    subject : str
        The request or account.
    lines : tuple of str
        One line for each event, oldest first.
    """

    subject: str = ""
    lines: tuple[str, ...] = ()


class RouterClient:
    """Asks routers at their operators' ports, in the order in which they are named.

    Parameters
    ----------
    urls : tuple of str
        Operators' ports.
    timeout_s : float
        Longest time of one call.
    """

    def __init__(self, urls: tuple[str, ...], *, timeout_s: float) -> None:
        self._urls = urls
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=timeout_s)
        )

    def survey(self) -> FleetSurvey:
        """Ask every named router for the fleet as it sees it.

        Raises
        ------
        RouterUnreachableError
            None answered.
        """
        answers: dict[str, bytes] = {}
        failure: CitrondockError | None = None
        for url in self._urls:
            try:
                answers[url] = self._ask_one("GET", url, "/v1/status", step="status")
            except CitrondockError as error:
                failure = failure or error
        if not answers:
            raise failure or _no_router("status")
        statuses: list[RouterStatus] = [
            load(body, RouterStatus) for body in answers.values()
        ]
        return FleetSurvey(
            members=_merged(statuses),
            silent_urls=tuple(url for url in self._urls if url not in answers),
            answers=tuple(json.loads(body) for body in answers.values()),
        )

    def explain(self, subject: str) -> Explanation:
        """Return what the routers know of a request or an account."""
        path = f"/v1/explain/{quote(subject, safe='')}"
        explained: Explanation = load(
            self._ask("GET", path, step="explain"), Explanation
        )
        return explained

    def drain_vm(self, vm_name: str, *, author: str, reason: str) -> None:
        """Tell a router to leave; of the named ones, only itself is told.

        Raises
        ------
        SubjectUnknownError
            No URL is that router's.
        """
        request = {"vm_name": vm_name, "author": author, "reason": reason}
        body = json.dumps(request).encode()
        for url in self._urls:
            if self._vm_name_at(url) == vm_name:
                self._ask_one("POST", url, "/v1/drain", step="drain", body=body)
                return
        raise SubjectUnknownError(
            f"{vm_name!r} is no target, and none of the routers that --router names",
            step="drain",
        )

    def _vm_name_at(self, url: str) -> str:
        try:
            body = self._ask_one("GET", url, "/v1/status", step="drain")
        except CitrondockError:
            return ""
        status: RouterStatus = load(body, RouterStatus)
        return status.vm_name

    def _ask(self, method: str, path: str, *, step: str) -> bytes:
        """Ask each router in turn; an answer that it knows nothing is kept."""
        failure: CitrondockError | None = None
        for url in self._urls:
            try:
                return self._ask_one(method, url, path, step=step)
            except SubjectUnknownError as error:
                failure = error
            except RouterUnreachableError as error:
                failure = failure or error
        raise failure or _no_router(step)

    def _ask_one(
        self,
        method: str,
        url: str,
        path: str,
        *,
        step: str,
        body: bytes | None = None,
    ) -> bytes:
        try:
            answer = self._http.request(method, url + path, body=body, redirect=False)
        except urllib3.exceptions.HTTPError as error:
            raise RouterUnreachableError(str(error), step=step, peer=url) from error
        if answer.status in (404, 409):
            reason = answer.data.decode(errors="replace").strip() or "unknown"
            raise SubjectUnknownError(reason, step=step, peer=url)
        if answer.status >= 300:
            raise RouterUnreachableError(f"status {answer.status}", step=step, peer=url)
        return answer.data


def _no_router(step: str) -> RouterUnreachableError:
    return RouterUnreachableError("no router is named; use --router=URL", step=step)


def _merged(statuses: Sequence[RouterStatus]) -> tuple[MemberStatus, ...]:
    """Take the newest word on each router; one that answers itself is reachable."""
    merged: dict[str, MemberStatus] = {}
    for member in (member for status in statuses for member in status.members):
        known = merged.get(member.vm_name, member)
        newest = max(known, member, key=_newness)
        reachable = known.reachable or member.reachable
        merged[member.vm_name] = attrs.evolve(newest, reachable=reachable)
    return tuple(merged[name] for name in sorted(merged))


def _newness(member: MemberStatus) -> tuple[int, int]:
    return member.incarnation, member.configuration_revision

"""Client of the HTTP API at the routers' operator ports."""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import attrs
import urllib3

from citrondock_core.configuration_entries import load
from citrondock_core.errors import CitrondockError


class RouterUnreachableError(CitrondockError):
    """No router answered, or one answered with an error."""


class SubjectUnknownError(CitrondockError):
    """The routers do not know the request, account, VM or target."""


@attrs.frozen(kw_only=True)
class MemberStatus:
    """Status of one router, as a router reports it.

    Parameters
    ----------
    vm_name, availability_zone : str
        Name and zone of its VM.
    incarnation : int
        Incarnation of the router; differs after each restart.
    configuration_revision : int
        Configuration revision in force there.
    reachable : bool
        Whether it answers the reporting router.
    """

    vm_name: str
    availability_zone: str = ""
    incarnation: int = 0
    configuration_revision: int = 0
    reachable: bool = True


@attrs.frozen(kw_only=True)
class RouterStatus:
    """Status of the fleet as one router sees it.

    Parameters
    ----------
    configuration_revision : int
        Configuration revision in force at the reporting router.
    members : tuple of MemberStatus
        Routers that it knows, including itself.
    vm_name : str
        VM of the reporting router.
    """

    configuration_revision: int = 0
    members: tuple[MemberStatus, ...] = ()
    vm_name: str = ""


@attrs.frozen(kw_only=True)
class FleetSurvey:
    """Combined status reports of the given routers.

    Parameters
    ----------
    members : tuple of MemberStatus
        Routers that any of them knows, sorted by name.
    silent_urls : tuple of str
        URLs that did not answer.
    answers : tuple of object
        Answers of the routers as JSON values.
    """

    members: tuple[MemberStatus, ...]
    silent_urls: tuple[str, ...] = ()
    answers: tuple[Any, ...] = ()


@attrs.frozen(kw_only=True)
class Explanation:
    """What a router knows about a request or account.

    Parameters
    ----------
    subject : str
        Request id or account name.
    lines : tuple of str
        One line per event, oldest first.
    """

    subject: str = ""
    lines: tuple[str, ...] = ()


class RouterClient:
    """Calls routers at their operator ports, in the given order.

    Parameters
    ----------
    urls : tuple of str
        URLs of the operator ports.
    timeout_s : float
        Timeout of one call, in seconds.
    """

    def __init__(self, urls: tuple[str, ...], *, timeout_s: float) -> None:
        self._urls = urls
        self._http = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(total=timeout_s)
        )

    def survey(self) -> FleetSurvey:
        """Ask every given router for its status of the fleet, and combine the answers.

        Raises
        ------
        RouterUnreachableError
            If none answered.
        """
        answers: dict[str, bytes] = {}
        failure: CitrondockError | None = None
        for url in self._urls:
            try:
                answers[url] = self._call("GET", url, "/v1/status", step="status")
            except CitrondockError as error:
                failure = failure or error
        if not answers:
            raise failure or _no_router("status")
        statuses: list[RouterStatus] = [
            load(body, RouterStatus) for body in answers.values()
        ]
        return FleetSurvey(
            members=_merge_members(statuses),
            silent_urls=tuple(url for url in self._urls if url not in answers),
            answers=tuple(json.loads(body) for body in answers.values()),
        )

    def explain(self, subject: str) -> Explanation:
        """Return the answer of the first router that knows the request or account."""
        path = f"/v1/explain/{quote(subject, safe='')}"
        explained: Explanation = load(
            self._call_any("GET", path, step="explain"), Explanation
        )
        return explained

    def drain_vm(self, vm_name: str, *, author: str, reason: str) -> None:
        """Drain a router by a call to that router itself.

        Raises
        ------
        SubjectUnknownError
            If none of the given URLs belongs to that router.
        """
        request = {"vm_name": vm_name, "author": author, "reason": reason}
        body = json.dumps(request).encode()
        for url in self._urls:
            if self._vm_name_at(url) == vm_name:
                self._call("POST", url, "/v1/drain", step="drain", body=body)
                return
        raise SubjectUnknownError(
            f"{vm_name!r} is neither a target nor one of the routers in --router",
            step="drain",
        )

    def _vm_name_at(self, url: str) -> str:
        try:
            body = self._call("GET", url, "/v1/status", step="drain")
        except CitrondockError:
            return ""
        status: RouterStatus = load(body, RouterStatus)
        return status.vm_name

    def _call_any(self, method: str, path: str, *, step: str) -> bytes:
        """Return the first answer; if none, prefer an "unknown" over other errors."""
        failure: CitrondockError | None = None
        for url in self._urls:
            try:
                return self._call(method, url, path, step=step)
            except SubjectUnknownError as error:
                failure = error
            except RouterUnreachableError as error:
                failure = failure or error
        raise failure or _no_router(step)

    def _call(
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
            raise RouterUnreachableError(
                f"HTTP status {answer.status}", step=step, peer=url
            )
        return answer.data


def _no_router(step: str) -> RouterUnreachableError:
    return RouterUnreachableError("no router is given; use --router=URL", step=step)


def _merge_members(statuses: Sequence[RouterStatus]) -> tuple[MemberStatus, ...]:
    """Return the newest status of each router, reachable if any report says so."""
    merged: dict[str, MemberStatus] = {}
    for member in (member for status in statuses for member in status.members):
        known = merged.get(member.vm_name, member)
        newest = max(known, member, key=_version_key)
        reachable = known.reachable or member.reachable
        merged[member.vm_name] = attrs.evolve(newest, reachable=reachable)
    return tuple(merged[name] for name in sorted(merged))


def _version_key(member: MemberStatus) -> tuple[int, int]:
    return member.incarnation, member.configuration_revision

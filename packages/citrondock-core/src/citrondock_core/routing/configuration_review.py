"""Finds mistakes in a routing configuration before it is sent, and what it changes."""

import enum
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from citrondock_core.routing.route import Route, RouteKind, RoutingConfiguration


class Severity(enum.Enum):
    """How bad a finding is."""

    ERROR = "error"
    """Requests that the operator expects to be served would be refused."""

    UNUSED = "unused"
    """An entry that no request can ever match."""

    CONTRADICTION = "contradiction"
    """Limits of which one makes another one meaningless."""


@attrs.frozen
class Finding:
    """One mistake.

    Parameters
    ----------
    severity : Severity
        How bad it is.
    place : str
        The entry.
    reason : str
        What is wrong with it.
    """

    severity: Severity
    place: str
    reason: str


@attrs.frozen
class Difference:
    """What a configuration changes in one entry.

    Parameters
    ----------
    place : str
        The entry.
    before, after : str
        The entry in force and in the new configuration; empty without one.
    """

    place: str
    before: str
    after: str


def review(configuration: RoutingConfiguration) -> list[Finding]:
    """Return the mistakes in a configuration, the worst first."""
    checks: list[Callable[[RoutingConfiguration], Iterable[Finding]]] = [
        _check_services,
        _check_routes,
        _check_unused,
        _check_limits,
    ]
    findings = [finding for check in checks for finding in check(configuration)]
    order = list(Severity)
    return sorted(findings, key=lambda finding: order.index(finding.severity))


def differences(
    before: RoutingConfiguration, after: RoutingConfiguration
) -> list[Difference]:
    """Return what differs between the configuration in force and a new one.

    Keys are only counted, as the result may be printed.
    """
    found = []
    if after.version <= before.version:
        found.append(Difference("version", str(before.version), str(after.version)))
    for kind, old, new in (
        ("route", _by_name(before.routes), _by_name(after.routes)),
        ("service", dict(before.services), dict(after.services)),
        ("limits", {"": before.limits}, {"": after.limits}),
        ("account", _key_counts(before), _key_counts(after)),
    ):
        found += _entry_differences(kind, old, new)
    return found


def report(
    configuration: RoutingConfiguration, in_force: RoutingConfiguration | None = None
) -> list[str]:
    """Return a line for each mistake, and for each change to what is in force."""
    lines = [
        f"{finding.severity.value}: {finding.place}: {finding.reason}"
        for finding in review(configuration)
    ]
    if in_force is not None:
        lines += [
            f"differs: {change.place}: [{change.before}] -> [{change.after}]"
            for change in differences(in_force, configuration)
        ]
    return lines


def _check_services(configuration: RoutingConfiguration) -> Iterable[Finding]:
    for route in configuration.routes:
        for share in route.shares:
            if share.service not in configuration.services:
                yield Finding(
                    Severity.ERROR,
                    f"route {route.name}",
                    f"service {share.service} does not exist",
                )


def _check_routes(configuration: RoutingConfiguration) -> Iterable[Finding]:
    names = Counter(route.name for route in configuration.routes)
    for name, count in names.items():
        if count > 1:
            reason = f"{count} routes have this name"
            yield Finding(Severity.ERROR, f"route {name}", reason)
    for route in configuration.routes:
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            reason = f"prefix {prefix} does not begin and end with a slash"
            yield Finding(Severity.UNUSED, f"route {route.name}", reason)
        if configuration.account_by_key == {} and not route.is_public:
            reason = "it needs a key, and no account has one"
            yield Finding(Severity.ERROR, f"route {route.name}", reason)


def _check_unused(configuration: RoutingConfiguration) -> Iterable[Finding]:
    latest = {(route.host, route.path_prefix): route for route in configuration.routes}
    for route in configuration.routes:
        place = f"route {route.name}"
        other = latest[route.host, route.path_prefix]
        if other is not route:
            reason = f"route {other.name} has the same host and prefix, and is used"
            yield Finding(Severity.UNUSED, place, reason)
        for share in route.shares:
            if not share.weight:
                reason = f"service {share.service} has a share of 0"
                yield Finding(Severity.UNUSED, place, reason)
    used = {
        share.service
        for route in configuration.routes
        for share in route.shares
        if share.weight
    }
    for name in configuration.services:
        if name not in used:
            reason = "no route sends requests to it"
            yield Finding(Severity.UNUSED, f"service {name}", reason)


def _check_limits(configuration: RoutingConfiguration) -> Iterable[Finding]:
    limits = configuration.limits
    if limits.idle_timeout_s < limits.header_timeout_s:
        yield Finding(
            Severity.CONTRADICTION,
            "limits",
            f"idle connections are closed after {limits.idle_timeout_s:g} s, "
            f"before the {limits.header_timeout_s:g} s that a head may take",
        )
    for route in configuration.routes:
        for reason in _route_contradictions(route):
            yield Finding(Severity.CONTRADICTION, f"route {route.name}", reason)


def _route_contradictions(route: Route) -> Iterable[str]:
    if route.first_answer_target_s > route.timeout_s:
        yield (
            f"an answer is on time until {route.first_answer_target_s:g} s, "
            f"after the timeout of {route.timeout_s:g} s"
        )
    if route.kind.is_stream and route.max_pause_s > route.timeout_s:
        yield (
            f"a pause of {route.max_pause_s:g} s is on time, "
            f"longer than the timeout of {route.timeout_s:g} s"
        )
    if route.kind is RouteKind.IDEMPOTENT and route.max_attempts == 1:
        yield "its requests may run again, but are sent to one target at most"


def _by_name(routes: Iterable[Route]) -> dict[str, Route]:
    return {route.name: route for route in routes}


def _key_counts(configuration: RoutingConfiguration) -> Mapping[str, Any]:
    return Counter((configuration.account_by_key or {}).values())


def _entry_differences(
    kind: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterable[Difference]:
    for name in dict.fromkeys(itertools.chain(before, after)):
        place = f"{kind} {name}".strip()
        old, new = before.get(name), after.get(name)
        if old is None or new is None:
            yield Difference(place, _text(old), _text(new))
        elif old != new:
            yield Difference(place, *_changed_fields(old, new))


def _changed_fields(old: Any, new: Any) -> tuple[str, str]:
    if not attrs.has(type(old)):
        return _text(old), _text(new)
    changed = [
        field.name
        for field in attrs.fields(type(old))
        if getattr(old, field.name) != getattr(new, field.name)
    ]
    return (
        " ".join(f"{name}={getattr(old, name)}" for name in changed),
        " ".join(f"{name}={getattr(new, name)}" for name in changed),
    )


def _text(entry: Any) -> str:
    if entry is None:
        return ""
    return f"{entry} keys" if isinstance(entry, int) else str(entry)

"""Mistakes in a configuration are found before it is sent."""

import attrs
import pytest

from citrondock_core.routing.configuration_review import (
    Severity,
    differences,
    review,
)
from citrondock_core.routing.route import (
    ClientLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceOptions,
    ServiceShare,
)

ROUTE = Route(
    name="r",
    host="h.example",
    path_prefix="/a/",
    kind=RouteKind.STREAM,
    shares=(ServiceShare("s", 1),),
    timeout_s=5.0,
    first_answer_target_s=0.6,
    max_pause_s=0.3,
    max_attempts=2,
    is_public=False,
)
CONFIGURATION = RoutingConfiguration(
    version=7,
    routes=(ROUTE,),
    services={"s": ServiceOptions(name="s")},
    limits=ClientLimits(
        max_header_bytes=16_384,
        max_body_bytes=4_194_304,
        header_timeout_s=3.0,
        idle_timeout_s=15.0,
    ),
    account_by_key={"secret-key": "a"},
)


def changed(*routes, **fields):
    return attrs.evolve(CONFIGURATION, routes=routes or (ROUTE,), **fields)


class TestReview:
    def test_a_sound_configuration_has_no_findings(self):
        assert review(CONFIGURATION) == []

    @pytest.mark.parametrize(
        ("configuration", "severity", "place"),
        [
            (changed(services={}), Severity.ERROR, "route r"),
            (changed(ROUTE, attrs.evolve(ROUTE, host="b")), Severity.ERROR, "route r"),
            (changed(account_by_key={}), Severity.ERROR, "route r"),
            (
                changed(attrs.evolve(ROUTE, path_prefix="/a")),
                Severity.UNUSED,
                "route r",
            ),
            (
                changed(ROUTE, attrs.evolve(ROUTE, name="q")),
                Severity.UNUSED,
                "route r",
            ),
            (
                changed(
                    services={
                        "s": ServiceOptions(name="s"),
                        "t": ServiceOptions(name="t"),
                    }
                ),
                Severity.UNUSED,
                "service t",
            ),
            (
                changed(attrs.evolve(ROUTE, timeout_s=0.5)),
                Severity.CONTRADICTION,
                "route r",
            ),
            (
                changed(attrs.evolve(ROUTE, max_pause_s=9.0)),
                Severity.CONTRADICTION,
                "route r",
            ),
            (
                changed(attrs.evolve(ROUTE, kind=RouteKind.IDEMPOTENT, max_attempts=1)),
                Severity.CONTRADICTION,
                "route r",
            ),
            (
                changed(limits=attrs.evolve(CONFIGURATION.limits, idle_timeout_s=1.0)),
                Severity.CONTRADICTION,
                "limits",
            ),
        ],
    )
    def test_each_mistake_is_named(self, configuration, severity, place):
        found = [(finding.severity, finding.place) for finding in review(configuration)]
        assert found == [(severity, place)]

    def test_errors_come_first(self):
        configuration = changed(attrs.evolve(ROUTE, timeout_s=0.5), services={})
        severities = [finding.severity for finding in review(configuration)]
        assert severities == [Severity.ERROR, Severity.CONTRADICTION]


class TestDifferences:
    def test_a_newer_version_alone_is_no_difference(self):
        assert differences(CONFIGURATION, changed(version=8)) == []

    def test_an_older_version_is_named(self):
        (found,) = differences(CONFIGURATION, changed(version=7))
        assert (found.place, found.before, found.after) == ("version", "7", "7")

    def test_changed_fields_are_named_alone(self):
        after = changed(attrs.evolve(ROUTE, timeout_s=9.0), version=8)
        (found,) = differences(CONFIGURATION, after)
        assert found.place == "route r"
        assert (found.before, found.after) == ("timeout_s=5.0", "timeout_s=9.0")

    def test_added_and_removed_entries_are_named(self):
        after = changed(attrs.evolve(ROUTE, name="q"), version=8)
        places = [found.place for found in differences(CONFIGURATION, after)]
        assert places == ["route r", "route q"]

    def test_keys_are_counted_and_not_shown(self):
        after = changed(version=8, account_by_key={"secret-key": "a", "next-key": "a"})
        (found,) = differences(CONFIGURATION, after)
        assert (found.before, found.after) == ("1 keys", "2 keys")

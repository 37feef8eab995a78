"""A configuration that requests would fail on is not taken; the one before stays."""

import copy

import pytest

from citrondock_platform.configuration import ConfigurationSink
from citrondock_router.gateway.watched_store import Snapshot, WatchedObject

SOUND = {
    "version": 2,
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "pathPrefix": "/a/",
            "routeType": "safe",
            "timeoutMs": 5000,
            "targetLatencyMs": 600,
            "targetGapMs": 300,
            "maxAttempts": 2,
            "backends": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 0},
            ],
        }
    ],
    "services": [{"name": "s"}, {"name": "t"}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "n", "apiKeys": ["k"]}],
}


def changed(path, value):
    fields = copy.deepcopy(SOUND)
    *parents, last = path
    parent = fields
    for key in parents:
        parent = parent[key]
    parent[last] = value
    return fields


def taken(*configurations):
    """Return the versions that a sink passes on of configurations listed in turn."""
    received = []
    sink = ConfigurationSink(received.append)
    for number, fields in enumerate(configurations, start=1):
        item = WatchedObject(name="main", revision=number, value=fields)
        sink.changed(Snapshot(objects=[item], revision=number))
    return [configuration.version for configuration in received]


class TestOddValues:
    def test_a_sound_one_is_taken(self):
        assert taken(SOUND) == [2]

    @pytest.mark.parametrize("number", [float("nan"), float("inf"), 0, -1])
    @pytest.mark.parametrize(
        "path",
        [
            ("routes", 0, "timeoutMs"),
            ("routes", 0, "targetLatencyMs"),
            ("limits", "headerTimeoutMs"),
            ("limits", "idleTimeoutMs"),
        ],
    )
    def test_a_time_that_is_no_positive_number_is_not_taken(self, path, number):
        assert taken(SOUND, changed(path, number)) == [2]

    @pytest.mark.parametrize("text", ["", 7, None, ["r"], "\ud800", "a\nb"])
    @pytest.mark.parametrize(
        "path",
        [
            ("routes", 0, "name"),
            ("routes", 0, "host"),
            ("routes", 0, "pathPrefix"),
            ("routes", 0, "backends", 0, "service"),
            ("services", 0, "name"),
            ("tenants", 0, "name"),
            ("tenants", 0, "apiKeys", 0),
        ],
    )
    def test_a_name_that_is_no_printable_text_is_not_taken(self, path, text):
        assert taken(SOUND, changed(path, text)) == [2]

    @pytest.mark.parametrize("weight", ["9", None, -1, float("nan"), float("inf")])
    def test_a_weight_that_is_no_share_is_not_taken(self, weight):
        path = ("routes", 0, "backends", 0, "weight")
        assert taken(SOUND, changed(path, weight)) == [2]

    def test_a_route_without_any_share_is_not_taken(self):
        path = ("routes", 0, "backends", 0, "weight")
        assert taken(SOUND, changed(path, 0)) == [2]

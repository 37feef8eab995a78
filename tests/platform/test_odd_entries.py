"""One unreadable object of another writer costs nothing but itself."""

import asyncio
import json

import attrs
import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from citrondock_core.routing.target_departure import TargetDeparture
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_platform import configuration
from citrondock_platform.configuration import ConfigurationSink
from citrondock_platform.json_pages import decode_page
from citrondock_platform.peers import StorePeerRegistry
from citrondock_platform.settings import SettingsFileError, read_settings
from citrondock_platform.store import PlatformStore
from citrondock_platform.targets import TargetSink
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.http_client import HttpResponse
from citrondock_router.gateway.watched_store import Snapshot, WatchedObject

DEPTH = 200_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
LONG_NUMBER = b"9" * 6_000
LONG_NUMBER_MARK = "long-number"
"""Stands for `LONG_NUMBER` in values that hypothesis prints."""


def spec(**fields):
    """Return the encoded entry of a sound engine, with fields replaced by raw JSON."""
    values = {
        "service": b'"s"',
        "address": b'"10.0.0.1:80"',
        "zone": b'"z1"',
        "maxBatchSize": b"8",
        "state": b'"ready"',
        **fields,
    }
    members = (b'"%b":%b' % (name.encode(), raw) for name, raw in values.items())
    return b"{" + b",".join(members) + b"}"


ODD_SPECS = {
    "deeply_nested": spec(extra=NESTED),
    "nested_alone": NESTED,
    "number_of_6000_digits": spec(maxBatchSize=LONG_NUMBER),
    "infinite_number": spec(maxBatchSize=b"1e999"),
    "port_out_of_range": spec(address=b'"10.0.0.1:99999999"'),
    "port_of_6000_digits": spec(address=b'"10.0.0.1:%b"' % LONG_NUMBER),
    "host_is_no_address": spec(address=b'"a..b:80"'),
    "no_utf8": spec(zone=b'"z\xff\x00"'),
    "lone_surrogate": spec(zone=rb'"\ud800"'),
    "infinite_start": spec(born=b"1e999"),
    "negative_start": spec(born=b"-1"),
    "null": b"null",
    "text": b'"text"',
}


def entry(name, value, revision=2):
    return b'{"metadata":{"name":"%b","revision":%d},"spec":%b}' % (
        name.encode(),
        revision,
        value,
    )


def page(entries, **fields):
    tail = b"".join(b',"%b":%b' % (key.encode(), raw) for key, raw in fields.items())
    return b'{"items":[%b],"asOf":7%b}' % (b",".join(entries), tail)


class PagedStore(PlatformStore):
    """A client whose responses are given."""

    def __init__(self, bodies):
        super().__init__(Address("10.0.0.9", 1), asyncio.get_running_loop())
        self.bodies = list(bodies)

    async def _call(self, kind, method, path, body=b"", timeout_s=0.0):
        return HttpResponse(status=200, body=self.bodies.pop(0))


def followed(bodies):
    """Return the ids of the engines that a directory has after a listing."""

    async def listed():
        directory = TargetDirectory(grace_s=1.0)
        sink = TargetSink(directory, lambda change: None, lambda: 0.0)
        sink.listed(await PagedStore(bodies).list("servers"))
        return {found.target_id for found in directory.usable()}

    return asyncio.run(listed())


def watched(events):
    """Return the ids of the engines that a directory has after a watch."""

    async def changed():
        directory = TargetDirectory(grace_s=1.0)
        sink = TargetSink(directory, lambda change: None, lambda: 0.0)
        body = b'{"events":[%b],"asOf":7}' % b",".join(
            b'{"object":%b,"deleted":false}' % event for event in events
        )
        sink.changed(
            await PagedStore([body]).watch("servers", after_revision=1, wait_s=0.1)
        )
        return {found.target_id for found in directory.usable()}

    return asyncio.run(changed())


@pytest.mark.parametrize("odd", ODD_SPECS.values(), ids=ODD_SPECS.keys())
class TestOneOddEntry:
    def test_the_sound_entries_of_a_list_are_followed(self, odd):
        entries = [entry("a", spec()), entry("b", odd), entry("c", spec())]
        assert followed([page(entries)]) == {"a", "c"}

    def test_the_sound_entries_of_several_pages_are_followed(self, odd):
        first = page([entry("a", spec()), entry("b", odd)], morePages=b"true")
        second = page([entry("c", spec())])
        assert followed([first, second]) == {"a", "c"}

    def test_the_sound_entries_of_a_watch_are_followed(self, odd):
        entries = [entry("a", spec()), entry("b", odd), entry("c", spec())]
        assert watched(entries) == {"a", "c"}

    def test_it_keeps_the_last_readable_entry_of_its_engine(self, odd):
        async def changed():
            directory = TargetDirectory(grace_s=1.0)
            sink = TargetSink(directory, lambda change: None, lambda: 0.0)
            sink.listed(await PagedStore([page([entry("b", spec())])]).list("servers"))
            sink.listed(await PagedStore([page([entry("b", odd)])]).list("servers"))
            return [found.target_id for found in directory.usable()]

        assert asyncio.run(changed()) == ["b"]

    def test_peers_are_still_found(self, odd):
        async def found():
            entries = [
                entry("v1", b'{"address":"10.0.0.2:80"}'),
                entry("v2", odd.replace(b'"10.0.0.1:80"', b"7")),
                entry("v3", b'{"address":"10.0.0.3:80"}'),
            ]
            store = PagedStore([page(entries)])
            registry = StorePeerRegistry(store, "v0", Address("10.0.0.9", 1))
            return await registry.addresses()

        addresses = asyncio.run(found())
        assert addresses["v1"].host == "10.0.0.2"
        assert addresses["v3"].host == "10.0.0.3"

    def test_a_configuration_like_it_is_left_out(self, odd):
        async def configured():
            seen = []
            sink = ConfigurationSink(seen.append)
            sink.listed(await PagedStore([page([entry("main", odd)])]).list("config"))
            return seen

        assert asyncio.run(configured()) == []


class TestAnyEntry:
    json_values = st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text()
        | st.just(LONG_NUMBER_MARK),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=8,
    )

    @hypothesis_settings(
        max_examples=200,
        deadline=None,
        suppress_health_check=[HealthCheck.differing_executors],
    )
    @given(
        changed=st.dictionaries(
            st.sampled_from(
                ["service", "address", "zone", "maxBatchSize", "state", "born"]
            ),
            json_values,
        ),
        depth=st.integers(0, 3_000),
        flipped=st.integers(0, 300),
    )
    def test_sound_entries_beside_it_are_followed(self, changed, depth, flipped):
        fields = {name: _json(value) for name, value in changed.items()}
        odd = bytearray(spec(extra=b"[" * depth + b"]" * depth, **fields))
        position = flipped % len(odd)
        if chr(odd[position]).isalnum() and odd.count(b"\\") == 0:
            # A byte that is no UTF-8, inside a text or a number.
            odd[position] = 0xFF
        body = page([entry("a", spec()), entry("b", bytes(odd)), entry("c", spec())])
        assert {"a", "c"} <= followed([body])


def _json(value) -> bytes:
    return (
        json.dumps(value)
        .encode()
        .replace(b'"%b"' % LONG_NUMBER_MARK.encode(), LONG_NUMBER)
    )


class TestPages:
    def test_a_response_that_is_no_object_is_an_error(self):
        for body in (b"", b"[]", b"{", NESTED, b'{"items":[{]}', b"\xff"):
            with pytest.raises(ValueError):
                decode_page(body)

    def test_a_page_without_progress_ends_the_listing(self):
        body = page([entry("a", spec())], morePages=b"true")
        with pytest.raises(Exception, match="page after"):
            followed([body, body])


class TestSinks:
    def test_a_configuration_with_an_infinite_version_is_left_out(self):
        seen = []
        value = {"version": float("inf"), "limits": {}, "routes": [], "services": []}
        item = WatchedObject(name="main", revision=1, value=value)
        ConfigurationSink(seen.append).changed(Snapshot(objects=[item], revision=1))
        assert seen == []

    def test_an_entry_whose_name_breaks_a_header_is_left_out(self):
        directory = TargetDirectory(grace_s=1.0)
        sink = TargetSink(directory, lambda change: None, lambda: 0.0)
        value = json.loads(spec())
        item = WatchedObject(name="a\r\nTenant: x", revision=1, value=value)
        sink.listed(Snapshot(objects=[item], revision=1))
        assert directory.usable() == []

    def test_an_odd_entry_does_not_bring_back_an_engine_that_said_it_leaves(self):
        directory = TargetDirectory(grace_s=1.0)
        sink = TargetSink(directory, lambda change: None, lambda: 0.0)
        value = json.loads(spec())
        sound = WatchedObject(name="a", revision=1, value=value)
        odd = WatchedObject(name="a", revision=2, value=None, problem="no JSON")
        sink.listed(Snapshot(objects=[sound], revision=1))
        own_word = TargetDeparture(
            target_id="a", started_at_ms=0, registry_revision=None, age_s=0.0
        )
        directory.depart(own_word)
        sink.changed(Snapshot(objects=[odd], revision=2))
        sink.changed(Snapshot(objects=[attrs.evolve(sound, revision=3)], revision=3))
        assert directory.usable() == []


class TestSettingsFile:
    @pytest.mark.parametrize("body", [NESTED, b'{"listen":%b}' % NESTED, LONG_NUMBER])
    def test_one_that_cannot_be_decoded_is_a_settings_error(self, tmp_path, body):
        path = tmp_path / "local.json"
        path.write_bytes(body)
        with pytest.raises(SettingsFileError):
            read_settings(path)


class TestLoggedReasons:
    def test_a_configuration_that_is_left_out_names_the_whole_reason(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            configuration, "log_event", lambda *_, **fields: lines.append(fields)
        )
        problem = "Exceeds the limit (4300 digits) for integer string conversion"
        item = WatchedObject(name="main", revision=1, value=None, problem=problem)
        ConfigurationSink(None).changed(Snapshot(objects=[item], revision=1))
        assert problem in lines[0]["detail"]

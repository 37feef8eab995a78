"""One unreadable object of another writer costs nothing but itself."""

import asyncio
import json
import time

import attrs
import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from citrondock_core.routing.target_departure import TargetDeparture
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_platform import configuration
from citrondock_platform.configuration import ConfigurationSink
from citrondock_platform.peers import StorePeerRegistry
from citrondock_platform.settings import SettingsFileError, read_settings
from citrondock_platform.store import PAGE_FORMAT, PlatformStore
from citrondock_platform.targets import TargetSink
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.http_client import HttpResponse
from citrondock_router.gateway.json_page_decoder import MAX_VALUE_BYTES, decode_page
from citrondock_router.gateway.json_splitter import Unreadable
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


VALUE_BYTES = 1_000_000
"""Size of an odd entry; the store takes objects of 1,048,576 bytes."""

MAX_WAIT_S = 0.5
"""Half a second after its timeout, a request must have an answer."""

LARGE_VALUES = {
    "nested_lists": b"[" * (VALUE_BYTES // 2) + b"]" * (VALUE_BYTES // 2),
    "nested_objects": b'{"":' * (VALUE_BYTES // 5) + b"0" + b"}" * (VALUE_BYTES // 5),
    "many_lists": b"[" + b"[]," * (VALUE_BYTES // 3) + b"[]]",
    "many_lists_deep_down": b"[" * 2000
    + b"[]," * (VALUE_BYTES // 3)
    + b"[]"
    + b"]" * 2000,
    "many_texts": b"[" + b'"]",' * (VALUE_BYTES // 4) + b'"["]',
    "many_objects_and_no_utf8": b"[" + b'{"":0},' * (VALUE_BYTES // 7) + b'"\xff"]',
    "long_number": b"9" * VALUE_BYTES,
    "long_text_of_quotes": b'"' + rb"\"" * (VALUE_BYTES // 2) + b'"',
}


async def longest_pause_s(call):
    """Return the longest time for which a call keeps other tasks waiting."""
    task = asyncio.ensure_future(call)
    longest_s = 0.0
    while not task.done():
        began_s = time.monotonic()
        await asyncio.sleep(0)
        longest_s = max(longest_s, time.monotonic() - began_s)
    await task
    return longest_s


@pytest.mark.parametrize("odd", LARGE_VALUES.values(), ids=LARGE_VALUES.keys())
class TestLargeEntries:
    def page(self, odd, count=3):
        odd_entries = [entry(f"odd-{number}", odd) for number in range(count)]
        return page([entry("a", spec()), *odd_entries, entry("c", spec())])

    def test_the_sound_entries_beside_them_are_followed(self, odd):
        assert followed([self.page(odd)]) == {"a", "c"}
        odd_events = [entry(f"odd-{number}", odd) for number in range(3)]
        events = [entry("a", spec()), *odd_events, entry("c", spec())]
        assert watched(events) == {"a", "c"}

    def test_others_are_served_while_they_are_read(self, odd):
        async def check():
            store = PagedStore([self.page(odd)])
            assert await longest_pause_s(store.list("servers")) < MAX_WAIT_S

        asyncio.run(check())

    def test_they_are_not_decoded(self, odd):
        items = asyncio.run(decode_page(self.page(odd), PAGE_FORMAT))["items"]
        assert all(isinstance(item["spec"], Unreadable) for item in items[1:4])

    def test_their_engines_are_known_by_name(self, odd):
        items = asyncio.run(decode_page(self.page(odd), PAGE_FORMAT))["items"]
        assert [item["metadata"]["name"] for item in items[1:4]] == [
            "odd-0",
            "odd-1",
            "odd-2",
        ]


class TestSizeOfEntries:
    def test_all_entries_of_a_large_page_are_read(self):
        names = [f"engine-{number}" for number in range(5_000)]
        body = page([entry(name, spec()) for name in names])
        assert followed([body]) == set(names)

    def test_one_over_the_limit_says_so(self):
        items = [entry("a", spec(zone=b'"%b"' % (b"z" * MAX_VALUE_BYTES)))] * 20
        reason = asyncio.run(decode_page(page(items), PAGE_FORMAT))["items"][0][
            "spec"
        ].reason
        assert f"exceeds {MAX_VALUE_BYTES} bytes" in reason

    def test_a_configuration_may_be_as_large_as_the_store_takes_it(self):
        async def read():
            text = b'"%b"' % (b"x" * VALUE_BYTES)
            store = PagedStore([page([entry("main", b'{"text":%b}' % text)])])
            return await store.list("config")

        assert len(asyncio.run(read()).objects[0].value["text"]) == VALUE_BYTES


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
                asyncio.run(decode_page(body, PAGE_FORMAT))

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

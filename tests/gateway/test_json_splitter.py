"""The parts of a split JSON text are those that a decoder finds."""

import asyncio
import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from citrondock_router.gateway.json_splitter import (
    finish_in_turns,
    split_array,
    split_object,
)


def finish(computation):
    return asyncio.run(finish_in_turns(computation))


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text('ab"\\[]{},: ', max_size=8),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=20,
)


class TestSplitting:
    @hypothesis_settings(max_examples=300, deadline=None)
    @given(items=st.lists(json_values), repeats=st.integers(1, 400))
    def test_items_of_an_array(self, items, repeats):
        expected = [items * repeats, *items]
        parts = finish(split_array(json.dumps(expected).encode()))
        assert [json.loads(part) for part in parts] == expected

    @hypothesis_settings(max_examples=300, deadline=None)
    @given(fields=st.dictionaries(st.text(max_size=5), json_values))
    def test_members_of_an_object(self, fields):
        parts = finish(split_object(json.dumps(fields, indent=1).encode()))
        assert {name: json.loads(part) for name, part in parts.items()} == fields

    @pytest.mark.parametrize("depth", [1, 15, 16, 17, 1_000, 100_000])
    def test_nested_items_that_alternate(self, depth):
        item = b"[" * depth + b"]" * depth
        group = b'["]",%b]' % b",".join([item] * (200_000 // depth + 1))
        parts = finish(split_array(b"[%b,%b,1]" % (group, item)))
        assert parts == [group, item, b"1"]

    @pytest.mark.parametrize("size", [0, 1023, 1024, 1025, 16_384, 16_385, 300_000])
    @pytest.mark.parametrize("filling", [b"x", rb"\"", rb"\\", b"]"])
    def test_strings_of_any_length(self, size, filling):
        string = b'"%b"' % (filling * size)
        parts = finish(split_array(b"[%b,[%b],%b]" % (string, string, string)))
        assert parts == [string, b"[%b]" % string, string]

    @pytest.mark.parametrize("filling", [b"x", rb"\"", b"[", b"]", b","])
    def test_no_step_reads_more_than_some_kilobytes(self, filling):
        string = b'"%b"' % (filling * 500_000)
        steps = 0
        for text in (b"[%b]" % string, b"[[%b]]" % string, b"[%b" % string[:-1]):
            computation = split_array(text)
            with contextlib.suppress(ValueError):
                for _ in computation:
                    steps += 1
        assert steps > 3 * 500_000 / 20_000

    @pytest.mark.parametrize(
        "text", [b"", b"[", b"{}", b"[1", b'["', b'["]', b"[[]", b"[[[]", b"x[]"]
    )
    def test_what_is_no_array_is_an_error(self, text):
        with pytest.raises(ValueError, match="JSON"):
            finish(split_array(text))

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from citrondock_core.located_json import MAX_DEPTH, parse_json


def faults_of(text):
    return [str(fault) for fault in parse_json(text, file="f").faults]


class TestParseJson:
    def test_values_record_their_location_and_comments_are_allowed(self):
        text = '{ // note\n  "é": [1, /* two */ "x"]\n}'

        root = parse_json(text, file="f").root

        item = root.get("é").items[1]
        assert item.scalar == "x"
        assert str(item.location) == "f:2:22"

    @pytest.mark.parametrize(
        ("text", "expected_start"),
        [
            ('{"a": 1 "b": 2}', "f:1:9: a comma is missing"),
            ('{"a": [1, 2,]}', "f:1:12: nothing follows this comma"),
            (
                "{a: 1}",
                "f:1:2: 'a' is not valid JSON; put keys and strings in double quotes",
            ),
            ('{"a": 1', "f:1:8: '}' is missing"),
            ('{"a": "x\\q"}', "f:1:9:"),
            ('{"a": 1.}', "f:1:7:"),
            ('{"a": 1e999}', "f:1:7:"),
            ('{"a": "\\ud800"}', "f:1:7:"),
            ('{"a": "\t"}', "f:1:7:"),
            ("/* no end", "f:1:1: the comment has no end"),
            ("// only a comment", "f:1:1: the text holds no value"),
            ("{} {}", "f:1:4: a second value"),
            (b'{"a": "\xff"}', "f:1:1: the text is not UTF-8"),
            ('{"a": 1, "a": 2}', "f:1:10: a: the key 'a' appears twice"),
            ("[" * (MAX_DEPTH + 1) + "]" * (MAX_DEPTH + 1), "f:1:65: nested"),
        ],
    )
    def test_fault_starts_with_its_location_and_reason(self, text, expected_start):
        assert faults_of(text)[0].startswith(expected_start)

    def test_reports_all_syntax_faults_at_once(self):
        assert len(faults_of('{"a": [1,,2],\n "b": tru,\n "c": [3,]}')) >= 3

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.text(alphabet='{}[]",:/*\\ \n01e.-aé\x00tru') | st.binary(max_size=50))
    @example("[" * 20_000)
    @example("9" * 5_000)
    def test_any_text_gives_a_value_or_faults(self, text):
        document = parse_json(text, file="f")

        assert (document.root is not None) or document.faults

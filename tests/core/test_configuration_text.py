from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_core.account_keys import key_matches
from citrondock_core.configuration_text import parse_configuration
from citrondock_core.faults import SettingsError

EXAMPLES = ("plume-nordique", "nairobi-casting")
BASE = Path("examples/plume-nordique.jsonc").read_text()
HASH = f"sha256:{'ab' * 16}:{'cd' * 32}"
TARGET = '{"availability_zone": "z", "host": "10.0.0.1", "port": 80}'
POOL = f'{{"kind": "engine", "targets": {{"t": {TARGET}}}}}'


def faults_of(text):
    with pytest.raises(SettingsError) as caught:
        parse_configuration(text, "f")
    return [str(fault) for fault in caught.value.exceptions]


class TestParseConfiguration:
    @pytest.mark.parametrize("name", EXAMPLES)
    def test_example_files_are_valid(self, name):
        file = f"examples/{name}.jsonc"

        configuration = parse_configuration(Path(file).read_text(), file)

        engines = configuration.pools["engines"].targets
        assert len(configuration.accounts) == 16
        assert (len(configuration.pools), len(engines)) == (2, 9)
        assert len({target.availability_zone for target in engines}) == 3
        assert not all(s.idempotent for s in configuration.services.values())
        for account in configuration.accounts.values():
            assert key_matches(f"{account.name}.demo-key", account.key_hashes[0])
            assert not key_matches(f"{account.name}.wrong", account.key_hashes[0])

    def test_reports_faults_of_different_kinds_at_once(self):
        text = f"""{{
          "accounts": {{"a": {{"wieght": 2}}, "b": {{"weight": 0}}}},
          "pools": {{"p": {POOL}, "q": {{"kind": "engine"}}}},
          "services": {{
            "s": {{"kind": "chat", "pool": "pp", "model": "m", "depends_on": ["u"]}},
            "u": {{"kind": "chat", "pool": "p", "model": "m", "depends_on": ["s"]}}
          }}
        }}"""

        column = text.splitlines()[2].index('{"kind": "engine"}') + 1

        faults = faults_of(text)

        assert faults == [
            "f:2:30: accounts.a.wieght: is not a known key; did you mean 'weight'?",
            "f:2:60: accounts.b.weight: 'weight' must be > 0: 0.0; "
            "write a value in that range",
            f"f:3:{column}: pools.q: has no targets; add one or remove it",
            "f:5:43: services.s.pool: 'pp' is not defined under 'pools'; "
            "did you mean 'p'?",
            "f:5:77: services.s.depends_on: 's' needs 'u' needs 's'; "
            "remove one of these dependencies",
            "f:6:57: services.u.model: the model m is used by services.s.model "
            "already; change or remove one of the two",
        ]

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ('"port": 9102', '"port": 9101', "the address 127.0.0.1:9101 is used by"),
            ('"port": 9102', '"port": 99999', "is too large"),
            ('"archive-1"', '"engine-1"', "the target name engine-1 is used by"),
            ('"/appeals"', '"/works/appeals"', "the path overlaps with '/works'"),
            ('"/appeals"', '"/v1/chat"', "overlaps with '/v1/chat/completions'"),
            ('"/appeals"', '"/v1/chat/completions"', "the path overlaps with"),
            ('"/appeals"', '"/works"', "the path /works is used by"),
            ('"/appeals"', '"/works/"', "is not a path prefix"),
            ('"pool": "archive"', '"pool": "engines"', "needs 'application'"),
            ('"127.0.0.1"', '"example.org"', "is not an IP address"),
            ("sha256:", "md5:", "is not a key hash"),
            ('"kudos"', '"ku dos"', "is not a valid name"),
            ('"kudos"', '"appeals"', "the key 'appeals' appears twice"),
            ('"model": "plume-tags",', "", "is required for a chat service"),
            (
                '"plume-tags"',
                '"x"',
                "do not load 'plume-tags'; add it to pools.engines",
            ),
            (
                '"model": "plume-tags",',
                '"model": "plume-tags", "path": "/x",',
                "is not allowed for a chat service",
            ),
            ('["takedowns"]', '["appeals"]', "'appeals' needs 'appeals'"),
        ],
    )
    def test_reports_exactly_one_fault(self, old, new, expected):
        assert old in BASE

        faults = faults_of(BASE.replace(old, new, 1))

        assert len(faults) == 1
        assert expected in faults[0]

    def test_rejects_the_same_key_hash_for_two_accounts(self):
        keys = f'{{"key_hashes": ["{HASH}"]}}'

        faults = faults_of(f'{{"accounts": {{"a": {keys}, "b": {keys}}}}}')

        assert "is used by accounts.a.key_hashes.0 already" in faults[0]

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.data())
    def test_a_damaged_text_gives_a_configuration_or_faults(self, data):
        start = data.draw(st.integers(0, len(BASE)))
        removed = data.draw(st.integers(0, 40))
        added = data.draw(st.text('{}[]",:/* \n0-9a"', max_size=6))
        text = BASE[:start] + added + BASE[start + removed :]

        try:
            configuration = parse_configuration(text, "f")
        except SettingsError as error:
            assert all(fault.remedy for fault in error.exceptions)
        else:
            assert configuration.revision == 0

import enum
from collections.abc import Mapping

import attrs
import pytest

from citrondock_core.faults import (
    InvalidValueFault,
    MissingKeyFault,
    SettingsError,
    UnknownKeyFault,
    WrongTypeFault,
)
from citrondock_core.located_json import parse_json
from citrondock_core.structuring import structure


class Color(enum.Enum):
    RED = "red"


@attrs.frozen(kw_only=True)
class Leaf:
    name: str
    size_bytes: int = attrs.field(default=1, validator=attrs.validators.ge(1))
    color: Color | None = None


@attrs.frozen(kw_only=True)
class Root:
    label: str
    ratio: float = 0.5
    leaves: Mapping[str, Leaf] = attrs.field(factory=dict)
    tags: tuple[str, ...] = ()


def structured(text):
    return structure(parse_json(text, file="f").root, Root)


class TestStructure:
    def test_builds_nested_classes(self):
        root = structured(
            '{"label": "x", "ratio": 2, "tags": ["a"],'
            ' "leaves": {"one": {"color": "red"}, "two": {"color": null}}}'
        )

        assert root == Root(
            label="x",
            ratio=2.0,
            tags=("a",),
            leaves={"one": Leaf(name="one", color=Color.RED), "two": Leaf(name="two")},
        )

    def test_reports_all_faults_at_once_with_location_and_remedy(self):
        with pytest.raises(SettingsError) as caught:
            structured(
                '{"ratoi": 1,\n"tags": [1],\n"leaves": {"one": {\n"size_bytes": 0,\n'
                '"color": "rde"}}}'
            )

        faults = caught.value.exceptions
        assert [type(fault) for fault in faults] == [
            MissingKeyFault,
            UnknownKeyFault,
            WrongTypeFault,
            InvalidValueFault,
            InvalidValueFault,
        ]
        assert [fault.location.line for fault in faults] == [1, 1, 2, 4, 5]
        assert faults[1].remedy == "did you mean 'ratio'?"
        assert faults[3].path == "leaves.one.size_bytes"
        assert faults[4].remedy == "did you mean 'red'?"

    @pytest.mark.parametrize("value", ["true", "1.5", '"1"', "null", "[]"])
    def test_integer_field_rejects_values_of_other_types(self, value):
        with pytest.raises(SettingsError) as caught:
            structured(
                f'{{"label": "x", "leaves": {{"a": {{"size_bytes": {value}}}}}}}'
            )

        assert isinstance(caught.value.exceptions[0], WrongTypeFault)

from pathlib import Path

import attrs
import pytest
from absl import flags

from citrondock_core.faults import MissingFileFault, SettingsError
from citrondock_router.settings import load_settings
from citrondock_router.settings_flags import (
    define_flags,
    describe_settings,
    settings_from_flags,
)
from citrondock_router.settings_page import settings_page

EXAMPLE = "examples/router-settings.jsonc"


@pytest.fixture
def settings_file(tmp_path):
    def write(text):
        path = tmp_path / "router.jsonc"
        path.write_text(text)
        return str(path)

    return write


def faults_of(path, overrides=()):
    with pytest.raises(SettingsError) as caught:
        load_settings(path, overrides)
    return [str(fault) for fault in caught.value.exceptions]


class TestLoadSettings:
    def test_example(self):
        settings = load_settings(EXAMPLE)

        assert settings.vm.availability_zone == "qc-est-a"
        assert settings.callers.port == 8080
        assert settings.claims.shard_count == 4_096
        assert settings.peers.key_bytes() == b"replace-this-key-everywhere"
        assert "replace-this" not in repr(settings)

    def test_overrides_replace_values_of_the_file(self):
        overrides = ["callers.port=9", "vm.name=007", "log.level=DEBUG"]

        settings = load_settings(EXAMPLE, overrides)

        assert settings.callers.port == 9
        assert settings.vm.name == "007"
        assert settings.log.level == "DEBUG"

    def test_all_faults_are_reported_at_once(self, settings_file):
        path = settings_file(
            '{"vm": {"name": "a"},\n'
            '"callers": {"prot": 1, "port": 70000, "tls_key_path": "/no/such"},\n'
            '"peers": {"shared_key": "short"},\n'
            '"platform": {"object_store_url": "x", "vm_directory_url": "http://h"}}'
        )

        faults = faults_of(path, ["log.level=LOUD", "calers.port=1", "nonsense"])

        text = "\n".join(faults)
        assert len(faults) == 9
        assert f"{path}:1:8: vm.availability_zone: is missing" in text
        assert "callers.prot: is not a known key; did you mean 'port'?" in text
        assert "callers.port: 'port' must be <= 65535" in text
        assert "'/no/such' cannot be read; create it or fix the path" in text
        assert "at least 8 characters" in text
        assert "'x' is not a URL" in text
        assert "--set=log.level:1:1: log.level:" in text
        assert "calers: is not a known section; did you mean 'callers'?" in text

    def test_missing_file(self):
        with pytest.raises(SettingsError) as caught:
            load_settings("/no/such/file")

        assert isinstance(caught.value.exceptions[0], MissingFileFault)


class TestFlags:
    def test_direct_flag_and_set(self):
        values = flags.FlagValues()
        define_flags(values)

        values(["x", f"--settings={EXAMPLE}", "--set=vm.name=b2", "--callers_port=7"])

        settings = settings_from_flags(values)
        assert (settings.vm.name, settings.callers.port) == ("b2", 7)

    def test_help_names_units_and_defaults(self):
        values = flags.FlagValues()
        define_flags(values)

        help_text = values.main_module_help()

        assert "callers.head_timeout_s [seconds] (default 10.0)" in help_text

    def test_every_setting_is_described(self):
        settings = load_settings(EXAMPLE)

        described = {setting.path for setting in describe_settings()}

        assert described == {
            f"{section}.{name}"
            for section, values in attrs.asdict(settings).items()
            for name in values
        }

    def test_the_settings_page_is_up_to_date(self):
        page = Path("docs/operating/SETTINGS.md").read_text()

        assert page == settings_page()

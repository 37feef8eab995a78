"""Command line flags that name the settings and override them."""

import sys
from typing import Any

import attrs
from absl import flags

from citrondock_router.settings import HELP, RouterSettings, load_settings

_UNITS = {
    "_s": "seconds",
    "_bytes": "bytes",
    "_tokens": "tokens",
    "_count": "count",
    "_token_weight": "tokens per token",
    "_path": "path",
    "_url": "URL",
}
_DIRECT_FLAGS = {
    "vm_name": "vm.name",
    "availability_zone": "vm.availability_zone",
    "callers_port": "callers.port",
    "operators_port": "operators.port",
    "peers_port": "peers.port",
    "log_level": "log.level",
}


@attrs.frozen(kw_only=True)
class SettingHelp:
    """Help of one setting, as `--help` and the settings page show it.

    Parameters
    ----------
    path : str
        Section and name, for example ``"callers.port"``.
    unit, default, text : str
        Unit, default value and meaning.
    """

    path: str
    unit: str
    default: str
    text: str


def describe_settings() -> list[SettingHelp]:
    """Return the help of every setting, grouped by section."""
    described = []
    for section in attrs.fields(RouterSettings):
        for field in _fields(section.type):
            described.append(
                SettingHelp(
                    path=f"{section.name}.{field.name}",
                    unit=_unit(field),
                    default=_default(field),
                    text=field.metadata[HELP],
                )
            )
    return described


def define_flags(flag_values: flags.FlagValues = flags.FLAGS) -> None:
    """Define ``--settings``, ``--set`` and a flag for each of the common settings."""
    flags.DEFINE_string(
        "settings", None, "Settings file, JSON with comments.", flag_values=flag_values
    )
    flags.DEFINE_multi_string(
        "set",
        [],
        "Overrides one setting, as --set=callers.port=8080. Settings:\n"
        + "\n".join(_help_line(setting) for setting in describe_settings()),
        flag_values=flag_values,
    )
    for name, setting in _DIRECT_FLAGS.items():
        flags.DEFINE_string(
            name, None, f"Same as --set={setting}=…", flag_values=flag_values
        )
    # absl's --help lists only the key flags of the main module.
    for name in ("settings", "set", *_DIRECT_FLAGS):
        flag_values.register_key_flag_for_module(sys.argv[0], flag_values[name])


def settings_from_flags(flag_values: flags.FlagValues = flags.FLAGS) -> RouterSettings:
    """Read the settings file and the overrides that the flags give.

    Raises
    ------
    SettingsError
        All faults of the file and the overrides.
    """
    overrides = list(flag_values["set"].value or ())
    for name, setting in _DIRECT_FLAGS.items():
        value = flag_values[name].value
        if value is not None:
            overrides.append(f"{setting}={value}")
    return load_settings(flag_values["settings"].value or "", overrides)


def _fields(cls: Any) -> tuple[Any, ...]:
    return attrs.fields(cls)


def _help_line(setting: SettingHelp) -> str:
    unit = f" [{setting.unit}]" if setting.unit else ""
    return f"{setting.path}{unit} (default {setting.default}): {setting.text}"


def _unit(field: Any) -> str:
    for suffix, unit in _UNITS.items():
        if field.name.endswith(suffix):
            return unit
    return ""


def _default(field: Any) -> str:
    if field.default is attrs.NOTHING:
        return "none, required"
    return "empty" if field.default == "" else str(field.default)

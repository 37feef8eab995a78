"""The operators' page of settings: ``python -m citrondock_router.settings_page``."""

import itertools

from citrondock_router.settings_flags import describe_settings

_INTRODUCTION = """\
# Settings of a router

JSON with comments; `examples/router-settings.jsonc` is a start.
`citrondock-router --settings=FILE` reads it, `--set=SECTION.NAME=VALUE` overrides one
value and may be repeated, and `--vm_name`, `--availability_zone`, `--callers_port`,
`--operators_port`, `--peers_port` and `--log_level` do so directly. `--help` prints
this list.

An unknown key, a wrong type, an impossible value or a missing file ends the router
with exit code 2; all faults are printed with file, line, column and remedy. A fault of
an override names its flag. Paths are relative to the directory in which the router
starts. The suffix of a name is its unit.

This page is written by `python -m citrondock_router.settings_page`."""


def settings_page() -> str:
    """Return the page, with each setting's unit, default and meaning."""
    lines = [_INTRODUCTION]
    sections = itertools.groupby(
        describe_settings(), key=lambda setting: setting.path.partition(".")[0]
    )
    for section, settings in sections:
        lines += ["", f"## {section}", "", "| name | unit | default | meaning |"]
        lines.append("| --- | --- | --- | --- |")
        for setting in settings:
            name = setting.path.partition(".")[2]
            cells = (f"`{name}`", setting.unit, setting.default, setting.text)
            lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    print(settings_page(), end="")

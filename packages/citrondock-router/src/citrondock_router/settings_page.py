"""Writes the settings page: ``python -m citrondock_router.settings_page``."""

import itertools

from citrondock_router.settings_flags import describe_settings

_INTRODUCTION = """\
# Settings of a router

JSON with comments; `examples/router-settings.jsonc` is an example to start from.
`citrondock-router --settings=FILE` reads it, `--set=SECTION.NAME=VALUE` overrides one
value and may be repeated, and `--vm_name`, `--availability_zone`, `--callers_port`,
`--operators_port`, `--peers_port` and `--log_level` do so directly. `--help` prints
this list.

If there is an unknown key, a wrong type, an invalid value or a missing file, the router
exits with code 2 and prints all faults with file, line, column and remedy. For an
override, the flag is named instead of the file. Paths are relative to the directory in
which the router starts. The suffix of a name is its unit.

This page is written by `python -m citrondock_router.settings_page`."""


def settings_page() -> str:
    """Return the page in Markdown: unit, default and meaning of each setting."""
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

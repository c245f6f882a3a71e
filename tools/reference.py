"""Writes the settings reference from the schema or checks the written page."""

from __future__ import annotations

import pathlib
import sys

from merlintrestle import config
from merlintrestle.schema import settings_pb2

_PAGE_PATH = (
    pathlib.Path(__file__).parent.parent / "docs" / "use" / "settings.md"
)
_PROGRAMS = {
    "merlintrestle-daemon": settings_pb2.DaemonSettings,
    "merlintrestle": settings_pb2.OperatorSettings,
}
_INTRODUCTION = """# Settings

Made from `merlintrestle/schema/settings.proto` by `tools/reference.py`; change
the schema, not this page. A flag goes before its variable. All settings are
checked together at start; a program with a finding reports all of them and
does not run.
"""


def format_reference() -> str:
    """Returns the text of the page."""
    lines = [_INTRODUCTION]
    for program, settings_type in _PROGRAMS.items():
        lines.append(f"## {program}\n")
        lines.append("| flag | variable | default | unit | meaning |")
        lines.append("|---|---|---|---|---|")
        lines += [
            _format_row(setting)
            for setting in config.list_settings(settings_type)
        ]
        lines.append("")
    return "\n".join(lines)


def main() -> int:
    """Writes the page; with --check, returns 1 if the written page differs."""
    text = format_reference()
    if "--check" not in sys.argv:
        _PAGE_PATH.write_text(text, encoding="utf-8")
        return 0
    if _PAGE_PATH.read_text(encoding="utf-8") == text:
        return 0
    print("docs/use/settings.md is not fresh: run tools/reference.py")
    return 1


def _format_row(setting: config.Setting) -> str:
    """Returns the table row of a setting."""
    rule = setting.rule
    default = "(required)" if rule.required else rule.default or "none"
    meaning = rule.help
    if rule.choices:
        meaning += f" One of: {', '.join(rule.choices)}."
    if rule.max:
        meaning += f" From {rule.min:g} to {rule.max:g}."
    return (
        f"| `{setting.flag}` | `{setting.variable}` | {default} "
        f"| {rule.unit} | {meaning} |"
    )


if __name__ == "__main__":
    sys.exit(main())

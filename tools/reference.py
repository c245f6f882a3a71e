"""Writes the settings reference from the schema, or checks that it is fresh."""

from __future__ import annotations

import pathlib
import sys

from merlintrestle import config
from merlintrestle.schema import settings_pb2

_PAGE = pathlib.Path(__file__).parent.parent / "docs" / "use" / "settings.md"
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
    parts = [_INTRODUCTION]
    for program, kind in _PROGRAMS.items():
        parts.append(f"## {program}\n")
        parts.append("| flag | variable | default | unit | meaning |")
        parts.append("|---|---|---|---|---|")
        parts += [_write_row(item) for item in config.list_settings(kind)]
        parts.append("")
    return "\n".join(parts)


def main() -> int:
    """Writes the page; with --check compares it and fails if it differs."""
    text = format_reference()
    if "--check" not in sys.argv:
        _PAGE.write_text(text, encoding="utf-8")
        return 0
    if _PAGE.read_text(encoding="utf-8") == text:
        return 0
    print("docs/use/settings.md is not fresh: run tools/reference.py")
    return 1


def _write_row(setting: config.Setting) -> str:
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

"""The command `explain`: one request's story from the logs of daemons."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any, NamedTuple, TYPE_CHECKING

import click

from merlintrestle.operators import exit_codes

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Fields that every line has; the others are printed as they are.
_COMMON = ("time", "level", "part", "event", "request")
# Lines by which a story ends at one daemon.
_ENDS = frozenset(
    (
        "answered",
        "answered again",
        "answer cut",
        "refused",
        "failed",
        "unknown",
        "cut",
    )
)


class LogLine(NamedTuple):
    """One line of a log about one request.

    Attributes:
        time: When it happened, by the clock of its daemon.
        source: File it stands in, or the name before it in the file.
        event: What happened.
        fields: What decided it, and what came of it.
    """

    time: str
    source: str
    event: str
    fields: dict[str, Any]


@click.command()
@click.argument("request")
@click.argument(
    "logs", nargs=-1, required=True, type=click.Path(path_type=pathlib.Path)
)
def explain(request: str, logs: tuple[pathlib.Path, ...]) -> None:
    """Prints the story of one request from the logs of daemons.

    REQUEST is the id that its caller gave it, LOGS are files of log lines; a
    name before the JSON of a line tells its daemon, else the file does.

    Example:
    merlintrestle explain 9c41d07be2a35f68 /var/log/merlintrestle/*.log
    """
    lines: list[LogLine] = []
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines += find_lines(request, file, path.stem)
        except OSError as error:
            click.echo(f"{path}: {error.strerror}", err=True)
            sys.exit(exit_codes.USAGE)
    lines.sort(key=lambda line: line.time)
    for line in lines:
        click.echo(format_line(line))
    for gap in list_missing(lines):
        click.echo(f"missing: {gap}")
    sys.exit(exit_codes.OK if lines else exit_codes.FINDINGS)


def find_lines(
    request: str, lines: Iterable[str], source: str
) -> Iterator[LogLine]:
    """Yields the lines about a request; others may be of any form."""
    for text in lines:
        if request not in text:
            continue
        before, brace, rest = text.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if not isinstance(fields, dict) or fields.get("request") != request:
            continue
        names = before.split()
        yield LogLine(
            str(fields.get("time", "")),
            names[-1] if names else source,
            str(fields.get("event", "")),
            {
                name: value
                for name, value in fields.items()
                if name not in _COMMON
            },
        )


def format_line(line: LogLine) -> str:
    """Returns a line for people."""
    pairs = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value is not None
    )
    return f"{line.time} {line.source}: {line.event} {pairs}".rstrip()


def list_missing(lines: list[LogLine]) -> list[str]:
    """Returns what a whole story would have and these lines do not."""
    if not lines:
        return [
            "no line about this request; it went well, or its logs are"
            " not among these, or the rate of stories left it out"
        ]
    gaps = []
    events = {line.event for line in lines}
    if "routed" not in events:
        gaps.append("the daemon that took the request in")
    picked = [line for line in lines if line.event == "picked"]
    elsewhere = {line.source for line in lines if line.event == "passed on"}
    if picked and not elsewhere and "sent to the backend server" not in events:
        names = sorted({str(line.fields.get("upstream")) for line in picked})
        gaps.append(f"the daemons beside {', '.join(names)}")
    for source in sorted({line.source for line in lines}):
        ends = [
            line
            for line in lines
            if line.source == source and line.event in _ENDS
        ]
        if not ends:
            gaps.append(f"how it ended at {source}")
    return gaps

"""The command `explain`: what daemons have logged about a request."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Any, NamedTuple, TYPE_CHECKING

import click

from merlintrestle.operators import exit_codes

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Fields of every log line; only the other fields are printed as they are.
_COMMON_FIELDS = ("time", "level", "part", "event", "request")
# Events of which one is the last event of a request at a daemon.
_FINAL_EVENTS = frozenset(
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
    """A log line about a request.

    Attributes:
        time: Time of the event by the clock of its daemon, as in the log.
        source: Name before the JSON object of the line, else the name of the
            log file without its suffix.
        event: Name of the event.
        fields: The other fields of the line.
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
    for missing in list_missing(lines):
        click.echo(f"missing: {missing}")
    sys.exit(exit_codes.OK if lines else exit_codes.FINDINGS)


def find_lines(
    request: str, lines: Iterable[str], source: str
) -> Iterator[LogLine]:
    """Yields the log lines about a request.

    Lines that are not about the request may have any format.

    Args:
        request: Id of the request.
        lines: The lines of a log.
        source: Source of the lines that have no name before the JSON object.
    """
    for line in lines:
        if request not in line:
            continue
        prefix, brace, rest = line.partition("{")
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            continue
        if not isinstance(fields, dict) or fields.get("request") != request:
            continue
        source_names = prefix.split()
        yield LogLine(
            str(fields.get("time", "")),
            source_names[-1] if source_names else source,
            str(fields.get("event", "")),
            {
                name: value
                for name, value in fields.items()
                if name not in _COMMON_FIELDS
            },
        )


def format_line(line: LogLine) -> str:
    """Returns the text of a log line, as it is printed."""
    pairs = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if value is not None
    )
    return f"{line.time} {line.source}: {line.event} {pairs}".rstrip()


def list_missing(lines: list[LogLine]) -> list[str]:
    """Returns what the lines lack to show a request from start to end."""
    if not lines:
        return [
            "no line about this request; it went well, or its logs are"
            " not among these, or the rate of stories left it out"
        ]
    missing = []
    events = {line.event for line in lines}
    if "routed" not in events:
        missing.append("the daemon that took the request in")
    picked_lines = [line for line in lines if line.event == "picked"]
    receiving_sources = {
        line.source for line in lines if line.event == "passed on"
    }
    if (
        picked_lines
        and not receiving_sources
        and "sent to the backend server" not in events
    ):
        upstreams = sorted(
            {str(line.fields.get("upstream")) for line in picked_lines}
        )
        missing.append(f"the daemons beside {', '.join(upstreams)}")
    for source in sorted({line.source for line in lines}):
        final_lines = [
            line
            for line in lines
            if line.source == source and line.event in _FINAL_EVENTS
        ]
        if not final_lines:
            missing.append(f"how it ended at {source}")
    return missing

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

# Fields of every line about a request. The other fields of a line are printed
# as "name=value".
_COMMON_FIELDS = ("time", "level", "part", "event", "request")
# Event of a request that its caller's daemon refused for its key, as its own
# version may be out of date, or for its quota. It is the only line then.
_NOT_ADMITTED = "not admitted"
# Events that `requests.reports.decision_logs` writes at the end of a call. The
# last event of a request at a daemon is one of them.
_FINAL_EVENTS = frozenset(
    (
        _NOT_ADMITTED,
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
        source: Name of the daemon that wrote the line: the name before the JSON
            object of the line, else the name of the log file without its
            suffix.
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
    log_lines: list[LogLine] = []
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                log_lines += find_lines(request, file, path.stem)
        except OSError as error:
            click.echo(f"{path}: {error.strerror}", err=True)
            sys.exit(exit_codes.USAGE)
    log_lines.sort(key=lambda log_line: log_line.time)
    for log_line in log_lines:
        click.echo(format_line(log_line))
    for missing in list_missing(log_lines):
        click.echo(f"missing: {missing}")
    sys.exit(exit_codes.OK if log_lines else exit_codes.FINDINGS)


def find_lines(
    request: str, lines: Iterable[str], default_source: str
) -> Iterator[LogLine]:
    """Yields the log lines about a request.

    Lines that are not about the request may have any format.

    Args:
        request: Id of the request.
        lines: The lines of a log.
        default_source: Source of the lines that have no name before the JSON
            object.
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
            source_names[-1] if source_names else default_source,
            str(fields.get("event", "")),
            {
                name: value
                for name, value in fields.items()
                if name not in _COMMON_FIELDS
            },
        )


def format_line(log_line: LogLine) -> str:
    """Returns the text of a log line, as it is printed."""
    pairs = " ".join(
        f"{name}={value}"
        for name, value in log_line.fields.items()
        if value is not None
    )
    return (
        f"{log_line.time} {log_line.source}: {log_line.event} {pairs}".rstrip()
    )


def list_missing(log_lines: list[LogLine]) -> list[str]:
    """Returns what the lines lack to show a request from start to end.

    The daemon that took the request from its caller logs "routed", or
    "not admitted" if it refused it by its API key or quota. It then logs
    "picked" for each upstream that it chose. The daemon beside the backend
    server of that upstream logs "passed on".
    """
    if not log_lines:
        return [
            "no line about this request; it went well, or its logs are"
            " not among these, or the rate of stories left it out"
        ]
    missing = []
    events = {log_line.event for log_line in log_lines}
    if not events & {"routed", _NOT_ADMITTED}:
        missing.append("the daemon that took the request in")
    picked_lines = [
        log_line for log_line in log_lines if log_line.event == "picked"
    ]
    upstream_sources = {
        log_line.source
        for log_line in log_lines
        if log_line.event == "passed on"
    }
    if (
        picked_lines
        and not upstream_sources
        and "sent to the backend server" not in events
    ):
        upstreams = sorted(
            {str(log_line.fields.get("upstream")) for log_line in picked_lines}
        )
        missing.append(f"the daemons beside {', '.join(upstreams)}")
    for source in sorted({log_line.source for log_line in log_lines}):
        final_lines = [
            log_line
            for log_line in log_lines
            if log_line.source == source and log_line.event in _FINAL_EVENTS
        ]
        if not final_lines:
            missing.append(f"how it ended at {source}")
    return missing

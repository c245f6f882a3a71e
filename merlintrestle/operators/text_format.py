"""Formats results of commands as text."""

from __future__ import annotations

import functools
from typing import Any, TYPE_CHECKING

from merlintrestle.operators import audit_trail
from merlintrestle.operators import fleet
from merlintrestle.operators import outcomes
from merlintrestle.operators import results
from merlintrestle.operators import status_results
from merlintrestle.operators import targets
from merlintrestle.operators import workspaces

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


def format_table(
    titles: Sequence[str], rows: Iterable[Sequence[object]]
) -> list[str]:
    """Returns the lines of a table with aligned columns."""
    cells = [list(titles), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(titles))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


@functools.singledispatch
def format_text(result: Any) -> list[str]:
    """Returns the lines of text that show a result."""
    raise TypeError(f"no text form of {type(result).__name__}")


@format_text.register
def _(result: results.StoreFailure) -> list[str]:
    problem = "The store does not answer"
    if result.is_corrupt:
        problem = "A record in the store cannot be used"
    return [
        f"{problem}: {result.reason}.",
        "Nothing was changed; what was accepted before stays in force.",
    ]


@format_text.register
def _(result: results.Validated) -> list[str]:
    against = result.checked_against
    scope = f"checked against {against}." if against else "each for itself."
    return [f"No findings in {', '.join(result.files)}, {scope}"]


@format_text.register
def _(result: outcomes.Accepted) -> list[str]:
    return [
        f"Accepted as version {result.version} (change {result.change_id}).",
        *_indent(result.differences),
        *(format_text(result.in_force) if result.in_force else []),
    ]


@format_text.register
def _(result: outcomes.Unchanged) -> list[str]:
    return [f"Nothing to change: version {result.version} has it already."]


@format_text.register
def _(result: outcomes.Refused) -> list[str]:
    count = len(result.findings)
    noun = "finding" if count == 1 else "findings"
    return [
        f"Refused with {count} {noun}; nothing was changed.",
        *_indent(str(finding) for finding in result.findings),
    ]


@format_text.register
def _(result: outcomes.LostRace) -> list[str]:
    description = "Another operator"
    if result.by is not None:
        attempt = audit_trail.describe_change(result.by, audit_trail.ACCEPTED)
        description = (
            f"{attempt.operator} ({attempt.action} of {attempt.organisation},"
            f" version {attempt.version}, {attempt.at})"
        )
    return [
        f"Lost a race; nothing was changed. {description} was first:",
        *_indent(result.differences),
        f"Version {result.version} stands. Look at it with `merlintrestle"
        " diff FILE`, then apply again.",
    ]


@format_text.register
def _(result: outcomes.Undecided) -> list[str]:
    return [
        f"Outcome unknown: {result.reason}.",
        f"Change {result.change_id} may have made version {result.version},"
        " or may yet.",
        "When the store answers again, `merlintrestle audit` says what became"
        " of it; to apply the same file again is safe.",
    ]


@format_text.register
def _(result: results.Listing) -> list[str]:
    if not result.attempts:
        return ["No changes."]
    table_lines = format_table(
        ["VERSION", "OUTCOME", "AT", "OPERATOR", "ORGANISATION", "ACTION"],
        # The columns are the first six fields of an attempt.
        [attempt[:6] for attempt in result.attempts],
    )
    lines = [table_lines[0]]
    for line, attempt in zip(table_lines[1:], result.attempts, strict=True):
        lines.append(line)
        lines += _indent(attempt.refusals or attempt.summary)
    if not result.is_whole:
        lines.append("Newer attempts are left out: take a smaller --limit.")
    return lines


@format_text.register
def _(result: results.Difference) -> list[str]:
    if not result.lines:
        return [f"{result.organisation}: as in version {result.version}."]
    return [
        f"{result.organisation}: against version {result.version}",
        *_indent(result.lines),
    ]


@format_text.register
def _(result: results.KeyDigest) -> list[str]:
    return [result.digest]


@format_text.register
def _(result: results.Shown) -> list[str]:
    lines = [f"# version {result.version}"]
    for text in result.documents.values():
        lines += ["", *text.splitlines()]
    return lines


@format_text.register
def _(result: status_results.InForce) -> list[str]:
    version = f"Version {result.version}"
    if result.problem:
        return [
            f"{version}: whether it is in force is unknown: {result.problem}."
        ]
    if result.everywhere:
        return [f"{version} is in force on all {result.daemons} daemons."]
    return [
        f"{version} is not in force everywhere after {result.waited_s:g} s:",
        *_format_daemons(result.missing),
    ]


@format_text.register
def _(result: status_results.Status) -> list[str]:
    lines = []
    not_in_force = fleet.list_not_in_force(result.daemons)
    if result.version is None:
        lines.append(f"The store does not answer: {result.store_problem}.")
    elif result.daemons:
        running = len(result.daemons) - len(not_in_force)
        lines.append(
            f"Version {result.version} is in force on {running} of"
            f" {len(result.daemons)} daemons."
        )
    else:
        lines.append(f"Version {result.version} is accepted.")
    if result.daemon_problem:
        lines.append(f"Nothing is known of the fleet: {result.daemon_problem}.")
    elif not result.daemons:
        lines.append("Set --daemon to see whether it is in force.")
    stale = [daemon for daemon in result.daemons if daemon.is_stale]
    if stale:
        lines.append(
            f"{len(stale)} of {len(result.daemons)} daemons refuse requests"
            " with API keys."
        )
    # If the accepted version is unknown, no daemon is in force.
    shown = [
        daemon
        for daemon in result.daemons
        if daemon.is_stale or daemon in not_in_force
    ]
    if shown:
        lines += ["", *_format_daemons(shown)]
    if result.workspaces is not None:
        lines += ["", *_format_workspaces(result.workspaces)]
    if result.targets:
        lines += ["", *_format_targets(result.targets)]
    return lines


@format_text.register
def _(result: results.RolloutShown) -> list[str]:
    return [f"{result.service} to {result.version}: {result.state}."]


@format_text.register
def _(result: results.RolloutRace) -> list[str]:
    return [
        "Lost a race; nothing was changed. Another operator was first: look"
        f" with `merlintrestle rollout status {result.service}`."
    ]


@format_text.register
def _(result: results.RolloutReplaced) -> list[str]:
    return [
        "Lost a race: another operator has ordered or aborted a roll-out of"
        f" {result.service} since. Look with `merlintrestle rollout status"
        f" {result.service}`."
    ]


@format_text.register
def _(result: results.RolloutUndecided) -> list[str]:
    return [
        f"Outcome unknown: {result.reason}.",
        "The command may have taken effect, or may yet. When the store answers"
        " again, look with `merlintrestle rollout status"
        f" {result.service}`.",
    ]


@format_text.register
def _(result: results.RolloutHistory) -> list[str]:
    if not result.attempts:
        return [f"{result.service}: no roll-outs."]
    table_lines = format_table(
        ["AT", "OPERATOR", "ACTION", "VERSION"],
        # The columns are the first four fields of an attempt.
        [attempt[:4] for attempt in result.attempts],
    )
    lines = [table_lines[0]]
    for line, attempt in zip(table_lines[1:], result.attempts, strict=True):
        lines += [line, *_indent(attempt.refusals)]
    return lines


@format_text.register
def _(result: results.Watched) -> list[str]:
    change_lines = [
        f"{result.at} version {attempt.version}: {attempt.action} of"
        f" {attempt.organisation} by {attempt.operator}"
        for attempt in reversed(result.accepted)
    ]
    first_line, *other_lines = format_text(result.status)
    return [
        *change_lines,
        f"{result.at} {first_line}",
        *_indent(other_lines),
    ]


def _format_daemons(daemons: Iterable[fleet.Daemon]) -> list[str]:
    return format_table(
        ["DAEMON", "ZONE", "SERVICE", "STATE", "VERSION", "DETAIL"],
        # The columns are the first six fields of a daemon.
        [daemon[:6] for daemon in daemons],
    )


def _format_workspaces(status: workspaces.WorkspaceStatus) -> list[str]:
    lines = [
        f"Quota coordinator: {coordinator.id or 'none'}, epoch"
        f" {coordinator.epoch}, known to {coordinator.daemons} daemons"
        + ("." if coordinator.is_granting else "; grants nothing.")
        for coordinator in status.coordinators
    ]
    lines.append(f"Calls without a known API key: {status.unknown_key:.6g}/s.")
    if not status.refusals:
        return [*lines, "No workspace is refused."]
    return [
        *lines,
        *format_table(
            [
                "WORKSPACE",
                "OVER QUOTA/S",
                "UNDECIDED/S",
                "STALE/S",
                "DAEMONS",
            ],
            [
                (
                    one.workspace,
                    f"{one.over_quota:.6g}",
                    f"{one.undecided:.6g}",
                    f"{one.stale:.6g}",
                    one.daemons,
                )
                for one in status.refusals
            ],
        ),
    ]


def _format_targets(fleet_targets: Iterable[targets.Target]) -> list[str]:
    return format_table(
        [
            "TARGET",
            "STATE",
            "IN TIME",
            "WANTED",
            "ANSWERED",
            "WANTED",
            "CALLS",
            "NOT RUN",
            "FAILED",
            "UNKNOWN",
        ],
        [
            (
                f"{target.organisation}/{target.service}/{target.name}",
                target.state,
                f"{target.share:.4f}" if target.calls else "-",
                f"{target.wanted_share:g}",
                f"{target.answered:.4f}" if target.calls else "-",
                f"{target.wanted_availability:g}",
                target.calls,
                target.refused,
                target.failed,
                target.unknown,
            )
            for target in fleet_targets
        ],
    )


def _indent(lines: Iterable[str]) -> list[str]:
    return [f"  {line}".rstrip() for line in lines]

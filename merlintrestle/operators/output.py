"""Forms of what the operators' program prints: text for people, JSON."""

from __future__ import annotations

import dataclasses
import functools
import json
from typing import Any, NamedTuple, TYPE_CHECKING

from google.protobuf import message

from merlintrestle.operators import changes
from merlintrestle.operators import trail

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence


class StoreFailure(NamedTuple):
    """The store did not do what was asked.

    Attributes:
        reason: What its client said.
    """

    reason: str


class Validated(NamedTuple):
    """The files have no findings.

    Attributes:
        files: Their names.
        checked_against: What their references and budget were checked
            against; empty: nothing.
    """

    files: tuple[str, ...]
    checked_against: str


class Listing(NamedTuple):
    """Attempts of the audit trail or the history.

    Attributes:
        attempts: Newest first.
    """

    attempts: tuple[trail.Attempt, ...]


class Difference(NamedTuple):
    """What a file would change.

    Attributes:
        organisation: Whose document it is.
        version: The version in force that it is compared with.
        lines: One for each key that differs.
    """

    organisation: str
    version: int
    lines: tuple[str, ...]


class Shown(NamedTuple):
    """The accepted documents.

    Attributes:
        version: The accepted version.
        documents: TOML text of each organisation's document.
    """

    version: int
    documents: dict[str, str]


def format_result(result: Any, is_json: bool) -> str:
    """Returns the text of a result, without a last line end."""
    if is_json:
        tree = {"result": _name_result(result), **_to_tree(result)}
        return json.dumps(tree, sort_keys=False)
    return "\n".join(format_text(result))


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
    """Returns the lines that people see of a result."""
    raise TypeError(f"no text form of {type(result).__name__}")


@format_text.register
def _(result: StoreFailure) -> list[str]:
    return [
        f"The store does not answer: {result.reason}.",
        "Nothing was changed; what was accepted before stays in force.",
    ]


@format_text.register
def _(result: Validated) -> list[str]:
    against = result.checked_against
    end = f"checked against {against}." if against else "each for itself."
    return [f"No findings in {', '.join(result.files)}, {end}"]


@format_text.register
def _(result: changes.Accepted) -> list[str]:
    return [
        f"Accepted as version {result.version} (change {result.change_id}).",
        *_indent(result.differences),
    ]


@format_text.register
def _(result: changes.Unchanged) -> list[str]:
    return [f"Nothing to change: version {result.version} has it already."]


@format_text.register
def _(result: changes.Refused) -> list[str]:
    count = len(result.findings)
    noun = "finding" if count == 1 else "findings"
    return [
        f"Refused with {count} {noun}; nothing was changed.",
        *_indent(str(one) for one in result.findings),
    ]


@format_text.register
def _(result: changes.LostRace) -> list[str]:
    who = "Another operator"
    if result.by is not None:
        attempt = trail.describe_change(result.by, trail.ACCEPTED)
        who = (
            f"{attempt.operator} ({attempt.action} of {attempt.organisation},"
            f" version {attempt.version}, {attempt.at})"
        )
    return [
        f"Lost a race; nothing was changed. {who} was first:",
        *_indent(result.differences),
        f"Version {result.version} stands. Look at it with `merlintrestle"
        " diff FILE`, then apply again.",
    ]


@format_text.register
def _(result: changes.Undecided) -> list[str]:
    return [
        f"Outcome unknown: {result.reason}.",
        f"Change {result.change_id} may have made version {result.version},"
        " or may yet.",
        "When the store answers again, `merlintrestle audit` says what became"
        " of it; to apply the same file again is safe.",
    ]


@format_text.register
def _(result: Listing) -> list[str]:
    if not result.attempts:
        return ["No changes."]
    lines = format_table(
        ["VERSION", "OUTCOME", "AT", "OPERATOR", "ORGANISATION", "ACTION"],
        [attempt[:6] for attempt in result.attempts],
    )
    shown = [lines[0]]
    for line, attempt in zip(lines[1:], result.attempts, strict=True):
        shown.append(line)
        shown += _indent(attempt.refusals or attempt.summary)
    return shown


@format_text.register
def _(result: Difference) -> list[str]:
    if not result.lines:
        return [f"{result.organisation}: as in version {result.version}."]
    return [
        f"{result.organisation}: against version {result.version}",
        *_indent(result.lines),
    ]


@format_text.register
def _(result: Shown) -> list[str]:
    lines = [f"# version {result.version}"]
    for text in result.documents.values():
        lines += ["", *text.splitlines()]
    return lines


def _indent(lines: Iterable[str]) -> list[str]:
    return [f"  {line}" for line in lines]


def _name_result(result: Any) -> str:
    name = type(result).__name__
    return "".join(
        f"-{letter.lower()}" if letter.isupper() and i else letter.lower()
        for i, letter in enumerate(name)
    )


@functools.singledispatch
def _to_tree(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return {
            field.name: _to_tree(getattr(value, field.name))
            for field in dataclasses.fields(value)
        }
    return value


@_to_tree.register
def _(value: tuple) -> Any:
    if hasattr(value, "_asdict"):
        return {key: _to_tree(part) for key, part in value._asdict().items()}
    return [_to_tree(part) for part in value]


@_to_tree.register
def _(value: message.Message) -> Any:
    return _to_tree(trail.describe_change(value, trail.ACCEPTED))  # type: ignore[arg-type]

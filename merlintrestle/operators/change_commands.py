"""Commands that validate and change target documents."""

from __future__ import annotations

import dataclasses
import functools
import pathlib
from typing import NamedTuple, TYPE_CHECKING

import click

from merlintrestle import errors
from merlintrestle.documents import checks
from merlintrestle.documents import differences
from merlintrestle.documents import reader
from merlintrestle.operators import changes
from merlintrestle.operators import exit_codes
from merlintrestle.operators import outcomes
from merlintrestle.operators import results
from merlintrestle.operators import session
from merlintrestle.operators import status_queries

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.documents import snapshot as snapshots
    from merlintrestle.schema import document_pb2

_FILE_TYPE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
_DEFAULT_WAIT_TIMEOUT_S = 30.0
_EXIT_CODES = {
    outcomes.Accepted: exit_codes.OK,
    outcomes.Unchanged: exit_codes.OK,
    outcomes.Refused: exit_codes.FINDINGS,
    outcomes.LostRace: exit_codes.LOST_RACE,
    outcomes.Undecided: exit_codes.UNKNOWN_OUTCOME,
}

_base_option = click.option(
    "--base",
    type=click.IntRange(min=0),
    metavar="VERSION",
    help="Version that you started from; a change of the same organisation"
    " after it is then a lost race.",
)
_wait_option = click.option(
    "--wait",
    is_flag=True,
    help="Wait until it is in force on every daemon (needs --daemon).",
)
wait_timeout_option = click.option(
    "--wait-timeout",
    type=click.FloatRange(min=0),
    default=_DEFAULT_WAIT_TIMEOUT_S,
    show_default=True,
    metavar="SECONDS",
    help="Longest wait.",
)


class WaitOptions(NamedTuple):
    """Options of a command that can wait until all daemons run a version.

    Attributes:
        enabled: Whether to wait.
        timeout_s: Maximum time to wait, in seconds.
    """

    enabled: bool
    timeout_s: float


@click.command(
    epilog=session.format_examples(
        "merlintrestle validate zaanoever.toml",
        "merlintrestle validate mesh.toml zaanoever.toml",
    )
)
@click.argument("files", nargs=-1, required=True, type=_FILE_TYPE)
@session.pass_session
async def validate(
    current_session: session.Session, files: tuple[pathlib.Path, ...]
) -> int:
    """Checks target documents and reports every finding.

    With --store they are checked against the accepted documents of the other
    organisations; several files without it are checked against each other.
    """
    documents = _read_files(files)
    checked_against = ""
    if current_session.settings.store:
        head, accepted = await current_session.read_accepted()
        documents = {**accepted, **documents}
        checked_against = f"version {head.version}"
    elif len(files) > 1:
        checked_against = "each other"
    findings = checks.check_documents(documents) if checked_against else []
    if findings:
        raise errors.InvalidInputError(findings)
    current_session.report(
        results.Validated(tuple(map(str, files)), checked_against)
    )
    return exit_codes.OK


@click.command(
    epilog=session.format_examples("merlintrestle diff zaanoever.toml")
)
@click.argument("file", type=_FILE_TYPE)
@session.pass_session
async def diff(current_session: session.Session, file: pathlib.Path) -> int:
    """Shows what a target document would change."""
    document = _read_file(file)
    head, documents = await current_session.read_accepted()
    organisation = document.organisation
    lines = differences.list_differences(documents.get(organisation), document)
    current_session.report(
        results.Difference(organisation, head.version, tuple(lines))
    )
    return exit_codes.OK


@click.command(
    epilog=session.format_examples(
        "merlintrestle apply zaanoever.toml",
        "merlintrestle apply zaanoever.toml --base 7",
        "merlintrestle apply zaanoever.toml --wait --daemon 10.0.0.7:8082",
    )
)
@click.argument("file", type=_FILE_TYPE)
@_base_option
@_wait_option
@wait_timeout_option
@session.pass_session
async def apply(
    current_session: session.Session,
    file: pathlib.Path,
    base: int | None,
    wait: bool,
    wait_timeout: float,
) -> int:
    """Makes a target document the one in force.

    It is accepted whole or refused whole. To apply a file again is safe.
    """
    operator = current_session.require_setting("operator")
    document = _read_file(file)
    proposal = changes.Proposal(operator, document.organisation, document, base)
    return await _propose(
        current_session, proposal, WaitOptions(wait, wait_timeout)
    )


@click.command(
    epilog=session.format_examples("merlintrestle withdraw zaanoever")
)
@click.argument("organisation")
@_base_option
@_wait_option
@wait_timeout_option
@session.pass_session
async def withdraw(
    current_session: session.Session,
    organisation: str,
    base: int | None,
    wait: bool,
    wait_timeout: float,
) -> int:
    """Withdraws the target document of an organisation.

    It is refused while other organisations refer to its services.
    """
    operator = current_session.require_setting("operator")
    proposal = changes.Proposal(operator, organisation, None, base)
    return await _propose(
        current_session, proposal, WaitOptions(wait, wait_timeout)
    )


async def _propose(
    current_session: session.Session,
    proposal: changes.Proposal,
    wait_options: WaitOptions,
) -> int:
    """Proposes a change, reports its outcome and returns the exit code."""
    if wait_options.enabled:
        current_session.require_setting("daemon")
    async with current_session.open_store() as store:
        proposer = changes.Proposer(
            store,
            current_session.dependencies.make_id,
            current_session.dependencies.read_clock_ms,
            current_session.dependencies.retry_delay_s,
            _bind_push_version(current_session),
        )
        outcome = await proposer.propose(proposal)
    is_accepted = isinstance(outcome, outcomes.Accepted | outcomes.Unchanged)
    if not (wait_options.enabled and is_accepted):
        current_session.report(outcome)
        return _EXIT_CODES[type(outcome)]
    return await _wait(current_session, outcome, wait_options.timeout_s)


def _bind_push_version(
    current_session: session.Session,
) -> Callable[[snapshots.Snapshot], Awaitable[None]] | None:
    """Returns a function that pushes a version to the daemon of the settings.

    Returns None if no daemon is set.
    """
    if not current_session.settings.daemon:
        return None
    return functools.partial(
        current_session.dependencies.push_version,
        current_session.settings.daemon,
        current_session.settings.timeout_s,
    )


async def _wait(
    current_session: session.Session,
    outcome: outcomes.Outcome,
    timeout_s: float,
) -> int:
    """Waits until an accepted version is in force and returns the exit code.

    The text output reports the outcome before the wait. The JSON output is a
    single object, so it reports both after the wait.
    """
    assert isinstance(outcome, outcomes.Accepted | outcomes.Unchanged)
    if not current_session.is_json:
        current_session.report(outcome)
    in_force = await status_queries.wait_in_force(
        current_session,
        outcome.version,
        bytes.fromhex(outcome.digest),
        timeout_s,
        current_session.report_progress,
    )
    if current_session.is_json:
        current_session.report(dataclasses.replace(outcome, in_force=in_force))
    else:
        current_session.report(in_force)
    return exit_codes.OK if in_force.everywhere else exit_codes.NOT_FULFILLED


def _read_file(file: pathlib.Path) -> document_pb2.Document:
    with file.open("rb") as stream:
        # One byte more than the limit is enough for the reader to reject it.
        content = stream.read(reader.MAX_FILE_BYTES + 1)
    return reader.read_document(content, str(file))


def _read_files(
    files: tuple[pathlib.Path, ...],
) -> dict[str, document_pb2.Document]:
    """Returns the documents of several files, by organisation.

    Raises:
        errors.InvalidInputError: At least one file is invalid; the error has
            the findings of all files.
    """
    findings: list[errors.Finding] = []
    documents: dict[str, document_pb2.Document] = {}
    for file in files:
        try:
            document = _read_file(file)
        except errors.InvalidInputError as error:
            findings += error.findings
            continue
        organisation = document.organisation
        if organisation in documents:
            text = f"another file is also of organisation {organisation!r}."
            findings.append(errors.Finding(f"{file}: organisation", text))
        documents[organisation] = document
    if findings:
        raise errors.InvalidInputError(findings)
    return documents

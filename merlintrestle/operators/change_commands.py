"""Commands that check and change targets."""

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

_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
_DEFAULT_WAIT_S = 30.0
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
    default=_DEFAULT_WAIT_S,
    show_default=True,
    metavar="SECONDS",
    help="Longest wait.",
)


class WaitOptions(NamedTuple):
    """Whether and how long to wait for a version to be in force.

    Attributes:
        enabled: True to wait.
        timeout_s: Longest wait in seconds.
    """

    enabled: bool
    timeout_s: float


@click.command(
    epilog=session.format_examples(
        "merlintrestle validate zaanoever.toml",
        "merlintrestle validate mesh.toml zaanoever.toml",
    )
)
@click.argument("files", nargs=-1, required=True, type=_FILE)
@session.pass_session
async def validate(
    run: session.Session, files: tuple[pathlib.Path, ...]
) -> int:
    """Checks target documents and reports every finding.

    With --store they are checked against the accepted documents of the other
    organisations; several files without it are checked against each other.
    """
    documents = _read_files(files)
    against = ""
    if run.settings.store:
        head, accepted = await run.read_accepted()
        documents = {**accepted, **documents}
        against = f"version {head.version}"
    elif len(files) > 1:
        against = "each other"
    findings = checks.check_documents(documents) if against else []
    if findings:
        raise errors.InvalidInputError(findings)
    run.report(results.Validated(tuple(map(str, files)), against))
    return exit_codes.OK


@click.command(
    epilog=session.format_examples("merlintrestle diff zaanoever.toml")
)
@click.argument("file", type=_FILE)
@session.pass_session
async def diff(run: session.Session, file: pathlib.Path) -> int:
    """Shows what a target document would change."""
    document = _read_file(file)
    head, documents = await run.read_accepted()
    name = document.organisation
    lines = differences.list_differences(documents.get(name), document)
    run.report(results.Difference(name, head.version, tuple(lines)))
    return exit_codes.OK


@click.command(
    epilog=session.format_examples(
        "merlintrestle apply zaanoever.toml",
        "merlintrestle apply zaanoever.toml --base 7",
        "merlintrestle apply zaanoever.toml --wait --daemon 10.0.0.7:8082",
    )
)
@click.argument("file", type=_FILE)
@_base_option
@_wait_option
@wait_timeout_option
@session.pass_session
async def apply(
    run: session.Session,
    file: pathlib.Path,
    base: int | None,
    wait: bool,
    wait_timeout: float,
) -> int:
    """Makes a target document the one in force.

    It is accepted whole or refused whole. To apply a file again is safe.
    """
    operator = run.require_setting("operator")
    document = _read_file(file)
    proposal = changes.Proposal(operator, document.organisation, document, base)
    return await _propose(run, proposal, WaitOptions(wait, wait_timeout))


@click.command(
    epilog=session.format_examples("merlintrestle withdraw zaanoever")
)
@click.argument("organisation")
@_base_option
@_wait_option
@wait_timeout_option
@session.pass_session
async def withdraw(
    run: session.Session,
    organisation: str,
    base: int | None,
    wait: bool,
    wait_timeout: float,
) -> int:
    """Withdraws the target document of an organisation.

    It is refused while other organisations refer to its services.
    """
    operator = run.require_setting("operator")
    proposal = changes.Proposal(operator, organisation, None, base)
    return await _propose(run, proposal, WaitOptions(wait, wait_timeout))


async def _propose(
    run: session.Session, proposal: changes.Proposal, wait: WaitOptions
) -> int:
    if wait.enabled:
        run.require_setting("daemon")
    async with run.open_store() as store:
        proposer = changes.Proposer(
            store,
            run.dependencies.make_id,
            run.dependencies.read_clock_ms,
            run.dependencies.retry_delay_s,
            _choose_push_version(run),
        )
        outcome = await proposer.propose(proposal)
    waits = isinstance(outcome, outcomes.Accepted | outcomes.Unchanged)
    if not (wait.enabled and waits):
        run.report(outcome)
        return _EXIT_CODES[type(outcome)]
    return await _wait(run, outcome, wait.timeout_s)


def _choose_push_version(
    run: session.Session,
) -> Callable[[snapshots.Snapshot], Awaitable[None]] | None:
    if not run.settings.daemon:
        return None
    return functools.partial(
        run.dependencies.push_version,
        run.settings.daemon,
        run.settings.timeout_s,
    )


async def _wait(
    run: session.Session, outcome: outcomes.Outcome, timeout_s: float
) -> int:
    """Waits for an accepted version; JSON output stays one object."""
    assert isinstance(outcome, outcomes.Accepted | outcomes.Unchanged)
    if not run.is_json:
        run.report(outcome)
    found = await status_queries.wait_in_force(
        run,
        outcome.version,
        bytes.fromhex(outcome.digest),
        timeout_s,
        run.report_progress,
    )
    if run.is_json:
        run.report(dataclasses.replace(outcome, in_force=found))
    else:
        run.report(found)
    return exit_codes.OK if found.everywhere else exit_codes.NOT_FULFILLED


def _read_file(file: pathlib.Path) -> document_pb2.Document:
    with file.open("rb") as opened:
        # One byte more than is allowed is enough to refuse the file.
        content = opened.read(reader.MAX_FILE_BYTES + 1)
    return reader.read_document(content, str(file))


def _read_files(
    files: tuple[pathlib.Path, ...],
) -> dict[str, document_pb2.Document]:
    """Reads several files; findings of all of them are raised together."""
    findings: list[errors.Finding] = []
    documents: dict[str, document_pb2.Document] = {}
    for file in files:
        try:
            document = _read_file(file)
        except errors.InvalidInputError as error:
            findings += error.findings
            continue
        name = document.organisation
        if name in documents:
            text = f"another file is also of organisation {name!r}."
            findings.append(errors.Finding(f"{file}: organisation", text))
        documents[name] = document
    if findings:
        raise errors.InvalidInputError(findings)
    return documents

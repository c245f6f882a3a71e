"""The operators' program: `merlintrestle`."""

from __future__ import annotations

import pathlib

import click

from merlintrestle import config
from merlintrestle import errors
from merlintrestle.documents import checks
from merlintrestle.documents import differences
from merlintrestle.documents import reader
from merlintrestle.documents import writer
from merlintrestle.operators import changes
from merlintrestle.operators import exits
from merlintrestle.operators import output
from merlintrestle.operators import session
from merlintrestle.operators import trail
from merlintrestle.schema import document_pb2
from merlintrestle.schema import settings_pb2
from merlintrestle.store import records

_FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
_DEFAULT_LIMIT = 50
_EXIT_CODES = {
    changes.Accepted: exits.OK,
    changes.Unchanged: exits.OK,
    changes.Refused: exits.FINDINGS,
    changes.LostRace: exits.LOST_RACE,
    changes.Undecided: exits.UNKNOWN_OUTCOME,
}


@click.group()
@config.add_options(settings_pb2.OperatorSettings)
def main(**_: str) -> None:
    """States, changes and withdraws targets, and shows whether they hold."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=_FILE)
@session.run_command
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
        head, accepted = await _read_accepted(run)
        documents = {**accepted, **documents}
        against = f"version {head.version}"
    elif len(files) > 1:
        against = "each other"
    findings = checks.check_documents(documents) if against else []
    if findings:
        raise errors.InvalidInputError(findings)
    run.report(output.Validated(tuple(map(str, files)), against))
    return exits.OK


@main.command()
@click.argument("file", type=_FILE)
@click.option("--base", type=click.IntRange(min=0), help="Version you saw.")
@session.run_command
async def apply(
    run: session.Session, file: pathlib.Path, base: int | None
) -> int:
    """Makes a target document the one in force."""
    operator = run.require("operator")
    document = _read_file(file)
    return await _propose(
        run,
        changes.Proposal(operator, document.organisation, document, base),
    )


@main.command()
@click.argument("organisation")
@click.option("--base", type=click.IntRange(min=0), help="Version you saw.")
@session.run_command
async def withdraw(
    run: session.Session, organisation: str, base: int | None
) -> int:
    """Withdraws the target document of an organisation."""
    operator = run.require("operator")
    return await _propose(
        run, changes.Proposal(operator, organisation, None, base)
    )


@main.command()
@click.argument("organisation", required=False)
@session.run_command
async def show(run: session.Session, organisation: str | None) -> int:
    """Shows the accepted target documents."""
    head, documents = await _read_accepted(run)
    shown = {
        name: writer.write_document(document)
        for name, document in documents.items()
        if organisation in (None, name)
    }
    run.report(output.Shown(head.version, shown))
    return exits.OK


@main.command()
@click.argument("file", type=_FILE)
@session.run_command
async def diff(run: session.Session, file: pathlib.Path) -> int:
    """Shows what a target document would change."""
    document = _read_file(file)
    head, documents = await _read_accepted(run)
    name = document.organisation
    lines = differences.list_differences(documents.get(name), document)
    run.report(output.Difference(name, head.version, tuple(lines)))
    return exits.OK


@main.command()
@click.option("--limit", default=_DEFAULT_LIMIT, show_default=True)
@session.run_command
async def history(run: session.Session, limit: int) -> int:
    """Lists the accepted changes, newest first."""
    async with run.open_store() as store:
        found = await trail.read_history(store, limit)
    run.report(output.Listing(tuple(found)))
    return exits.OK


@main.command()
@click.option("--limit", default=_DEFAULT_LIMIT, show_default=True)
@session.run_command
async def audit(run: session.Session, limit: int) -> int:
    """Lists every attempt at the last versions with its outcome."""
    async with run.open_store() as store:
        found = await trail.read_audit(store, limit)
    run.report(output.Listing(tuple(found)))
    return exits.OK


async def _propose(run: session.Session, proposal: changes.Proposal) -> int:
    async with run.open_store() as store:
        proposer = changes.Proposer(
            store, run.sources.make_id, run.sources.read_ms, run.sources.pause_s
        )
        outcome = await proposer.propose(proposal)
    run.report(outcome)
    return _EXIT_CODES[type(outcome)]


async def _read_accepted(
    run: session.Session,
) -> tuple[document_pb2.Head, dict[str, document_pb2.Document]]:
    async with run.open_store() as store:
        head, _ = await records.read_head(store)
        return head, await records.read_documents(store, head)


def _read_file(file: pathlib.Path) -> document_pb2.Document:
    return reader.read_document(file.read_bytes(), str(file))


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

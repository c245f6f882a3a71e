"""Commands that show what is accepted, what runs and whether it holds."""

from __future__ import annotations

import asyncio

import click

from merlintrestle import errors
from merlintrestle.documents import writer
from merlintrestle.operators import audit_trail
from merlintrestle.operators import exit_codes
from merlintrestle.operators import results
from merlintrestle.operators import session
from merlintrestle.operators import status_queries
from merlintrestle.operators import status_results

_DEFAULT_LIMIT = 50
_MAX_LIMIT = 100_000
_DEFAULT_INTERVAL_S = 2.0

_OUTCOMES = """\b
Outcomes:
  accepted         it made the version
  refused          it had findings; head was not tried
  lost race        another change made the version
  outcome unknown  no change made that version yet; it still may
"""

_limit_option = click.option(
    "--limit",
    type=click.IntRange(1, _MAX_LIMIT),
    default=_DEFAULT_LIMIT,
    show_default=True,
    metavar="VERSIONS",
    help="How many versions to go back.",
)


@click.command(
    epilog=session.format_examples(
        "merlintrestle show", "merlintrestle show zaanoever > zaanoever.toml"
    )
)
@click.argument("organisation", required=False)
@session.pass_session
async def show(run: session.Session, organisation: str | None) -> int:
    """Shows the accepted target documents, as files to edit and apply."""
    head, documents = await run.read_accepted()
    if organisation and organisation not in documents:
        text = f"has no document in version {head.version}."
        raise errors.InvalidInputError([errors.Finding(organisation, text)])
    shown = {
        name: writer.write_document(document)
        for name, document in documents.items()
        if organisation in (None, name)
    }
    run.report(results.Shown(head.version, shown))
    return exit_codes.OK


@click.command(
    epilog=session.format_examples("merlintrestle history --limit 10")
)
@_limit_option
@session.pass_session
async def history(run: session.Session, limit: int) -> int:
    """Lists the accepted changes, newest first."""
    async with run.open_store() as store:
        found = await audit_trail.read_history(store, limit)
    run.report(results.Listing(tuple(found), is_whole=True))
    return exit_codes.OK


@click.command(epilog=_OUTCOMES)
@_limit_option
@session.pass_session
async def audit(run: session.Session, limit: int) -> int:
    """Lists every attempt to change something and what became of it."""
    async with run.open_store() as store:
        found = await audit_trail.read_audit(store, limit)
    run.report(results.Listing(*found))
    return exit_codes.OK


@click.command(
    epilog=session.format_examples(
        "merlintrestle status --daemon 10.0.0.7:8082"
    )
)
@session.pass_session
async def status(run: session.Session) -> int:
    """Shows whether the accepted version is in force and each target holds.

    The fleet is asked through --daemon; what that daemon does not know of is
    not in the figures.
    """
    found = await status_queries.read_status(run)
    run.report(found)
    return status_results.choose_exit_code(found)


@click.command(
    epilog=session.format_examples("merlintrestle watch --daemon 10.0.0.7:8082")
)
@click.option(
    "--interval",
    type=click.FloatRange(min=0),
    default=_DEFAULT_INTERVAL_S,
    show_default=True,
    metavar="SECONDS",
    help="Pause between two rounds.",
)
@click.option(
    "--count",
    type=click.IntRange(min=0),
    default=0,
    metavar="ROUNDS",
    help="Rounds to watch; 0: until Ctrl-C.",
)
@session.pass_session
async def watch(run: session.Session, interval: float, count: int) -> int:
    """Prints accepted changes and the status whenever either differs.

    With --output json each round that differs is one line.
    """
    seen: int | None = None
    last: status_results.Status | None = None
    rounds = 0
    while True:
        found = await status_queries.read_status(run)
        if found != last:
            accepted = await _read_accepted_since(run, found.version, seen)
            run.report(
                results.Watched(
                    audit_trail.format_time(run.dependencies.read_clock_ms()),
                    tuple(accepted),
                    found,
                )
            )
            last = found
        if found.version is not None:
            seen = found.version
        rounds += 1
        if rounds == count:
            return status_results.choose_exit_code(found)
        await asyncio.sleep(interval)


async def _read_accepted_since(
    run: session.Session, version: int | None, seen: int | None
) -> list[audit_trail.Attempt]:
    if version is None or seen is None or version <= seen:
        return []
    try:
        async with run.open_store() as store:
            return await audit_trail.read_history(store, version - seen)
    except errors.StoreError:
        # The next round says that the store does not answer.
        return []

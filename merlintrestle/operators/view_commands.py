"""Commands that show documents, changes and the status of the fleet."""

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

_DEFAULT_LIMIT_VERSIONS = 50
_MAX_LIMIT_VERSIONS = 100_000
_DEFAULT_INTERVAL_S = 2.0

_AUDIT_EPILOG = """\b
Outcomes:
  accepted         it made the version
  refused          it had findings; head was not tried
  lost race        another change made the version
  outcome unknown  no change made that version yet; it still may
"""

_limit_option = click.option(
    "--limit",
    type=click.IntRange(1, _MAX_LIMIT_VERSIONS),
    default=_DEFAULT_LIMIT_VERSIONS,
    show_default=True,
    metavar="VERSIONS",
    help="How many versions to go back.",
)


@click.command(
    epilog=session.format_examples(
        "merlintrestle show",
        "merlintrestle show zaanoever > zaanoever.toml",
        "merlintrestle show mesh --whole-digests > mesh.toml",
    )
)
@click.argument("organisation", required=False)
@click.option(
    "--whole-digests",
    is_flag=True,
    help="Show digests of API keys whole, as needed to apply them again.",
)
@session.pass_session
async def show(
    current_session: session.Session,
    organisation: str | None,
    whole_digests: bool,
) -> int:
    """Shows the accepted target documents, as files to edit and apply.

    Digests of API keys are shortened; a file with short ones is refused.
    """
    head, documents = await current_session.read_accepted()
    if organisation and organisation not in documents:
        text = f"has no document in version {head.version}."
        raise errors.InvalidInputError([errors.Finding(organisation, text)])
    texts = {
        name: writer.write_document(document, whole_digests)
        for name, document in documents.items()
        if organisation in (None, name)
    }
    current_session.report(results.Shown(head.version, texts))
    return exit_codes.OK


@click.command(
    epilog=session.format_examples("merlintrestle history --limit 10")
)
@_limit_option
@session.pass_session
async def history(current_session: session.Session, limit: int) -> int:
    """Lists the accepted changes, newest first."""
    async with current_session.open_store() as store:
        attempts = await audit_trail.read_history(store, limit)
    current_session.report(results.Listing(tuple(attempts), is_whole=True))
    return exit_codes.OK


@click.command(epilog=_AUDIT_EPILOG)
@_limit_option
@session.pass_session
async def audit(current_session: session.Session, limit: int) -> int:
    """Lists every attempt to change something and what became of it."""
    async with current_session.open_store() as store:
        audit_result = await audit_trail.read_audit(store, limit)
    current_session.report(results.Listing(*audit_result))
    return exit_codes.OK


@click.command(
    epilog=session.format_examples(
        "merlintrestle status --daemon 10.0.0.7:8082"
    )
)
@session.pass_session
async def status(current_session: session.Session) -> int:
    """Shows whether the accepted version is in force and each target holds.

    The fleet is asked through --daemon; what that daemon does not know of is
    not in the figures.
    """
    status_result = await status_queries.read_status(current_session)
    current_session.report(status_result)
    return status_results.choose_exit_code(status_result)


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
async def watch(
    current_session: session.Session, interval: float, count: int
) -> int:
    """Prints accepted changes and the status whenever either differs.

    With --output json each round that differs is one line.
    """
    last_version: int | None = None
    last_status: status_results.Status | None = None
    rounds = 0
    while True:
        current_status = await status_queries.read_status(current_session)
        if current_status != last_status:
            accepted = await _read_accepted_since(
                current_session, current_status.version, last_version
            )
            current_session.report(
                results.Watched(
                    audit_trail.format_time(
                        current_session.dependencies.read_clock_ms()
                    ),
                    tuple(accepted),
                    current_status,
                )
            )
            last_status = current_status
        if current_status.version is not None:
            last_version = current_status.version
        rounds += 1
        if rounds == count:
            return status_results.choose_exit_code(current_status)
        await asyncio.sleep(interval)


async def _read_accepted_since(
    current_session: session.Session,
    current_version: int | None,
    last_version: int | None,
) -> list[audit_trail.Attempt]:
    """Returns the changes accepted after `last_version`, newest first.

    Args:
        current_session: The session.
        current_version: The accepted version; None if it is unknown.
        last_version: The accepted version of an earlier round; None if no
            earlier round read one.
    """
    if (
        current_version is None
        or last_version is None
        or current_version <= last_version
    ):
        return []
    try:
        async with current_session.open_store() as store:
            return await audit_trail.read_history(
                store, current_version - last_version
            )
    except errors.StoreError:
        # The status of the next round shows that the store does not answer.
        return []

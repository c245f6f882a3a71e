"""Queries of the status of the store and the fleet."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.operators import fleet
from merlintrestle.operators import status_results
from merlintrestle.operators import targets
from merlintrestle.operators import workspaces
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.operators import session
    from merlintrestle.schema import document_pb2

_POLL_INTERVAL_S = 0.2


async def read_status(
    current_session: session.Session,
) -> status_results.Status:
    """Returns the status of the store and the fleet.

    Without the setting `daemon`, the status of the fleet is left empty.
    """
    store_problem = ""
    head: document_pb2.Head | None = None
    documents: dict[str, document_pb2.Document] = {}
    try:
        async with current_session.open_store() as store:
            head, _ = await records.read_head(store)
            documents = await records.read_documents(store, head)
    except errors.StoreError as error:
        store_problem = str(error)
    member_statuses: list[fleet.MemberStatus] = []
    daemon_problem = ""
    if current_session.settings.daemon:
        try:
            member_statuses = await _ask_fleet(current_session)
        except fleet.DaemonUnavailableError as error:
            daemon_problem = str(error)
    version = head.version if head else None
    digest = head.snapshot_digest if head else b""
    replies = [
        member_status.reply
        for member_status in member_statuses
        if member_status.reply is not None
    ]
    return status_results.Status(
        version=version,
        store_problem=store_problem,
        daemon_problem=daemon_problem,
        daemons=tuple(
            fleet.check_daemon(member_status, version, digest)
            for member_status in member_statuses
        ),
        targets=tuple(targets.evaluate_targets(documents, replies))
        if member_statuses
        else (),
        workspaces=workspaces.summarize(member_statuses),
    )


async def wait_in_force(
    current_session: session.Session,
    version: int,
    digest: bytes,
    timeout_s: float,
    report_progress: Callable[[str], None],
) -> status_results.InForce:
    """Waits until every daemon that takes new calls runs a version.

    A daemon that runs the version is not asked again, as no daemon returns to
    an earlier version.

    Args:
        current_session: The session; the daemon of its settings lists the
            members.
        version: The version.
        digest: Digest of the version's snapshot.
        timeout_s: Maximum time to wait, in seconds.
        report_progress: Called with a line of text whenever the progress
            changes.
    """
    start_time = time.monotonic()
    confirmed_ids: set[str] = set()
    last_line = ""
    while True:
        result = await _check_daemons(
            current_session, version, digest, confirmed_ids
        )
        waited_s = time.monotonic() - start_time
        line = _describe_progress(result)
        if line != last_line:
            report_progress(line)
            last_line = line
        if result.everywhere or waited_s >= timeout_s:
            return result._replace(waited_s=round(waited_s, 3))
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _check_daemons(
    current_session: session.Session,
    version: int,
    digest: bytes,
    confirmed_ids: set[str],
) -> status_results.InForce:
    """Asks the daemons once whether they run a version.

    The result counts the daemons that were not asked as running the version.

    Args:
        current_session: The session.
        version: The version.
        digest: Digest of the version's snapshot.
        confirmed_ids: Ids of the daemons that run the version, which are not
            asked; extended by those that have started to run it.
    """
    timeout_s = current_session.settings.timeout_s
    try:
        members = await fleet.list_members(
            current_session.settings.daemon,
            timeout_s,
            current_session.dependencies.ask_status,
        )
    except fleet.DaemonUnavailableError as error:
        return status_results.InForce(version, False, 0, 0.0, (), str(error))
    member_statuses = await fleet.ask_members(
        [member for member in members if member.id not in confirmed_ids],
        timeout_s,
        current_session.dependencies.ask_status,
    )
    daemons = [
        fleet.check_daemon(member_status, version, digest)
        for member_status in member_statuses
    ]
    confirmed_ids.update(
        daemon.id for daemon in daemons if daemon.state == fleet.IN_FORCE
    )
    missing = fleet.list_not_in_force(daemons)
    return status_results.InForce(
        version, not missing, len(members), 0.0, missing, ""
    )


def _describe_progress(result: status_results.InForce) -> str:
    if result.problem:
        return f"version {result.version}: {result.problem}"
    running = result.daemons - len(result.missing)
    return f"version {result.version}: {running} of {result.daemons} daemons"


async def _ask_fleet(
    current_session: session.Session,
) -> list[fleet.MemberStatus]:
    """Returns the status of each member that takes new calls."""
    ask_status = current_session.dependencies.ask_status
    timeout_s = current_session.settings.timeout_s
    members = await fleet.list_members(
        current_session.settings.daemon, timeout_s, ask_status
    )
    return await fleet.ask_members(members, timeout_s, ask_status)

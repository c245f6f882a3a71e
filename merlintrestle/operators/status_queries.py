"""Asking store and fleet whether what was accepted is in force."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.operators import fleet
from merlintrestle.operators import status_results
from merlintrestle.operators import targets
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.operators import session
    from merlintrestle.schema import document_pb2

_POLL_S = 0.2


async def read_status(run: session.Session) -> status_results.Status:
    """Asks the store and, where one is set, a daemon and its members."""
    problem = ""
    head: document_pb2.Head | None = None
    documents: dict[str, document_pb2.Document] = {}
    try:
        async with run.open_store() as store:
            head, _ = await records.read_head(store)
            documents = await records.read_documents(store, head)
    except errors.StoreError as error:
        problem = str(error)
    answers: list[fleet.MemberStatus] = []
    daemon_problem = ""
    if run.settings.daemon:
        try:
            answers = await _ask_fleet(run)
        except fleet.DaemonUnavailableError as error:
            daemon_problem = str(error)
    version = head.version if head else None
    digest = head.snapshot_digest if head else b""
    replies = [one.reply for one in answers if one.reply is not None]
    return status_results.Status(
        version=version,
        store_problem=problem,
        daemon_problem=daemon_problem,
        daemons=tuple(
            fleet.check_daemon(one, version, digest) for one in answers
        ),
        targets=tuple(targets.evaluate_targets(documents, replies))
        if answers
        else (),
    )


async def wait_in_force(
    run: session.Session,
    version: int,
    digest: bytes,
    timeout_s: float,
    progress: Callable[[str], None],
) -> status_results.InForce:
    """Waits until every daemon that serves runs a version.

    A daemon that was seen to run it is not asked again: none goes back.

    Args:
        run: The session; its daemon is asked who the members are.
        version: The version.
        digest: Digest of its snapshot.
        timeout_s: Longest wait in seconds.
        progress: Called with a line when more daemons run it.
    """
    start = time.monotonic()
    done: set[str] = set()
    told = ""
    while True:
        result = await _check_once(run, version, digest, done)
        waited_s = time.monotonic() - start
        line = _describe(result)
        if line != told:
            progress(line)
            told = line
        if result.everywhere or waited_s >= timeout_s:
            return result._replace(waited_s=round(waited_s, 3))
        await asyncio.sleep(_POLL_S)


async def _check_once(
    run: session.Session, version: int, digest: bytes, done: set[str]
) -> status_results.InForce:
    timeout_s = run.settings.timeout_s
    try:
        members = await fleet.list_members(
            run.settings.daemon, timeout_s, run.dependencies.ask_status
        )
    except fleet.DaemonUnavailableError as error:
        return status_results.InForce(version, False, 0, 0.0, (), str(error))
    answers = await fleet.ask_members(
        [one for one in members if one.id not in done],
        timeout_s,
        run.dependencies.ask_status,
    )
    daemons = [fleet.check_daemon(one, version, digest) for one in answers]
    done.update(one.id for one in daemons if one.state == fleet.IN_FORCE)
    missing = fleet.list_not_in_force(daemons)
    return status_results.InForce(
        version, not missing, len(members), 0.0, missing, ""
    )


def _describe(result: status_results.InForce) -> str:
    if result.problem:
        return f"version {result.version}: {result.problem}"
    running = result.daemons - len(result.missing)
    return f"version {result.version}: {running} of {result.daemons} daemons"


async def _ask_fleet(run: session.Session) -> list[fleet.MemberStatus]:
    ask, timeout_s = run.dependencies.ask_status, run.settings.timeout_s
    members = await fleet.list_members(run.settings.daemon, timeout_s, ask)
    return await fleet.ask_members(members, timeout_s, ask)

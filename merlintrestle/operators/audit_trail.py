"""The audit trail: what became of every attempt to change something."""

from __future__ import annotations

import datetime
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.store import records

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

ACCEPTED = "accepted"
REFUSED = "refused"
LOST_RACE = "lost race"
UNKNOWN = "outcome unknown"

MAX_AUDIT_ATTEMPTS = 10_000


class Attempt(NamedTuple):
    """One attempt to change the configuration.

    Attributes:
        version: The version that it made or would have made.
        outcome: "accepted", "refused", "lost race" or "outcome unknown".
        at: When it was tried (ISO 8601, UTC).
        operator: Who tried it.
        organisation: Whose document it changes.
        action: "apply" or "withdraw".
        change_id: Its id.
        summary: What it changes.
        refusals: Why it was refused.
    """

    version: int
    outcome: str
    at: str
    operator: str
    organisation: str
    action: str
    change_id: str
    summary: tuple[str, ...]
    refusals: tuple[str, ...]


class Audit(NamedTuple):
    """The audit trail of the last versions.

    Attributes:
        attempts: Newest version first.
        is_whole: False if some attempts at the newest versions are left out.
    """

    attempts: tuple[Attempt, ...]
    is_whole: bool


async def read_history(store: records.Store, limit: int) -> list[Attempt]:
    """Returns the accepted changes, newest first, `limit` at most."""
    head, _ = await records.read_head(store)
    return [
        describe_change(change, ACCEPTED)
        async for change in records.walk_chain(store, head, limit)
    ]


async def read_audit(
    store: records.Store, limit: int, max_attempts: int = MAX_AUDIT_ATTEMPTS
) -> Audit:
    """Returns the attempts at the last versions, newest version first.

    Args:
        store: The store.
        limit: How many versions to go back.
        max_attempts: How many attempts to read; refused ones make no version,
            so `limit` alone does not bound the reads.
    """
    head, _ = await records.read_head(store)
    # Ids begin with the version in 12 digits, so that this is a bounded read.
    oldest = max(0, head.version - limit + 1)
    # The attempts are read after head: one that was accepted in between is
    # then "outcome unknown", never wrongly "lost race".
    changes: list[document_pb2.Change] = []
    is_whole = True
    async for change in records.list_changes(store, f"{oldest:012d}"):
        if len(changes) == max_attempts:
            is_whole = False
            break
        changes.append(change)
    accepted = await _find_chain(store, head, changes, limit)
    attempts = [
        describe_change(change, _judge(change, head, accepted))
        for change in changes
    ]
    return Audit(tuple(sorted(attempts, key=_rank)), is_whole)


def describe_change(change: document_pb2.Change, outcome: str) -> Attempt:
    """Returns an attempt as people see it."""
    return Attempt(
        version=change.base_version + 1,
        outcome=outcome,
        at=format_time(change.at_ms),
        operator=change.operator,
        organisation=change.organisation,
        action=change.action,
        change_id=change.change_id,
        summary=tuple(change.summary),
        refusals=tuple(change.refusals),
    )


def format_time(at_ms: int) -> str:
    """Returns milliseconds since 1970 as ISO 8601 in UTC."""
    at = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return at.isoformat(timespec="seconds").replace("+00:00", "Z")


async def _find_chain(
    store: records.Store,
    head: document_pb2.Head,
    changes: list[document_pb2.Change],
    limit: int,
) -> set[str]:
    """Returns the accepted ids of the last versions.

    The chain begins at the newest change, which a listing that was cut off
    does not have; it is then read by itself, or accepted changes would be
    called lost.
    """
    known = {change.change_id: change for change in changes}
    chain: set[str] = set()
    change_id = head.change_id
    while change_id and len(chain) < limit:
        chain.add(change_id)
        change = known.get(change_id)
        if change is None:
            change = await records.read_change(store, change_id)
        change_id = change.previous_change_id if change else ""
    return chain


def _judge(
    change: document_pb2.Change, head: document_pb2.Head, accepted: set[str]
) -> str:
    if change.refusals:
        return REFUSED
    if change.change_id in accepted:
        return ACCEPTED
    if change.base_version < head.version:
        # Its compare-and-swap expects a revision of head that is gone.
        return LOST_RACE
    return UNKNOWN


def _rank(attempt: Attempt) -> tuple[int, str, str]:
    return -attempt.version, attempt.at, attempt.change_id

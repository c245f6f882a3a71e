"""Audit trail: attempts to change the configuration, and their outcomes."""

from __future__ import annotations

import datetime
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.store import records

if TYPE_CHECKING:
    from merlintrestle.schema import document_pb2

ACCEPTED = "accepted"
REFUSED = "refused"
LOST_RACE = "lost race"
UNKNOWN_OUTCOME = "outcome unknown"

_MAX_LISTED_ATTEMPTS = 10_000


class Attempt(NamedTuple):
    """An attempt to change the configuration.

    A proposal that is retried on a new head is a new attempt each time, with a
    change id and an outcome of its own.

    Attributes:
        version: The version that it created or would have created.
        outcome: "accepted", "refused", "lost race" or "outcome unknown".
        at: Time of the attempt (ISO 8601, UTC).
        operator: Name of the operator.
        organisation: Organisation whose document it changes.
        action: "apply" or "withdraw".
        change_id: Id of the change.
        summary: Lines that describe what it changes, truncated in number and
            length.
        refusals: Reasons why it was refused, truncated in the same way; empty
            if it was not refused.
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
    """The audit trail of the newest versions.

    Attributes:
        attempts: The attempts, newest version first.
        is_whole: Whether all attempts are included; if not, attempts at the
            newest versions are missing.
    """

    attempts: tuple[Attempt, ...]
    is_whole: bool


async def read_history(store: records.Store, limit: int) -> list[Attempt]:
    """Returns at most `limit` accepted changes, newest first."""
    head, _ = await records.read_head(store)
    return [
        describe_change(change, ACCEPTED)
        async for change in records.walk_chain(store, head, limit)
    ]


async def read_audit(
    store: records.Store, limit: int, max_attempts: int = _MAX_LISTED_ATTEMPTS
) -> Audit:
    """Returns the attempts at the newest versions, newest version first.

    Args:
        store: The store.
        limit: Number of accepted versions to go back. Attempts to create the
            next version are returned as well.
        max_attempts: Maximum number of attempts to return; refused ones create
            no version, so `limit` alone does not bound the reads.
    """
    head, _ = await records.read_head(store)
    # Change ids start with the version in 12 digits, so the read can start at a
    # version.
    first_version = max(0, head.version - limit + 1)
    # The attempts are read after the head. The outcome of an attempt that was
    # accepted in the meantime is then unknown; in the other order, it would be
    # shown as a lost race.
    changes: list[document_pb2.Change] = []
    is_whole = True
    async for change in records.list_changes(store, f"{first_version:012d}"):
        if len(changes) == max_attempts:
            is_whole = False
            break
        changes.append(change)
    accepted_ids = await _find_accepted_ids(store, head, changes, limit)
    attempts = [
        describe_change(change, _determine_outcome(change, head, accepted_ids))
        for change in changes
    ]
    return Audit(tuple(sorted(attempts, key=_get_sort_key)), is_whole)


def describe_change(change: document_pb2.Change, outcome: str) -> Attempt:
    """Returns the attempt that a change with an outcome represents."""
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
    """Returns a time in ms since 1970 as ISO 8601 text in UTC."""
    time = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return time.isoformat(timespec="seconds").replace("+00:00", "Z")


async def _find_accepted_ids(
    store: records.Store,
    head: document_pb2.Head,
    changes: list[document_pb2.Change],
    limit: int,
) -> set[str]:
    """Returns the ids of the changes that created the newest versions.

    They are found on the chain of changes (see `records`), which starts at the
    newest change. If the list of changes is incomplete, the newest ones are
    missing in it. Changes on the chain that are missing in the list are
    therefore read from the store one by one; otherwise, accepted changes would
    be shown as lost races.

    Args:
        store: The store.
        head: The head at which the chain starts.
        changes: The changes that were already read.
        limit: Number of versions.
    """
    known_changes = {change.change_id: change for change in changes}
    accepted_ids: set[str] = set()
    change_id = head.change_id
    while change_id and len(accepted_ids) < limit:
        accepted_ids.add(change_id)
        change = known_changes.get(change_id)
        if change is None:
            change = await records.read_change(store, change_id)
        change_id = change.previous_change_id if change else ""
    return accepted_ids


def _determine_outcome(
    change: document_pb2.Change,
    head: document_pb2.Head,
    accepted_ids: set[str],
) -> str:
    if change.refusals:
        return REFUSED
    if change.change_id in accepted_ids:
        return ACCEPTED
    if change.base_version < head.version:
        # Its compare-and-swap expects a revision that the head no longer has.
        return LOST_RACE
    # It is based on the head that was read, or on a later one, so it may still
    # be accepted.
    return UNKNOWN_OUTCOME


def _get_sort_key(attempt: Attempt) -> tuple[int, str, str]:
    return -attempt.version, attempt.at, attempt.change_id

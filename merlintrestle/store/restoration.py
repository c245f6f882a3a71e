"""Restoration of a head that the store lost when it came back from a copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.schema import document_pb2
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Mapping

events = event_logs.EventLog("store")

_LOST_SUMMARY = "written again after the store came back from an older copy"


async def restore_head(
    store: records.Store,
    known: document_pb2.Head,
    documents: Mapping[bytes, document_pb2.Document],
    current: document_pb2.Head,
    revision: int,
) -> bool:
    """Writes a head, its documents and its changes again.

    Otherwise the version that runs would be lost with the next restart of the
    daemons, and the next change would make a version whose number was used
    before, which no daemon would run.

    Args:
        store: The store.
        known: The newest head that was read before the store came back.
        documents: Its documents by digest.
        current: The head in the store.
        revision: Revision of `current`; 0 if there is none.

    Returns:
        Whether the store has the known head now. False if another change was
        accepted since the store came back.

    Raises:
        errors.StoreError: The store did not answer.
    """
    lost_ids = _list_lost_changes(known, current)
    if lost_ids is None:
        events.fail(
            "versions diverged", known=known.version, stored=current.version
        )
        return False
    for digest in known.documents.values():
        await records.write_document(store, documents[digest])
    for index, change_id in enumerate(lost_ids):
        await _write_change(store, known, change_id, index)
    value = known.SerializeToString(deterministic=True)
    reply = await store.put(records.HEAD_KEY, value, revision)
    events.warn(
        "head written again",
        version=known.version,
        stored=current.version,
        written=reply.written,
    )
    return reply.written or reply.entry.value == value


def _list_lost_changes(
    known: document_pb2.Head, current: document_pb2.Head
) -> list[str] | None:
    """Returns the ids of the changes that the store lost, newest first.

    Returns:
        None if the head in the store is not an earlier one of the known head.
    """
    chain = [known.change_id, *known.earlier_change_ids]
    if not current.version:
        return chain[: known.version]
    if current.change_id not in chain:
        return None
    return chain[: chain.index(current.change_id)]


async def _write_change(
    store: records.Store, known: document_pb2.Head, change_id: str, index: int
) -> None:
    """Writes the audit record of a lost change, unless the store has it.

    Args:
        store: The store.
        known: The head to restore.
        change_id: Id of the change.
        index: Number of changes of `known` after it.
    """
    chain = [known.change_id, *known.earlier_change_ids, ""]
    change = document_pb2.Change(
        change_id=change_id,
        base_version=known.version - index - 1,
        previous_change_id=chain[index + 1],
        summary=[_LOST_SUMMARY],
    )
    value = change.SerializeToString(deterministic=True)
    await store.put(records.CHANGE_PREFIX + change_id, value, 0)

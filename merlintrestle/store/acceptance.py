"""Acceptance of configuration versions by compare-and-swap of `head`."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.schema import document_pb2
from merlintrestle.store import eras
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_HEAD_WRITE_ATTEMPTS = 4
RETRY_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change was accepted: it is on the chain of `records`.

    Attributes:
        version: The version that the change created.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another change created the version; this one is not on the chain.

    Attributes:
        head: The current head.
        revision: Revision of `head`.
    """

    head: document_pb2.Head
    revision: int


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The store did not answer, so the outcome is unknown.

    The change may already be accepted, or may still be accepted later.

    Attributes:
        reason: Error message of the store's client.
    """

    reason: str


Outcome = Accepted | Conflict | Undecided


def build_head(
    base_head: document_pb2.Head,
    change_id: str,
    documents: Mapping[str, bytes],
    snapshot_digest: bytes,
) -> document_pb2.Head:
    """Returns the head that a change proposes.

    Args:
        base_head: The head that the change is based on.
        change_id: Id of the change.
        documents: Digest of each organisation's document.
        snapshot_digest: Digest of the compiled snapshot.
    """
    earlier_ids = [base_head.change_id, *base_head.earlier_change_ids]
    return document_pb2.Head(
        version=base_head.version + 1,
        documents=documents,
        change_id=change_id,
        earlier_change_ids=[
            earlier_id for earlier_id in earlier_ids if earlier_id
        ][: records.MAX_EARLIER_IDS],
        snapshot_digest=snapshot_digest,
    )


async def swap_head(
    store: records.Store,
    head: document_pb2.Head,
    expected_revision: int,
    retry_delay_s: float = RETRY_DELAY_S,
) -> Outcome:
    """Proposes a head by compare-and-swap and returns the outcome.

    The store's answer can be lost after the write took effect, and a write
    whose answer is late can take effect after a read. The same write is
    therefore retried: it has the same change id and the same expected
    revision, so it takes effect at most once, and its answer contains the
    current entry, which shows the outcome.

    Args:
        store: The store.
        head: The head that `build_head` returned.
        expected_revision: Revision of the head that the change is based on.
        retry_delay_s: Delay between two attempts, in seconds.
    """
    value = head.SerializeToString(deterministic=True)
    reason = ""
    for attempt in range(_MAX_HEAD_WRITE_ATTEMPTS):
        if attempt:
            await asyncio.sleep(retry_delay_s)
        try:
            reply = await store.put(records.HEAD_KEY, value, expected_revision)
            if reply.written:
                return Accepted(head.version)
            if _is_other_era(expected_revision, reply.entry.revision):
                return Undecided("the store came back from an older copy")
            return await resolve_change(
                store,
                head,
                records.parse_head(reply.entry),
                reply.entry.revision,
            )
        except errors.StoreError as error:
            reason = str(error)
    return Undecided(reason)


def _is_other_era(expected_revision: int, revision: int) -> bool:
    """Returns whether two revisions of the head are of different eras.

    The change may have been accepted in the earlier era, and the daemons may
    run it, although the store has lost it.
    """
    return (
        expected_revision != 0
        and revision != 0
        and eras.get_era(expected_revision) != eras.get_era(revision)
    )


async def resolve_change(
    store: records.Store,
    proposed: document_pb2.Head,
    current: document_pb2.Head,
    revision: int,
) -> Outcome:
    """Returns the outcome of a head whose compare-and-swap failed.

    Args:
        store: The store.
        proposed: The head that was proposed.
        current: The current head, whose revision is not the expected one.
        revision: Revision of `current`.

    Raises:
        errors.StoreUnavailableError: The chain could not be read.
    """
    accepted_id = await records.find_accepted_id(
        store, current, proposed.version
    )
    if accepted_id == proposed.change_id:
        return Accepted(proposed.version)
    return Conflict(current, revision)

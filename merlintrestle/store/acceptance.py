"""Acceptance of a configuration version: the compare-and-swap of `head`."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.schema import document_pb2
from merlintrestle.store import records

if TYPE_CHECKING:
    from collections.abc import Mapping

_TRIES = 4
RETRY_DELAY_S = 0.2


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The change is on the chain.

    Attributes:
        version: The version that it made.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another change made the version; this one is not on the chain.

    Attributes:
        head: The head that stands instead.
        revision: Revision of `head`.
    """

    head: document_pb2.Head
    revision: int


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The store gave no answer; the change may be on the chain or get there.

    Attributes:
        reason: What the store's client said.
    """

    reason: str


Outcome = Accepted | Conflict | Undecided


def make_head(
    before: document_pb2.Head,
    change_id: str,
    documents: Mapping[str, bytes],
    snapshot_digest: bytes,
) -> document_pb2.Head:
    """Returns the head that a change proposes.

    Args:
        before: The head it is based on.
        change_id: Id of the change.
        documents: Digest of each organisation's document.
        snapshot_digest: Digest of the compiled snapshot.
    """
    earlier = [before.change_id, *before.earlier_change_ids]
    return document_pb2.Head(
        version=before.version + 1,
        documents=documents,
        change_id=change_id,
        earlier_change_ids=[one for one in earlier if one][
            : records.MAX_EARLIER_IDS
        ],
        snapshot_digest=snapshot_digest,
    )


async def swap_head(
    store: records.Store,
    head: document_pb2.Head,
    expected_revision: int,
    pause_s: float = RETRY_DELAY_S,
) -> Outcome:
    """Proposes a head and says what became of it.

    The store's answer can be lost after the write took effect, and a write
    whose answer is late can take effect after a read. Sending the same write
    again is the safeguard: it carries the same change id and the same expected
    revision, so it can take effect once at most, and its answer holds the
    entry as it stands, which decides the matter.

    Args:
        store: The store.
        head: What `make_head` returned.
        expected_revision: Revision of the head it is based on.
        pause_s: Seconds between two tries.
    """
    value = head.SerializeToString(deterministic=True)
    reason = ""
    for attempt in range(_TRIES):
        if attempt:
            await asyncio.sleep(pause_s)
        try:
            reply = await store.put(records.HEAD_KEY, value, expected_revision)
            if reply.written:
                return Accepted(head.version)
            return await settle_change(
                store,
                head,
                records.parse_head(reply.entry),
                reply.entry.revision,
            )
        except errors.StoreError as error:
            reason = str(error)
    return Undecided(reason)


async def settle_change(
    store: records.Store,
    proposed: document_pb2.Head,
    current: document_pb2.Head,
    revision: int,
) -> Outcome:
    """Says what became of a proposed head that the store no longer takes.

    Args:
        store: The store.
        proposed: The head that was proposed.
        current: The head that stands, on another revision than the expected.
        revision: Revision of `current`.

    Raises:
        errors.StoreUnavailableError: The chain could not be read.
    """
    made_by = await records.find_accepted_id(store, current, proposed.version)
    if made_by == proposed.change_id:
        return Accepted(proposed.version)
    return Conflict(current, revision)

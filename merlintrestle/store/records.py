"""Records of the configuration in the store: head, documents and changes.

A change is accepted if and only if its id is on the chain that starts at
`head`: `Head.change_id`, followed by each `Change.previous_change_id`.
"""

from __future__ import annotations

import hashlib
from typing import Protocol, TYPE_CHECKING, TypeVar

from google.protobuf import message

from merlintrestle import errors
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

    from merlintrestle.store import client

HEAD_KEY = "head"
DOCUMENT_PREFIX = "documents/"
CHANGE_PREFIX = "changes/"
# Earlier versions whose change ids are stored in `head` itself.
MAX_EARLIER_IDS = 32
# Audit records that `list_changes` reads with one call.
_CHANGES_PER_PAGE = 200
_MAX_WRITE_ATTEMPTS = 3

MessageT = TypeVar("MessageT", bound=message.Message)


class Store(Protocol):
    """Methods of `client.StoreClient` to read and write records."""

    async def get(self, key: str) -> client.Entry | None:
        """Reads a key."""

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
        conditions: Sequence[client.Condition] = (),
    ) -> client.WriteReply:
        """Writes a key if it and other keys have the expected revisions."""

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[client.Entry]:
        """Reads keys with a prefix in order."""


async def read_head(store: Store) -> tuple[document_pb2.Head, int]:
    """Returns the head record and its revision; version 0 if there is none.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
        errors.CorruptRecordError: The record cannot be read.
    """
    entry = await store.get(HEAD_KEY)
    if entry is None:
        return document_pb2.Head(), 0
    return parse_head(entry), entry.revision


def parse_head(entry: client.Entry) -> document_pb2.Head:
    """Returns the head record in an entry of the store."""
    return _parse(entry.key, entry.value, document_pb2.Head())


async def read_document(store: Store, digest: bytes) -> document_pb2.Document:
    """Returns the document that is stored under a digest.

    Raises:
        errors.StoreUnavailableError: The store did not answer.
        errors.CorruptRecordError: It does not exist or its bytes do not match
            the digest.
    """
    key = DOCUMENT_PREFIX + digest.hex()
    entry = await store.get(key)
    if entry is None:
        raise errors.CorruptRecordError(f"{key} is not in the store")
    if hashlib.sha256(entry.value).digest() != digest:
        raise errors.CorruptRecordError(f"{key} does not have its digest")
    return _parse(key, entry.value, document_pb2.Document())


async def read_documents(
    store: Store, head: document_pb2.Head
) -> dict[str, document_pb2.Document]:
    """Returns the documents that a head refers to, by organisation."""
    return {
        organisation: await read_document(store, head.documents[organisation])
        for organisation in sorted(head.documents)
    }


async def write_document(
    store: Store, document: document_pb2.Document
) -> bytes:
    """Writes a document under its digest and returns the digest.

    Raises:
        errors.StoreUnknownOutcomeError: The store did not answer. This is
            harmless, as no head refers to the document yet.
    """
    value = document.SerializeToString(deterministic=True)
    digest = hashlib.sha256(value).digest()
    await write_once(store, DOCUMENT_PREFIX + digest.hex(), value)
    return digest


async def write_change(store: Store, change: document_pb2.Change) -> None:
    """Writes the audit record of a change, before its head is proposed.

    Raises:
        errors.StoreUnknownOutcomeError: The store did not answer; the head is
            unchanged.
    """
    value = change.SerializeToString(deterministic=True)
    await write_once(store, CHANGE_PREFIX + change.change_id, value)


async def read_change(
    store: Store, change_id: str
) -> document_pb2.Change | None:
    """Returns the audit record of a change, accepted or not; None if absent."""
    key = CHANGE_PREFIX + change_id
    entry = await store.get(key)
    if entry is None:
        return None
    return _parse(key, entry.value, document_pb2.Change())


async def list_changes(
    store: Store, after_id: str
) -> AsyncIterator[document_pb2.Change]:
    """Yields the audit records whose ids sort after `after_id`, by id."""
    entries = list_entries(
        store, CHANGE_PREFIX, CHANGE_PREFIX + after_id, _CHANGES_PER_PAGE
    )
    async for entry in entries:
        yield _parse(entry.key, entry.value, document_pb2.Change())


async def list_entries(
    store: Store, prefix: str, after: str = "", page_size: int = 1000
) -> AsyncIterator[client.Entry]:
    """Yields all entries whose keys have a prefix, in the order of their keys.

    Args:
        store: The store.
        prefix: Prefix of the keys.
        after: Yields only entries whose keys sort after this one.
        page_size: Number of entries that are read with one call.
    """
    while True:
        entries = await store.list(prefix, after, page_size)
        for entry in entries:
            yield entry
        if len(entries) < page_size:
            return
        after = entries[-1].key


async def walk_chain(
    store: Store, head: document_pb2.Head, limit: int
) -> AsyncIterator[document_pb2.Change]:
    """Yields at most `limit` accepted changes, newest first."""
    change_id = head.change_id
    for _ in range(limit):
        if not change_id:
            return
        change = await read_change(store, change_id)
        if change is None:
            raise errors.CorruptRecordError(
                f"{CHANGE_PREFIX}{change_id} is not in the store"
            )
        yield change
        change_id = change.previous_change_id


async def find_accepted_id(
    store: Store, head: document_pb2.Head, version: int
) -> str:
    """Returns the id of the change that created a version; "" if none did.

    The ids of recent versions are in `head` and need no further read.
    """
    recent_ids = [head.change_id, *head.earlier_change_ids]
    distance = head.version - version
    if distance < 0:
        return ""
    if distance < len(recent_ids):
        return recent_ids[distance]
    change_id = recent_ids[-1]
    for _ in range(distance - len(recent_ids) + 1):
        change = await read_change(store, change_id)
        if change is None:
            raise errors.CorruptRecordError(
                f"{CHANGE_PREFIX}{change_id} is not in the store"
            )
        change_id = change.previous_change_id
    return change_id


async def write_once(store: Store, key: str, value: bytes) -> None:
    """Writes a key whose value never changes; retries are harmless.

    If the answer of the store is lost, the write is repeated, which finds the
    value of the first try.

    Raises:
        errors.StoreUnknownOutcomeError: The store did not answer.
        errors.CorruptRecordError: The key has another value.
    """
    for attempt in range(_MAX_WRITE_ATTEMPTS):
        try:
            reply = await store.put(key, value, 0)
        except errors.StoreUnknownOutcomeError:
            if attempt == _MAX_WRITE_ATTEMPTS - 1:
                raise
            continue
        if reply.written or reply.entry.value == value:
            return
        raise errors.CorruptRecordError(f"{key} holds another value")


def _parse(key: str, value: bytes, target: MessageT) -> MessageT:
    try:
        target.ParseFromString(value)
    except message.DecodeError as error:
        raise errors.CorruptRecordError(f"{key}: {error}") from error
    return target

"""Client of the native store, the only module that uses its gRPC interface.

The platform's HTTP store has its own client, `merlintrestle.platform.store`.
"""

from __future__ import annotations

import logging
from typing import Any, NamedTuple, TYPE_CHECKING

import grpc
import grpc.aio

from merlintrestle import errors
from merlintrestle.schema import store_pb2
from merlintrestle.schema import store_pb2_grpc
from merlintrestle.store import eras

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

logger = logging.getLogger(__name__)

MAX_VALUE_BYTES = 1_000_000
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_MAX_RECONNECT_BACKOFF_MS = 1000
# Metadata of all answers; its number rises when the store comes back from a
# copy.
ERA_METADATA = "merlintrestle-era"
_EARLIER_ERA = "store: it came back from a copy during the call"


class Entry(NamedTuple):
    """A key of the store and its value.

    Attributes:
      key: The key.
      value: The value, at most `MAX_VALUE_BYTES` long.
      revision: Revision of the last write; 0 if the key does not exist.
    """

    key: str
    value: bytes
    revision: int


class ReadResult(NamedTuple):
    """Result of a read of a key, for stores that return their revision.

    Attributes:
        entry: The entry; None if the key does not exist.
        revision: Revision of the store at which it was read.
    """

    entry: Entry | None
    revision: int


class Condition(NamedTuple):
    """Condition of a write on another key.

    Attributes:
        key: The key.
        revision: Revision that it must have; 0 if it must not exist.
    """

    key: str
    revision: int


class WriteReply(NamedTuple):
    """Result of a compare-and-swap.

    Attributes:
      written: Whether this call wrote the value.
      entry: The entry after the call.
      unmet: Entries of the conditions that did not hold, as they are.
    """

    written: bool
    entry: Entry
    unmet: tuple[Entry, ...] = ()


class StoreClient:
    """Calls the native store over gRPC.

    Every call has a timeout. A read that fails raises
    `errors.StoreUnavailableError`. A write that fails raises
    `errors.StoreUnknownOutcomeError`: read the key to find out whether the
    write took effect.

    Revisions and leases are qualified by the era, see `eras`; a call with one
    of an earlier era is answered as if the key had changed or the lease had
    ended.

    Attributes:
      era: Era of the store.
    """

    def __init__(self, address: str, timeout_s: float = 2.0):
        """Sets the address of the store.

        Args:
          address: Address of the store as "ip:port".
          timeout_s: Timeout of a call, in seconds.
        """
        self.era = eras.StoreEra()
        self._address = address
        self._timeout_s = timeout_s
        self._channel: Any = None
        self._stub: Any = None

    async def start(self) -> None:
        """Opens the channel; the store need not be reachable."""
        self._channel = grpc.aio.insecure_channel(
            self._address,
            options=[
                ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
                ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
                ("grpc.initial_reconnect_backoff_ms", 100),
                ("grpc.max_reconnect_backoff_ms", _MAX_RECONNECT_BACKOFF_MS),
            ],
        )
        self._stub = store_pb2_grpc.StoreStub(self._channel)

    async def close(self) -> None:
        """Closes the channel; calls in flight fail."""
        if self._channel is not None:
            await self._channel.close()

    async def get(self, key: str) -> Entry | None:
        """Reads a key; None if it does not exist."""
        reply = await self._read(self._stub.Get, store_pb2.GetRequest(key=key))
        if not reply.entry.revision:
            return None
        return self._convert_entry(reply.entry)

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
        conditions: Sequence[Condition] = (),
    ) -> WriteReply:
        """Writes a key if it still has the expected revision (0: absent).

        Args:
            key: The key.
            value: Its new value.
            expected_revision: The expected revision.
            lease_id: Lease with whose end the key is deleted; 0: none.
            conditions: What must hold for other keys at the same time.
        """
        expected = [expected_revision, *(row.revision for row in conditions)]
        if not self.era.has_all(expected):
            return await read_conflict(self.get, key, conditions)
        if lease_id and not self.era.has(lease_id):
            raise errors.StoreUnavailableError("store: the lease has ended")
        reply = await self._write(
            self._stub.Put,
            store_pb2.PutRequest(
                key=key,
                value=value,
                expected_revision=eras.get_number(expected_revision),
                lease_id=eras.get_number(lease_id),
                expected_era=max(map(eras.get_era, expected)),
                conditions=[
                    store_pb2.Condition(
                        key=row.key,
                        expected_revision=eras.get_number(row.revision),
                    )
                    for row in conditions
                ],
            ),
        )
        return WriteReply(
            reply.written,
            self._convert_entry(reply.entry),
            tuple(map(self._convert_entry, reply.unmet)),
        )

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it still has the expected revision."""
        if not self.era.has(expected_revision):
            return False
        reply = await self._write(
            self._stub.Delete,
            store_pb2.DeleteRequest(
                key=key,
                expected_revision=eras.get_number(expected_revision),
                expected_era=eras.get_era(expected_revision),
            ),
        )
        return reply.deleted

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Entry]:
        """Reads at most `limit` keys with a prefix, in order."""
        reply = await self._read(
            self._stub.List,
            store_pb2.ListRequest(prefix=prefix, after=after, limit=limit),
        )
        return [self._convert_entry(entry) for entry in reply.entries]

    async def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[Entry]:
        """Yields the key's entries newer than a revision until the store fails.

        Raises:
          errors.StoreUnavailableError: The store ended the watch, or the
              connection broke.
        """
        if after_revision and not self.era.has(after_revision):
            raise errors.StoreUnavailableError("the revision is of another era")
        request = store_pb2.WatchRequest(
            key=key, after_revision=eras.get_number(after_revision)
        )
        call = self._stub.Watch(request)
        try:
            async for entry in call:
                era = await self._read_era(call)
                if self.era.is_late(era):
                    break
                yield self._convert_entry(entry)
        except grpc.aio.AioRpcError as error:
            raise errors.StoreUnavailableError(_describe(error)) from error
        raise errors.StoreUnavailableError("the store ended the watch")

    async def grant_lease(self, seconds: int) -> int:
        """Opens a lease of a duration in seconds and returns its id.

        Keys written under the lease are deleted when it ends.
        """
        reply = await self._write(
            self._stub.GrantLease, store_pb2.GrantLeaseRequest(seconds=seconds)
        )
        return self.era.qualify(reply.lease_id)

    async def renew_lease(self, lease_id: int) -> int:
        """Extends a lease; returns its duration in seconds, 0 if it ended."""
        if not self.era.has(lease_id):
            return 0
        reply = await self._write(
            self._stub.KeepLease,
            store_pb2.KeepLeaseRequest(lease_id=eras.get_number(lease_id)),
        )
        return reply.seconds

    async def _read(self, method: Any, request: Any) -> Any:
        try:
            call = method(request, timeout=self._timeout_s)
            reply = await call
            era = await self._read_era(call)
        except grpc.aio.AioRpcError as error:
            raise errors.StoreUnavailableError(_describe(error)) from error
        if self.era.is_late(era):
            raise errors.StoreUnavailableError(_EARLIER_ERA)
        return reply

    async def _write(self, method: Any, request: Any) -> Any:
        previous_era = self.era.current
        try:
            call = method(request, timeout=self._timeout_s)
            reply = await call
            era = await self._read_era(call)
        except grpc.aio.AioRpcError as error:
            # gRPC also reports UNAVAILABLE if the connection broke after the
            # request was sent, so no status proves that a write had no effect.
            raise errors.StoreUnknownOutcomeError(_describe(error)) from error
        if self.era.is_late(era) or previous_era not in (None, era):
            # Its revisions and lease may stand for other contents now.
            raise errors.StoreUnknownOutcomeError(_EARLIER_ERA)
        return reply

    async def _read_era(self, call: Any) -> int:
        """Returns the era that an answer states in its metadata."""
        metadata = await call.initial_metadata()
        text = metadata.get(ERA_METADATA) if metadata is not None else None
        return self.era.read(text)

    def _convert_entry(self, entry: store_pb2.Entry) -> Entry:
        revision = self.era.qualify(entry.revision)
        return Entry(entry.key, entry.value, revision)


def build_conflict(
    key: str,
    conditions: Sequence[Condition],
    find_entry: Callable[[str], Entry],
) -> WriteReply:
    """Returns the result of a write that was refused.

    Args:
        key: The key.
        conditions: The conditions of the write.
        find_entry: Returns the entry of a key, with revision 0 if it does not
            exist.
    """
    current = [(row, find_entry(row.key)) for row in conditions]
    unmet = [entry for row, entry in current if entry.revision != row.revision]
    return WriteReply(False, find_entry(key), tuple(unmet))


async def read_conflict(
    get: Callable[[str], Awaitable[Entry | None]],
    key: str,
    conditions: Sequence[Condition],
) -> WriteReply:
    """Returns the result of a write with a revision of an earlier era.

    Args:
        get: Reads a key.
        key: The key.
        conditions: The conditions of the write.
    """
    keys = [key, *(row.key for row in conditions)]
    entries = {name: await get(name) or Entry(name, b"", 0) for name in keys}
    return build_conflict(key, conditions, entries.__getitem__)


def _describe(error: grpc.aio.AioRpcError) -> str:
    return f"store: {error.code().name.lower()}: {error.details()}"

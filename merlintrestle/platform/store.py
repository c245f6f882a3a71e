"""HTTP client for the platform's store, with the interface of `StoreClient`.

In responses, `revision` is that of an item's last change, `at` the store's.
"""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any, TYPE_CHECKING

import aiohttp
import yarl

from merlintrestle import connectors
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.store import client

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

events = event_logs.EventLog("platform")

# Prefix of the product's keys; the store refuses writes to the operators' keys.
PRODUCT_PREFIX = "merlintrestle/"
# Key of the newest configuration, written by operators.
CONFIGURATION_KEY = "op/config"
# Prefixes of keys that operators write, and from which they read the results.
_OPERATORS_PREFIXES = ("op/", "status/")
_BASE_PATH = "/merlintrestle/kv-"
# The store allows no longer wait.
_MAX_WATCH_WAIT_MS = 30_000
# The store responds within milliseconds, or within this time if it is slowed
# sixtyfold. This is also the longest pause within a response: a large value
# takes longer in total over a slow link. If it were aborted, it would be
# requested again at once, which would keep the link full permanently.
_TIMEOUT_S = 1.0
# A waiting watch receives nothing for up to 30 s. Keep-alive probes detect a
# silent connection within three seconds.
_KEEPALIVE = connectors.TcpKeepalive(
    idle_s=1, interval_s=1, probe_count=2, user_timeout_ms=2_000
)
_OK = 200
_FORBIDDEN = 403
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503


class PlatformStore:
    """Client for the platform's store.

    Failed reads and refused writes raise `errors.StoreUnavailableError`; writes
    without a response raise `errors.StoreUnknownOutcomeError`.
    """

    def __init__(self, address: str):
        """Sets the store's "ip:port"; `start` opens the connection pool."""
        self._address = address
        self._session: aiohttp.ClientSession | None = None
        self._arriving: list[str] = []

    async def start(self) -> None:
        """Opens the connection pool; the store need not be available."""
        self._session = aiohttp.ClientSession(
            connector=connectors.Connector(keepalive=_KEEPALIVE),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes all connections; calls in flight fail."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key; None if it does not exist."""
        status, answer = await self._read("key", {"key": _add_prefix(key)})
        return None if status == _NOT_FOUND else _parse_entry(answer)

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[client.Entry]:
        """Reads at most `limit` keys with a prefix, in order."""
        entries: list[client.Entry] = []
        query = {"prefix": _add_prefix(prefix)}
        if after:
            query["after"] = _add_prefix(after)
        while True:
            _, answer = await self._read("range", query)
            items = _get_field(answer, "items", list)
            found = parse_entries(items)
            entries += found
            more = bool(answer.get("hasMore")) and bool(found)
            if not more or len(entries) >= limit:
                return entries[:limit]
            query["after"] = _add_prefix(found[-1].key)

    async def read_after(
        self, prefix: str, key: str
    ) -> tuple[Sequence[client.Entry], int]:
        """Reads the keys after a given key, and the store's revision.

        This avoids reading the value of that key, which may be large. While
        the revision is the same, nothing that was read before has changed.
        """
        query = {"prefix": _add_prefix(prefix), "after": _add_prefix(key)}
        _, answer = await self._read("range", query)
        entries = parse_entries(_get_field(answer, "items", list))
        return entries, _get_field(answer, "at", int)

    async def read_newest(self, key: str) -> client.ReadResult:
        """Reads one key and the store's revision at that time."""
        entries, revision = await self.read_all(key)
        found = [entry for entry in entries if entry.key == key]
        return client.ReadResult(found[0] if found else None, revision)

    async def read_all(self, prefix: str) -> tuple[Sequence[client.Entry], int]:
        """Reads the first page of keys with a prefix, and the store's revision.

        The revision is returned even if no key has the prefix.
        """
        _, answer = await self._read("range", {"prefix": _add_prefix(prefix)})
        entries = parse_entries(_get_field(answer, "items", list))
        return entries, _get_field(answer, "at", int)

    async def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[client.Entry]:
        """Yields the key's entries newer than a revision until the store fails.

        Entries that were replaced while an earlier one was transferred are
        left out. Otherwise, a link that transfers one entry in the time of
        three changes would fall further behind with each response. A revision
        above 0 must be that of a read just made.

        Raises:
            errors.StoreUnavailableError: The store closed or broke the watch.
        """
        revision = known = after_revision
        is_behind = not after_revision
        while True:
            if is_behind:
                newest, revision = await self.read_newest(key)
                # The change may have been of another key.
                is_behind = newest is not None and newest.revision > known
                if newest is not None and is_behind:
                    known = newest.revision
                    yield newest
                continue
            found, revision = await self.read_events(key, revision)
            is_behind = len(found) > 1
            if found:
                known = found[-1].revision
                yield found[-1]

    def is_delivering(self) -> bool:
        """Returns whether the response of a watch has begun to arrive."""
        return "watch" in self._arriving

    async def read_events(
        self, key: str, after: int, wait_ms: int = _MAX_WATCH_WAIT_MS
    ) -> tuple[Sequence[client.Entry], int]:
        """Returns the key's entries after a revision, and the store's revision.

        Raises:
            errors.StoreUnavailableError: The store failed or lost the history.
        """
        query = {"prefix": _add_prefix(key), "after": str(after)}
        query["waitMs"] = str(wait_ms)
        status, answer = await self._read(
            "watch", query, wait_ms / 1000 + _TIMEOUT_S
        )
        if status == _GONE:
            raise errors.StoreUnavailableError(
                "store: the history is not there any more"
            )
        found = [
            _parse_entry(event)
            for event in _get_field(answer, "events", list)
            if not event.get("deleted") and event.get("key") == _add_prefix(key)
        ]
        return found, _get_field(answer, "at", int)

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        """Writes a key if it has the expected revision; 0 means absent."""
        text = base64.b64encode(value).decode()
        status, answer = await self._write(
            "txn",
            {
                "expectedRev": [
                    {"key": _add_prefix(key), "revision": expected_revision}
                ],
                "writes": [
                    {"key": _add_prefix(key), "value": text, "lease": lease_id}
                ],
            },
        )
        if status == _PRECONDITION_FAILED:
            return client.WriteReply(False, _parse_conflict(answer, key))
        if status == _NOT_FOUND:
            raise errors.StoreUnavailableError("store: the lease has ended")
        revision = _get_field(answer, "revision", int)
        return client.WriteReply(True, client.Entry(key, value, revision))

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it has the expected revision."""
        status, _ = await self._write(
            "txn",
            {
                "expectedRev": [
                    {"key": _add_prefix(key), "revision": expected_revision}
                ],
                "remove": [_add_prefix(key)],
            },
        )
        return status == _OK

    async def grant_lease(self, seconds: int) -> int:
        """Creates a lease; keys written with it are deleted when it ends."""
        _, answer = await self._write("lease", {"ttlMs": seconds * 1000})
        return _get_field(answer, "lease", int)

    async def keep_lease(self, lease_id: int) -> int:
        """Renews a lease; returns its duration in seconds, 0 if it ended."""
        status, answer = await self._write(f"keep/{lease_id}", {})
        if status == _NOT_FOUND:
            return 0
        return max(1, _get_field(answer, "ttlMs", int) // 1000)

    async def _read(
        self, call: str, query: dict[str, str], timeout_s: float = _TIMEOUT_S
    ) -> tuple[int, dict[str, Any]]:
        try:
            return await self._call("GET", call, query, None, timeout_s)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.StoreUnavailableError(_describe(error)) from error

    async def _write(
        self, call: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        try:
            return await self._call("POST", call, {}, body, _TIMEOUT_S)
        except aiohttp.ClientConnectorError as error:
            raise errors.StoreUnavailableError(_describe(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.StoreUnknownOutcomeError(_describe(error)) from error

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, str],
        body: dict[str, Any] | None,
        timeout_s: float,
    ) -> tuple[int, dict[str, Any]]:
        assert self._session is not None
        url = yarl.URL(f"http://{self._address}{_BASE_PATH}{call}")
        async with (
            asyncio.timeout(timeout_s) as timeout,
            self._session.request(
                method, url.with_query(query), json=body
            ) as answer,
        ):
            self._arriving.append(call)
            try:
                text = await connectors.read_body(answer, timeout, _TIMEOUT_S)
            finally:
                self._arriving.remove(call)
        if answer.status in (_TOO_MANY_REQUESTS, _UNAVAILABLE, _FORBIDDEN):
            raise errors.StoreUnavailableError(
                f"store: refused with {answer.status}"
            )
        return answer.status, _parse_json(text, answer.status)


def _add_prefix(key: str) -> str:
    return key if key.startswith(_OPERATORS_PREFIXES) else PRODUCT_PREFIX + key


def _remove_prefix(name: str) -> str:
    return name.removeprefix(PRODUCT_PREFIX)


def parse_entries(items: list[Any]) -> list[client.Entry]:
    """Parses entries; malformed ones do not affect the others.

    Other writers may leave malformed entries in the store. An entry with a
    valid key and revision is returned as empty, so that it can be overwritten.
    """
    entries = []
    for item in items:
        try:
            entries.append(_parse_entry(item))
        except errors.CorruptRecordError as error:
            events.warn("entry malformed", error=str(error))
            key, revision = _get_key_and_revision(item)
            if key:
                entries.append(client.Entry(key, b"", revision))
    return entries


def _get_key_and_revision(item: Any) -> tuple[str, int]:
    """Returns the key and revision of an entry; no key if one is malformed."""
    fields = item if isinstance(item, dict) else {}
    key, revision = fields.get("key"), fields.get("revision")
    if not isinstance(key, str) or type(revision) is not int:
        return "", 0
    return _remove_prefix(key), revision


def _parse_entry(item: Any) -> client.Entry:
    if not isinstance(item, dict):
        raise errors.CorruptRecordError(f"store: an item is {item!r}")
    key = _remove_prefix(_get_field(item, "key", str))
    try:
        value = base64.b64decode(_get_field(item, "value", str), validate=True)
    except ValueError as error:
        raise errors.CorruptRecordError(f"{key}: {error}") from error
    return client.Entry(key, value, _get_field(item, "revision", int))


def _parse_conflict(answer: dict[str, Any], key: str) -> client.Entry:
    for item in _get_field(answer, "items", list):
        if item.get("key") == _add_prefix(key) and item.get("revision"):
            return _parse_entry(item)
    return client.Entry(key, b"", 0)


def _parse_json(text: bytes, status: int) -> dict[str, Any]:
    try:
        answer = json.loads(text) if text else {}
    except ValueError as error:
        raise errors.CorruptRecordError(
            f"store: an answer {status} is not JSON: {error}"
        ) from error
    if not isinstance(answer, dict):
        raise errors.CorruptRecordError(
            f"store: an answer {status} is not an object"
        )
    return answer


def _get_field(answer: dict[str, Any], name: str, kind: type) -> Any:
    value = answer.get(name)
    if type(value) is not kind:
        raise errors.CorruptRecordError(f"store: {name!r} is {value!r}")
    return value


def _describe(error: Exception) -> str:
    return f"store: {type(error).__name__}: {error}"

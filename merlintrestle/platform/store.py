"""Client of the platform's store, over HTTP.

It offers what `merlintrestle.store.client.StoreClient` does. Fields on the
wire: `revision` is that of the item's last change, `at` that of the store.
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

# The system's own keys; the store forbids writing those of the operators.
OWN_PREFIX = "merlintrestle/"
# Key of the newest configuration, which operators write.
CONFIGURATION_KEY = "op/config"
# What operators write, and where they read how it ended.
_OPERATORS_PREFIXES = ("op/", "status/")
_BASE = "/merlintrestle/kv-"
# Longest wait of one watch, in ms: the most that the store allows.
_WATCH_MS = 30_000
# The store answers in milliseconds; one slowed sixtyfold does in this time. It
# is also the longest pause within an answer: over a thin link the value of a
# large key takes longer than this in all, and given up it would be asked for
# again at once, which keeps the link full for good.
_TIMEOUT_S = 1.0
# A watch that waits gives no sign of its own for 30 s. Keep-alive probes show
# a connection that went silent within three seconds instead.
_SILENCE = connectors.TcpKeepalive(
    idle_s=1, interval_s=1, probe_count=2, user_timeout_ms=2_000
)
_OK = 200
_FORBIDDEN = 403
_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_TOO_MANY = 429
_UNAVAILABLE = 503


class PlatformStore:
    """Calls the platform's store.

    A read that fails raises `errors.StoreUnavailableError`, and so does a
    write that the store refused. A write without an answer raises
    `errors.StoreUnknownOutcomeError`.
    """

    def __init__(self, address: str):
        """Sets the store's "ip:port"."""
        self._address = address
        self._session: aiohttp.ClientSession | None = None
        self._arriving: list[str] = []

    async def start(self) -> None:
        """Opens the pool of connections; the store need not be up."""
        self._session = aiohttp.ClientSession(
            connector=connectors.Connector(keepalive=_SILENCE),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Closes the connections; calls in flight fail."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key; None where it is not there."""
        status, answer = await self._read("key", {"key": _name(key)})
        return None if status == _NOT_FOUND else _read_item(answer)

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[client.Entry]:
        """Reads keys with a prefix in order, `limit` at most."""
        entries: list[client.Entry] = []
        query = {"prefix": _name(prefix)}
        if after:
            query["after"] = _name(after)
        while True:
            _, answer = await self._read("range", query)
            items = _get(answer, "items", list)
            found = read_items(items)
            entries += found
            more = bool(answer.get("hasMore")) and bool(found)
            if not more or len(entries) >= limit:
                return entries[:limit]
            query["after"] = _name(found[-1].key)

    async def read_after(
        self, prefix: str, key: str
    ) -> tuple[Sequence[client.Entry], int]:
        """Reads the keys after one, and the store's revision.

        It does without the value of that key, which may be large. While the
        revision stands still, nothing that was read before it has changed.
        """
        query = {"prefix": _name(prefix), "after": _name(key)}
        _, answer = await self._read("range", query)
        entries = read_items(_get(answer, "items", list))
        return entries, _get(answer, "at", int)

    async def read_newest(self, key: str) -> client.ReadResult:
        """Reads one key and the store's revision at which it was read."""
        entries, at = await self.read_all(key)
        found = [entry for entry in entries if entry.key == key]
        return client.ReadResult(found[0] if found else None, at)

    async def read_all(self, prefix: str) -> tuple[Sequence[client.Entry], int]:
        """Reads keys with a prefix, a page at most, and the store's revision.

        The range tells the revision also where no key is there.
        """
        _, answer = await self._read("range", {"prefix": _name(prefix)})
        entries = read_items(_get(answer, "items", list))
        return entries, _get(answer, "at", int)

    async def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[client.Entry]:
        """Yields the key's entries newer than a revision until the store fails.

        Entries that were replaced while an earlier one travelled are left
        out. With all of them, a link that carries one in the time of three
        changes would fall behind further with each answer. The revision, if
        there is one, is of a read just made.

        Raises:
            errors.StoreUnavailableError: The store ended or broke the watch.
        """
        at = known = after_revision
        behind = not after_revision
        while True:
            if behind:
                newest, at = await self.read_newest(key)
                # What moved may have been another key.
                behind = newest is not None and newest.revision > known
                if newest is not None and behind:
                    known = newest.revision
                    yield newest
                continue
            found, at = await self.read_events(key, at)
            behind = len(found) > 1
            if found:
                known = found[-1].revision
                yield found[-1]

    def is_delivering(self) -> bool:
        """Returns whether the answer of a watch has begun to arrive."""
        return "watch" in self._arriving

    async def read_events(
        self, key: str, after: int, wait_ms: int = _WATCH_MS
    ) -> tuple[Sequence[client.Entry], int]:
        """Returns the key's entries after a revision, and how far they go.

        Raises:
            errors.StoreUnavailableError: The history is gone, or the store.
        """
        query = {"prefix": _name(key), "after": str(after)}
        query["waitMs"] = str(wait_ms)
        status, answer = await self._read(
            "watch", query, wait_ms / 1000 + _TIMEOUT_S
        )
        if status == _GONE:
            raise errors.StoreUnavailableError(
                "store: the history is not there any more"
            )
        found = [
            _read_item(event)
            for event in _get(answer, "events", list)
            if not event.get("deleted") and event.get("key") == _name(key)
        ]
        return found, _get(answer, "at", int)

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        """Writes a key if it still has the expected revision (0: absent)."""
        text = base64.b64encode(value).decode()
        status, answer = await self._write(
            "txn",
            {
                "expectedRev": [
                    {"key": _name(key), "revision": expected_revision}
                ],
                "writes": [
                    {"key": _name(key), "value": text, "lease": lease_id}
                ],
            },
        )
        if status == _CONFLICT:
            return client.WriteReply(False, _read_conflict(answer, key))
        if status == _NOT_FOUND:
            raise errors.StoreUnavailableError("store: the lease has ended")
        revision = _get(answer, "revision", int)
        return client.WriteReply(True, client.Entry(key, value, revision))

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it still has the expected revision."""
        status, _ = await self._write(
            "txn",
            {
                "expectedRev": [
                    {"key": _name(key), "revision": expected_revision}
                ],
                "remove": [_name(key)],
            },
        )
        return status == _OK

    async def grant_lease(self, seconds: int) -> int:
        """Opens a lease; keys written under it go when it ends."""
        _, answer = await self._write("lease", {"ttlMs": seconds * 1000})
        return _get(answer, "lease", int)

    async def keep_lease(self, lease_id: int) -> int:
        """Extends a lease and returns its seconds; 0: it has ended."""
        status, answer = await self._write(f"keep/{lease_id}", {})
        if status == _NOT_FOUND:
            return 0
        return max(1, _get(answer, "ttlMs", int) // 1000)

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
        url = yarl.URL(f"http://{self._address}{_BASE}{call}")
        async with (
            asyncio.timeout(timeout_s) as limit,
            self._session.request(
                method, url.with_query(query), json=body
            ) as answer,
        ):
            self._arriving.append(call)
            try:
                text = await connectors.read_body(answer, limit, _TIMEOUT_S)
            finally:
                self._arriving.remove(call)
        if answer.status in (_TOO_MANY, _UNAVAILABLE, _FORBIDDEN):
            raise errors.StoreUnavailableError(
                f"store: refused with {answer.status}"
            )
        return answer.status, _parse(text, answer.status)


def _name(key: str) -> str:
    return key if key.startswith(_OPERATORS_PREFIXES) else OWN_PREFIX + key


def _strip(name: str) -> str:
    return name.removeprefix(OWN_PREFIX)


def read_items(items: list[Any]) -> list[client.Entry]:
    """Returns entries; one that is malformed does not hide the others.

    Whoever else writes to the store may leave what cannot be read. Its
    revision is kept where there is one, so that it can be written anew.
    """
    entries = []
    for item in items:
        try:
            entries.append(_read_item(item))
        except errors.CorruptRecordError as error:
            events.warn("entry malformed", error=str(error))
            key, revision = _get_place(item)
            if key:
                entries.append(client.Entry(key, b"", revision))
    return entries


def _get_place(item: Any) -> tuple[str, int]:
    """Returns key and revision of an entry; no key: they are malformed too."""
    fields = item if isinstance(item, dict) else {}
    key, revision = fields.get("key"), fields.get("revision")
    if not isinstance(key, str) or type(revision) is not int:
        return "", 0
    return _strip(key), revision


def _read_item(item: Any) -> client.Entry:
    if not isinstance(item, dict):
        raise errors.CorruptRecordError(f"store: an item is {item!r}")
    key = _strip(_get(item, "key", str))
    try:
        value = base64.b64decode(_get(item, "value", str), validate=True)
    except ValueError as error:
        raise errors.CorruptRecordError(f"{key}: {error}") from error
    return client.Entry(key, value, _get(item, "revision", int))


def _read_conflict(answer: dict[str, Any], key: str) -> client.Entry:
    for item in _get(answer, "items", list):
        if item.get("key") == _name(key) and item.get("revision"):
            return _read_item(item)
    return client.Entry(key, b"", 0)


def _parse(text: bytes, status: int) -> dict[str, Any]:
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


def _get(answer: dict[str, Any], name: str, kind: type) -> Any:
    value = answer.get(name)
    if type(value) is not kind:
        raise errors.CorruptRecordError(f"store: {name!r} is {value!r}")
    return value


def _describe(error: Exception) -> str:
    return f"store: {type(error).__name__}: {error}"

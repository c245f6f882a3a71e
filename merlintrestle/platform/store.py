"""HTTP client for the platform's store, with the interface of `StoreClient`."""

from __future__ import annotations

import asyncio
import base64
from typing import Any, TYPE_CHECKING

import aiohttp
from aiohttp import hdrs
import yarl

from merlintrestle import connectors
from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle import rows
from merlintrestle.store import client
from merlintrestle.store import eras
from merlintrestle.store import watches

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Sequence

events = event_logs.EventLog("platform")

# Prefix of the product's keys; the store refuses writes to the operators' keys.
PRODUCT_PREFIX = "merlintrestle/"
# Key of the newest configuration, written by operators.
CONFIGURATION_KEY = "op/config"
# Prefixes of the keys that operators write, and of the results that they read.
_SHARED_PREFIXES = ("op/", "status/")
_BASE_PATH = "/merlintrestle/kv-"
_MAX_WATCH_WAIT_MS = 30_000  # The store allows no longer wait.
# Longest wait for a response, and longest pause within one. The store responds
# within milliseconds, or within this time while it is slowed sixtyfold. A whole
# response may take longer: a large value needs more time over a slow link, and
# an aborted read would be repeated at once, keeping the link full permanently.
_TIMEOUT_S = 1.0
# A waiting watch receives nothing for up to 30 s. Keep-alive probes detect a
# silent connection within three seconds.
_KEEPALIVE = connectors.TcpKeepalive(
    idle_s=1, interval_s=1, probe_count=2, user_timeout_ms=2_000
)
# Header of all answers; its number rises when the store comes back from a copy.
_ERA_HEADER = "Store-Era"
# Fields of answers, and of the items in them, that begin anew with each era.
_NUMBERED_FIELDS = ("at", "revision", "lease")
_LIST_FIELDS = ("items", "events")
_OK = 200
_FORBIDDEN = 403
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503


class _EarlierEraError(aiohttp.ClientError):
    """A late answer, from before the store came back from a copy."""


class PlatformStore:
    """Client for the platform's store.

    Failed reads and refused writes raise `errors.StoreUnavailableError`, writes
    without a response `errors.StoreUnknownOutcomeError`, and malformed
    responses `errors.CorruptRecordError`. In responses, `revision` is that of
    an item's last change and `at` the store's current one. Revisions and leases
    are qualified by the era, see `eras`; a call with one of an earlier era is
    answered as if the key had changed or the lease had ended.

    Attributes:
        era: Era of the store.
    """

    def __init__(self, address: str):
        """Sets the store's "ip:port"; `start` opens the connection pool."""
        self.era = eras.StoreEra()
        self._address = address
        self._session: aiohttp.ClientSession | None = None
        self._arriving_paths: list[str] = []

    async def start(self) -> None:
        """Opens the connection pool; the store need not be available."""
        self._session = aiohttp.ClientSession(
            connector=connectors.Connector(
                rows.MAX_RESPONSE_BYTES, keepalive=_KEEPALIVE
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            # A few bytes of a compressed body can stand for any number.
            auto_decompress=False,
            headers={hdrs.ACCEPT_ENCODING: "identity"},
        )

    async def close(self) -> None:
        """Closes all connections; requests in flight fail."""
        if self._session is not None:
            await self._session.close()

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key; None if it does not exist."""
        status, fields = await self._read("key", {"key": _add_prefix(key)})
        return None if status == _NOT_FOUND else _parse_entry(fields)

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[client.Entry]:
        """Reads at most `limit` keys with a prefix, in order."""
        entries: list[client.Entry] = []
        query = {"prefix": _add_prefix(prefix)}
        if after:
            query["after"] = _add_prefix(after)
        while True:
            _, fields = await self._read("range", query)
            items = rows.get_field(fields, "items", list)
            found = parse_entries(items)
            entries += found
            more = bool(fields.get("hasMore")) and bool(found)
            if not more or len(entries) >= limit:
                return entries[:limit]
            query["after"] = _add_prefix(found[-1].key)

    async def read_after(
        self, prefix: str, key: str
    ) -> tuple[Sequence[client.Entry], int]:
        """Reads the first page of keys after a key, and the store's revision.

        This avoids reading the value of that key, which may be large. While
        the revision is the same, nothing that was read before has changed.
        """
        query = {"prefix": _add_prefix(prefix), "after": _add_prefix(key)}
        _, fields = await self._read("range", query)
        entries = parse_entries(rows.get_field(fields, "items", list))
        return entries, rows.get_field(fields, "at", int)

    async def read_newest(self, key: str) -> client.ReadResult:
        """Reads one key and the store's revision at that time."""
        entries, revision = await self.read_first_page(key)
        found = [entry for entry in entries if entry.key == key]
        return client.ReadResult(found[0] if found else None, revision)

    async def read_first_page(
        self, prefix: str
    ) -> tuple[Sequence[client.Entry], int]:
        """Reads the first page of keys with a prefix, and the store's revision.

        The revision is returned even if no key has the prefix.
        """
        _, fields = await self._read("range", {"prefix": _add_prefix(prefix)})
        entries = parse_entries(rows.get_field(fields, "items", list))
        return entries, rows.get_field(fields, "at", int)

    def watch(
        self, key: str, after_revision: int
    ) -> AsyncIterator[client.Entry]:
        """Yields the key's entries newer than a revision, see `watches`."""
        return watches.watch_key(self, key, after_revision)

    def is_receiving(self) -> bool:
        """Returns whether the response of a watch has begun to arrive."""
        return "watch" in self._arriving_paths

    async def read_events(
        self, key: str, after: int, wait_ms: int = _MAX_WATCH_WAIT_MS
    ) -> tuple[Sequence[client.Entry], int]:
        """Returns the key's entries after a revision, and the store's revision.

        Raises:
            errors.StoreUnavailableError: The store failed or lost the history.
        """
        query = {"prefix": _add_prefix(key)}
        query["after"] = str(eras.get_number(after))
        query["waitMs"] = str(wait_ms)
        status, fields = await self._read(
            "watch", query, wait_ms / 1000 + _TIMEOUT_S
        )
        # Revisions of an earlier era may exist again, for other contents.
        if status == _GONE or not self.era.has(after):
            raise errors.StoreUnavailableError(
                "store: the history is not there any more"
            )
        found = [
            _parse_entry(event)
            for event in rows.get_field(fields, "events", list)
            if not event.get("deleted") and event.get("key") == _add_prefix(key)
        ]
        return found, rows.get_field(fields, "at", int)

    async def put(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
        conditions: Sequence[client.Condition] = (),
    ) -> client.WriteReply:
        """Writes a key if it has the expected revision; 0: does not exist."""
        expected = [client.Condition(key, expected_revision), *conditions]
        if not self.era.has_all(row.revision for row in expected):
            return await client.read_conflict(self.get, key, conditions)
        if lease_id and not self.era.has(lease_id):
            raise errors.StoreUnavailableError("store: the lease has ended")
        status, fields = await self._write(
            "txn",
            {
                "expectedRev": [_build_row(*row) for row in expected],
                "writes": [
                    {
                        "key": _add_prefix(key),
                        "value": base64.b64encode(value).decode(),
                        "lease": eras.get_number(lease_id),
                    }
                ],
            },
        )
        if status == _PRECONDITION_FAILED:
            return client.build_conflict(
                key, conditions, lambda name: _parse_conflict(fields, name)
            )
        if status == _NOT_FOUND:
            raise errors.StoreUnavailableError("store: the lease has ended")
        revision = rows.get_field(fields, "revision", int)
        return client.WriteReply(True, client.Entry(key, value, revision))

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it has the expected revision."""
        if not self.era.has(expected_revision):
            return False
        status, _ = await self._write(
            "txn",
            {
                "expectedRev": [_build_row(key, expected_revision)],
                "remove": [_add_prefix(key)],
            },
        )
        return status == _OK

    async def grant_lease(self, seconds: int) -> int:
        """Creates a lease; keys written with it are deleted when it ends."""
        _, fields = await self._write("lease", {"ttlMs": seconds * 1000})
        return rows.get_field(fields, "lease", int)

    async def renew_lease(self, lease_id: int) -> int:
        """Renews a lease; returns its duration in seconds, 0 if it ended."""
        if not self.era.has(lease_id):
            return 0
        path = f"keep/{eras.get_number(lease_id)}"
        status, fields = await self._write(path, {})
        if status == _NOT_FOUND:
            return 0
        return max(1, rows.get_field(fields, "ttlMs", int) // 1000)

    async def _read(
        self, path: str, query: dict[str, str], timeout_s: float = _TIMEOUT_S
    ) -> tuple[int, dict[str, Any]]:
        try:
            return await self._request("GET", path, query, None, timeout_s)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.StoreUnavailableError(_describe(error)) from error

    async def _write(
        self, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        era = self.era.current
        try:
            answer = await self._request("POST", path, {}, body, _TIMEOUT_S)
        except aiohttp.ClientConnectorError as error:
            raise errors.StoreUnavailableError(_describe(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise errors.StoreUnknownOutcomeError(_describe(error)) from error
        if era is not None and self.era.current != era:
            # Its revisions and lease may stand for other contents now.
            raise errors.StoreUnknownOutcomeError(
                "store: it came back from a copy during the write"
            )
        return answer

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: dict[str, Any] | None,
        timeout_s: float,
    ) -> tuple[int, dict[str, Any]]:
        """Sends a request whose response must begin within a timeout.

        Returns:
            The status and the fields, with qualified revisions and leases.
        """
        assert self._session is not None
        url = yarl.URL(f"http://{self._address}{_BASE_PATH}{path}")
        async with (
            asyncio.timeout(timeout_s) as timeout,
            self._session.request(
                method, url.with_query(query), json=body
            ) as response,
        ):
            self._arriving_paths.append(path)
            try:
                text = await connectors.read_body(response, timeout, _TIMEOUT_S)
            finally:
                self._arriving_paths.remove(path)
        era = self.era.read(response.headers.get(_ERA_HEADER))
        if self.era.is_late(era):
            raise _EarlierEraError(f"an answer of era {era}")
        if response.status in (_TOO_MANY_REQUESTS, _UNAVAILABLE, _FORBIDDEN):
            raise errors.StoreUnavailableError(
                f"store: refused with {response.status}"
            )
        fields = rows.parse_response(text, response.status)
        eras.qualify_fields(fields, era, _NUMBERED_FIELDS, _LIST_FIELDS)
        return response.status, fields


def _add_prefix(key: str) -> str:
    return key if key.startswith(_SHARED_PREFIXES) else PRODUCT_PREFIX + key


def _build_row(key: str, revision: int) -> dict[str, Any]:
    return {"key": _add_prefix(key), "revision": eras.get_number(revision)}


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
            decoding.count_refused("store entry")
            events.warn("entry malformed", error=str(error))
            key, revision = _get_key_and_revision(item)
            if key:
                entries.append(client.Entry(key, b"", revision))
    return entries


def _get_key_and_revision(item: Any) -> tuple[str, int]:
    """Returns the key and revision of an entry; no key if one is malformed."""
    try:
        key = _remove_prefix(rows.get_key(item))
        return key, rows.get_field(item, "revision", int)
    except errors.CorruptRecordError:
        return "", 0


def _parse_entry(item: Any) -> client.Entry:
    key = _remove_prefix(rows.get_key(item))
    try:
        value = base64.b64decode(
            rows.get_field(item, "value", str), validate=True
        )
    except ValueError as error:
        raise errors.CorruptRecordError(f"{key}: {error}") from error
    return client.Entry(key, value, rows.get_field(item, "revision", int))


def _parse_conflict(fields: dict[str, Any], key: str) -> client.Entry:
    """Returns the entry of a key whose write was refused; revision 0: none."""
    for item in rows.get_field(fields, "items", list):
        if not isinstance(item, dict) or item.get("key") != _add_prefix(key):
            continue
        if item.get("revision"):
            return _parse_entry(item)
    return client.Entry(key, b"", 0)


def _describe(error: Exception) -> str:
    return f"store: {type(error).__name__}: {error}"

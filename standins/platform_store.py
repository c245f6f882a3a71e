"""Stand-in for the HTTP store that the users' platform documents."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import itertools
import time
from typing import Any, NamedTuple

from aiohttp import web

from standins import process

_PATH_PREFIX = "/merlintrestle/kv-"
_MAX_PAGE_ITEMS = 500
_MAX_TRANSACTION_ENTRIES = 32
_CHUNK_BYTES = 16 * 1024
_HANG_S = 3600
_FIRST_LEASE = 77_000
# Transactions that write such keys are refused with status 403.
_READ_ONLY_PREFIXES = ("op/", "servers/")


class Item(NamedTuple):
    """A key and its last write.

    Attributes:
        key: Name of the key.
        value: Its bytes.
        revision: Revision of its last write.
        created: Revision at which it was created.
        lease: Id of the lease that it was written with; 0 if none.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def to_json(self) -> dict[str, Any]:
        """Returns the item as the JSON object that the store sends."""
        encoded_value = base64.b64encode(self.value).decode()
        return {**self._asdict(), "value": encoded_value}


@dataclasses.dataclass
class Faults:
    """Active faults of the store.

    Attributes:
        status: Status with which every call fails; 0 for none.
        lose_answers: Number of upcoming POST calls that are carried out, but
            whose answers are lost.
        hang: Whether calls are not answered within `_HANG_S`.
        truncate_answers: Whether the second half of each answer's body is cut
            off; the status is then always 200.
        suppress_events: Whether watches receive no events.
        chunk_delay_s: Delay in seconds between the chunks of an answer; if 0,
            an answer is sent whole.
    """

    status: int = 0
    lose_answers: int = 0
    hang: bool = False
    truncate_answers: bool = False
    suppress_events: bool = False
    chunk_delay_s: float = 0.0


class Copy(NamedTuple):
    """A copy of the store's contents, from which it may come back later.

    Attributes:
        revision: Revision at the time of the copy.
        items: Items by key.
        events: Events that the history contained.
        compacted_revision: Revision up to which the history was discarded.
        leases: Leases by id.
    """

    revision: int
    items: dict[str, Item]
    events: list[dict[str, Any]]
    compacted_revision: int
    leases: dict[int, tuple[float, float]]


class PlatformStoreStandin:
    """A server of the store's HTTP interface.

    Attributes:
        port: Its port; set by `start`.
        faults: Active faults.
        era: Number in the era header of all answers; rises when the store
            comes back from a copy. As text, it is sent as it is; if empty,
            there is no header.
        call_counts: Number of calls by kind, such as "range".
        sent_bytes: Bytes of the answers' bodies by kind of call; a body that
            is cut off or lost counts whole.
    """

    def __init__(self) -> None:
        self.port = 0
        self.faults = Faults()
        self.era: int | str = 1
        self.call_counts: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        self._revision = 1
        self._items: dict[str, Item] = {}
        self._events: list[dict[str, Any]] = []
        self._compacted_revision = 0
        # Expiry on the monotonic clock in seconds and time to live in ms, by
        # lease id.
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(_FIRST_LEASE)
        self._change_condition = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Address of the store, "ip:port"."""
        return f"{process.HOST}:{self.port}"

    @property
    def keys(self) -> frozenset[str]:
        """The keys that exist."""
        return frozenset(self._items)

    async def start(self) -> None:
        """Opens the port."""
        application = web.Application(middlewares=[self._inject_faults])
        application.on_response_prepare.append(self._add_era)
        application.add_routes(
            [
                web.get(_PATH_PREFIX + "key", self._handle_key),
                web.get(_PATH_PREFIX + "range", self._handle_range),
                web.get(_PATH_PREFIX + "watch", self._handle_watch),
                web.post(_PATH_PREFIX + "txn", self._handle_txn),
                web.post(_PATH_PREFIX + "lease", self._handle_lease),
                web.post(_PATH_PREFIX + "keep/{lease}", self._handle_keep),
                web.delete(
                    _PATH_PREFIX + "lease-end/{lease}", self._handle_lease_end
                ),
            ]
        )
        self._runner, self.port = await process.serve(
            application, self.port, shutdown_timeout_s=0.05
        )

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def write(self, key: str, value: bytes) -> int:
        """Writes a key as the operator does and returns its revision."""
        self._revision += 1
        self._put(key, value, 0)
        await self._notify_watches()
        return self._revision

    async def compact(self) -> None:
        """Discards the events so far; watches that need them get status 410."""
        self._compacted_revision = self._revision
        self._events.clear()
        await self._notify_watches()

    def take_copy(self) -> Copy:
        """Returns a copy of the contents, for `come_back`."""
        return Copy(
            self._revision,
            dict(self._items),
            list(self._events),
            self._compacted_revision,
            dict(self._leases),
        )

    async def come_back(self, copy: Copy) -> None:
        """Replaces the contents by an earlier copy, which begins a new era.

        What was written since is gone, and its revisions and leases are given
        out again. Watches from a later revision get status 410.
        """
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._events = list(copy.events)
        self._compacted_revision = copy.compacted_revision
        self._leases = dict(copy.leases)
        last_lease = max(copy.leases, default=_FIRST_LEASE - 1)
        self._lease_ids = itertools.count(last_lease + 1)
        self.era = int(self.era) + 1
        await self._notify_watches()

    async def delete_prefix(self, prefix: str) -> None:
        """Deletes the keys with a prefix, as if their leases had expired."""
        self._revision += 1
        for key in [key for key in self._items if key.startswith(prefix)]:
            self._remove(key)
        await self._notify_watches()

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        del request
        if self.era != "":
            response.headers["Store-Era"] = str(self.era)

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        """Counts a call and its answer's bytes, and injects the faults."""
        kind = request.path.removeprefix(_PATH_PREFIX).partition("/")[0]
        self.call_counts[kind] = self.call_counts.get(kind, 0) + 1
        if self.faults.hang:
            await asyncio.sleep(_HANG_S)
        if self.faults.status:
            return web.json_response({}, status=self.faults.status)
        answer = await handler(request)
        self.sent_bytes[kind] = self.sent_bytes.get(kind, 0) + len(answer.body)
        if self.faults.truncate_answers:
            return web.Response(body=answer.body[: len(answer.body) // 2])
        if request.method == "POST" and self.faults.lose_answers:
            self.faults.lose_answers -= 1
            assert request.transport is not None
            request.transport.close()
        if self.faults.chunk_delay_s:
            return await self._send_in_chunks(request, answer)
        return answer

    async def _send_in_chunks(
        self, request: web.Request, answer: web.Response
    ) -> web.StreamResponse:
        """Sends an answer in delayed chunks, as over a saturated link."""
        body = answer.body
        assert isinstance(body, bytes)
        streamed_answer = web.StreamResponse(status=answer.status)
        streamed_answer.content_length = len(body)
        await streamed_answer.prepare(request)
        for chunk_start in range(0, len(body), _CHUNK_BYTES):
            await streamed_answer.write(
                body[chunk_start : chunk_start + _CHUNK_BYTES]
            )
            if chunk_start + _CHUNK_BYTES < len(body):
                await asyncio.sleep(self.faults.chunk_delay_s)
        return streamed_answer

    async def _handle_key(self, request: web.Request) -> web.Response:
        self._expire_leases()
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self._revision}, status=404)
        return web.json_response({**item.to_json(), "at": self._revision})

    async def _handle_range(self, request: web.Request) -> web.Response:
        self._expire_leases()
        after = request.query.get("after", "")
        matching_items = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(request.query["prefix"]) and key > after
        ]
        return web.json_response(
            {
                "items": [
                    item.to_json() for item in matching_items[:_MAX_PAGE_ITEMS]
                ],
                "hasMore": len(matching_items) > _MAX_PAGE_ITEMS,
                "at": self._revision,
            }
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        deadline = time.monotonic() + int(request.query["waitMs"]) / 1000
        while self._compacted_revision <= after <= self._revision:
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and not self.faults.suppress_events
                and event["key"].startswith(request.query["prefix"])
            ]
            remaining_s = deadline - time.monotonic()
            if events or remaining_s <= 0:
                body = {"events": events, "at": self._revision}
                return web.json_response(body)
            try:
                async with asyncio.timeout(remaining_s), self._change_condition:
                    await self._change_condition.wait()
            except TimeoutError:
                continue
        return web.json_response({}, status=410)

    async def _handle_txn(self, request: web.Request) -> web.Response:
        self._expire_leases()
        transaction = await request.json()
        expected = transaction.get("expectedRev", [])
        writes = transaction.get("writes", [])
        removed_keys = transaction.get("remove", [])
        keys = [write["key"] for write in writes] + removed_keys
        if any(key.startswith(_READ_ONLY_PREFIXES) for key in keys):
            return web.json_response({}, status=403)
        if len(expected) + len(keys) > _MAX_TRANSACTION_ENTRIES:
            return web.json_response({}, status=400)
        if any(
            write.get("lease", 0) not in self._leases
            for write in writes
            if write.get("lease", 0)
        ):
            return web.json_response({}, status=404)
        if any(
            self._get_revision(expectation["key"]) != expectation["revision"]
            for expectation in expected
        ):
            items = [
                self._items[expectation["key"]].to_json()
                for expectation in expected
                if expectation["key"] in self._items
            ]
            return web.json_response({"items": items}, status=412)
        self._revision += 1
        for write in writes:
            value = base64.b64decode(write["value"])
            self._put(write["key"], value, write.get("lease", 0))
        for key in removed_keys:
            self._remove(key)
        await self._notify_watches()
        return web.json_response({"revision": self._revision})

    async def _handle_lease(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())["ttlMs"]
        lease = next(self._lease_ids)
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return web.json_response({"lease": lease, "ttlMs": ttl_ms})

    async def _handle_keep(self, request: web.Request) -> web.Response:
        self._expire_leases()
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return web.json_response({"ttlMs": ttl_ms})

    async def _handle_lease_end(self, request: web.Request) -> web.Response:
        self._leases.pop(int(request.match_info["lease"]), None)
        self._expire_leases()
        return web.json_response({})

    def _get_revision(self, key: str) -> int:
        item = self._items.get(key)
        return item.revision if item else 0

    def _put(self, key: str, value: bytes, lease: int) -> None:
        existing_item = self._items.get(key)
        created = existing_item.created if existing_item else self._revision
        item = Item(key, value, self._revision, created, lease)
        self._items[key] = item
        self._events.append(item.to_json())

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _expire_leases(self) -> None:
        now = time.monotonic()
        self._leases = {
            lease: (expires_at, ttl_ms)
            for lease, (expires_at, ttl_ms) in self._leases.items()
            if expires_at > now
        }
        orphaned_keys = [
            item.key
            for item in self._items.values()
            if item.lease and item.lease not in self._leases
        ]
        if orphaned_keys:
            self._revision += 1
        for key in orphaned_keys:
            self._remove(key)

    async def _notify_watches(self) -> None:
        async with self._change_condition:
            self._change_condition.notify_all()

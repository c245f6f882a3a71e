"""Stand-in of the store of the users' platform, over HTTP, by its pages."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import itertools
import time
from typing import Any, NamedTuple

from aiohttp import web

from standins import process

_BASE = "/merlintrestle/kv-"
_PAGE_ITEMS = 500
_MAX_ENTRIES = 32
_PART_BYTES = 16 * 1024
_FORBIDDEN_PREFIXES = ("op/", "servers/")


class Item(NamedTuple):
    """One key, as it was written last.

    Attributes:
        key: Its name.
        value: Its bytes.
        revision: Revision of its last change.
        created: Revision of its creation.
        lease: Lease under which it was written; 0: none.
    """

    key: str
    value: bytes
    revision: int
    created: int
    lease: int

    def to_json(self) -> dict[str, Any]:
        """Returns the item as the store writes it."""
        text = base64.b64encode(self.value).decode()
        return {**self._asdict(), "value": text}


@dataclasses.dataclass
class Faults:
    """What the store does wrong.

    Attributes:
        status: Answers every call so; 0: answers rightly.
        lose_answers: So many writes are done and their answers lost.
        hang: Answers nothing at all.
        truncate_answers: Cuts off the answer in the middle.
        suppress_events: Tells watches of no change.
        chunk_delay_s: Sends an answer in parts, so many seconds apart; 0: at
            once.
    """

    status: int = 0
    lose_answers: int = 0
    hang: bool = False
    truncate_answers: bool = False
    suppress_events: bool = False
    chunk_delay_s: float = 0.0


class PlatformStoreStandin:
    """The store as a server.

    Attributes:
        port: Its port; known after `start`.
        faults: What it does wrong now.
        calls: Calls by kind.
        sent_bytes: Bytes of the answers by kind.
    """

    def __init__(self) -> None:
        self.port = 0
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self.sent_bytes: dict[str, int] = {}
        self._revision = 1
        self._items: dict[str, Item] = {}
        self._events: list[dict[str, Any]] = []
        self._compacted = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(77_000)
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None

    @property
    def address(self) -> str:
        """Address of the store, "ip:port"."""
        return f"{process.HOST}:{self.port}"

    async def start(self) -> None:
        """Opens the port."""
        application = web.Application(middlewares=[self._spoil])
        application.add_routes(
            [
                web.get(_BASE + "key", self._handle_key),
                web.get(_BASE + "range", self._handle_range),
                web.get(_BASE + "watch", self._handle_watch),
                web.post(_BASE + "txn", self._handle_txn),
                web.post(_BASE + "lease", self._handle_lease),
                web.post(_BASE + "keep/{lease}", self._handle_keep),
                web.delete(_BASE + "lease-end/{lease}", self._handle_end),
            ]
        )
        self._runner, self.port = await process.serve(
            application, self.port, shutdown_timeout=0.05
        )

    async def close(self) -> None:
        """Closes the port."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def write(self, key: str, value: bytes) -> int:
        """Writes a key as the operator does; returns the revision."""
        self._revision += 1
        self._put(key, value, 0)
        await self._wake()
        return self._revision

    async def compact(self) -> None:
        """Forgets the history and cuts the watches that wait."""
        self._compacted = self._revision
        self._events.clear()
        await self._wake()

    async def delete_prefix(self, prefix: str) -> None:
        """Takes keys away, as if their leases had run out."""
        self._revision += 1
        for key in [key for key in self._items if key.startswith(prefix)]:
            self._remove(key)
        await self._wake()

    @web.middleware
    async def _spoil(self, request: web.Request, handler: Any) -> Any:
        kind = request.path.removeprefix(_BASE).partition("/")[0]
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if self.faults.hang:
            await asyncio.sleep(3600)
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
            return await self._dribble(request, answer)
        return answer

    async def _dribble(
        self, request: web.Request, answer: web.Response
    ) -> web.StreamResponse:
        """Sends an answer as a full link does, in parts with pauses."""
        body = answer.body
        assert isinstance(body, bytes)
        slow = web.StreamResponse(status=answer.status)
        slow.content_length = len(body)
        await slow.prepare(request)
        for start in range(0, len(body), _PART_BYTES):
            await slow.write(body[start : start + _PART_BYTES])
            if start + _PART_BYTES < len(body):
                await asyncio.sleep(self.faults.chunk_delay_s)
        return slow

    async def _handle_key(self, request: web.Request) -> web.Response:
        self._expire()
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({"at": self._revision}, status=404)
        return web.json_response({**item.to_json(), "at": self._revision})

    async def _handle_range(self, request: web.Request) -> web.Response:
        self._expire()
        after = request.query.get("after", "")
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(request.query["prefix"]) and key > after
        ]
        return web.json_response(
            {
                "items": [item.to_json() for item in found[:_PAGE_ITEMS]],
                "hasMore": len(found) > _PAGE_ITEMS,
                "at": self._revision,
            }
        )

    async def _handle_watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        ends_at = time.monotonic() + int(request.query["waitMs"]) / 1000
        while after >= self._compacted:
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and not self.faults.suppress_events
                and event["key"].startswith(request.query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                body = {"events": events, "at": self._revision}
                return web.json_response(body)
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue
        return web.json_response({}, status=410)

    async def _handle_txn(self, request: web.Request) -> web.Response:
        self._expire()
        change = await request.json()
        expected = change.get("expectedRev", [])
        writes = change.get("writes", [])
        removed = change.get("remove", [])
        keys = [write["key"] for write in writes] + removed
        if any(key.startswith(_FORBIDDEN_PREFIXES) for key in keys):
            return web.json_response({}, status=403)
        if len(expected) + len(keys) > _MAX_ENTRIES:
            return web.json_response({}, status=400)
        if any(
            write.get("lease", 0) not in self._leases
            for write in writes
            if write.get("lease", 0)
        ):
            return web.json_response({}, status=404)
        if any(
            self._get_revision(row["key"]) != row["revision"]
            for row in expected
        ):
            items = [
                self._items[row["key"]].to_json()
                for row in expected
                if row["key"] in self._items
            ]
            return web.json_response({"items": items}, status=412)
        self._revision += 1
        for write in writes:
            value = base64.b64decode(write["value"])
            self._put(write["key"], value, write.get("lease", 0))
        for key in removed:
            self._remove(key)
        await self._wake()
        return web.json_response({"revision": self._revision})

    async def _handle_lease(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())["ttlMs"]
        lease = next(self._lease_ids)
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return web.json_response({"lease": lease, "ttlMs": ttl_ms})

    async def _handle_keep(self, request: web.Request) -> web.Response:
        self._expire()
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        ttl_ms = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
        return web.json_response({"ttlMs": ttl_ms})

    async def _handle_end(self, request: web.Request) -> web.Response:
        self._leases.pop(int(request.match_info["lease"]), None)
        self._expire()
        return web.json_response({})

    def _get_revision(self, key: str) -> int:
        item = self._items.get(key)
        return item.revision if item else 0

    def _put(self, key: str, value: bytes, lease: int) -> None:
        held = self._items.get(key)
        created = held.created if held else self._revision
        item = Item(key, value, self._revision, created, lease)
        self._items[key] = item
        self._events.append(item.to_json())

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _expire(self) -> None:
        now = time.monotonic()
        self._leases = {
            lease: held for lease, held in self._leases.items() if held[0] > now
        }
        ended = [
            item.key
            for item in self._items.values()
            if item.lease and item.lease not in self._leases
        ]
        if ended:
            self._revision += 1
        for key in ended:
            self._remove(key)

    async def _wake(self) -> None:
        async with self._changed:
            self._changed.notify_all()

"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from typing import Any

from stage import wire

_PREFIX = "/merlintrestle/kv-"
_PAGE_ITEMS = 500


class Store:
    """A sound store without limits on the rates of calls."""

    def __init__(self) -> None:
        self._server = wire.Server(self._handle)
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        # Lifetime in ms and expiry in seconds, by lease.
        self._leases: dict[int, tuple[int, float]] = {}
        self._lease_ids = itertools.count(500)
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """Its "ip:port"."""
        return self._server.address

    async def start(self, host: str) -> None:
        """Opens the port."""
        await self._server.start(host)

    async def close(self) -> None:
        """Closes the port."""
        await self._server.close()

    def write(self, key: str, value: bytes) -> None:
        """Writes a key, as the operator does; it is confirmed at once."""
        self._revision += 1
        self._put(key, base64.b64encode(value).decode(), 0)
        self._notify()

    def read(self, key: str) -> bytes | None:
        """Reads a key, as the operator does."""
        item = self._items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def _handle(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        self._expire()
        name, _, last = request.path.removeprefix(_PREFIX).partition("/")
        if name == "watch":
            status, fields = await self._watch(request.query)
        elif request.start[0] == "GET":
            status, fields = self._read(name, request.query)
        else:
            body = json.loads(request.body or b"{}")
            status, fields = self._change(name, last, body)
        writer.write(
            wire.build_answer(
                status,
                json.dumps(fields).encode(),
                {"Content-Type": "application/json"},
            )
        )

    def _read(
        self, name: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        if name == "key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"at": self._revision}
            return 200, {**item, "at": self._revision}
        found = [
            self._items[key]
            for key in sorted(self._items)
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return 200, {
            "items": found[:_PAGE_ITEMS],
            "hasMore": len(found) > _PAGE_ITEMS,
            "at": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            found = [
                event
                for event in self._events
                if event["revision"] > int(query["after"])
                and event["key"].startswith(query["prefix"])
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "at": self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _change(
        self, name: str, last: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        if name == "lease":
            lease = next(self._lease_ids)
            ttl_ms = body["ttlMs"]
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        if name == "keep":
            if int(last) not in self._leases:
                return 404, {}
            ttl_ms, _ = self._leases[int(last)]
            self._leases[int(last)] = (
                ttl_ms,
                time.monotonic() + ttl_ms / 1000,
            )
            return 200, {"ttlMs": ttl_ms}
        if name == "lease-end":
            self._leases.pop(int(last), None)
            self._expire()
            return 200, {}
        return self._transact(body)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        writes, removed = body.get("writes", []), body.get("remove", [])
        keys = [write["key"] for write in writes] + removed
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        if any(
            write.get("lease") and write["lease"] not in self._leases
            for write in writes
        ):
            return 404, {}
        expected = body.get("expectedRev", [])
        if any(
            self._items.get(row["key"], {}).get("revision", 0)
            != row["revision"]
            for row in expected
        ):
            items = [
                self._items[row["key"]]
                for row in expected
                if row["key"] in self._items
            ]
            return 412, {"items": items}
        self._revision += 1
        for write in writes:
            self._put(write["key"], write["value"], write.get("lease") or 0)
        for key in removed:
            self._remove(key)
        self._notify()
        return 200, {"revision": self._revision}

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self._items.get(key, {}).get("created", self._revision)
        item = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {"key": key, "revision": self._revision, "deleted": True}
            )

    def _expire(self) -> None:
        now = time.monotonic()
        self._leases = {
            lease: (ttl_ms, expires_at)
            for lease, (ttl_ms, expires_at) in self._leases.items()
            if expires_at > now
        }
        gone = [
            key
            for key, item in self._items.items()
            if item["lease"] and item["lease"] not in self._leases
        ]
        if gone:
            self._revision += 1
            for key in gone:
                self._remove(key)
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

"""Stand-in of the platform's key-value store, for tests and measurements.

Run it with `python -m standins.store --port 0`.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
import logging
import time
from typing import Any, NamedTuple, TYPE_CHECKING

from aiohttp import web
import click
import grpc
import grpc.aio

from merlintrestle.schema import store_pb2
from merlintrestle.schema import store_pb2_grpc
from standins import faults
from standins import keyvalue
from standins import process

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

logger = logging.getLogger(__name__)

_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_EXPIRE_EVERY_S = 0.1
_KEPT_WRITES = 10_000


class Write(NamedTuple):
    """One write that took effect.

    Attributes:
        key: Key that was written.
        revision: Its revision since.
        at_ms: Milliseconds since 1970.
    """

    key: str
    revision: int
    at_ms: int


class StoreServicer(store_pb2_grpc.StoreServicer):
    """Answers the calls of store.proto and counts them.

    Attributes:
        data: What is stored.
        faults: Faults in force; change them by `set_faults`.
        calls: Calls by kind, and by kind and first part of the key.
        most_waiting: Most watches that ever waited at once.
        writes: Key, revision and ms since 1970 of each write, oldest first.
    """

    def __init__(self, data: keyvalue.KeyValue):
        self.data = data
        self.faults = faults.StoreFaults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.most_waiting = 0
        self.writes: collections.deque[Write] = collections.deque(
            maxlen=_KEPT_WRITES
        )
        self._past: dict[str, keyvalue.Entry] = {}
        self._faults_changed = asyncio.Event()

    def set_faults(self, new: faults.StoreFaults) -> None:
        """Puts faults in force in place of those before."""
        if new.stale and not self.faults.stale:
            self._past = self.data.copy()
        self.faults = new
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()

    async def Get(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Reads one key."""
        await self._begin("get", context, request.key)
        return store_pb2.GetReply(entry=_encode(self._read(request.key)))

    async def Put(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Writes one key by compare-and-swap."""
        await self._begin("put", context, request.key)
        try:
            written = self.data.put(
                request.key,
                request.value,
                request.expected_revision,
                request.lease_id,
            )
        except keyvalue.ValueTooLargeError as error:
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, f"value too large: {error}"
            )
        except keyvalue.LeaseEndedError as error:
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION, f"no such {error}"
            )
        entry = self.data.get(request.key)
        if written:
            at_ms = time.time_ns() // 1_000_000
            self.writes.append(Write(entry.key, entry.revision, at_ms))
            self._fail_after(entry.key)
        await self._end_write(context)
        return store_pb2.PutReply(written=written, entry=_encode(entry))

    async def Delete(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Removes one key by compare-and-swap."""
        await self._begin("delete", context, request.key)
        deleted = self.data.delete(request.key, request.expected_revision)
        await self._end_write(context)
        return store_pb2.DeleteReply(deleted=deleted)

    async def List(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Reads keys with a prefix."""
        await self._begin("list", context, request.prefix)
        asked = request.prefix, request.after, request.limit
        if self.faults.stale:
            entries = keyvalue.select(self._past, *asked)
        else:
            entries = self.data.list(*asked)
        return store_pb2.ListReply(entries=[_encode(e) for e in entries])

    async def Watch(  # noqa: N802
        self, request: Any, context: Any
    ) -> AsyncIterator[Any]:
        """Sends changes of one key until the caller or an outage ends it."""
        await self._begin("watch", context, request.key)
        stream = self.data.watch(request.key, request.after_revision)
        async with contextlib.aclosing(stream):  # type: ignore[type-var]
            while True:
                entry = await self._next_entry(stream)
                if entry is None:
                    await self._fail_watch(context)
                else:
                    yield _encode(entry)

    async def GrantLease(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Opens a lease."""
        await self._begin("grant_lease", context)
        lease_id = self.data.grant_lease(request.seconds)
        await self._end_write(context)
        return store_pb2.Lease(lease_id=lease_id, seconds=request.seconds)

    async def KeepLease(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Extends a lease."""
        await self._begin("keep_lease", context)
        seconds = self.data.keep_lease(request.lease_id)
        await self._end_write(context)
        return store_pb2.Lease(lease_id=request.lease_id, seconds=seconds)

    def _read(self, key: str) -> keyvalue.Entry:
        if self.faults.stale:
            return self._past.get(key, keyvalue.Entry(key))
        return self.data.get(key)

    async def _begin(self, kind: str, context: Any, key: str = "") -> None:
        self.calls[kind] += 1
        if key:
            self.calls[f"{kind} {key.split('/')[0]}"] += 1
        if self.faults.latency_s:
            await asyncio.sleep(self.faults.latency_s)
        while self.faults.outage is faults.Outage.HANGING:
            await self._faults_changed.wait()
        if self.faults.outage is not faults.Outage.NONE:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "outage")

    async def _end_write(self, context: Any) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, "answer lost")

    def _fail_after(self, key: str) -> None:
        if key == self.faults.fail_after_key:
            outage = faults.StoreFaults(faults.Outage.UNAVAILABLE)
            loop = asyncio.get_running_loop()
            loop.call_later(self.faults.fail_after_s, self.set_faults, outage)

    async def _next_entry(
        self, stream: AsyncIterator[keyvalue.Entry]
    ) -> keyvalue.Entry | None:
        """Returns the next entry to send; None: an outage ends the watch."""
        following = asyncio.ensure_future(anext(stream))
        try:
            while True:
                self.most_waiting = max(self.most_waiting, self.data.waiting)
                silent = self.faults.stale
                if self.faults.outage is faults.Outage.HANGING:
                    silent = True
                elif self.faults.outage is not faults.Outage.NONE:
                    return None
                changed = asyncio.ensure_future(self._faults_changed.wait())
                waited = {changed} if silent else {changed, following}
                await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
                changed.cancel()
                if following.done() and not silent:
                    return following.result()
        finally:
            if not following.done():
                following.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await following

    async def _fail_watch(self, context: Any) -> None:
        await context.abort(grpc.StatusCode.UNAVAILABLE, "outage")


class StoreStandin:
    """The store as a server, with a control port for its faults.

    Attributes:
        servicer: What answers the calls.
        port: Port of the store; known after `start`.
        control_port: Port of the fault controls; known after `start`.
    """

    def __init__(self, port: int = 0, control_port: int = 0):
        self.servicer = StoreServicer(keyvalue.KeyValue())
        self.port = port
        self.control_port = control_port
        self._server: Any = None
        self._runner: web.AppRunner | None = None
        self._expiring: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Address of the store, "ip:port"."""
        return f"{process.HOST}:{self.port}"

    async def start(self) -> None:
        """Opens both ports."""
        await self._listen()
        application = web.Application()
        application.router.add_get("/counters", self._show_counters)
        application.router.add_get("/writes", self._show_writes)
        application.router.add_post("/faults", self._change_faults)
        self._runner, self.control_port = await process.serve(
            application, self.control_port
        )
        self._expiring = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        """Closes both ports and ends every call."""
        if self._expiring is not None:
            self._expiring.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        await self._stop_listening()

    async def set_faults(self, new: faults.StoreFaults) -> None:
        """Puts faults in force in place of those before."""
        self.servicer.set_faults(new)
        if new.outage is faults.Outage.REFUSED:
            await self._stop_listening()
        elif self._server is None:
            await self._listen()

    def read_counters(self) -> dict[str, Any]:
        """Returns calls by kind and watches that wait."""
        return {
            "calls": dict(self.servicer.calls),
            "waiting_watches": self.servicer.data.waiting,
            "most_waiting_watches": self.servicer.most_waiting,
            "revision": self.servicer.data.revision,
        }

    async def _listen(self) -> None:
        self._server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
                ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
            ]
        )
        store_pb2_grpc.add_StoreServicer_to_server(self.servicer, self._server)
        self.port = self._server.add_insecure_port(self.address)
        await self._server.start()

    async def _stop_listening(self) -> None:
        if self._server is not None:
            server, self._server = self._server, None
            await server.stop(grace=0)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRE_EVERY_S)
            self.servicer.data.expire()

    async def _show_counters(self, _request: web.Request) -> web.Response:
        return web.json_response(self.read_counters())

    async def _show_writes(self, request: web.Request) -> web.Response:
        key = request.query.get("key")
        writes = [w for w in self.servicer.writes if key in (None, w.key)]
        return web.json_response([write._asdict() for write in writes])

    async def _change_faults(self, request: web.Request) -> web.Response:
        try:
            new = faults.parse_faults(await request.json())
        except (ValueError, TypeError) as error:
            return web.json_response({"error": str(error)}, status=400)
        await self.set_faults(new)
        return web.json_response({})


def _encode(entry: keyvalue.Entry) -> Any:
    return store_pb2.Entry(
        key=entry.key, value=entry.value, revision=entry.revision
    )


async def _run(port: int, control_port: int) -> None:
    stop = process.wait_for_stop_signal()
    store = StoreStandin(port, control_port)
    await store.start()
    process.print_ready(
        "store",
        address=store.address,
        control=f"{process.HOST}:{store.control_port}",
    )
    await stop.wait()
    await store.close()


@click.command()
@click.option("--port", default=0, help="Port of the store; 0: a free one.")
@click.option("--control-port", default=0, help="Port of the fault controls.")
def main(port: int, control_port: int) -> None:
    """Runs the stand-in of the platform's store until SIGTERM."""
    process.configure_logging("store stand-in")
    process.run(functools.partial(_run, port, control_port))


if __name__ == "__main__":
    main()

"""Stand-in for the native store, with the gRPC interface of store.proto.

Run it with `python -m standins.store --port 0`.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import Any

from aiohttp import web
import click
import grpc.aio

from merlintrestle.schema import store_pb2_grpc
from standins import faults
from standins import keyvalue
from standins import process
from standins import servicer

logger = logging.getLogger(__name__)

_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_LEASE_CHECK_INTERVAL_S = 0.1


class StoreStandin:
    """A gRPC server of the store with a control port that injects faults.

    Attributes:
        servicer: Answers the calls.
        port: Port of the store; set by `start`, and 0 chooses a free one.
        control_port: Port of the control API; set by `start`, and 0 chooses a
            free one.
    """

    def __init__(self, port: int = 0, control_port: int = 0):
        self.servicer = servicer.StoreServicer(keyvalue.KeyValueStore())
        self.port = port
        self.control_port = control_port
        self._server: Any = None
        self._control_runner: web.AppRunner | None = None
        self._expiry_task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Address of the store, "ip:port"."""
        return f"{process.HOST}:{self.port}"

    async def start(self) -> None:
        """Opens both ports and starts to expire leases."""
        await self._listen()
        control_application = web.Application()
        control_application.router.add_get("/counters", self._show_counters)
        control_application.router.add_get("/writes", self._show_writes)
        control_application.router.add_post("/remember", self._take_snapshot)
        control_application.router.add_post("/faults", self._change_faults)
        self._control_runner, self.control_port = await process.serve(
            control_application, self.control_port
        )
        self._expiry_task = asyncio.create_task(self._expire_leases_forever())

    async def close(self) -> None:
        """Closes both ports and cancels every call."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._control_runner is not None:
            await self._control_runner.cleanup()
        await self._stop_listening()

    async def set_faults(self, new_faults: faults.StoreFaults) -> None:
        """Replaces the active faults.

        The port of the store is closed while connections are refused.
        """
        self.servicer.set_faults(new_faults)
        if new_faults.outage is faults.Outage.REFUSED:
            await self._stop_listening()
        elif self._server is None:
            await self._listen()

    def read_counters(self) -> dict[str, Any]:
        """Returns the counters of calls and watches, and the revision."""
        return {
            "calls": dict(self.servicer.call_counts),
            "calls_by_second": self.servicer.call_counts_by_second,
            "waiting_watches": self.servicer.key_value_store.open_watches,
            "most_waiting_watches": self.servicer.max_open_watches,
            "revision": self.servicer.key_value_store.revision,
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

    async def _expire_leases_forever(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)
            self.servicer.key_value_store.expire_leases()

    async def _show_counters(self, _request: web.Request) -> web.Response:
        return web.json_response(self.read_counters())

    async def _show_writes(self, request: web.Request) -> web.Response:
        key = request.query.get("key")
        writes = [
            write for write in self.servicer.writes if key in (None, write.key)
        ]
        return web.json_response([write._asdict() for write in writes])

    async def _take_snapshot(self, _request: web.Request) -> web.Response:
        self.servicer.take_snapshot()
        return web.json_response({})

    async def _change_faults(self, request: web.Request) -> web.Response:
        try:
            new_faults = faults.parse_faults(await request.json())
        except (ValueError, TypeError) as error:
            return web.json_response({"error": str(error)}, status=400)
        await self.set_faults(new_faults)
        return web.json_response({})


async def _run(port: int, control_port: int) -> None:
    stop = process.create_stop_event()
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
@click.option("--control-port", default=0, help="Port of the control API.")
def main(port: int, control_port: int) -> None:
    """Runs the stand-in for the platform's store until SIGTERM."""
    process.configure_logging("store stand-in")
    process.run(functools.partial(_run, port, control_port))


if __name__ == "__main__":
    main()

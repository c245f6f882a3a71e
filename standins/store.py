"""Stand-in of the platform's key-value store, for tests and measurements.

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
_EXPIRE_EVERY_S = 0.1


class StoreStandin:
    """The store as a server, with a control port for its faults.

    Attributes:
        servicer: What answers the calls.
        port: Port of the store; known after `start`.
        control_port: Port of the fault controls; known after `start`.
    """

    def __init__(self, port: int = 0, control_port: int = 0):
        self.servicer = servicer.StoreServicer(keyvalue.KeyValueStore())
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
        application.router.add_post("/remember", self._remember)
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
            "calls_by_second": self.servicer.calls_by_second,
            "waiting_watches": self.servicer.data.waiting_watches,
            "most_waiting_watches": self.servicer.max_waiting_watches,
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
            self.servicer.data.expire_leases()

    async def _show_counters(self, _request: web.Request) -> web.Response:
        return web.json_response(self.read_counters())

    async def _show_writes(self, request: web.Request) -> web.Response:
        key = request.query.get("key")
        writes = [w for w in self.servicer.writes if key in (None, w.key)]
        return web.json_response([write._asdict() for write in writes])

    async def _remember(self, _request: web.Request) -> web.Response:
        self.servicer.take_snapshot()
        return web.json_response({})

    async def _change_faults(self, request: web.Request) -> web.Response:
        try:
            new = faults.parse_faults(await request.json())
        except (ValueError, TypeError) as error:
            return web.json_response({"error": str(error)}, status=400)
        await self.set_faults(new)
        return web.json_response({})


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

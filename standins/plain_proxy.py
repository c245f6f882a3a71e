"""Baseline for the latency measurement: a plain aiohttp reverse proxy.

Run it with `python -m standins.plain_proxy --upstream IP:PORT`.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from aiohttp import web
import click

from standins import process
from standins import relay

if TYPE_CHECKING:
    import aiohttp


class PlainProxy:
    """Forwards `/<service>/<path>` to one upstream as `/<path>`.

    Attributes:
        upstream: Address of the upstream, "ip:port".
        port: Port for calls; set by `start`.
    """

    def __init__(self, upstream: str):
        self.upstream = upstream
        self.port = 0
        self._session: aiohttp.ClientSession
        self._runner: web.AppRunner

    async def start(self) -> None:
        """Opens the port for calls."""
        self._session = relay.create_session()
        application = web.Application()
        application.router.add_route("*", "/{service}/{path:.*}", self._handle)
        self._runner, self.port = await process.serve(application)

    async def close(self) -> None:
        """Closes the port and the connections to the upstream."""
        await self._runner.cleanup()
        await self._session.close()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        path = request.raw_path.split("/", 2)[2]
        url = f"http://{self.upstream}/{path}"
        body = await request.read()
        return await relay.relay_request(self._session, request, body, url)


async def _run(upstream: str) -> None:
    stop = process.create_stop_event()
    proxy = PlainProxy(upstream)
    await proxy.start()
    process.print_ready("plain proxy", port=proxy.port)
    await stop.wait()
    await proxy.close()


@click.command()
@click.option("--upstream", required=True, help="Address of the upstream.")
def main(upstream: str) -> None:
    """Runs a plain reverse proxy until SIGTERM."""
    process.configure_logging("plain proxy")
    process.run(functools.partial(_run, upstream))


if __name__ == "__main__":
    main()

"""Baseline for the failures measurement: random upstreams, retries always.

It chooses an upstream of the service at random and retries every failure three
times, even for a request that may not be repeated. Run it with `python -m
standins.plain_random_proxy` and set the upstreams on its admin port.
"""

from __future__ import annotations

import functools
import random
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import click

from standins import process
from standins import relay

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_RETRIES = 3
_CALL_TIMEOUT = aiohttp.ClientTimeout(sock_connect=1.0, sock_read=5.0)


class PlainRandomProxy:
    """Forwards `/<service>/<path>` to a random upstream of the service.

    Attributes:
        upstreams: Addresses of the upstreams, "ip:port", by service.
        port: Port for calls; set by `start`.
        admin_port: Port for `POST /upstreams` and for announcements, which are
            ignored; set by `start`.
    """

    def __init__(self) -> None:
        self.upstreams: Mapping[str, list[str]] = {}
        self.port = 0
        self.admin_port = 0
        self._session: aiohttp.ClientSession
        self._runners: list[web.AppRunner] = []

    async def start(self, port: int = 0, admin_port: int = 0) -> None:
        """Opens both ports; a port of 0 chooses a free one."""
        self._session = relay.create_session(_CALL_TIMEOUT)
        call_application = web.Application()
        call_application.router.add_route(
            "*", "/{service}/{path:.*}", self._handle
        )
        call_runner, self.port = await process.serve(call_application, port)
        admin_application = web.Application()
        admin_application.router.add_post("/upstreams", self._update_upstreams)
        admin_application.router.add_post(
            "/announce", self._ignore_announcement
        )
        admin_runner, self.admin_port = await process.serve(
            admin_application, admin_port
        )
        self._runners = [call_runner, admin_runner]

    async def close(self) -> None:
        """Closes both ports and the connections to the upstreams."""
        for runner in self._runners:
            await runner.cleanup()
        await self._session.close()

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        _, service, path = request.raw_path.split("/", 2)
        addresses = self.upstreams.get(service)
        if not addresses:
            return web.Response(status=404)
        body = await request.read()
        for attempt in range(1 + MAX_RETRIES):
            url = f"http://{random.choice(addresses)}/{path}"
            is_last_attempt = attempt == MAX_RETRIES
            try:
                return await relay.relay_request(
                    self._session,
                    request,
                    body,
                    url,
                    raise_failures=not is_last_attempt,
                )
            except (aiohttp.ClientError, TimeoutError):
                continue
        return web.Response(status=502)

    async def _update_upstreams(self, request: web.Request) -> web.Response:
        self.upstreams = await request.json()
        return web.json_response({})

    async def _ignore_announcement(self, _request: web.Request) -> web.Response:
        return web.json_response({})


async def _run(port: int, admin_port: int) -> None:
    stop = process.create_stop_event()
    proxy = PlainRandomProxy()
    await proxy.start(port, admin_port)
    process.print_ready(
        "plain random proxy", port=proxy.port, admin_port=proxy.admin_port
    )
    await stop.wait()
    await proxy.close()


@click.command()
@click.option("--port", default=0, help="Port for calls; 0: a free one.")
@click.option("--admin-port", default=0, help="Port for the upstreams.")
def main(port: int, admin_port: int) -> None:
    """Runs the baseline proxy until SIGTERM."""
    process.configure_logging("plain random proxy")
    process.run(functools.partial(_run, port, admin_port))


if __name__ == "__main__":
    main()

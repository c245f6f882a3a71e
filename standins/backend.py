"""Stand-in of a backend server, for tests and measurements.

Run it with `python -m standins.backend --service balie --admin IP:PORT`.
"""

from __future__ import annotations

import asyncio
import functools
import logging
import time
from typing import Any

from aiohttp import web
import click

from standins import announcements
from standins import ledger
from standins import nested_calls
from standins import process
from standins import worker

logger = logging.getLogger(__name__)

_STOP_ANNOUNCING_AFTER_S = 0.5


class BackendStandin:
    """A backend server with a control port for its faults.

    Attributes:
        settings: How it behaves.
        port: Port for calls; known after `start`.
        control_port: Port of the controls; known after `start`.
        state: "ready", "draining" or "down".
    """

    def __init__(
        self,
        settings: worker.Settings,
        admin: str = "",
        ledger_path: str = "",
        daemon: str = "",
    ):
        """Prepares a backend server.

        Args:
            settings: How it behaves.
            admin: Admin address of the daemon beside it; empty: none.
            ledger_path: File in which it records its runs; empty: none.
            daemon: URL of that daemon for own calls; empty: none are made.
        """
        self.settings = settings
        self.port = 0
        self.control_port = 0
        self.state = "ready"
        self._ledger = ledger.Ledger(ledger_path)
        self._caller = nested_calls.NestedCaller(daemon)
        self._worker = worker.Worker(settings, self._ledger, self._caller)
        self._announcer = announcements.Announcer(admin)
        self._runners: list[web.AppRunner] = []

    @property
    def address(self) -> str:
        """Address for calls, "ip:port"."""
        return f"{process.HOST}:{self.port}"

    async def start(self, port: int = 0, control_port: int = 0) -> None:
        """Opens both ports and announces itself."""
        self._ledger.start()
        await self._caller.start()
        calls = web.Application(client_max_size=64 * 1024 * 1024)
        calls.router.add_get("/-/health", self._show_health)
        calls.router.add_get("/-/load", self._show_load)
        calls.router.add_route("*", "/{path:.*}", self._worker.handle)
        runner, self.port = await process.serve(
            calls, port, handler_cancellation=True
        )
        controls = web.Application()
        controls.router.add_get("/runs", self._show_runs)
        controls.router.add_post("/faults", self._change_faults)
        controls.router.add_post("/drain", self._handle_drain)
        other, self.control_port = await process.serve(controls, control_port)
        self._runners = [runner, other]
        self._worker.address = self.address
        await self._announcer.start(self._announcement())

    async def drain(self) -> None:
        """Announces the leave and returns when nothing is in flight."""
        self.state = "draining"
        await self._announcer.announce(self._announcement())
        await self._worker.wait_idle()

    async def close(self) -> None:
        """Announces that it is down and closes both ports."""
        self.state = "down"
        await self._announcer.announce(self._announcement())
        await self._announcer.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._caller.close()
        self._ledger.close()

    def _announcement(self) -> announcements.Announcement:
        return announcements.Announcement(
            self.settings.service,
            self.address,
            self.settings.slots,
            self.state,
        )

    async def _show_health(self, _request: web.Request) -> web.Response:
        status = 200 if self._worker.faults.healthy else 503
        return web.json_response({"state": self.state}, status=status)

    async def _show_load(self, _request: web.Request) -> web.Response:
        return web.json_response(self._worker.read_reported_load())

    async def _show_runs(self, _request: web.Request) -> web.Response:
        return web.json_response(self._ledger.records)

    async def _change_faults(self, request: web.Request) -> web.Response:
        try:
            new = worker.Faults(**await request.json())
        except (TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        self._worker.set_faults(new)
        return web.json_response({})

    async def _handle_drain(self, _request: web.Request) -> web.Response:
        await self.drain()
        return web.json_response({"at_ms": time.time_ns() // 1_000_000})


async def _run(
    settings: worker.Settings,
    admin: str,
    ledger_path: str,
    daemon: str,
    port: int,
) -> None:
    stop = process.wait_for_stop_signal()
    backend = BackendStandin(settings, admin, ledger_path, daemon)
    await backend.start(port)
    process.print_ready(
        "backend",
        service=settings.service,
        address=backend.address,
        control=f"{process.HOST}:{backend.control_port}",
    )
    await stop.wait()
    await backend.drain()
    await asyncio.sleep(_STOP_ANNOUNCING_AFTER_S)
    # A call that was sent before the leave was known may have come since.
    await backend.drain()
    await backend.close()


def _parse_work(texts: tuple[str, ...]) -> dict[str, float]:
    pairs = [text.partition("=") for text in texts]
    return {prefix: float(ms) for prefix, _, ms in pairs}


@click.command()
@click.option("--service", required=True, help="Service that it serves.")
@click.option("--admin", default="", help="Admin address of its daemon.")
@click.option("--daemon", default="", help="URL of its daemon for calls.")
@click.option("--port", default=0, help="Port for calls; 0: a free one.")
@click.option("--slots", default=12, help="Calls it runs at once.")
@click.option("--work", "work_ms", multiple=True, help="/prefix=ms of work.")
@click.option("--cold-start-s", default=2.0, help="Seconds of cold start.")
@click.option("--cold-factor", default=3.0, help="How much slower it is then.")
@click.option("--ledger", "ledger_path", default="", help="File of runs.")
def main(
    service: str,
    admin: str,
    daemon: str,
    port: int,
    slots: int,
    work_ms: tuple[str, ...],
    cold_start_s: float,
    cold_factor: float,
    ledger_path: str,
) -> None:
    """Runs the stand-in of a backend server; SIGTERM drains and stops it."""
    process.configure_logging(f"{service} stand-in")
    settings = worker.Settings(
        service, slots, _parse_work(work_ms), cold_start_s, cold_factor
    )
    run: Any = functools.partial(
        _run, settings, admin, ledger_path, daemon, port
    )
    process.run(run)


if __name__ == "__main__":
    main()

"""Stand-in for a backend server that announces itself to its daemon.

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

_DRAIN_PROPAGATION_S = 0.5


class BackendStandin:
    """A backend server with a control port that injects faults.

    Attributes:
        settings: Its capacity and the duration of its work.
        port: Port for calls; set by `start`.
        control_port: Port of the control API; set by `start`.
        state: "ready", "draining" or "down".
    """

    def __init__(
        self,
        settings: worker.Settings,
        admin_address: str = "",
        ledger_path: str = "",
        daemon_url: str = "",
    ):
        """Initializes a backend server that does not listen yet.

        Args:
            settings: Its capacity and the duration of its work.
            admin_address: Admin address of the daemon of its instance,
                "ip:port"; if empty, it announces itself to no daemon.
            ledger_path: File in which it records its runs; if empty, it
                records them only in memory.
            daemon_url: URL of that daemon for nested calls; if empty, it makes
                none.
        """
        self.settings = settings
        self.port = 0
        self.control_port = 0
        self.state = "ready"
        self._ledger = ledger.Ledger(ledger_path)
        self._nested_caller = nested_calls.NestedCaller(daemon_url)
        self._worker = worker.Worker(
            settings, self._ledger, self._nested_caller
        )
        self._announcer = announcements.Announcer(admin_address)
        self._runners: list[web.AppRunner] = []

    @property
    def address(self) -> str:
        """Address for calls, "ip:port"."""
        return f"{process.HOST}:{self.port}"

    async def start(self, port: int = 0, control_port: int = 0) -> None:
        """Opens both ports and announces itself to the daemon.

        Args:
            port: Port for calls; 0 chooses a free one.
            control_port: Port of the control API; 0 chooses a free one.
        """
        self._ledger.start()
        await self._nested_caller.start()
        call_application = web.Application(client_max_size=64 * 1024 * 1024)
        call_application.router.add_get("/-/health", self._show_health)
        call_application.router.add_get("/-/load", self._show_load)
        call_application.router.add_route(
            "*", "/{path:.*}", self._worker.handle
        )
        call_application.on_response_prepare.append(self._worker.add_notices)
        call_runner, self.port = await process.serve(
            call_application, port, handler_cancellation=True
        )
        control_application = web.Application()
        control_application.router.add_get("/runs", self._show_runs)
        control_application.router.add_post("/faults", self._change_faults)
        control_application.router.add_post("/drain", self._handle_drain)
        control_runner, self.control_port = await process.serve(
            control_application, control_port
        )
        self._runners = [call_runner, control_runner]
        self._worker.address = self.address
        await self._announcer.start(self._build_announcement())

    async def drain(self) -> None:
        """Announces that it drains and waits until no call is in flight."""
        self.state = "draining"
        await self._announcer.announce(self._build_announcement())
        await self._worker.wait_idle()

    async def close(self) -> None:
        """Announces that it is down and closes both ports."""
        self.state = "down"
        await self._announcer.announce(self._build_announcement())
        await self._announcer.close()
        for runner in self._runners:
            await runner.cleanup()
        await self._nested_caller.close()
        self._ledger.close()

    def _build_announcement(self) -> announcements.Announcement:
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
        return web.json_response(self._worker.build_load_report())

    async def _show_runs(self, _request: web.Request) -> web.Response:
        return web.json_response(self._ledger.records)

    async def _change_faults(self, request: web.Request) -> web.Response:
        try:
            faults = worker.Faults(**await request.json())
        except (TypeError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        self._worker.set_faults(faults)
        return web.json_response({})

    async def _handle_drain(self, _request: web.Request) -> web.Response:
        await self.drain()
        return web.json_response({"at_ms": time.time_ns() // 1_000_000})


async def _run(
    settings: worker.Settings,
    admin_address: str,
    ledger_path: str,
    daemon_url: str,
    port: int,
) -> None:
    stop = process.create_stop_event()
    backend = BackendStandin(settings, admin_address, ledger_path, daemon_url)
    await backend.start(port)
    process.print_ready(
        "backend",
        service=settings.service,
        address=backend.address,
        control=f"{process.HOST}:{backend.control_port}",
    )
    await stop.wait()
    await backend.drain()
    await asyncio.sleep(_DRAIN_PROPAGATION_S)
    # A daemon that had not learned of the drain yet may have sent a call since.
    await backend.drain()
    await backend.close()


def _parse_work_ms(options: tuple[str, ...]) -> dict[str, float]:
    """Returns the work in milliseconds by prefix from "/prefix=ms" options."""
    pairs = [option.partition("=") for option in options]
    return {prefix: float(ms) for prefix, _, ms in pairs}


@click.command()
@click.option("--service", required=True, help="Service that it serves.")
@click.option("--admin", default="", help="Admin address of its daemon.")
@click.option("--daemon", default="", help="URL of its daemon for calls.")
@click.option("--port", default=0, help="Port for calls; 0: a free one.")
@click.option("--slots", default=12, help="Calls it runs concurrently.")
@click.option("--work", "work_ms", multiple=True, help="/prefix=ms of work.")
@click.option("--cold-start-s", default=2.0, help="Cold start in seconds.")
@click.option("--cold-factor", default=3.0, help="Slowdown in a cold start.")
@click.option(
    "--ledger", "ledger_path", default="", help="File that records runs."
)
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
    """Runs the stand-in for a backend server; SIGTERM drains and stops it."""
    process.configure_logging(f"{service} stand-in")
    settings = worker.Settings(
        service, slots, _parse_work_ms(work_ms), cold_start_s, cold_factor
    )
    run: Any = functools.partial(
        _run, settings, admin, ledger_path, daemon, port
    )
    process.run(run)


if __name__ == "__main__":
    main()

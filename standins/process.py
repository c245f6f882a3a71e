"""What every stand-in process does: ready line, signals, HTTP ports."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = "127.0.0.1"


def configure_logging(name: str) -> None:
    """Sends log lines of level info and above to stderr."""
    logging.basicConfig(
        level=logging.INFO, format=f"%(asctime)s {name}: %(message)s"
    )


def print_ready(name: str, **fields: object) -> None:
    """Prints the one JSON line that says that the ports are open."""
    print(json.dumps({"ready": name, **fields}), flush=True)


def wait_for_stop_signal() -> asyncio.Event:
    """Returns an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def serve(
    application: web.Application,
    port: int = 0,
    handler_cancellation: bool = False,
    shutdown_timeout: float = 60.0,
) -> tuple[web.AppRunner, int]:
    """Serves an application on loopback and returns runner and port."""
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=shutdown_timeout,
    )
    await runner.setup()
    site = web.TCPSite(runner, HOST, port)
    await site.start()
    return runner, runner.addresses[0][1]


def run(main: Callable[[], object]) -> None:
    """Runs the coroutine function of a stand-in until it returns."""
    asyncio.run(main())  # type: ignore[arg-type]

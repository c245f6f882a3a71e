"""Common parts of the stand-in processes: ready line, signals, HTTP ports."""

from __future__ import annotations

import asyncio
import json
import logging
import signal
from typing import Any, TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

HOST = "127.0.0.1"


def configure_logging(name: str) -> None:
    """Sends log lines of level info and above to stderr.

    Args:
        name: Name of the process, which each line contains.
    """
    logging.basicConfig(
        level=logging.INFO, format=f"%(asctime)s {name}: %(message)s"
    )


def print_ready(name: str, **fields: object) -> None:
    """Prints the ready line, a JSON object, once the ports are open.

    Nothing else is printed on stdout.

    Args:
        name: Name of the process.
        fields: Further fields of the object, such as addresses and ports.
    """
    print(json.dumps({"ready": name, **fields}), flush=True)


def create_stop_event() -> asyncio.Event:
    """Returns an event that is set on SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    return stop


async def serve(
    application: web.Application,
    port: int = 0,
    handler_cancellation: bool = False,
    shutdown_timeout_s: float = 60.0,
    **limits: Any,
) -> tuple[web.AppRunner, int]:
    """Serves an application on loopback.

    Args:
        application: Application to serve.
        port: Port to listen on; 0 chooses a free one.
        handler_cancellation: Whether a handler is cancelled when its caller
            disconnects.
        shutdown_timeout_s: Time in seconds that open requests get when the
            runner is cleaned up.
        **limits: Limits of aiohttp's parser, such as `max_headers`.

    Returns:
        The runner, which the caller cleans up, and the port.
    """
    runner = web.AppRunner(
        application,
        access_log=None,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=shutdown_timeout_s,
        **limits,
    )
    await runner.setup()
    site = web.TCPSite(runner, HOST, port)
    await site.start()
    return runner, runner.addresses[0][1]


def run(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Runs the main coroutine function of a stand-in until it returns."""
    asyncio.run(main())

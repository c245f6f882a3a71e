"""Event loop, signal handling and graceful stop of a process."""

from __future__ import annotations

import asyncio
import gc
import os
import pathlib
import signal
from typing import TYPE_CHECKING

import mode

from merlintrestle import errors
from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Callable

events = event_logs.EventLog("application")

EXIT_OK = 0
EXIT_CRASHED = 1
EXIT_SECOND_SIGNAL = 3
# Net allocations before a collection, and collections of a younger generation
# before one of the next older. The defaults (700, 10) cause a collection every
# few calls. Higher values make each collection, and thus each pause, longer.
_GC_THRESHOLDS = (5_000, 20, 20)
_OPEN_FILES = pathlib.Path("/proc/self/fd")


class IoUringError(errors.MerlintrestleError):
    """The event loop opened an io_uring, which instances do not allow."""


class Program(mode.Service):
    """The root service of a process."""

    def reload(self) -> None:
        """Applies changed settings; called on SIGHUP."""
        events.note("reload", changed=[])


def run(create: Callable[[], Program]) -> int:
    """Runs a service until a signal stops it or it crashes.

    SIGTERM or SIGINT starts a graceful stop; a second one ends the process
    without waiting for requests in flight. SIGHUP, which by default ends a
    process, reloads the settings.

    Args:
        create: Creates the service; called in the running event loop.

    Returns:
        The exit status of the process.
    """
    # libuv reads the variable when it creates its loop. Without it, uvloop
    # 0.22.1 opens two rings; check_io_uring makes sure that none is open.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(create))


def check_io_uring() -> None:
    """Checks that this process has no io_uring open.

    Raises:
        IoUringError: If one of the open files is an io_uring.
    """
    for link in _OPEN_FILES.iterdir():
        try:
            target = link.readlink()
        except FileNotFoundError:
            continue
        if "io_uring" in target.name:
            raise IoUringError("the event loop library opened an io_uring")


def pause_gc() -> None:
    """Disables the garbage collector during startup.

    Imported modules are never freed. Traversing this growing heap repeatedly
    would delay the time at which the daemon accepts calls.
    """
    gc.disable()


def resume_gc() -> None:
    """Enables the garbage collector, with few runs and for new objects only.

    Reference counts free nearly all garbage of a call. Collections find only
    cycles, such as those of tracebacks, yet each collection pauses all calls in
    flight, and traversing the objects that were created during startup makes
    the longest pause. These objects are frozen without a first collection: it
    would pause the first calls and free little.
    """
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()


async def _run(create: Callable[[], Program]) -> int:
    check_io_uring()
    service = create()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _handle_stop_signal, stop)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    await service.start()
    resume_gc()
    result = await service.wait(stop)
    await service.stop()
    return EXIT_CRASHED if result.stopped else EXIT_OK


def _handle_stop_signal(stop: asyncio.Event) -> None:
    if stop.is_set():
        events.warn("second stop signal")
        os._exit(EXIT_SECOND_SIGNAL)
    events.note("stop")
    stop.set()

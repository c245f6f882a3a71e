"""Running a process: its event loop, its signals, its planned stop."""

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
# Objects made and not freed between two collections, and younger collections
# before an older one. More than the defaults (700, 10), which collect every
# few calls; but all that piles up in between is looked through at one stroke.
_GC_THRESHOLDS = (5_000, 20, 20)
_OPEN_FILES = pathlib.Path("/proc/self/fd")


class IoUringError(errors.MerlintrestleError):
    """The event loop opened an io_uring, which the instances forbid."""


class Program(mode.Service):
    """A service that is a process of its own."""

    def reload(self) -> None:
        """Takes over what changed in its settings; called on SIGHUP."""
        events.note("reload", changed=[])


def run(create: Callable[[], Program]) -> int:
    """Runs a service until a signal stops it or it crashes.

    SIGTERM or SIGINT begins the planned stop; a second one ends the process
    without waiting for requests in flight. SIGHUP, which would end a process
    that does not expect it, has the settings read again.

    Args:
        create: Makes the service; called inside the running event loop.

    Returns:
        The process's exit status.
    """
    # libuv reads the variable when its loop is made. With uvloop 0.22.1 it
    # opens two rings without it; check_io_uring proves that none is open.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(create))


def check_io_uring() -> None:
    """Refuses to go on if this process has an io_uring open.

    Raises:
        IoUringError: One of the open files is a ring.
    """
    for link in _OPEN_FILES.iterdir():
        try:
            target = link.readlink()
        except FileNotFoundError:
            continue
        if "io_uring" in target.name:
            raise IoUringError("the event loop library opened an io_uring")


def pause_gc() -> None:
    """Has the garbage collector wait until the start is over.

    What is imported stays. Looked through again and again while it grows, it
    would take a part of the time for which callers find the daemon closed.
    """
    gc.disable()


def resume_gc() -> None:
    """Has the garbage collector run rarely, and over new objects alone.

    Nearly all garbage of a call is freed by its reference counts. Collections
    find only the cycles, such as tracebacks, yet each stops every call in
    flight, the longest while it looks through all that start-up imported.
    That is left out even once: it would stop the first calls, and finds little.
    """
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()


async def _run(create: Callable[[], Program]) -> int:
    check_io_uring()
    service = create()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _receive_signal, stop)
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    await service.start()
    resume_gc()
    result = await service.wait(stop)
    await service.stop()
    return EXIT_CRASHED if result.stopped else EXIT_OK


def _receive_signal(stop: asyncio.Event) -> None:
    if stop.is_set():
        events.warn("second stop signal")
        os._exit(EXIT_SECOND_SIGNAL)
    events.note("stop")
    stop.set()

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
# Thresholds of the three generations for gc.set_threshold(): the net number of
# allocations before a collection of the youngest, and for each older generation
# the number of collections of the next younger one. The defaults (700, 10)
# cause a collection every few requests. Higher values make each collection, and
# thus each pause, longer.
_GC_THRESHOLDS = (5_000, 20, 20)
_OPEN_FILES = pathlib.Path("/proc/self/fd")


class IoUringError(errors.MerlintrestleError):
    """The event loop opened an io_uring, which instances do not allow."""


class Program(mode.Service):
    """The root service of a process, which `run` starts and stops."""

    def reload(self) -> None:
        """Logs that no setting changed; called on SIGHUP.

        Subclasses with settings that can change override it.
        """
        events.note("reload", changed=[])


def run(create_program: Callable[[], Program]) -> int:
    """Runs a program until a signal stops it or it crashes.

    SIGTERM or SIGINT starts a graceful stop; a second one ends the process
    without waiting for requests in flight. SIGHUP, which by default ends a
    process, reloads the settings.

    Args:
        create_program: Called in the running event loop.

    Returns:
        The exit status of the process.
    """
    # libuv reads this variable when it creates its loop. Without it, uvloop
    # 0.22.1 opens two io_urings; check_io_uring() checks that none is open.
    os.environ["UV_USE_IO_URING"] = "0"
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(create_program))


def check_io_uring() -> None:
    """Checks that this process has no io_uring open.

    Raises:
        IoUringError: If one of the open files is an io_uring.
    """
    for symlink in _OPEN_FILES.iterdir():
        try:
            target = symlink.readlink()
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
    """Enables the garbage collector with high thresholds, for new objects only.

    Reference counts free nearly all garbage of a call. Collections find only
    cycles, such as those of tracebacks, yet each collection pauses all calls in
    flight, and traversing the objects that were created during startup makes
    the longest pause. These objects are frozen without a first collection: it
    would pause the first calls and free little.
    """
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    gc.enable()


async def _run(create_program: Callable[[], Program]) -> int:
    check_io_uring()
    program = create_program()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _handle_stop_signal, stop)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    await program.start()
    resume_gc()
    result = await program.wait(stop)
    await program.stop()
    # `stopped` is True if the program ended before a stop signal.
    return EXIT_CRASHED if result.stopped else EXIT_OK


def _handle_stop_signal(stop: asyncio.Event) -> None:
    if stop.is_set():
        events.warn("second stop signal")
        os._exit(EXIT_SECOND_SIGNAL)
    events.note("stop")
    stop.set()

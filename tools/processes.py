"""Starts, watches and stops the processes of the demo and measurements."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
from typing import Any, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine

ROOT = pathlib.Path(__file__).parent.parent
_READY_WITHIN_S = 30.0
_STOP_WITHIN_S = 5.0
_TAIL_LINES = 15


class ProcessError(Exception):
    """A process did not become ready or ended before its time."""


class Process:
    """One child process that printed its ready line.

    Attributes:
        name: What people call it.
        arguments: How it was started.
        pid: Its process id.
        ready_fields: Fields of its ready line.
        stderr_path: File that holds what it wrote to stderr.
    """

    def __init__(
        self,
        name: str,
        arguments: list[str],
        child: asyncio.subprocess.Process,
        stderr_path: pathlib.Path,
    ):
        self.name = name
        self.arguments = arguments
        self.pid = child.pid
        self.ready_fields: dict[str, Any] = {}
        self.stderr_path = stderr_path
        self._child = child
        self._drain: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """False once it has ended."""
        return self._child.returncode is None

    @property
    def exit_status(self) -> int | None:
        """Exit status; negative: the signal that ended it."""
        return self._child.returncode

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to this process if it still runs."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, number)

    async def wait(self) -> int:
        """Returns its exit status when it has ended."""
        return await self._child.wait()

    async def stop(self, within_s: float = _STOP_WITHIN_S) -> None:
        """Ends it by SIGTERM, and by SIGKILL where that is not enough."""
        # A stopped process takes SIGTERM only when it goes on.
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._child.wait(), within_s)
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Ends it by SIGKILL."""
        self.send_signal(signal.SIGKILL)
        await self._child.wait()

    def read_last_stderr_lines(self) -> str:
        """Returns the last lines it wrote to stderr."""
        text = self.stderr_path.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-_TAIL_LINES:])

    async def wait_ready(self) -> None:
        """Waits for the ready line.

        Raises:
            ProcessError: It ended, or printed something else, or nothing.
        """
        assert self._child.stdout is not None
        try:
            self.ready_fields = await asyncio.wait_for(
                _read_ready(self._child.stdout), _READY_WITHIN_S
            )
        except (TimeoutError, ValueError) as error:
            raise ProcessError(
                f"{self.name} did not become ready:\n"
                f"{self.read_last_stderr_lines()}"
            ) from error
        # A full pipe would stop the process in the middle of a line.
        self._drain = asyncio.create_task(_discard(self._child.stdout))


async def _read_ready(stream: asyncio.StreamReader) -> dict[str, Any]:
    """Returns the ready line; log lines may come before it.

    Raises:
        ValueError: The output ended without it.
    """
    while line := await stream.readline():
        if line.startswith(b'{"ready"'):
            return json.loads(line)
    raise ValueError("the output ended")


async def _discard(stream: asyncio.StreamReader) -> None:
    while await stream.read(65536):
        pass


class ProcessTable:
    """The processes of one run; `close` leaves none behind.

    Attributes:
        directory: Folder for temporary files of the run.
    """

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="merlintrestle-")
        self.directory = pathlib.Path(self._folder.name)
        self._processes: list[Process] = []
        self._started = 0

    async def start(self, name: str, *arguments: str) -> Process:
        """Starts `python -m arguments...` and waits for its ready line.

        Args:
            name: What people call it; used in messages.
            arguments: Module and its arguments.

        Raises:
            ProcessError: It did not become ready.
        """
        self._started += 1
        stderr_path = self.directory / f"{self._started}-{name}.err"
        with stderr_path.open("wb") as file:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=file,
                # Ctrl-C reaches this program alone, which stops the others.
                start_new_session=True,
            )
        process = Process(name, list(arguments), child, stderr_path)
        self._processes.append(process)
        await process.wait_ready()
        return process

    async def close(self) -> None:
        """Stops every process that still runs and removes the files."""
        running = [p for p in self._processes if p.running]
        await asyncio.gather(*(process.stop() for process in running))
        self._folder.cleanup()


async def run_operator(*arguments: str) -> tuple[int, str, str]:
    """Runs the operators' program; returns status, stdout and stderr."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "merlintrestle.operators.command",
        *arguments,
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        start_new_session=True,
    )
    try:
        out, err = await child.communicate()
    finally:
        if child.returncode is None:
            child.kill()
            await child.wait()
    assert child.returncode is not None
    return child.returncode, out.decode(), err.decode()


def run(main: Coroutine[Any, Any, int]) -> int:
    """Runs a program's coroutine; SIGTERM ends it as Ctrl-C does."""
    return asyncio.run(_run_until_signal(main))


async def _run_until_signal(main: Coroutine[Any, Any, int]) -> int:
    task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        print("stopped by a signal", file=sys.stderr)
        return 130

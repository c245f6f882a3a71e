"""Starts and stops the processes of the demonstration and measurements."""

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
_READY_TIMEOUT_S = 30.0
_STOP_TIMEOUT_S = 5.0
_LAST_STDERR_LINES = 15


class ProcessError(Exception):
    """A process or a fleet did not do what was asked of it.

    A process did not become ready, ended too early or failed, or a version was
    not active on all daemons in time.
    """


class Process:
    """A child process that prints a ready line when it has started.

    Attributes:
        name: Name used in messages and in the name of the stderr file.
        arguments: Module and arguments that it was started with.
        pid: Process id.
        ready_fields: Fields of the ready line; empty until it was read.
        stderr_path: File that holds the process's stderr.
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
        self._discard_task: asyncio.Task[None] | None = None

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self._child.returncode is None

    @property
    def exit_status(self) -> int | None:
        """Exit status; None while running, negative if a signal ended it."""
        return self._child.returncode

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is still running."""
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.pid, signal_number)

    async def wait(self) -> int:
        """Waits until the process has ended and returns its exit status."""
        return await self._child.wait()

    async def stop(self, within_s: float = _STOP_TIMEOUT_S) -> None:
        """Ends the process with SIGTERM, or with SIGKILL after a timeout.

        Args:
            within_s: Seconds to wait after SIGTERM.
        """
        # A process stopped by SIGSTOP handles SIGTERM only once it continues.
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self._child.wait(), within_s)
        except TimeoutError:
            await self.kill()

    async def kill(self) -> None:
        """Ends the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)
        await self._child.wait()

    def read_last_stderr_lines(self) -> str:
        """Returns the last lines that the process wrote to stderr."""
        text = self.stderr_path.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-_LAST_STDERR_LINES:])

    async def wait_ready(self) -> None:
        """Waits for the ready line.

        Raises:
            ProcessError: The process ended or printed no valid ready line
                within the timeout.
        """
        assert self._child.stdout is not None
        try:
            self.ready_fields = await asyncio.wait_for(
                _read_ready_line(self._child.stdout), _READY_TIMEOUT_S
            )
        except (TimeoutError, ValueError) as error:
            raise ProcessError(
                f"{self.name} did not become ready:\n"
                f"{self.read_last_stderr_lines()}"
            ) from error
        # A full pipe would block the process in the middle of a line.
        self._discard_task = asyncio.create_task(
            _discard_output(self._child.stdout)
        )


async def _read_ready_line(stream: asyncio.StreamReader) -> dict[str, Any]:
    """Returns the fields of the ready line; log lines may precede it.

    Raises:
        ValueError: The output ended without a ready line, or the line is not
            valid JSON.
    """
    while line := await stream.readline():
        if line.startswith(b'{"ready"'):
            return json.loads(line)
    raise ValueError("the output ended")


async def _discard_output(stream: asyncio.StreamReader) -> None:
    while await stream.read(65536):
        pass


class ProcessTable:
    """The processes of one program run; `close` stops them all.

    Attributes:
        directory: Directory for temporary files of the run.
    """

    def __init__(self) -> None:
        self._temporary_directory = tempfile.TemporaryDirectory(
            prefix="merlintrestle-"
        )
        self.directory = pathlib.Path(self._temporary_directory.name)
        self._processes: list[Process] = []
        self._start_count = 0

    async def start(self, name: str, *arguments: str) -> Process:
        """Starts a module with `python -m` and waits for its ready line.

        Args:
            name: Name used in messages and in the name of the stderr file.
            arguments: Module and its arguments.

        Raises:
            ProcessError: The process did not become ready.
        """
        self._start_count += 1
        stderr_path = self.directory / f"{self._start_count}-{name}.err"
        with stderr_path.open("wb") as stderr_file:
            child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": str(ROOT)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=stderr_file,
                # Ctrl-C signals only this program, which stops its children.
                start_new_session=True,
            )
        process = Process(name, list(arguments), child, stderr_path)
        self._processes.append(process)
        await process.wait_ready()
        return process

    async def close(self) -> None:
        """Stops every running process and removes the temporary files."""
        running = [p for p in self._processes if p.running]
        await asyncio.gather(*(process.stop() for process in running))
        self._temporary_directory.cleanup()


async def run_operators_command(*arguments: str) -> tuple[int, str, str]:
    """Runs the operators' command; returns exit status, stdout and stderr."""
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
    """Runs a main coroutine; SIGTERM and SIGINT cancel it.

    Returns:
        Exit status of the program; after either signal 130, the shell's status
        for SIGINT.
    """
    return asyncio.run(_run_until_signal(main))


async def _run_until_signal(main: Coroutine[Any, Any, int]) -> int:
    main_task = asyncio.ensure_future(main)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, main_task.cancel)
    try:
        return await main_task
    except asyncio.CancelledError:
        print("stopped by a signal", file=sys.stderr)
        return 130

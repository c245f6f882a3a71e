"""Recorder of the steps of three daemons, for tests with golden files."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

from merlintrestle.schema import control_pb2
from tests.versions import builders

GOLDEN_FILES = pathlib.Path(__file__).parents[1] / "roots" / "control"
DAEMON_NAMES = "ABC"


class StepRecorder:
    """Runs three daemons and records their steps for each version.

    Within a phase the lines are grouped by daemon, as the daemons work
    concurrently; the lines of a daemon are in the order of its steps.

    Attributes:
        configuration: The configuration in the store.
        daemons: The daemons by name.
        lines: The lines recorded so far.
    """

    def __init__(self) -> None:
        self.configuration = builders.FakeConfiguration()
        self.daemons: dict[str, builders.Daemon] = {}
        self.lines: list[str] = []
        self._names: dict[str, str] = {}
        self._steps: dict[str, list[str]] = {}

    async def start(self) -> None:
        """Starts the daemons, at their previous addresses if there are any."""
        previous = dict(self.daemons)
        seeds = [daemon.id for daemon in previous.values()]
        for name in DAEMON_NAMES:
            port = previous[name].server.port if name in previous else 0
            daemon = builders.Daemon(self.configuration, seeds, port=port)
            self.daemons[name] = daemon
            self._names[daemon.id] = name
            seeds = seeds or [daemon.id]
            self._record(name, daemon)
        await asyncio.gather(
            *(daemon.start() for daemon in self.daemons.values())
        )

    async def close(self) -> None:
        """Stops the daemons."""
        await asyncio.gather(
            *(daemon.close() for daemon in self.daemons.values())
        )

    async def wait_for_contact(self) -> None:
        """Waits until all daemons know each other and have links."""
        await builders.wait_until(
            lambda: all(
                len(daemon.table.list_usable_ids()) == len(DAEMON_NAMES)
                and len(daemon.membership.links.get_links())
                >= len(DAEMON_NAMES) - 1
                for daemon in self.daemons.values()
            )
        )

    async def wait_for_version(self, version: int) -> None:
        """Waits until all daemons have activated a version in this phase.

        Each does so only after both others have recorded the version.
        """
        step = f"run {version}"
        await builders.wait_until(
            lambda: all(
                step in self._steps.get(name, ()) for name in DAEMON_NAMES
            )
        )

    def begin_phase(self, title: str) -> None:
        """Starts a phase; steps before it are dropped."""
        self._steps.clear()
        self.lines.append(f"== {title}")

    def end_phase(self) -> None:
        """Adds the steps of each daemon to the lines."""
        for name in DAEMON_NAMES:
            for step in self._steps.get(name, ()):
                self.lines.append(f"{name}: {step}")

    def add_states(self) -> None:
        """Adds the active version of each daemon, or why it is closed."""
        for name, daemon in self.daemons.items():
            active_version = daemon.active_version
            state = f"closed, {active_version.closed_reason}"
            if not active_version.closed_reason:
                state = f"open, runs {active_version.version}"
            self.lines.append(f"{name}: {state}")

    def _record(self, name: str, daemon: builders.Daemon) -> None:
        self._record_marks(name, daemon.membership.peers)
        archive: Any = daemon.distribution.archive
        active_version: Any = daemon.active_version
        self._record_success(name, archive, "add", "hold")
        self._record_success(name, active_version, "activate", "run")

    def _record_success(
        self, name: str, component: Any, method: str, step: str
    ) -> None:
        original = getattr(component, method)

        def record_call(snapshot: Any) -> bool:
            succeeded = original(snapshot)
            if succeeded:
                self._add_step(name, f"{step} {snapshot.version}")
            return succeeded

        setattr(component, method, record_call)

    def _record_marks(self, name: str, peers: Any) -> None:
        original = peers.call

        async def record_call(
            address: str, method: str, request: Any, timeout_s: float
        ) -> Any:
            reply = await original(address, method, request, timeout_s)
            if isinstance(reply, control_pb2.MarkReply):
                witness = self._names[address]
                self._add_step(name, f"mark {request.version} with {witness}")
                self._sort_marks(name)
            return reply

        peers.call = record_call

    def _add_step(self, name: str, step: str) -> None:
        steps = self._steps.setdefault(name, [])
        if step not in steps:
            steps.append(step)

    def _sort_marks(self, name: str) -> None:
        """Sorts two consecutive marks by witness."""
        steps = self._steps[name]
        if len(steps) > 1 and all(s.startswith("mark") for s in steps[-2:]):
            steps[-2:] = sorted(steps[-2:])


def read_golden_file(name: str) -> list[str]:
    """Returns the lines of a golden file."""
    path = GOLDEN_FILES / f"{name}.txt"
    return path.read_text(encoding="utf-8").splitlines()

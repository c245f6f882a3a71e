"""Records what a fleet of three daemons does, for golden files."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

from merlintrestle.schema import control_pb2
from tests.versions import builders

ROOTS = pathlib.Path(__file__).parents[1] / "roots" / "control"
NAMES = "ABC"


class Session:
    """Three daemons and the lines that tell what became of a version.

    Within one phase the lines are grouped by daemon, as the daemons work at
    the same time; the order of one daemon's lines is the order of its steps.

    Attributes:
        configuration: The store.
        daemons: The daemons by name.
        lines: The session so far.
    """

    def __init__(self) -> None:
        self.configuration = builders.FakeConfiguration()
        self.daemons: dict[str, builders.Daemon] = {}
        self.lines: list[str] = []
        self._names: dict[str, str] = {}
        self._steps: dict[str, list[str]] = {}

    async def start(self) -> None:
        """Starts the daemons, at their addresses if they ran before."""
        old = dict(self.daemons)
        seeds = [daemon.id for daemon in old.values()]
        for name in NAMES:
            port = old[name].server.port if name in old else 0
            daemon = builders.Daemon(self.configuration, seeds, port=port)
            self.daemons[name] = daemon
            self._names[daemon.id] = name
            seeds = seeds or [daemon.id]
            self._record(name, daemon)
        await asyncio.gather(*(one.start() for one in self.daemons.values()))

    async def close(self) -> None:
        """Ends the daemons."""
        await asyncio.gather(*(one.close() for one in self.daemons.values()))

    async def wait_for_contact(self) -> None:
        """Waits until all know each other and hold links."""
        await builders.wait_until(
            lambda: all(
                len(daemon.table.list_usable_ids()) == len(NAMES)
                and len(daemon.membership.links.get_links()) >= len(NAMES) - 1
                for daemon in self.daemons.values()
            )
        )

    async def wait_for_version(self, version: int) -> None:
        """Waits until all run a version that both others recorded."""
        done = f"run {version}"
        await builders.wait_until(
            lambda: all(done in self._steps.get(name, ()) for name in NAMES)
        )

    def begin_phase(self, title: str) -> None:
        """Begins a phase; steps before it are dropped."""
        self._steps.clear()
        self.lines.append(f"== {title}")

    def end_phase(self) -> None:
        """Writes the steps of each daemon."""
        for name in NAMES:
            for step in self._steps.get(name, ()):
                self.lines.append(f"{name}: {step}")

    def write_states(self) -> None:
        """Writes what each daemon runs and whether it is closed."""
        for name, daemon in self.daemons.items():
            holder = daemon.holder
            state = f"closed, {holder.closed_reason}"
            if not holder.closed_reason:
                state = f"open, runs {holder.version}"
            self.lines.append(f"{name}: {state}")

    def _record(self, name: str, daemon: builders.Daemon) -> None:
        self._record_marks(name, daemon.membership.peers)
        archive: Any = daemon.distribution.archive
        holder: Any = daemon.holder
        self._record_success(name, archive, "add", "hold")
        self._record_success(name, holder, "activate", "run")

    def _record_success(
        self, name: str, part: Any, method: str, step: str
    ) -> None:
        inner = getattr(part, method)

        def call(snapshot: Any) -> bool:
            done = inner(snapshot)
            if done:
                self._add(name, f"{step} {snapshot.version}")
            return done

        setattr(part, method, call)

    def _record_marks(self, name: str, peers: Any) -> None:
        inner = peers.call

        async def call(
            address: str, method: str, request: Any, timeout_s: float
        ) -> Any:
            reply = await inner(address, method, request, timeout_s)
            if isinstance(reply, control_pb2.MarkReply):
                witness = self._names[address]
                self._add(name, f"mark {request.version} with {witness}")
                self._sort_marks(name)
            return reply

        peers.call = call

    def _add(self, name: str, step: str) -> None:
        steps = self._steps.setdefault(name, [])
        if step not in steps:
            steps.append(step)

    def _sort_marks(self, name: str) -> None:
        """Puts two marks in a row in the order of their witnesses."""
        steps = self._steps[name]
        if len(steps) > 1 and all(s.startswith("mark") for s in steps[-2:]):
            steps[-2:] = sorted(steps[-2:])


def read_root(name: str) -> list[str]:
    """Returns the lines of a golden file."""
    path = ROOTS / f"{name}.txt"
    return path.read_text(encoding="utf-8").splitlines()

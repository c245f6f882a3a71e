"""Soak test in which the store comes back from older copies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.platform import notice_soak

if TYPE_CHECKING:
    from tests.platform import processes

# Time from the write of a version until all daemons run it, in seconds. One of
# them may have just been stopped or started.
_IN_FORCE_S = 5.0


class EraSoak(notice_soak.NoticeSoak):
    """Soak test in which the store also comes back from older copies.

    What the operators wrote since is written again. The daemons must run the
    newest version soon after its last write.
    """

    def __init__(self, seed: int):
        """Sets the seed of the random generator."""
        super().__init__(seed)
        self._drilling = False
        # What the operators wrote last.
        self._configuration = b""
        self._actions |= {
            "come back": self._come_back,
            "come back again": self._come_back,
        }

    async def _write_configuration(self, configuration: bytes) -> None:
        self._configuration = configuration
        await super()._write_configuration(configuration)

    async def _run_actions(self) -> None:
        """Runs the actions, and checks which versions run in the end."""
        await super()._run_actions()
        await self._configure()
        try:
            async with asyncio.timeout(_IN_FORCE_S):
                while not all(map(self._runs_newest, self._fleet.daemons)):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            running = [
                _find_running_version(daemon) for daemon in self._fleet.daemons
            ]
            self.result.violations.append(
                f"version {self._version} is not in force: {running}"
            )

    def _runs_newest(self, daemon: processes.DaemonProcess) -> bool:
        return _find_running_version(daemon) == self._version

    async def _come_back(self) -> None:
        """Makes the store go away and come back from a copy."""
        if self._drilling:
            return
        self._drilling = True
        store = self._fleet.store
        copy = store.take_copy()
        for _ in range(self._random.randint(10, 60)):
            # Other writers raise the revision, which then goes back.
            await store.write("servers/other", b"")
            await asyncio.sleep(0.05)
        store.faults.status = 503
        await asyncio.sleep(self._random.uniform(0.1, 1.0))
        await store.come_back(copy)
        store.faults.status = 0
        await asyncio.sleep(self._random.uniform(0.0, 0.5))
        await super()._write_configuration(self._configuration)
        self._drilling = False


def _find_running_version(daemon: processes.DaemonProcess) -> int:
    """Returns the version that a daemon activated last, by its log."""
    return max(
        (
            line["version"]
            for line in daemon.lines
            if line.get("event") == "version runs"
        ),
        default=0,
    )

"""Memory of a child process, unread bytes of its connections included."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
from typing import NamedTuple

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_INTERVAL_S = 0.25
_LISTENING = "0A"
_MB = 1e6


class Usage(NamedTuple):
    """Largest values that were seen, in MB, and descriptors.

    Attributes:
        total_mb: Resident memory and unread bytes at one time.
        resident_mb: Resident memory.
        unread_mb: Bytes received from the network and not yet read.
        descriptors: Open descriptors.
    """

    total_mb: float = 0.0
    resident_mb: float = 0.0
    unread_mb: float = 0.0
    descriptors: int = 0

    def join(self, other: Usage) -> Usage:
        """Returns the larger one of each value."""
        return Usage(
            max(self.total_mb, other.total_mb),
            max(self.resident_mb, other.resident_mb),
            max(self.unread_mb, other.unread_mb),
            max(self.descriptors, other.descriptors),
        )


class MemoryWatch:
    """Watches a process and kills it once it exceeds the bound.

    Attributes:
        largest: Largest usage so far.
        exceeded: Whether the process was killed.
    """

    def __init__(self, pid: int, address: str, bound_mb: float):
        """Sets what to watch; `run` watches it.

        Args:
            pid: Id of the process.
            address: IP address that only this process listens on.
            bound_mb: Memory of its machine, in MB.
        """
        self.largest = Usage()
        self.exceeded = False
        self._pid = pid
        self._address = "".join(
            f"{int(part):02X}" for part in reversed(address.split("."))
        )
        self._bound_mb = bound_mb

    async def run(self) -> None:
        """Watches until it is cancelled or the process has ended."""
        while not self.exceeded:
            try:
                usage = await asyncio.to_thread(self.measure)
            except FileNotFoundError:
                return
            self.largest = self.largest.join(usage)
            if usage.total_mb > self._bound_mb:
                self.exceeded = True
                os.kill(self._pid, signal.SIGKILL)
            await asyncio.sleep(_INTERVAL_S)

    def measure(self) -> Usage:
        """Returns the present usage."""
        folder = pathlib.Path(f"/proc/{self._pid}")
        pages = int((folder / "statm").read_text().split()[1])
        inodes = self._list_sockets(folder / "fd")
        resident_mb = pages * _PAGE_BYTES / _MB
        unread_mb = self._count_unread(inodes) / _MB
        return Usage(
            resident_mb + unread_mb, resident_mb, unread_mb, len(inodes)
        )

    def _list_sockets(self, folder: pathlib.Path) -> list[str]:
        links = []
        for name in os.listdir(folder):
            try:
                links.append(os.readlink(folder / name))
            except FileNotFoundError:
                continue
        return [link.partition("[")[2][:-1] for link in links]

    def _count_unread(self, inodes: list[str]) -> int:
        """Returns the unread bytes, also of connections not yet accepted."""
        own = set(inodes)
        unread = 0
        with open("/proc/net/tcp", encoding="ascii") as lines:
            next(lines)
            for line in lines:
                fields = line.split()
                if fields[3] == _LISTENING:
                    continue
                local = fields[1].partition(":")[0]
                if local == self._address or fields[9] in own:
                    unread += int(fields[4].partition(":")[2], 16)
        return unread

"""Samples of processor time, memory and bytes on sockets from the kernel."""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import shutil
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


class SocketTotal(NamedTuple):
    """Bytes that one TCP connection has carried, seen from one end.

    Attributes:
        local: Port of this end.
        remote: Port of the other end.
        carried: Bytes sent and received since it was opened.
    """

    local: int
    remote: int
    carried: int


def read_cpu_s(pid: int) -> float:
    """Returns the seconds of processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB (2**20 bytes)."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def read_sockets() -> list[SocketTotal]:
    """Returns all open TCP connections of this machine, both ends each.

    Raises:
        FileNotFoundError: The program `ss` is not on this machine.
    """
    program = shutil.which("ss")
    if program is None:
        raise FileNotFoundError("ss")
    child = await asyncio.create_subprocess_exec(
        program,
        *("-tinHO", "state", "established"),
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await child.communicate()
    return [_parse_socket(line) for line in out.decode().splitlines()]


def _parse_socket(line: str) -> SocketTotal:
    local, remote = line.split()[2:4]
    carried = sum(map(int, _BYTES.findall(line)))
    return SocketTotal(_parse_port(local), _parse_port(remote), carried)


def _parse_port(address: str) -> int:
    return int(address.rpartition(":")[2])


async def read_control_bytes(
    control_ports: Collection[int], store_port: int
) -> dict[tuple[int, int], int]:
    """Returns the bytes of control connections by their pair of ports.

    Each end of a connection between two daemons is an item of its own, as
    sent bytes of one are received bytes of the other. Of a connection to the
    store only the daemon's end counts.
    """
    return {
        (total.local, total.remote): total.carried
        for total in await read_sockets()
        if total.local != store_port
        and (
            total.local in control_ports
            or total.remote in control_ports
            or total.remote == store_port
        )
    }


def compute_added_bytes(
    before: dict[tuple[int, int], int], after: dict[tuple[int, int], int]
) -> int:
    """Returns the bytes carried in between, by connections open at the end."""
    return sum(count - before.get(pair, 0) for pair, count in after.items())


def compute_percentile(
    values: Sequence[float], fraction: float
) -> float | None:
    """Returns the value that a fraction (0 to 1) of the values do not exceed.

    None where there are no values: JSON has no NaN.
    """
    if not values:
        return None
    ordered = sorted(values)
    place = max(0, -(-len(ordered) * fraction // 1) - 1)
    return ordered[min(len(ordered) - 1, int(place))]

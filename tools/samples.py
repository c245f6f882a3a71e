"""Samples of processor time, memory and socket traffic from the kernel."""

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
# Byte counters of a connection in the output of `ss`.
_BYTE_COUNTERS = re.compile(r"bytes_(?:sent|received):(\d+)")


class SocketTotal(NamedTuple):
    """Bytes that one end of a TCP connection has sent and received.

    Attributes:
        local_port: Port of this end.
        remote_port: Port of the other end.
        byte_count: Bytes sent and received since the connection was opened.
    """

    local_port: int
    remote_port: int
    byte_count: int


def read_cpu_s(pid: int) -> float:
    """Returns the seconds of processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    # The fields `utime` and `stime`, in clock ticks.
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB (2**20 bytes)."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    for line in text.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def read_sockets() -> list[SocketTotal]:
    """Returns the ends of all open TCP connections on this machine.

    Raises:
        FileNotFoundError: The program `ss` is not installed.
    """
    program = shutil.which("ss")
    if program is None:
        raise FileNotFoundError("ss")
    # TCP sockets with their internal counters, ports as numbers, no header, and
    # one line for each socket.
    child = await asyncio.create_subprocess_exec(
        program,
        *("-tinHO", "state", "established"),
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await child.communicate()
    return [_parse_socket(line) for line in out.decode().splitlines()]


def _parse_socket(line: str) -> SocketTotal:
    local, remote = line.split()[2:4]
    byte_count = sum(map(int, _BYTE_COUNTERS.findall(line)))
    return SocketTotal(_parse_port(local), _parse_port(remote), byte_count)


def _parse_port(address: str) -> int:
    return int(address.rpartition(":")[2])


async def read_control_bytes(
    control_ports: Collection[int], store_port: int
) -> dict[tuple[int, int], int]:
    """Returns the bytes of control connections by their pair of ports.

    A connection between two daemons has one item for each end. The bytes that
    one end sends are the bytes that the other receives, and they count for both
    daemons. A connection to the store has an item for the daemon's end only.

    Args:
        control_ports: Control ports of the daemons.
        store_port: Port of the store.
    """
    return {
        (total.local_port, total.remote_port): total.byte_count
        for total in await read_sockets()
        if total.local_port != store_port
        and (
            total.local_port in control_ports
            or total.remote_port in control_ports
            or total.remote_port == store_port
        )
    }


def compute_added_bytes(
    before: dict[tuple[int, int], int], after: dict[tuple[int, int], int]
) -> int:
    """Returns the bytes added between two readings of control connections.

    Counts only the connections that are open at the second reading.

    Args:
        before: Bytes by pair of ports at the first reading.
        after: Bytes by pair of ports at the second reading.
    """
    return sum(count - before.get(pair, 0) for pair, count in after.items())


def compute_percentile(
    values: Sequence[float], fraction: float
) -> float | None:
    """Returns a percentile of the values by the nearest-rank method.

    At least the fraction of the values are less than or equal to the result.

    Args:
        values: The values, in any order.
        fraction: From 0 to 1.

    Returns:
        The percentile; None if there are no values, as JSON has no NaN.
    """
    if not values:
        return None
    ordered = sorted(values)
    # The rank is rounded up.
    index = max(0, -(-len(ordered) * fraction // 1) - 1)
    return ordered[min(len(ordered) - 1, int(index))]

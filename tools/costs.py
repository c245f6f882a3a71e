"""What a fleet costs: control bytes, store calls, processor, memory."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple, TYPE_CHECKING

from tools import samples

if TYPE_CHECKING:
    from tools import fleet

_IDLE_S = 10.0


class IdleCosts(NamedTuple):
    """What a fleet costs while nothing changes.

    Attributes:
        bytes_per_s: Control bytes per second of the whole fleet.
        calls_per_s: Calls of the store per second.
        calls_by_kind: Calls of the store meanwhile by kind and key.
        watches: Watches that wait at the store.
        cpu_fractions: Share of a core by daemon.
        rss_mb: Resident memory by daemon in MB.
    """

    bytes_per_s: float
    calls_per_s: float
    calls_by_kind: dict[str, int]
    watches: int
    cpu_fractions: list[float]
    rss_mb: list[float]


async def measure_idle(shown: fleet.Fleet) -> IdleCosts:
    """Measures a fleet for a while in which nothing changes."""
    pids = [instance.daemon.pid for instance in shown.instances]
    counters = await shown.read_counters()
    cpu_s = [samples.read_cpu_s(pid) for pid in pids]
    carried = await read_control_bytes(shown)
    began = time.monotonic()
    await asyncio.sleep(_IDLE_S)
    took_s = time.monotonic() - began
    sent = samples.compute_added_bytes(carried, await read_control_bytes(shown))
    later = await shown.read_counters()
    used_s = [
        samples.read_cpu_s(pid) - before
        for pid, before in zip(pids, cpu_s, strict=True)
    ]
    return IdleCosts(
        bytes_per_s=sent / took_s,
        calls_per_s=(count_calls(later) - count_calls(counters)) / took_s,
        calls_by_kind=subtract_calls(counters, later),
        watches=later["waiting_watches"],
        cpu_fractions=[used / took_s for used in used_s],
        rss_mb=[samples.read_rss_mb(pid) for pid in pids],
    )


async def read_control_bytes(
    shown: fleet.Fleet,
) -> dict[tuple[int, int], int]:
    """Returns the bytes of a fleet's control connections, see samples."""
    ports = [i.daemon.ready_fields.get("control_port") for i in shown.instances]
    store_port = int(shown.store_address.rpartition(":")[2])
    return await samples.read_control_bytes(
        {port for port in ports if port}, store_port
    )


def count_calls(counters: dict[str, Any]) -> int:
    """Returns how many calls there were; kinds with a key repeat others."""
    calls: dict[str, int] = counters["calls"]
    return sum(count for kind, count in calls.items() if " " not in kind)


def subtract_calls(
    before: dict[str, Any], after: dict[str, Any]
) -> dict[str, int]:
    """Returns the calls in between, by kind and first part of the key."""
    calls: dict[str, int] = after["calls"]
    added = {
        kind: count - before["calls"].get(kind, 0)
        for kind, count in calls.items()
        if " " in kind
    }
    return {kind: count for kind, count in added.items() if count}


def find_peak_calls_per_s(counters: dict[str, Any], took_s: float) -> int:
    """Returns the most calls in any of the last seconds."""
    by_second: dict[str, int] = counters["calls_by_second"]
    first = time.time() - took_s - 1
    return max(
        (count for at, count in by_second.items() if int(at) >= first),
        default=0,
    )

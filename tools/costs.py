"""Costs of a fleet: control traffic, store calls, processor time and memory."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple, TYPE_CHECKING

from tools import samples

if TYPE_CHECKING:
    from tools import fleet

_IDLE_DURATION_S = 10.0


class IdleCosts(NamedTuple):
    """Costs of a fleet while nothing changes.

    Attributes:
        bytes_per_s: Control bytes per second of the whole fleet.
        calls_per_s: Calls to the store per second.
        calls_by_kind: Calls to the store during the measurement, by the kind of
            call and the first part of the key, such as "get head".
        watches: Watches that are open at the store.
        cpu_fractions: Fraction of one core that each daemon uses.
        rss_mb: Resident memory of each daemon, in MB (2**20 bytes).
    """

    bytes_per_s: float
    calls_per_s: float
    calls_by_kind: dict[str, int]
    watches: int
    cpu_fractions: list[float]
    rss_mb: list[float]


async def measure_idle(example_fleet: fleet.Fleet) -> IdleCosts:
    """Measures the costs of a fleet over an interval without changes."""
    pids = [instance.daemon.pid for instance in example_fleet.instances]
    counters_before = await example_fleet.read_counters()
    cpu_before_s = [samples.read_cpu_s(pid) for pid in pids]
    bytes_before = await read_fleet_control_bytes(example_fleet)
    started_s = time.monotonic()
    await asyncio.sleep(_IDLE_DURATION_S)
    elapsed_s = time.monotonic() - started_s
    added_bytes = samples.compute_added_bytes(
        bytes_before, await read_fleet_control_bytes(example_fleet)
    )
    counters = await example_fleet.read_counters()
    cpu_used_s = [
        samples.read_cpu_s(pid) - before_s
        for pid, before_s in zip(pids, cpu_before_s, strict=True)
    ]
    return IdleCosts(
        bytes_per_s=added_bytes / elapsed_s,
        calls_per_s=(count_calls(counters) - count_calls(counters_before))
        / elapsed_s,
        calls_by_kind=count_added_calls_by_kind(counters_before, counters),
        watches=counters["waiting_watches"],
        cpu_fractions=[used_s / elapsed_s for used_s in cpu_used_s],
        rss_mb=[samples.read_rss_mb(pid) for pid in pids],
    )


async def read_fleet_control_bytes(
    example_fleet: fleet.Fleet,
) -> dict[tuple[int, int], int]:
    """Returns the bytes of a fleet's control connections by pair of ports.

    See `samples.read_control_bytes`.
    """
    ports = [
        instance.daemon.ready_fields.get("control_port")
        for instance in example_fleet.instances
    ]
    store_port = int(example_fleet.store_address.rpartition(":")[2])
    return await samples.read_control_bytes(
        {port for port in ports if port}, store_port
    )


def count_calls(counters: dict[str, Any]) -> int:
    """Returns the number of calls that the store has counted.

    The store counts each call by its kind, such as "get", and a call with a key
    once more by its kind and the first part of the key, such as "get head".
    Only the former counts are added up.
    """
    calls: dict[str, int] = counters["calls"]
    return sum(count for kind, count in calls.items() if " " not in kind)


def count_added_calls_by_kind(
    before: dict[str, Any], after: dict[str, Any]
) -> dict[str, int]:
    """Returns the calls between two readings of the store's counters.

    Args:
        before: Counters of the store at the first reading.
        after: Counters of the store at the second reading.

    Returns:
        The number of calls by kind of call and first part of the key, such as
        "get head". Items without calls in between are left out.
    """
    calls: dict[str, int] = after["calls"]
    added = {
        kind: count - before["calls"].get(kind, 0)
        for kind, count in calls.items()
        if " " in kind
    }
    return {kind: count for kind, count in added.items() if count}


def find_peak_calls_per_s(counters: dict[str, Any], elapsed_s: float) -> int:
    """Returns the largest number of calls to the store in one second.

    Args:
        counters: Counters of the store.
        elapsed_s: Length of the interval to look at, which ends now, in
            seconds.
    """
    calls_by_second: dict[str, int] = counters["calls_by_second"]
    # Calls are counted by whole seconds, so the second in which the interval
    # begins has a number below the start of the interval.
    first_s = time.time() - elapsed_s - 1
    return max(
        (
            count
            for second, count in calls_by_second.items()
            if int(second) >= first_s
        ),
        default=0,
    )

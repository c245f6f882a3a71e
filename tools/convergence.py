"""Measures how versions reach every daemon and what that costs (issue 4)."""

from __future__ import annotations

import asyncio
import functools
import json
import logging
import pathlib
import statistics
import time
from typing import Any, NamedTuple, TYPE_CHECKING

from tools import costs
from tools import demonstration
from tools import fleet
from tools import layouts
from tools import processes
from tools import samples
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

_FIRST_WITHIN_S = 90.0
_CHANGE_WITHIN_S = 30.0
_SETTLE_S = 5.0
_AFTER_CHANGE_S = 2.0


class Options(NamedTuple):
    """What is measured.

    Attributes:
        layout: Fleet whose zones and documents are used.
        daemons: Number of daemons.
        changes: Number of changes.
        restart_fraction: Share of the daemons killed and started again right
            after each acceptance.
        store_down: The store fails right after each acceptance.
        store_fails_after_s: Seconds between acceptance and failure.
        spread: The daemons' setting, "fast" or "lean".
    """

    layout: layouts.Layout
    daemons: int
    changes: int
    restart_fraction: float
    store_down: bool
    store_fails_after_s: float
    spread: str


class ChangeFigures(NamedTuple):
    """What one change took.

    Attributes:
        delays_s: Seconds from the store's write of head until each daemon
            ran the version.
        missing: Daemons that did not run it in time.
        control_bytes: Control bytes of the whole fleet meanwhile, idle ones
            taken off.
        store_calls: Calls of the store meanwhile, idle ones taken off, the
            operator's own included.
        peak_calls_per_s: Most calls of the store in one second.
        late_s: Seconds from the store's return until the version was in
            force everywhere, where it was not before; None: not needed.
    """

    delays_s: list[float]
    missing: int
    control_bytes: float
    store_calls: float
    peak_calls_per_s: int
    late_s: float | None


async def measure(options: Options, with_baseline: bool) -> dict[str, Any]:
    """Measures the product and then the baseline."""
    build_arguments = functools.partial(
        layouts.build_daemon_arguments, spread=options.spread
    )
    figures = await _measure_kind(options, build_arguments)
    figures["spread"] = options.spread
    if with_baseline:
        figures["baseline"] = await _measure_kind(
            options, layouts.build_watcher_arguments
        )
    return figures


async def _measure_kind(
    options: Options, build_arguments: Callable[..., list[str]]
) -> dict[str, Any]:
    table = processes.ProcessTable()
    shown = fleet.Fleet(table, options.layout, build_arguments)
    zones = options.layout.zones
    services = list(options.layout.backend_counts)
    places = [
        layouts.Place(zones[i % len(zones)], services[i % len(services)])
        for i in range(options.daemons)
    ]
    try:
        await shown.start(places, start_backends=False)
        return await _measure_fleet(options, table, shown)
    finally:
        await shown.close()
        await table.close()


async def _measure_fleet(
    options: Options, table: processes.ProcessTable, shown: fleet.Fleet
) -> dict[str, Any]:
    began = time.monotonic()
    await shown.apply(*workload.list_documents(options.layout.name))
    version = (await shown.read_head()).version
    if await _find_missing(shown, version, _FIRST_WITHIN_S):
        raise processes.ProcessError(
            f"the first version is not in force\n{_read_errors(shown)}"
        )
    logger.info("first version after %.1f s", time.monotonic() - began)
    await asyncio.sleep(_SETTLE_S)
    idle = await costs.measure_idle(shown)
    changes = []
    for number in range(options.changes):
        changes.append(
            await _measure_change(options, table, shown, number, idle)
        )
        logger.info("change %d: %s", number, _describe(changes[-1]))
    return summarize(options.daemons, idle, changes)


def summarize(
    daemons: int, idle: costs.IdleCosts, changes: list[ChangeFigures]
) -> dict[str, Any]:
    """Returns the figures of one kind of fleet."""
    delays = [delay for change in changes for delay in change.delays_s]
    per_change = [change.control_bytes / daemons for change in changes]
    calls = [change.store_calls for change in changes]
    late = [c.late_s for c in changes if c.late_s is not None]
    return {
        "daemons": daemons,
        "changes": len(changes),
        "convergence_p50_s": samples.compute_percentile(delays, 0.5),
        "convergence_p99_s": samples.compute_percentile(delays, 0.99),
        "convergence_max_s": max(delays, default=None),
        "convergence_last_p50_s": _compute_last(changes),
        "not_converged": sum(change.missing for change in changes),
        "late_max_s": max(late, default=None),
        "control_bytes_per_daemon_s_idle": round(idle.bytes_per_s / daemons, 1),
        "control_bytes_per_daemon_change": round(
            statistics.median(per_change), 1
        ),
        "store_calls_per_change": round(statistics.median(calls), 1),
        "store_calls_per_s_idle": round(idle.calls_per_s, 2),
        "store_calls_idle_by_kind": idle.calls_by_kind,
        "store_peak_calls_per_s": max(c.peak_calls_per_s for c in changes),
        "store_watches": idle.watches,
        "cpu_share_median": round(statistics.median(idle.cpu_fractions), 5),
        "cpu_share_max": round(max(idle.cpu_fractions), 5),
        "rss_mb_max": round(max(idle.rss_mb), 1),
    }


def _compute_last(changes: list[ChangeFigures]) -> float | None:
    """Returns the median of the last daemon's time; None: one is missing."""
    if any(change.missing for change in changes):
        return None
    return statistics.median(max(change.delays_s) for change in changes)


async def _measure_change(
    options: Options,
    table: processes.ProcessTable,
    shown: fleet.Fleet,
    number: int,
    idle: costs.IdleCosts,
) -> ChangeFigures:
    document = workload.list_documents(options.layout.name)[-1]
    path = demonstration.change_document(
        pathlib.Path(document), table.directory, add_ms=10 * (1 + number)
    )
    version = (await shown.read_head()).version + 1
    if options.store_down:
        await shown.set_store_faults(
            fail_after_key="head", fail_after_s=options.store_fails_after_s
        )
    counters = await shown.read_counters()
    carried = await costs.read_control_bytes(shown)
    began = time.monotonic()
    await shown.apply(str(path))
    await _restart_share(options, shown, number)
    missing = await _find_missing(shown, version, _CHANGE_WITHIN_S)
    await asyncio.sleep(_AFTER_CHANGE_S)
    took_s = time.monotonic() - began
    sent = samples.compute_added_bytes(
        carried, await costs.read_control_bytes(shown)
    )
    later = await shown.read_counters()
    called = costs.count_calls(later) - costs.count_calls(counters)
    delays_s = await _read_delays(shown, version)
    late_s = await _end_outage(options, shown, version, missing)
    return ChangeFigures(
        delays_s,
        missing,
        sent - idle.bytes_per_s * took_s,
        called - idle.calls_per_s * took_s,
        costs.find_peak_calls_per_s(later, took_s),
        late_s,
    )


async def _end_outage(
    options: Options, shown: fleet.Fleet, version: int, missing: int
) -> float | None:
    if not options.store_down:
        return None
    await shown.set_store_faults()
    began = time.monotonic()
    if not missing:
        return None
    if await _find_missing(shown, version, _CHANGE_WITHIN_S):
        return _CHANGE_WITHIN_S
    return time.monotonic() - began


async def _restart_share(
    options: Options, shown: fleet.Fleet, number: int
) -> None:
    count = round(options.restart_fraction * options.daemons)
    first = number * count
    chosen = [
        shown.instances[(first + offset) % options.daemons]
        for offset in range(count)
    ]
    await asyncio.gather(*(instance.daemon.kill() for instance in chosen))
    await asyncio.gather(*map(shown.restart_daemon, chosen))


async def _find_missing(
    shown: fleet.Fleet, version: int, within_s: float
) -> int:
    """Waits until all run a version; returns how many do not in time."""
    taken = await shown.wait_until_active(version, within_s, shown.instances)
    if taken is not None:
        return 0
    return len(shown.instances) - len(await _read_delays(shown, version))


async def _read_delays(shown: fleet.Fleet, version: int) -> list[float]:
    accepted_ms = await shown.read_accepted_ms()
    delays = []
    for instance in shown.instances:
        versions = await shown.read_versions(instance)
        times = [ms for number, ms in versions.items() if number >= version]
        if times:
            delays.append((min(times) - accepted_ms) / 1000)
    return delays


def _read_errors(shown: fleet.Fleet) -> str:
    return "\n".join(
        i.daemon.read_last_stderr_lines() for i in shown.instances[:3]
    )


def _describe(change: ChangeFigures) -> str:
    last = max(change.delays_s, default=None)
    return f"last after {last} s, {change.missing} missing"


async def run(options: Options, with_baseline: bool) -> int:
    """Measures and prints one JSON line; 1 if a daemon did not converge."""
    figures = await measure(options, with_baseline)
    print(json.dumps(figures), flush=True)
    return 1 if figures["not_converged"] else 0

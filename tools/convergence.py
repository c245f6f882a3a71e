"""Measures how fast versions reach every daemon, and what that costs."""

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

# Time in which the first version and each changed one must be active on every
# daemon.
_FIRST_VERSION_TIMEOUT_S = 90.0
_CHANGE_TIMEOUT_S = 30.0
# Wait before the measurement of an idle fleet.
_WAIT_BEFORE_IDLE_S = 5.0
# Wait between the end of a change and the reading of its costs.
_WAIT_AFTER_CHANGE_S = 2.0


class Options(NamedTuple):
    """Options of a measurement.

    Attributes:
        layout: Fleet whose zones and documents are used.
        daemons: Number of daemons.
        changes: Number of changes.
        restart_fraction: Fraction of the daemons that are killed and started
            again right after each acceptance.
        store_down: Whether the store fails right after each acceptance.
        store_fails_after_s: Time between acceptance and failure, in seconds.
        spread: The daemons' setting of that name, "fast" or "lean".
    """

    layout: layouts.Layout
    daemons: int
    changes: int
    restart_fraction: float
    store_down: bool
    store_fails_after_s: float
    spread: str


class ChangeFigures(NamedTuple):
    """Delays and costs of one change.

    Attributes:
        delays_s: Time from the store's write of head until the daemon ran
            the version or a later one, in seconds, for each daemon that ran
            one.
        missing: Number of daemons that did not run the version in time.
        control_bytes: Control bytes of the whole fleet during the change,
            less those of an idle fleet.
        store_calls: Calls to the store during the change, those of the
            operator included, less those of an idle fleet.
        peak_calls_per_s: Largest number of calls to the store in one second.
        delay_after_outage_s: Time from the end of the store's outage until the
            version was active on every daemon, in seconds. It is
            `_CHANGE_TIMEOUT_S` if the version was not active on all of them by
            then, and None if there was no outage or the version was active on
            all of them before its end.
    """

    delays_s: list[float]
    missing: int
    control_bytes: float
    store_calls: float
    peak_calls_per_s: int
    delay_after_outage_s: float | None


async def measure(options: Options, with_baseline: bool) -> dict[str, Any]:
    """Measures the product and, on request, the baseline after it.

    Args:
        options: Options of the measurement.
        with_baseline: Whether to measure the baseline, too.

    Returns:
        The printed figures.
    """
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
    """Starts a fleet of the product or of the baseline and measures it.

    Args:
        options: Options of the measurement.
        build_arguments: Returns the arguments of each daemon or, for the
            baseline, of each watcher.

    Returns:
        The printed figures, as returned by `summarize`.
    """
    table = processes.ProcessTable()
    example_fleet = fleet.Fleet(table, options.layout, build_arguments)
    zones = options.layout.zones
    services = list(options.layout.backend_counts)
    places = [
        layouts.Place(zones[i % len(zones)], services[i % len(services)])
        for i in range(options.daemons)
    ]
    try:
        await example_fleet.start(places, start_backends=False)
        return await _measure_fleet(options, table, example_fleet)
    finally:
        await example_fleet.close()
        await table.close()


async def _measure_fleet(
    options: Options, table: processes.ProcessTable, example_fleet: fleet.Fleet
) -> dict[str, Any]:
    """Measures a started fleet: its first version, its idle costs, changes."""
    started_s = time.monotonic()
    await example_fleet.apply(*workload.list_documents(options.layout.name))
    version = (await example_fleet.read_head()).version
    if await _wait_and_count_missing(
        example_fleet, version, _FIRST_VERSION_TIMEOUT_S
    ):
        raise processes.ProcessError(
            f"the first version is not in force\n{_read_errors(example_fleet)}"
        )
    logger.info(
        "first version in force after %.1f s", time.monotonic() - started_s
    )
    await asyncio.sleep(_WAIT_BEFORE_IDLE_S)
    idle = await costs.measure_idle(example_fleet)
    changes = []
    for number in range(options.changes):
        changes.append(
            await _measure_change(options, table, example_fleet, number, idle)
        )
        logger.info("change %d: %s", number, _describe(changes[-1]))
    return summarize(options.daemons, idle, changes)


def summarize(
    daemons: int, idle: costs.IdleCosts, changes: list[ChangeFigures]
) -> dict[str, Any]:
    """Returns the printed figures of the product or the baseline.

    Args:
        daemons: Number of daemons.
        idle: Costs of the idle fleet.
        changes: Delays and costs of each change.
    """
    delays_s = [delay_s for change in changes for delay_s in change.delays_s]
    bytes_per_daemon = [change.control_bytes / daemons for change in changes]
    store_calls = [change.store_calls for change in changes]
    delays_after_outage_s = [
        change.delay_after_outage_s
        for change in changes
        if change.delay_after_outage_s is not None
    ]
    return {
        "daemons": daemons,
        "changes": len(changes),
        "convergence_p50_s": samples.compute_percentile(delays_s, 0.5),
        "convergence_p99_s": samples.compute_percentile(delays_s, 0.99),
        "convergence_max_s": max(delays_s, default=None),
        "convergence_last_p50_s": _compute_last_delay(changes),
        "not_converged": sum(change.missing for change in changes),
        "late_max_s": max(delays_after_outage_s, default=None),
        "control_bytes_per_daemon_s_idle": round(idle.bytes_per_s / daemons, 1),
        "control_bytes_per_daemon_change": round(
            statistics.median(bytes_per_daemon), 1
        ),
        "store_calls_per_change": round(statistics.median(store_calls), 1),
        "store_calls_per_s_idle": round(idle.calls_per_s, 2),
        "store_calls_idle_by_kind": idle.calls_by_kind,
        "store_peak_calls_per_s": max(
            change.peak_calls_per_s for change in changes
        ),
        "store_watches": idle.watches,
        "cpu_share_median": round(statistics.median(idle.cpu_fractions), 5),
        "cpu_share_max": round(max(idle.cpu_fractions), 5),
        "rss_mb_max": round(max(idle.rss_mb), 1),
    }


def _compute_last_delay(changes: list[ChangeFigures]) -> float | None:
    """Returns the median over the changes of the largest delay, in seconds.

    Returns None if a daemon did not run one of the versions in time.
    """
    if any(change.missing for change in changes):
        return None
    return statistics.median(max(change.delays_s) for change in changes)


async def _measure_change(
    options: Options,
    table: processes.ProcessTable,
    example_fleet: fleet.Fleet,
    number: int,
    idle: costs.IdleCosts,
) -> ChangeFigures:
    """Changes a target and measures how the new version spreads.

    Args:
        options: Options of the measurement.
        table: Process table, in whose directory the changed document is
            written.
        example_fleet: The fleet.
        number: Number of the change, from 0.
        idle: Costs of the idle fleet.
    """
    document = workload.list_documents(options.layout.name)[-1]
    path = demonstration.change_document(
        pathlib.Path(document), table.directory, add_ms=10 * (1 + number)
    )
    version = (await example_fleet.read_head()).version + 1
    if options.store_down:
        await example_fleet.set_store_faults(
            fail_after_key="head", fail_after_s=options.store_fails_after_s
        )
    counters_before = await example_fleet.read_counters()
    bytes_before = await costs.read_fleet_control_bytes(example_fleet)
    started_s = time.monotonic()
    await example_fleet.apply(str(path))
    await _restart_daemons(options, example_fleet, number)
    missing = await _wait_and_count_missing(
        example_fleet, version, _CHANGE_TIMEOUT_S
    )
    await asyncio.sleep(_WAIT_AFTER_CHANGE_S)
    elapsed_s = time.monotonic() - started_s
    added_bytes = samples.compute_added_bytes(
        bytes_before, await costs.read_fleet_control_bytes(example_fleet)
    )
    counters = await example_fleet.read_counters()
    store_calls = costs.count_calls(counters) - costs.count_calls(
        counters_before
    )
    delays_s = await _read_delays(example_fleet, version)
    delay_after_outage_s = await _end_outage(
        options, example_fleet, version, missing
    )
    return ChangeFigures(
        delays_s,
        missing,
        added_bytes - idle.bytes_per_s * elapsed_s,
        store_calls - idle.calls_per_s * elapsed_s,
        costs.find_peak_calls_per_s(counters, elapsed_s),
        delay_after_outage_s,
    )


async def _end_outage(
    options: Options, example_fleet: fleet.Fleet, version: int, missing: int
) -> float | None:
    """Ends the store's outage, if any, and waits for the daemons.

    Returns:
        Time until the daemons that were missing ran the version, in seconds,
        or `_CHANGE_TIMEOUT_S` if they did not; None if there was no outage or
        no daemon was missing.
    """
    if not options.store_down:
        return None
    await example_fleet.set_store_faults()
    started_s = time.monotonic()
    if not missing:
        return None
    if await _wait_and_count_missing(example_fleet, version, _CHANGE_TIMEOUT_S):
        return _CHANGE_TIMEOUT_S
    return time.monotonic() - started_s


async def _restart_daemons(
    options: Options, example_fleet: fleet.Fleet, number: int
) -> None:
    """Kills and restarts some daemons, other ones after each change."""
    count = round(options.restart_fraction * options.daemons)
    first = number * count
    chosen = [
        example_fleet.instances[(first + offset) % options.daemons]
        for offset in range(count)
    ]
    await asyncio.gather(*(instance.daemon.kill() for instance in chosen))
    await asyncio.gather(*map(example_fleet.restart_daemon, chosen))


async def _wait_and_count_missing(
    example_fleet: fleet.Fleet, version: int, timeout_s: float
) -> int:
    """Waits for a version; returns how many daemons do not run it in time.

    Args:
        example_fleet: The fleet.
        version: Number of the version.
        timeout_s: Maximum time to wait, in seconds.
    """
    active_after_s = await example_fleet.wait_until_active(
        version, timeout_s, example_fleet.instances
    )
    if active_after_s is not None:
        return 0
    return len(example_fleet.instances) - len(
        await _read_delays(example_fleet, version)
    )


async def _read_delays(example_fleet: fleet.Fleet, version: int) -> list[float]:
    """Returns the delays until each daemon ran a version or a later one.

    Returns:
        Times since the store's write of head, in seconds. A daemon that ran
        none of them is left out.
    """
    accepted_ms = await example_fleet.read_accepted_ms()
    delays_s = []
    for instance in example_fleet.instances:
        version_times_ms = await example_fleet.read_versions(instance)
        times_ms = [
            time_ms
            for number, time_ms in version_times_ms.items()
            if number >= version
        ]
        if times_ms:
            delays_s.append((min(times_ms) - accepted_ms) / 1000)
    return delays_s


def _read_errors(example_fleet: fleet.Fleet) -> str:
    """Returns the last error lines of the first three daemons."""
    return "\n".join(
        instance.daemon.read_last_stderr_lines()
        for instance in example_fleet.instances[:3]
    )


def _describe(change: ChangeFigures) -> str:
    last_s = max(change.delays_s, default=None)
    return f"last daemon after {last_s} s, {change.missing} missing"


async def run(options: Options, with_baseline: bool) -> int:
    """Measures and prints one JSON line.

    Returns:
        Exit status: 1 if a daemon of the product did not run a version in time,
        otherwise 0. The baseline's figures do not change it.
    """
    figures = await measure(options, with_baseline)
    print(json.dumps(figures), flush=True)
    return 1 if figures["not_converged"] else 0

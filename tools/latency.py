"""Measures the latency and processor time that the daemon adds to a call."""

from __future__ import annotations

import asyncio
import json
import statistics
from typing import Any, NamedTuple

from tools import fleet
from tools import latency_load
from tools import layouts
from tools import processes
from tools import samples
from tools import workload

_ACTIVATION_TIMEOUT_S = 20.0
_WARM_UP_S = 4.0
_CLOSED_LOOP_CALLERS = 8
_CLOSED_LOOP_DURATION_S = 1.0
_CALLS_PER_BLOCK = 200
# Calls per second; the figures of this rate, or of the first one if it is not
# measured, are also the top-level figures.
_MAIN_RATE = 200


class Options(NamedTuple):
    """Options of the measurement.

    Attributes:
        rates: Rates to measure at, in calls per second.
        rounds: Rounds at each rate, and of the closed loop; each round calls
            every target.
    """

    rates: list[int]
    rounds: int


async def measure(options: Options) -> dict[str, Any]:
    """Measures direct calls, calls by way of daemons, and the baseline."""
    table = processes.ProcessTable()
    example_fleet = fleet.Fleet(table, layouts.ZAANOEVER)
    try:
        blocks = await _call_targets(options, table, example_fleet)
        return summarize(blocks, options.rates)
    finally:
        await example_fleet.close()
        await table.close()


async def _call_targets(
    options: Options, table: processes.ProcessTable, example_fleet: fleet.Fleet
) -> list[latency_load.Block]:
    zone = example_fleet.layout.zones[0]
    places = [layouts.Place(zone, "balie"), layouts.Place(zone, "kassa")]
    await example_fleet.start(places)
    await example_fleet.apply(
        *workload.list_documents(example_fleet.layout.name)
    )
    version = (await example_fleet.read_head()).version
    if (
        await example_fleet.wait_until_active(
            version, _ACTIVATION_TIMEOUT_S, example_fleet.instances
        )
        is None
    ):
        raise processes.ProcessError("the first version is not in force")
    # Waits until the cold start of the backend server is over.
    await asyncio.sleep(_WARM_UP_S)
    # The forwarding instance has no `balie`; its daemon passes calls on to the
    # serving one.
    serving, forwarding = example_fleet.instances
    assert serving.backend is not None
    address = serving.backend.ready_fields["address"]
    baseline = await table.start(
        "plain proxy", "standins.plain_proxy", "--upstream", address
    )
    path = f"{_find_prefix(example_fleet.layout.name)}/1?work_ms=0"
    routed_path = f"/balie{path}"
    serving_pid, forwarding_pid = serving.daemon.pid, forwarding.daemon.pid
    proxy_url = f"http://{layouts.HOST}:{baseline.ready_fields['port']}"
    targets = [
        latency_load.Target("direct", f"http://{address}{path}", []),
        latency_load.Target("daemon", serving.url + routed_path, [serving_pid]),
        latency_load.Target(
            "two_daemons",
            forwarding.url + routed_path,
            [forwarding_pid, serving_pid],
        ),
        latency_load.Target(
            "baseline", proxy_url + routed_path, [baseline.pid]
        ),
    ]
    plan = latency_load.Plan(
        targets,
        options.rates,
        options.rounds,
        _CALLS_PER_BLOCK,
        _CLOSED_LOOP_DURATION_S,
        _CLOSED_LOOP_CALLERS,
    )
    return await _run_load(table, plan)


async def _run_load(
    table: processes.ProcessTable, plan: latency_load.Plan
) -> list[latency_load.Block]:
    plan_path = table.directory / "latency-plan.json"
    results_path = table.directory / "latency-results.json"
    latency_load.write_plan(plan, plan_path)
    loader = await table.start(
        "latency load",
        "tools.latency_load",
        str(plan_path),
        str(results_path),
    )
    if await loader.wait():
        raise processes.ProcessError(loader.read_last_stderr_lines())
    return latency_load.read_blocks(results_path)


def _find_prefix(name: str) -> str:
    """Returns the path prefix of the first class of reads of `balie`."""
    return next(
        class_load.prefix
        for class_load in workload.read_classes(name)
        if class_load.service == "balie" and class_load.method == "GET"
    )


def summarize(
    blocks: list[latency_load.Block], rates: list[int]
) -> dict[str, Any]:
    """Returns the figures of the measurement.

    The figures of the main rate and of the closed loop stand at the top level,
    those of every rate under "rates".
    """
    by_rate = {str(rate): _summarize_rate(blocks, rate) for rate in rates}
    main_rate = _MAIN_RATE if _MAIN_RATE in rates else rates[0]
    figures = {"rate": main_rate, **by_rate[str(main_rate)]}
    direct = _list_throughputs(blocks, "direct")
    # The figures of the daemon stand at the top level.
    by_target = {"daemon": figures, "two_daemons": figures["two_daemons"]}
    by_target["baseline"] = figures["baseline"]
    for name, fields in by_target.items():
        pairs = zip(_list_throughputs(blocks, name), direct, strict=True)
        ratios = [
            target_throughput / direct_throughput
            for target_throughput, direct_throughput in pairs
        ]
        fields["throughput_ratio"] = round(statistics.median(ratios), 3)
        fields["throughput_ratios"] = [round(ratio, 3) for ratio in ratios]
    figures["direct_calls_per_s"] = [round(throughput) for throughput in direct]
    figures["failures"] = sum(block.failures for block in blocks)
    figures["rates"] = by_rate
    return figures


def _summarize_rate(
    blocks: list[latency_load.Block], rate: int
) -> dict[str, Any]:
    figures: dict[str, Any] = {
        "direct_p50_ms": _compute_median_percentile(
            blocks, "direct", rate, 0.5
        ),
        "direct_p99_ms": _compute_median_percentile(
            blocks, "direct", rate, 0.99
        ),
        **_summarize_target(blocks, "daemon", rate),
    }
    for name in ("two_daemons", "baseline"):
        figures[name] = _summarize_target(blocks, name, rate)
    return figures


def _summarize_target(
    blocks: list[latency_load.Block], name: str, rate: int
) -> dict[str, float]:
    target_blocks = [b for b in blocks if b.target == name and b.rate == rate]
    answered_calls = sum(len(block.latencies_ms) for block in target_blocks)
    cpu_s = sum(block.cpu_s for block in target_blocks)
    return {
        "added_p50_ms": _compute_added(blocks, name, rate, 0.5),
        "added_p99_ms": _compute_added(blocks, name, rate, 0.99),
        "cpu_us_per_call": round(cpu_s / max(1, answered_calls) * 1e6, 1),
    }


def _compute_added(
    blocks: list[latency_load.Block], name: str, rate: int, fraction: float
) -> float:
    """Returns what a target adds to a percentile of the latency, in ms.

    The difference to direct calls is taken within each round; the result is
    the median of the rounds.
    """
    pairs = zip(
        _list_percentiles(blocks, name, rate, fraction),
        _list_percentiles(blocks, "direct", rate, fraction),
        strict=True,
    )
    return round(
        statistics.median(latency - direct for latency, direct in pairs), 4
    )


def _compute_median_percentile(
    blocks: list[latency_load.Block], name: str, rate: int, fraction: float
) -> float:
    percentiles = _list_percentiles(blocks, name, rate, fraction)
    return round(statistics.median(percentiles), 4)


def _list_percentiles(
    blocks: list[latency_load.Block], name: str, rate: int, fraction: float
) -> list[float]:
    percentiles = [
        samples.compute_percentile(block.latencies_ms, fraction)
        for block in blocks
        if block.target == name and block.rate == rate
    ]
    known_percentiles = [value for value in percentiles if value is not None]
    if len(known_percentiles) < len(percentiles):
        raise ValueError(f"no call was answered in a block of {name}")
    return known_percentiles


def _list_throughputs(
    blocks: list[latency_load.Block], name: str
) -> list[float]:
    """Returns the calls per second of a target's closed loop in each round."""
    return [
        len(block.latencies_ms) / block.took_s
        for block in blocks
        if block.target == name and block.rate == 0
    ]


async def run(options: Options) -> int:
    """Measures, prints one JSON line and returns 1 if a call failed."""
    figures = await measure(options)
    print(json.dumps(figures), flush=True)
    return 1 if figures["failures"] else 0

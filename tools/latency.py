"""Measures what the daemon adds to a call (issue 5)."""

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

_FIRST_WITHIN_S = 20.0
_WARM_S = 4.0
_CONCURRENCY = 8
_CLOSED_S = 1.0
_BLOCK_CALLS = 200
# The rate whose figures stand at the top of the result.
_MAIN_RATE = 200


class Options(NamedTuple):
    """What is measured.

    Attributes:
        rates: Calls per second.
        rounds: Turns at each rate.
    """

    rates: list[int]
    rounds: int


async def measure(options: Options) -> dict[str, Any]:
    """Measures direct calls, the daemon's paths and the baseline in turn."""
    table = processes.ProcessTable()
    shown = fleet.Fleet(table, layouts.ZAANOEVER)
    try:
        blocks = await _call_all(options, table, shown)
        return summarize(blocks, options.rates)
    finally:
        await shown.close()
        await table.close()


async def _call_all(
    options: Options, table: processes.ProcessTable, shown: fleet.Fleet
) -> list[latency_load.Block]:
    zone = shown.layout.zones[0]
    places = [layouts.Place(zone, "balie"), layouts.Place(zone, "kassa")]
    await shown.start(places)
    await shown.apply(*workload.list_documents(shown.layout.name))
    version = (await shown.read_head()).version
    if (
        await shown.wait_until_active(version, _FIRST_WITHIN_S, shown.instances)
        is None
    ):
        raise processes.ProcessError("the first version is not in force")
    # The backend server's cold start is over by then.
    await asyncio.sleep(_WARM_S)
    beside, other = shown.instances
    assert beside.backend is not None
    address = beside.backend.ready_fields["address"]
    baseline = await table.start(
        "plain proxy", "standins.plain_proxy", "--upstream", address
    )
    path = f"{_find_path(shown.layout.name)}/1?work_ms=0"
    through = f"/balie{path}"
    near, far = beside.daemon.pid, other.daemon.pid
    proxy_url = f"http://{layouts.HOST}:{baseline.ready_fields['port']}"
    targets = [
        latency_load.Target("direct", f"http://{address}{path}", []),
        latency_load.Target("daemon", beside.url + through, [near]),
        latency_load.Target("two_daemons", other.url + through, [far, near]),
        latency_load.Target("baseline", proxy_url + through, [baseline.pid]),
    ]
    plan = latency_load.Plan(
        targets,
        options.rates,
        options.rounds,
        _BLOCK_CALLS,
        _CLOSED_S,
        _CONCURRENCY,
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


def _find_path(name: str) -> str:
    """Returns the path prefix of a class whose calls are small reads."""
    return next(
        target.prefix
        for target in workload.read_classes(name)
        if target.service == "balie" and target.method == "GET"
    )


def summarize(
    blocks: list[latency_load.Block], rates: list[int]
) -> dict[str, Any]:
    """Returns the figures: the main rate's at the top, then every rate's."""
    by_rate = {str(rate): _summarize_rate(blocks, rate) for rate in rates}
    main_rate = _MAIN_RATE if _MAIN_RATE in rates else rates[0]
    figures = {"rate": main_rate, **by_rate[str(main_rate)]}
    direct = _list_throughputs(blocks, "direct")
    ways = {"daemon": figures, "two_daemons": figures["two_daemons"]}
    ways["baseline"] = figures["baseline"]
    for name, fields in ways.items():
        pairs = zip(_list_throughputs(blocks, name), direct, strict=True)
        ratios = [own / straight for own, straight in pairs]
        fields["throughput_ratio"] = round(statistics.median(ratios), 3)
        fields["throughput_ratios"] = [round(ratio, 3) for ratio in ratios]
    figures["direct_calls_per_s"] = [round(each) for each in direct]
    figures["failures"] = sum(block.failures for block in blocks)
    figures["rates"] = by_rate
    return figures


def _summarize_rate(
    blocks: list[latency_load.Block], rate: int
) -> dict[str, Any]:
    figures: dict[str, Any] = {
        "direct_p50_ms": _compute_median(blocks, "direct", rate, 0.5),
        "direct_p99_ms": _compute_median(blocks, "direct", rate, 0.99),
        **_summarize_way(blocks, "daemon", rate),
    }
    for name in ("two_daemons", "baseline"):
        figures[name] = _summarize_way(blocks, name, rate)
    return figures


def _summarize_way(
    blocks: list[latency_load.Block], name: str, rate: int
) -> dict[str, float]:
    own = [b for b in blocks if b.target == name and b.rate == rate]
    calls = sum(len(block.latencies_ms) for block in own)
    cpu_s = sum(block.cpu_s for block in own)
    return {
        "added_p50_ms": _compute_added(blocks, name, rate, 0.5),
        "added_p99_ms": _compute_added(blocks, name, rate, 0.99),
        "cpu_us_per_call": round(cpu_s / max(1, calls) * 1e6, 1),
    }


def _compute_added(
    blocks: list[latency_load.Block], name: str, rate: int, share: float
) -> float:
    """Returns the median over the rounds of a percentile's difference."""
    pairs = zip(
        _list_percentiles(blocks, name, rate, share),
        _list_percentiles(blocks, "direct", rate, share),
        strict=True,
    )
    return round(statistics.median(way - direct for way, direct in pairs), 4)


def _compute_median(
    blocks: list[latency_load.Block], name: str, rate: int, share: float
) -> float:
    found = _list_percentiles(blocks, name, rate, share)
    return round(statistics.median(found), 4)


def _list_percentiles(
    blocks: list[latency_load.Block], name: str, rate: int, share: float
) -> list[float]:
    found = [
        samples.compute_percentile(block.latencies_ms, share)
        for block in blocks
        if block.target == name and block.rate == rate
    ]
    answered = [value for value in found if value is not None]
    if len(answered) < len(found):
        raise ValueError(f"no call was answered in a block of {name}")
    return answered


def _list_throughputs(
    blocks: list[latency_load.Block], name: str
) -> list[float]:
    """Returns the calls per second of each round of the closed loop."""
    return [
        len(block.latencies_ms) / block.took_s
        for block in blocks
        if block.target == name and block.rate == 0
    ]


async def run(options: Options) -> int:
    """Measures and prints one JSON line; 1 if a call failed."""
    figures = await measure(options)
    print(json.dumps(figures), flush=True)
    return 1 if figures["failures"] else 0

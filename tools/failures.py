"""Measures harm and goodput while everything fails (issue 5)."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import json
import logging
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp

from standins import ledger
from tools import calls
from tools import fleet
from tools import harm
from tools import layouts
from tools import load
from tools import processes
from tools import scenario
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

_IN_FORCE_WITHIN_S = 20.0
_WARM_S = 3.0
_DOWNLOAD_BYTES = 1_500_000
_DOWNLOAD_RATE = 500_000
# Failures hit few payouts at their expected rate in so short a run.
_KEYED_FACTOR = 10.0
_LEAVE_WITHIN_MS = 3000
_NO_ROUTE = 404


class Options(NamedTuple):
    """What load is made.

    Attributes:
        layout: Example fleet.
        factor: Factor on the rates of its classes.
        loaders: Load processes.
        seed: Seed of the load.
        crash_share: Share of repeatable calls that crash their backend.
    """

    layout: layouts.Layout
    factor: float
    loaders: int
    seed: int
    crash_share: float


async def measure(options: Options, with_baseline: bool) -> dict[str, Any]:
    """Runs the product and then the baseline through the same failures."""
    figures = await _run_kind(options, layouts.build_daemon_arguments, True)
    if with_baseline:
        logger.info("product: %s", json.dumps(figures))
        figures["baseline"] = await _run_kind(
            options, layouts.build_proxy_arguments, False
        )
    return figures


async def _run_kind(
    options: Options,
    build_arguments: Callable[..., list[str]],
    is_product: bool,
) -> dict[str, Any]:
    table = processes.ProcessTable()
    shown = fleet.Fleet(table, options.layout, build_arguments)
    try:
        await shown.start(layouts.list_places(options.layout))

        async def refresh() -> None:
            if not is_product:
                await send_upstreams(shown)

        await refresh()
        if is_product:
            await apply_documents(shown)
        await asyncio.sleep(_WARM_S)
        caused = scenario.Scenario(shown, table.directory, refresh, is_product)
        results, _ = await asyncio.gather(
            _run_loaders(table, shown, options), caused.run()
        )
        runs = ledger.read_ledger(shown.ledger_path)
        log_timeline(results)
        return summarize(results, runs, caused)
    finally:
        await shown.close()
        await table.close()


async def apply_documents(shown: fleet.Fleet) -> None:
    """Applies a fleet's documents and waits until they are in force.

    Raises:
        processes.ProcessError: They are not in force in time.
    """
    await shown.apply(*workload.list_documents(shown.layout.name))
    version = (await shown.read_head()).version
    taken = await shown.wait_until_active(
        version, _IN_FORCE_WITHIN_S, shown.instances
    )
    if taken is None:
        raise processes.ProcessError("the first version is not in force")


async def send_upstreams(shown: fleet.Fleet) -> None:
    """Tells every proxy of the baseline the upstreams of each service."""
    upstreams: dict[str, list[str]] = {}
    for instance in shown.instances:
        assert instance.backend is not None
        address = instance.backend.ready_fields["address"]
        upstreams.setdefault(instance.place.service, []).append(address)
    for instance in shown.instances:
        # A proxy that stops has closed its port; it is told at its restart.
        with contextlib.suppress(aiohttp.ClientError):
            await shown.post_json(
                instance.admin_address, "/upstreams", upstreams
            )


async def _run_loaders(
    table: processes.ProcessTable, shown: fleet.Fleet, options: Options
) -> list[load.Result]:
    started = []
    for number in range(options.loaders):
        plan = load.Plan(
            entries=[instance.url for instance in shown.instances],
            classes=workload.read_classes(options.layout.name),
            factor=options.factor / options.loaders,
            duration_s=scenario.DURATION_S,
            seed=options.seed + number,
            download_bytes=_DOWNLOAD_BYTES,
            download_rate=_DOWNLOAD_RATE,
            large_rate=2.0 / options.loaders,
            keyed_factor=_KEYED_FACTOR,
            crash_share=options.crash_share,
        )
        plan_path = table.directory / f"plan-{number}.json"
        load.write_plan(plan, plan_path)
        results_path = table.directory / f"results-{number}.jsonl"
        loader = await table.start(
            "load", "tools.load", str(plan_path), str(results_path)
        )
        started.append((loader, results_path))
    results = []
    for loader, path in started:
        if await loader.wait():
            raise processes.ProcessError(loader.read_last_stderr_lines())
        results += load.read_results(path)
    return results


def summarize(
    results: list[load.Result],
    runs: list[dict[str, Any]],
    caused: scenario.Scenario,
) -> dict[str, Any]:
    """Returns the figures of one kind of proxy."""
    # A request that crashes its backend server has no answer to be right.
    ordinary = [result for result in results if not result.crash]
    right = [r for r in ordinary if r.verdict is calls.Verdict.RIGHT]
    first = [r for r in right if r.first_verdict is calls.Verdict.RIGHT]
    answered = [r for r in ordinary if r.verdict is not calls.Verdict.TIMEOUT]
    versions = caused.list_versions()
    return {
        "requests": len(ordinary),
        "answered": len(answered),
        "goodput_ratio": round(len(right) / max(1, len(ordinary)), 4),
        "goodput_first_ratio": round(len(first) / max(1, len(ordinary)), 4),
        **harm.count_harm(results, runs)._asdict(),
        "downloads_cut_by_planned_stop": _count_cut(results, runs, caused),
        "new_work_after_leave": sum(
            harm.count_new_work(
                runs,
                stop.address,
                stop.at_ms + _LEAVE_WITHIN_MS,
                stop.restarted_ms,
            )
            for stop in caused.planned_stops
            if not stop.stops_daemon
        ),
        "version_regressions": sum(map(harm.count_regressions, versions)),
        "dangling_routes": _count_dangling(results),
        "amplification_max": harm.compute_amplification(runs),
        "met_target": _compute_shares(ordinary),
        "verdicts": _count_verdicts(ordinary),
        "crash_requests": len(results) - len(ordinary),
        "not_in_force_at_end": caused.outdated_daemons,
        "backends_crashed": caused.crashes,
        "changes_accepted": caused.accepted_changes,
        "versions_read": sum(map(len, versions)),
    }


def _count_cut(
    results: list[load.Result],
    runs: list[dict[str, Any]],
    caused: scenario.Scenario,
) -> int:
    """Counts downloads in flight at a planned stop that were not whole."""
    began: dict[str, list[tuple[str, int]]] = {}
    for run in runs:
        if run["event"] == "started":
            pair = run["at"], run["at_ms"]
            began.setdefault(run["attempt_id"], []).append(pair)
    cut = 0
    for result in results:
        if not result.large or result.verdict is calls.Verdict.RIGHT:
            continue
        attempt = result.attempts[-1]
        ended_ms = attempt.started_ms + attempt.latency_ms
        places = began.get(attempt.attempt_id, [])
        cut += any(
            ended_ms > stop.at_ms
            and any(
                at_ms < stop.at_ms
                and (at == stop.address or attempt.entry == stop.daemon_url)
                for at, at_ms in places
            )
            for stop in caused.planned_stops
        )
    return cut


def _count_dangling(results: list[load.Result]) -> int:
    """Counts answers that deny a route which every version has."""
    return sum(
        attempt.status == _NO_ROUTE
        for result in results
        for attempt in result.attempts
    )


def _compute_shares(results: list[load.Result]) -> dict[str, float]:
    labels = sorted({result.label for result in results})
    shares = {}
    for label in labels:
        own = [result.met for result in results if result.label == label]
        shares[label] = round(sum(own) / len(own), 4)
    return shares


def _count_verdicts(
    results: list[load.Result],
) -> dict[str, dict[str, int]]:
    """Counts what callers had in the end, by class of work."""
    counts: dict[str, collections.Counter[str]] = {}
    for result in results:
        own = counts.setdefault(result.label, collections.Counter())
        own[result.verdict.value] += 1
    return {label: dict(own) for label, own in sorted(counts.items())}


def log_timeline(results: list[load.Result]) -> None:
    """Logs by second of the run what was not answered right."""
    began_ms = min(result.attempts[0].started_ms for result in results)
    seconds: dict[int, collections.Counter[str]] = {}
    for result in results:
        if result.crash or result.verdict is calls.Verdict.RIGHT:
            continue
        second = (result.attempts[0].started_ms - began_ms) // 1000
        own = seconds.setdefault(second, collections.Counter())
        own[f"{result.label} {result.verdict}"] += 1
    for second, own in sorted(seconds.items()):
        texts = [f"{count} {name}" for name, count in sorted(own.items())]
        logger.info("second %d: %s", second, ", ".join(texts))


async def run(options: Options, with_baseline: bool) -> int:
    """Measures and prints one JSON line; 1 if any harm was done."""
    figures = await measure(options, with_baseline)
    print(json.dumps(figures), flush=True)
    harms = [
        *harm.Harm._fields,
        "downloads_cut_by_planned_stop",
        "new_work_after_leave",
        "version_regressions",
        "dangling_routes",
        "not_in_force_at_end",
    ]
    return 1 if any(figures[name] for name in harms) else 0

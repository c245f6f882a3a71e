"""Measures harm and goodput while processes and the store fail."""

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

_ACTIVATION_TIMEOUT_S = 20.0
_WARM_UP_S = 3.0
_DOWNLOAD_BYTES = 1_500_000
_DOWNLOAD_BYTES_PER_S = 500_000
# Factor on the rate of work that must not run twice. The run is so short that
# failures would hit few such requests at the expected rate.
_KEYED_RATE_FACTOR = 10.0
# Time after which a leaving backend server must get no new requests.
_LEAVE_GRACE_MS = 3000
_NO_ROUTE_STATUS = 404


class Options(NamedTuple):
    """Options of the load.

    Attributes:
        layout: Example fleet.
        factor: Factor applied to the expected rates of the fleet's classes that
            are not large.
        loaders: Number of load processes.
        seed: Seed of the first load process; each further one adds 1.
        crash_share: Fraction of repeatable calls that crash their backend
            server.
    """

    layout: layouts.Layout
    factor: float
    loaders: int
    seed: int
    crash_share: float


async def measure(options: Options, with_baseline: bool) -> dict[str, Any]:
    """Measures the daemon and, if asked, the baseline with equal failures."""
    figures = await _measure_fleet(
        options, layouts.build_daemon_arguments, True
    )
    if with_baseline:
        logger.info("product: %s", json.dumps(figures))
        figures["baseline"] = await _measure_fleet(
            options, layouts.build_proxy_arguments, False
        )
    return figures


async def _measure_fleet(
    options: Options,
    build_arguments: Callable[..., list[str]],
    with_daemons: bool,
) -> dict[str, Any]:
    """Measures a fleet of daemons or of the baseline's proxies."""
    table = processes.ProcessTable()
    example_fleet = fleet.Fleet(table, options.layout, build_arguments)
    try:
        await example_fleet.start(layouts.list_places(options.layout))

        async def refresh_upstreams() -> None:
            if not with_daemons:
                await send_upstreams(example_fleet)

        await refresh_upstreams()
        if with_daemons:
            await apply_documents(example_fleet)
        await asyncio.sleep(_WARM_UP_S)
        failure_scenario = scenario.Scenario(
            example_fleet, table.directory, refresh_upstreams, with_daemons
        )
        results, _ = await asyncio.gather(
            _run_loaders(table, example_fleet, options), failure_scenario.run()
        )
        runs = ledger.read_ledger(example_fleet.ledger_path)
        log_timeline(results)
        return summarize(results, runs, failure_scenario)
    finally:
        await example_fleet.close()
        await table.close()


async def apply_documents(example_fleet: fleet.Fleet) -> None:
    """Applies a fleet's documents and waits until they are active.

    Raises:
        processes.ProcessError: The documents are not active on every daemon
            within the timeout.
    """
    await example_fleet.apply(
        *workload.list_documents(example_fleet.layout.name)
    )
    version = (await example_fleet.read_head()).version
    activation_s = await example_fleet.wait_until_active(
        version, _ACTIVATION_TIMEOUT_S, example_fleet.instances
    )
    if activation_s is None:
        raise processes.ProcessError("the first version is not in force")


async def send_upstreams(example_fleet: fleet.Fleet) -> None:
    """Sends the upstreams of each service to every proxy of the baseline."""
    upstreams: dict[str, list[str]] = {}
    for instance in example_fleet.instances:
        assert instance.backend is not None
        address = instance.backend.ready_fields["address"]
        upstreams.setdefault(instance.place.service, []).append(address)
    for instance in example_fleet.instances:
        # A stopping proxy has closed its port; it gets them after its restart.
        with contextlib.suppress(aiohttp.ClientError):
            await example_fleet.post_json(
                instance.admin_address, "/upstreams", upstreams
            )


async def _run_loaders(
    table: processes.ProcessTable, example_fleet: fleet.Fleet, options: Options
) -> list[load.Result]:
    loaders = []
    for number in range(options.loaders):
        plan = load.Plan(
            entries=[instance.url for instance in example_fleet.instances],
            classes=workload.read_classes(options.layout.name),
            factor=options.factor / options.loaders,
            duration_s=scenario.DURATION_S,
            seed=options.seed + number,
            download_bytes=_DOWNLOAD_BYTES,
            download_rate=_DOWNLOAD_BYTES_PER_S,
            large_rate=2.0 / options.loaders,
            keyed_factor=_KEYED_RATE_FACTOR,
            crash_share=options.crash_share,
        )
        plan_path = table.directory / f"plan-{number}.json"
        load.write_plan(plan, plan_path)
        results_path = table.directory / f"results-{number}.jsonl"
        loader = await table.start(
            "load", "tools.load", str(plan_path), str(results_path)
        )
        loaders.append((loader, results_path))
    results = []
    for loader, path in loaders:
        if await loader.wait():
            raise processes.ProcessError(loader.read_last_stderr_lines())
        results += load.read_results(path)
    return results


def summarize(
    results: list[load.Result],
    runs: list[dict[str, Any]],
    failure_scenario: scenario.Scenario,
) -> dict[str, Any]:
    """Returns the figures of one run, of daemons or of the baseline."""
    # A request that crashes its backend server can have no correct answer.
    ordinary = [result for result in results if not result.crash]
    correct = [r for r in ordinary if r.verdict is calls.Verdict.RIGHT]
    correct_first = [
        r for r in correct if r.first_verdict is calls.Verdict.RIGHT
    ]
    not_timed_out = [
        r for r in ordinary if r.verdict is not calls.Verdict.TIMEOUT
    ]
    versions = failure_scenario.list_versions()
    return {
        "requests": len(ordinary),
        "answered": len(not_timed_out),
        "goodput_ratio": round(len(correct) / max(1, len(ordinary)), 4),
        "goodput_first_ratio": round(
            len(correct_first) / max(1, len(ordinary)), 4
        ),
        **harm.count_harm(results, runs)._asdict(),
        "downloads_cut_by_planned_stop": _count_cut_downloads(
            results, runs, failure_scenario
        ),
        "new_work_after_leave": sum(
            harm.count_new_work(
                runs,
                stop.address,
                stop.at_ms + _LEAVE_GRACE_MS,
                stop.restarted_ms,
            )
            for stop in failure_scenario.planned_stops
            if not stop.stops_daemon
        ),
        "version_regressions": sum(map(harm.count_regressions, versions)),
        "dangling_routes": _count_dangling_routes(results),
        "amplification_max": harm.compute_amplification(runs),
        "met_target": _compute_met_ratios(ordinary),
        "verdicts": _count_verdicts(ordinary),
        "crash_requests": len(results) - len(ordinary),
        "not_in_force_at_end": failure_scenario.outdated_daemons,
        "backends_crashed": failure_scenario.crashes,
        "changes_accepted": failure_scenario.accepted_changes,
        "versions_read": sum(map(len, versions)),
    }


def _count_cut_downloads(
    results: list[load.Result],
    runs: list[dict[str, Any]],
    failure_scenario: scenario.Scenario,
) -> int:
    """Counts downloads that failed while in flight at a planned stop.

    A download counts if its last attempt began to run before the stop, ended
    after it, and was sent through the daemon of the stopped instance or ran at
    its backend server.
    """
    run_starts: dict[str, list[tuple[str, int]]] = {}
    for record in runs:
        if record["event"] == "started":
            start = record["at"], record["at_ms"]
            run_starts.setdefault(record["attempt_id"], []).append(start)
    cut = 0
    for result in results:
        if not result.large or result.verdict is calls.Verdict.RIGHT:
            continue
        attempt = result.attempts[-1]
        ended_ms = attempt.started_ms + attempt.latency_ms
        attempt_starts = run_starts.get(attempt.attempt_id, [])
        cut += any(
            ended_ms > stop.at_ms
            and any(
                started_ms < stop.at_ms
                and (
                    address == stop.address or attempt.entry == stop.daemon_url
                )
                for address, started_ms in attempt_starts
            )
            for stop in failure_scenario.planned_stops
        )
    return cut


def _count_dangling_routes(results: list[load.Result]) -> int:
    """Counts 404 answers, which are wrong as every version has the routes."""
    return sum(
        attempt.status == _NO_ROUTE_STATUS
        for result in results
        for attempt in result.attempts
    )


def _compute_met_ratios(results: list[load.Result]) -> dict[str, float]:
    """Returns the ratio of requests that met their target, by class."""
    labels = sorted({result.label for result in results})
    ratios = {}
    for label in labels:
        met = [result.met for result in results if result.label == label]
        ratios[label] = round(sum(met) / len(met), 4)
    return ratios


def _count_verdicts(
    results: list[load.Result],
) -> dict[str, dict[str, int]]:
    """Counts the final verdicts by class of work."""
    counts: dict[str, collections.Counter[str]] = {}
    for result in results:
        class_counts = counts.setdefault(result.label, collections.Counter())
        class_counts[result.verdict.value] += 1
    return {label: dict(verdicts) for label, verdicts in sorted(counts.items())}


def log_timeline(results: list[load.Result]) -> None:
    """Logs, by second of the run, the requests without a correct answer."""
    began_ms = min(result.attempts[0].started_ms for result in results)
    seconds: dict[int, collections.Counter[str]] = {}
    for result in results:
        if result.crash or result.verdict is calls.Verdict.RIGHT:
            continue
        second = (result.attempts[0].started_ms - began_ms) // 1000
        second_counts = seconds.setdefault(second, collections.Counter())
        second_counts[f"{result.label} {result.verdict}"] += 1
    for second, second_counts in sorted(seconds.items()):
        texts = [
            f"{count} {name}" for name, count in sorted(second_counts.items())
        ]
        logger.info("second %d: %s", second, ", ".join(texts))


async def run(options: Options, with_baseline: bool) -> int:
    """Measures and prints one JSON line.

    Returns:
        1 if a figure of the daemon that must be 0 is not, else 0.
    """
    figures = await measure(options, with_baseline)
    print(json.dumps(figures), flush=True)
    zero_figures = [
        *harm.Harm._fields,
        "downloads_cut_by_planned_stop",
        "new_work_after_leave",
        "version_regressions",
        "dangling_routes",
        "not_in_force_at_end",
    ]
    return 1 if any(figures[name] for name in zero_figures) else 0

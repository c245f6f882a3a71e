"""Runs a fleet under load through a target change, a kill and a drain."""

from __future__ import annotations

import asyncio
import json
import pathlib
import re
import signal
import sys
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import click

from standins import ledger
from tools import calls
from tools import fleet
from tools import harm
from tools import keyed_calls
from tools import layouts
from tools import load
from tools import processes
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Callable

_ACTIVATION_TIMEOUT_S = 20.0
# Factor on the expected rates of the classes.
_RATE_FACTOR = 0.04
_LOAD_DURATION_S = 12.0
# Earliest times of the steps, in seconds after the load begins. The change
# waits until its version is active, which delays all later steps by that time.
_CHANGE_AT_S = 2.0
_KILL_AT_S = 4.0
_DOWNLOADS_AT_S = 5.0
_STOP_AT_S = 7.0
_DOWNLOADS_DURATION_S = 3.0
_DOWNLOAD_BYTES_PER_S = 300_000
_DOWNLOAD_BYTES = 1_500_000
# Time after which a leaving backend server must get no new requests: "a few
# seconds".
_LEAVE_GRACE_MS = 3000
_STOP_TIMEOUT_S = 30.0
_MAX_CONVERGENCE_S = 5.0
# Change of a backend server's runs in flight, by event of the ledger.
_IN_FLIGHT_CHANGES = {"started": 1, "done": -1, "cancelled": -1}


class Measurements(NamedTuple):
    """Measurements of one demonstration.

    Attributes:
        daemons: Number of daemons that were started.
        version: Accepted version at the end.
        converged_s: Seconds until the changed target was active on every
            daemon; None if it was not within the timeout.
        results: Results of the mixed load.
        downloads: Results of the downloads, some of which are in flight at the
            planned stop.
        runs: Records of the backend servers' ledger, several for each run.
        stop_status: Exit status of the backend server that was stopped.
        new_work_after_leave: Number of runs that this backend server began more
            than `_LEAVE_GRACE_MS` after it was told to stop.
        version_regressions: Number of times that a daemon switched to an
            older version.
        keyed_calls: Results of the calls with API keys; empty if the fleet has
            no workspaces.
    """

    daemons: int
    version: int
    converged_s: float | None
    results: list[load.Result]
    downloads: list[load.Result]
    runs: list[dict[str, Any]]
    stop_status: int | None
    new_work_after_leave: int
    version_regressions: int
    keyed_calls: tuple[keyed_calls.GroupResult, ...] = ()


async def run_demonstration(
    table: processes.ProcessTable, layout: layouts.Layout, scale: float
) -> Measurements:
    """Starts a fleet, runs the load and the steps on it, and closes it."""
    example_fleet = fleet.Fleet(table, layout)
    try:
        _print_line(
            f"starting {layout.name}: store, daemons and backend servers"
        )
        await example_fleet.start(layouts.list_places(layout, scale))
        documents = workload.list_documents(layout.name)
        await example_fleet.apply(*documents)
        version = (await example_fleet.read_head()).version
        converged_s = await example_fleet.wait_until_active(
            version, _ACTIVATION_TIMEOUT_S, example_fleet.instances
        )
        _print_line(
            f"version {version} in force everywhere after {converged_s} s"
        )
        if converged_s is None:
            raise processes.ProcessError(await _describe_daemons(example_fleet))
        measurements = await _run_steps(table, example_fleet)
        document = keyed_calls.find_document(layout.name)
        if document is None:
            return measurements
        _print_line("applying workspaces, then calls with API keys")
        results = await keyed_calls.run_calls(example_fleet, document)
        return measurements._replace(keyed_calls=tuple(results))
    finally:
        await example_fleet.close()


async def _run_steps(
    table: processes.ProcessTable, example_fleet: fleet.Fleet
) -> Measurements:
    """Runs the load and, beside it, a target change, a kill and a stop."""
    classes = workload.read_classes(example_fleet.layout.name)
    small = [c for c in classes if not c.large]
    large = [c for c in classes if c.large]
    instances = list(example_fleet.instances)
    entries = [instance.url for instance in instances]
    mixed_load = asyncio.create_task(
        load.run_load(
            load.Plan(entries, small, _RATE_FACTOR, _LOAD_DURATION_S, seed=1)
        )
    )
    await asyncio.sleep(_CHANGE_AT_S)
    converged_s = await _change_target(table, example_fleet)
    await asyncio.sleep(_KILL_AT_S - _CHANGE_AT_S)
    instance_to_kill = instances[0]
    _print_line(
        f"killing the daemon beside a {instance_to_kill.place.service} "
        "backend server"
    )
    version_histories = [
        list(await example_fleet.read_versions(instance_to_kill))
    ]
    await instance_to_kill.daemon.kill()
    surviving = [
        instance for instance in instances if instance is not instance_to_kill
    ]
    await asyncio.sleep(_DOWNLOADS_AT_S - _KILL_AT_S)
    download_plan = load.Plan(
        [instance.url for instance in surviving],
        large,
        factor=0.0,
        duration_s=_DOWNLOADS_DURATION_S,
        seed=2,
        download_bytes=_DOWNLOAD_BYTES,
        download_rate=_DOWNLOAD_BYTES_PER_S,
        large_rate=4.0,
    )
    downloads = asyncio.create_task(load.run_load(download_plan))
    await asyncio.sleep(_STOP_AT_S - _DOWNLOADS_AT_S)
    instance_to_stop = _find_busiest(example_fleet, large[0].service)
    assert instance_to_stop.backend is not None
    _print_line(
        f"stopping a {instance_to_stop.place.service} backend server gracefully"
    )
    sigterm_ms = time.time_ns() // 1_000_000
    instance_to_stop.backend.send_signal(signal.SIGTERM)
    results, download_results = await mixed_load, await downloads
    status = await asyncio.wait_for(
        instance_to_stop.backend.wait(), _STOP_TIMEOUT_S
    )
    version_histories += [
        list(await example_fleet.read_versions(i)) for i in surviving
    ]
    runs = ledger.read_ledger(example_fleet.ledger_path)
    address = instance_to_stop.backend.ready_fields["address"]
    return Measurements(
        daemons=len(instances),
        version=(await example_fleet.read_head()).version,
        converged_s=converged_s,
        results=results,
        downloads=download_results,
        runs=runs,
        stop_status=status,
        new_work_after_leave=harm.count_new_work(
            runs, address, sigterm_ms + _LEAVE_GRACE_MS
        ),
        version_regressions=sum(map(harm.count_regressions, version_histories)),
    )


async def _change_target(
    table: processes.ProcessTable, example_fleet: fleet.Fleet
) -> float | None:
    path = change_document(
        pathlib.Path(workload.list_documents(example_fleet.layout.name)[-1]),
        table.directory,
        add_ms=10,
    )
    await example_fleet.apply(str(path))
    version = (await example_fleet.read_head()).version
    converged_s = await example_fleet.wait_until_active(
        version, _ACTIVATION_TIMEOUT_S, example_fleet.instances
    )
    _print_line(
        f"changed a target: version {version} in force after {converged_s} s"
    )
    return converged_s


def change_document(
    path: pathlib.Path, folder: pathlib.Path, add_ms: int
) -> pathlib.Path:
    """Writes a copy of a target document with its first latency changed.

    Args:
        path: Target document to copy.
        folder: Folder to write the copy to.
        add_ms: Milliseconds to add to the first `latency_ms`.

    Returns:
        Path of the copy.
    """
    text = path.read_text(encoding="utf-8")

    def increase(match: re.Match[str]) -> str:
        return f"latency_ms = {int(match.group(1)) + add_ms}"

    changed = re.sub(r"latency_ms = (\d+)", increase, text, count=1)
    copy = folder / path.name
    copy.write_text(changed, encoding="utf-8")
    return copy


def _find_busiest(example_fleet: fleet.Fleet, service: str) -> fleet.Instance:
    """Returns the instance of a service with the most runs in flight."""
    in_flight: dict[str, int] = {}
    for record in ledger.read_ledger(example_fleet.ledger_path):
        change = _IN_FLIGHT_CHANGES.get(record["event"], 0)
        in_flight[record["at"]] = in_flight.get(record["at"], 0) + change

    def count_in_flight(instance: fleet.Instance) -> int:
        assert instance.backend is not None
        return in_flight.get(instance.backend.ready_fields["address"], 0)

    of_service = [
        i for i in example_fleet.instances if i.place.service == service
    ]
    return max(of_service, key=count_in_flight)


async def _describe_daemons(example_fleet: fleet.Fleet) -> str:
    """Returns the versions and the last stderr lines of every daemon."""
    lines = ["a version did not come into force; the daemons' last lines:"]
    for instance in example_fleet.instances:
        versions = await example_fleet.read_versions(instance)
        errors = instance.daemon.read_last_stderr_lines()
        lines.append(
            f"{instance.daemon.ready_fields['id']} {versions}\n{errors}"
        )
    return "\n".join(lines)


def summarize(measurements: Measurements) -> dict[str, Any]:
    """Returns the figures of the JSON line printed at the end."""
    results = [*measurements.results, *measurements.downloads]
    counts = harm.count_harm(results, measurements.runs)
    right = calls.Verdict.RIGHT
    return {
        "daemons": measurements.daemons,
        "requests": len(results),
        "answered": sum(result.verdict is right for result in results),
        **counts._asdict(),
        "downloads": len(measurements.downloads),
        "downloads_cut": sum(
            r.verdict is not right for r in measurements.downloads
        ),
        "new_work_after_leave": measurements.new_work_after_leave,
        "version_regressions": measurements.version_regressions,
        "converged_s": measurements.converged_s,
        "version": measurements.version,
    }


def list_violations(
    measurements: Measurements, figures: dict[str, Any]
) -> list[str]:
    """Returns a message for each requirement that was not met."""
    zero_figures = [
        *harm.Harm._fields,
        "downloads_cut",
        "new_work_after_leave",
        "version_regressions",
    ]
    violations = [
        f"{name} is {figures[name]}" for name in zero_figures if figures[name]
    ]
    if (
        measurements.converged_s is None
        or measurements.converged_s > _MAX_CONVERGENCE_S
    ):
        violations.append(f"converged_s is {measurements.converged_s}")
    if not figures["downloads"] or not figures["answered"]:
        violations.append("nothing was answered or downloaded")
    if measurements.stop_status:
        violations.append(
            f"the stopped backend ended with {measurements.stop_status}"
        )
    if measurements.keyed_calls:
        violations += keyed_calls.list_violations([*measurements.keyed_calls])
    return violations


def print_report(
    measurements: Measurements, print_line: Callable[[str], None]
) -> None:
    """Prints calls, calls that met target and verdicts by class of work."""
    results = [*measurements.results, *measurements.downloads]
    for label in sorted({result.label for result in results}):
        class_results = [result for result in results if result.label == label]
        met = sum(result.met for result in class_results)
        verdicts: dict[str, int] = {}
        for result in class_results:
            name = result.verdict.value
            verdicts[name] = verdicts.get(name, 0) + 1
        counts = ", ".join(
            f"{n} {name}" for name, n in sorted(verdicts.items())
        )
        print_line(
            f"  {label:<28} {len(class_results):>5} calls, "
            f"{met} met target; {counts}"
        )
    for keyed_result in measurements.keyed_calls:
        print_line(keyed_calls.format_result(keyed_result))


def _print_line(text: str) -> None:
    print(text, flush=True)


async def _run(layout: layouts.Layout, scale: float) -> int:
    began = time.monotonic()
    table = processes.ProcessTable()
    try:
        measurements = await run_demonstration(table, layout, scale)
    except processes.ProcessError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        await table.close()
    print_report(measurements, _print_line)
    figures = summarize(measurements)
    violations = list_violations(measurements, figures)
    for line in violations:
        _print_line(f"did not hold: {line}")
    figures["seconds"] = round(time.monotonic() - began, 1)
    _print_line(json.dumps(figures))
    return 1 if violations else 0


@click.command()
@layouts.add_fleet_option("Example fleet.")
@click.option(
    "--scale",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.1, 4.0),
    help="Factor on the number of instances of each service.",
)
def main(name: str, scale: float) -> None:
    """Shows an example fleet at work and checks what must hold."""
    sys.exit(processes.run(_run(layouts.LAYOUTS[name], scale)))


if __name__ == "__main__":
    main()

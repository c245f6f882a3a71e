"""Shows an example fleet at work: load, a change, a kill, a drain."""

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
from tools import layouts
from tools import load
from tools import processes
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Callable

_IN_FORCE_WITHIN_S = 20.0
_FACTOR = 0.04
_LOAD_S = 12.0
_CHANGE_AT_S = 2.0
_KILL_AT_S = 4.0
_DOWNLOADS_AT_S = 5.0
_STOP_AT_S = 7.0
_DOWNLOADS_S = 3.0
_DOWNLOAD_RATE = 300_000
_DOWNLOAD_BYTES = 1_500_000
# A leaving backend server gets no new work after "a few seconds".
_LEAVE_WITHIN_MS = 3000
_CONVERGED_WITHIN_S = 5.0
# What each event of a run adds to the runs in flight.
_STEPS = {"started": 1, "done": -1, "cancelled": -1}


class Measurements(NamedTuple):
    """What the demonstration measured.

    Attributes:
        daemons: Daemons that were started.
        version: Version in force at the end.
        converged_s: Seconds until the changed target was in force on every
            daemon; None where it was not.
        results: Results of the mixed load.
        downloads: Results of the downloads during the planned stop.
        runs: What the backend servers ran.
        stop_status: Exit status of the stopped backend server.
        new_work_after_leave: Runs it began a few seconds after its leave.
        version_regressions: Times that a daemon went back.
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


async def run_demonstration(
    table: processes.ProcessTable, layout: layouts.Layout, scale: float
) -> Measurements:
    """Runs the whole demonstration on a fleet of its own."""
    shown = fleet.Fleet(table, layout)
    try:
        _say(f"starting {layout.name}: store, daemons and backend servers")
        await shown.start(layouts.list_places(layout, scale))
        documents = workload.list_documents(layout.name)
        await shown.apply(*documents)
        version = (await shown.read_head()).version
        taken = await shown.wait_until_active(
            version, _IN_FORCE_WITHIN_S, shown.instances
        )
        _say(f"version {version} in force everywhere after {taken} s")
        if taken is None:
            raise processes.ProcessError(await _describe(shown))
        return await _run_load(table, shown)
    finally:
        await shown.close()


async def _run_load(
    table: processes.ProcessTable, shown: fleet.Fleet
) -> Measurements:
    classes = workload.read_classes(shown.layout.name)
    small = [target for target in classes if not target.large]
    large = [target for target in classes if target.large]
    everyone = list(shown.instances)
    entries = [instance.url for instance in everyone]
    mixed = asyncio.create_task(
        load.run_load(load.Plan(entries, small, _FACTOR, _LOAD_S, seed=1))
    )
    await asyncio.sleep(_CHANGE_AT_S)
    converged_s = await _change_target(table, shown)
    await asyncio.sleep(_KILL_AT_S - _CHANGE_AT_S)
    killed = everyone[0]
    _say(f"killing the daemon beside a {killed.place.service} backend server")
    history = [list(await shown.read_versions(killed))]
    await killed.daemon.kill()
    alive = [instance for instance in everyone if instance is not killed]
    await asyncio.sleep(_DOWNLOADS_AT_S - _KILL_AT_S)
    plan = load.Plan(
        [instance.url for instance in alive],
        large,
        factor=0.0,
        duration_s=_DOWNLOADS_S,
        seed=2,
        download_bytes=_DOWNLOAD_BYTES,
        download_rate=_DOWNLOAD_RATE,
        large_rate=4.0,
    )
    downloads = asyncio.create_task(load.run_load(plan))
    await asyncio.sleep(_STOP_AT_S - _DOWNLOADS_AT_S)
    stopped = _find_busiest(shown, large[0].service)
    assert stopped.backend is not None
    _say(f"stopping a {stopped.place.service} backend server gracefully")
    stopped_ms = time.time_ns() // 1_000_000
    stopped.backend.send_signal(signal.SIGTERM)
    results, downloaded = await mixed, await downloads
    status = await asyncio.wait_for(stopped.backend.wait(), 30.0)
    history += [list(await shown.read_versions(i)) for i in alive]
    runs = ledger.read_ledger(shown.ledger_path)
    address = stopped.backend.ready_fields["address"]
    return Measurements(
        daemons=len(everyone),
        version=(await shown.read_head()).version,
        converged_s=converged_s,
        results=results,
        downloads=downloaded,
        runs=runs,
        stop_status=status,
        new_work_after_leave=harm.count_new_work(
            runs, address, stopped_ms + _LEAVE_WITHIN_MS
        ),
        version_regressions=sum(map(harm.count_regressions, history)),
    )


async def _change_target(
    table: processes.ProcessTable, shown: fleet.Fleet
) -> float | None:
    path = change_document(
        pathlib.Path(workload.list_documents(shown.layout.name)[-1]),
        table.directory,
        add_ms=10,
    )
    await shown.apply(str(path))
    version = (await shown.read_head()).version
    taken = await shown.wait_until_active(
        version, _IN_FORCE_WITHIN_S, shown.instances
    )
    _say(f"changed a target: version {version} in force after {taken} s")
    return taken


def change_document(
    path: pathlib.Path, folder: pathlib.Path, add_ms: int
) -> pathlib.Path:
    """Writes a copy of a target document with its first latency changed."""
    text = path.read_text(encoding="utf-8")

    def add(found: re.Match[str]) -> str:
        return f"latency_ms = {int(found.group(1)) + add_ms}"

    changed = re.sub(r"latency_ms = (\d+)", add, text, count=1)
    copy = folder / path.name
    copy.write_text(changed, encoding="utf-8")
    return copy


def _find_busiest(shown: fleet.Fleet, service: str) -> fleet.Instance:
    """Returns the instance of a service with most runs in flight."""
    in_flight: dict[str, int] = {}
    for run in ledger.read_ledger(shown.ledger_path):
        step = _STEPS.get(run["event"], 0)
        in_flight[run["at"]] = in_flight.get(run["at"], 0) + step

    def count(instance: fleet.Instance) -> int:
        assert instance.backend is not None
        return in_flight.get(instance.backend.ready_fields["address"], 0)

    of_service = [i for i in shown.instances if i.place.service == service]
    return max(of_service, key=count)


async def _describe(shown: fleet.Fleet) -> str:
    """Says why a version is not in force: the last lines of the daemons."""
    lines = ["a version did not come into force; the daemons' last lines:"]
    for instance in shown.instances:
        versions = await shown.read_versions(instance)
        errors = instance.daemon.read_last_stderr_lines()
        lines.append(
            f"{instance.daemon.ready_fields['id']} {versions}\n{errors}"
        )
    return "\n".join(lines)


def summarize(seen: Measurements) -> dict[str, Any]:
    """Returns the figures of the closing JSON line."""
    results = [*seen.results, *seen.downloads]
    counts = harm.count_harm(results, seen.runs)
    right = calls.Verdict.RIGHT
    return {
        "daemons": seen.daemons,
        "requests": len(results),
        "answered": sum(result.verdict is right for result in results),
        **counts._asdict(),
        "downloads": len(seen.downloads),
        "downloads_cut": sum(r.verdict is not right for r in seen.downloads),
        "new_work_after_leave": seen.new_work_after_leave,
        "version_regressions": seen.version_regressions,
        "converged_s": seen.converged_s,
        "version": seen.version,
    }


def list_violations(seen: Measurements, figures: dict[str, Any]) -> list[str]:
    """Returns what must hold and did not, in words."""
    zeros = [
        *harm.Harm._fields,
        "downloads_cut",
        "new_work_after_leave",
        "version_regressions",
    ]
    broken = [f"{name} is {figures[name]}" for name in zeros if figures[name]]
    if seen.converged_s is None or seen.converged_s > _CONVERGED_WITHIN_S:
        broken.append(f"converged_s is {seen.converged_s}")
    if not figures["downloads"] or not figures["answered"]:
        broken.append("nothing was answered or downloaded")
    if seen.stop_status:
        broken.append(f"the stopped backend ended with {seen.stop_status}")
    return broken


def print_report(seen: Measurements, say: Callable[[str], None]) -> None:
    """Prints calls by class and by what the callers got."""
    results = [*seen.results, *seen.downloads]
    for label in sorted({result.label for result in results}):
        own = [result for result in results if result.label == label]
        met = sum(result.met for result in own)
        verdicts: dict[str, int] = {}
        for result in own:
            name = result.verdict.value
            verdicts[name] = verdicts.get(name, 0) + 1
        got = ", ".join(f"{n} {name}" for name, n in sorted(verdicts.items()))
        say(f"  {label:<28} {len(own):>5} calls, {met} met target; {got}")


def _say(text: str) -> None:
    print(text, flush=True)


async def _run(layout: layouts.Layout, scale: float) -> int:
    began = time.monotonic()
    table = processes.ProcessTable()
    try:
        seen = await run_demonstration(table, layout, scale)
    except processes.ProcessError as error:
        print(error, file=sys.stderr)
        return 1
    finally:
        await table.close()
    print_report(seen, _say)
    figures = summarize(seen)
    broken = list_violations(seen, figures)
    for line in broken:
        _say(f"did not hold: {line}")
    figures["seconds"] = round(time.monotonic() - began, 1)
    _say(json.dumps(figures))
    return 1 if broken else 0


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

"""Open-loop load of all classes of work, in this or a separate process.

Run it with `python -m tools.load PLAN RESULTS`; both are files of JSON.
"""

from __future__ import annotations

import asyncio
import functools
import json
import pathlib
import random
import sys
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp

from standins import process
from tools import calls
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Iterator

_MOST_SENDINGS = 3
_MOST_REFUSALS = 2
_MOST_RETRY_AFTER_S = 1.0
_WAIT_MARGIN_S = 2.0
_DOWNLOAD_WAIT_S = 120.0
_BODY_BYTES = 300
# A sending that found no open port; a caller simply asks another daemon.
_MOST_NOT_SENT = 5


class Plan(NamedTuple):
    """What load to make.

    Attributes:
        entries: URLs of the daemons that callers use.
        classes: Classes of work.
        factor: Factor on the classes' expected rates.
        duration_s: Seconds in which calls are begun.
        seed: Seed of every random choice; also marks the request ids.
        download_bytes: Length of each download.
        download_rate: Bytes per second of each download.
        large_rate: Downloads begun per second, in place of their rates.
        keyed_factor: Further factor on work that may not be repeated.
        crash_share: Share of repeatable calls that crash their backend.
    """

    entries: list[str]
    classes: list[workload.ClassLoad]
    factor: float
    duration_s: float
    seed: int
    download_bytes: int = 500_000
    download_rate: int = 1_000_000
    large_rate: float = 1.0
    keyed_factor: float = 1.0
    crash_share: float = 0.0


class Result(NamedTuple):
    """One request with all its sendings.

    Attributes:
        label: Service and class.
        request_id: Its identity.
        latency_ms: From the first sending to the last answer.
        large: True for a download.
        crash: True if it crashes the backend server that runs it.
        met: Right, and within the class's latency target (large: right).
        attempts: Its sendings, first to last.
    """

    label: str
    request_id: str
    latency_ms: float
    large: bool
    crash: bool
    met: bool
    attempts: list[calls.Attempt]

    @property
    def verdict(self) -> calls.Verdict:
        """What the caller had in the end."""
        return self.attempts[-1].verdict

    @property
    def first_verdict(self) -> calls.Verdict:
        """What came of the first sending that found an open port."""
        not_sent = calls.Verdict.NOT_SENT
        verdicts = [attempt.verdict for attempt in self.attempts]
        return next((v for v in verdicts if v is not not_sent), not_sent)


async def run_load(plan: Plan) -> list[Result]:
    """Makes the load and returns every request's result."""
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    ) as session:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for at_s, request in generate_requests(plan):
            await asyncio.sleep(max(0.0, began + at_s - loop.time()))
            chooser = random.Random(f"{plan.seed} {request.request_id}")
            coroutine = call_with_retries(
                session, plan.entries, request, chooser
            )
            tasks.append(asyncio.create_task(coroutine))
        return list(await asyncio.gather(*tasks))


def generate_requests(plan: Plan) -> Iterator[tuple[float, calls.Request]]:
    """Yields when each request begins, in seconds, in order of time."""
    choices = random.Random(plan.seed)
    rates = [_compute_rate(plan, load) for load in plan.classes]
    total = sum(rates)
    at_s = 0.0
    number = 0
    while total:
        at_s += choices.expovariate(total)
        if at_s >= plan.duration_s:
            return
        load = choices.choices(plan.classes, rates)[0]
        request_id = f"{load.name}-{plan.seed}-{number}"
        crash = load.repeatable and choices.random() < plan.crash_share
        yield at_s, _build_request(plan, load, request_id, crash)
        number += 1


async def call_with_retries(
    session: aiohttp.ClientSession,
    entries: list[str],
    request: calls.Request,
    chooser: random.Random,
) -> Result:
    """Sends a request as its caller does until it has an answer.

    Work that may not be repeated is sent again, with the same key and by way
    of another daemon, unless it was answered; so is a request that crashes
    its backend servers. Other work is sent again once, where the caller was
    told that it did not run and when to come back.
    """
    load = request.class_load
    patient = request.crash or not load.repeatable
    most = _MOST_SENDINGS if patient else _MOST_REFUSALS
    attempts: list[calls.Attempt] = []
    waited_s = load.deadline_ms / 1000 + _WAIT_MARGIN_S
    if load.large:
        waited_s = _DOWNLOAD_WAIT_S
    loop = asyncio.get_running_loop()
    began = loop.time()
    not_sent = 0
    while len(attempts) - not_sent < most and not_sent < _MOST_NOT_SENT:
        entry = chooser.choice(entries)
        number = len(attempts)
        attempt = await calls.send(session, entry, request, number, waited_s)
        attempts.append(attempt)
        if attempt.verdict is calls.Verdict.NOT_SENT:
            not_sent += 1
            continue
        if attempt.verdict in (calls.Verdict.RIGHT, calls.Verdict.WRONG):
            break
        if not patient and not _is_told_to_return(attempt):
            break
        if len(attempts) - not_sent < most:
            again_s = attempt.retry_after_s or 0.1
            await asyncio.sleep(min(again_s, _MOST_RETRY_AFTER_S))
    latency_ms = (loop.time() - began) * 1000
    right = attempts[-1].verdict is calls.Verdict.RIGHT
    met = right and (load.large or latency_ms <= load.latency_ms)
    return Result(
        load.label,
        request.request_id,
        latency_ms,
        load.large,
        request.crash,
        met,
        attempts,
    )


def write_plan(plan: Plan, path: pathlib.Path) -> None:
    """Writes a plan for a separate process."""
    fields = plan._asdict()
    fields["classes"] = [load._asdict() for load in plan.classes]
    path.write_text(json.dumps(fields), encoding="utf-8")


def read_plan(path: pathlib.Path) -> Plan:
    """Reads a plan that `write_plan` wrote."""
    fields: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    loads = [workload.ClassLoad(**load) for load in fields.pop("classes")]
    return Plan(classes=loads, **fields)


def write_results(results: list[Result], path: pathlib.Path) -> None:
    """Writes results, one JSON line each."""
    lines = []
    for result in results:
        fields = result._asdict()
        fields["attempts"] = [a._asdict() for a in result.attempts]
        lines.append(json.dumps(fields) + "\n")
    path.write_text("".join(lines), encoding="utf-8")


def read_results(path: pathlib.Path) -> list[Result]:
    """Reads results that `write_results` wrote."""
    results = []
    for line in path.read_text(encoding="utf-8").splitlines():
        fields = json.loads(line)
        attempts = [_read_attempt(a) for a in fields.pop("attempts")]
        results.append(Result(attempts=attempts, **fields))
    return results


def _read_attempt(fields: dict[str, Any]) -> calls.Attempt:
    verdict = calls.Verdict(fields.pop("verdict"))
    return calls.Attempt(verdict=verdict, **fields)


def _is_told_to_return(attempt: calls.Attempt) -> bool:
    return (
        attempt.verdict is calls.Verdict.NOT_RUN
        and attempt.retry_after_s is not None
    )


def _compute_rate(plan: Plan, target: workload.ClassLoad) -> float:
    """Returns calls begun per second of one class."""
    if target.large:
        return plan.large_rate / sum(other.large for other in plan.classes)
    if target.repeatable:
        return target.rate * plan.factor
    return target.rate * plan.factor * plan.keyed_factor


def _build_request(
    plan: Plan, load: workload.ClassLoad, request_id: str, crash: bool
) -> calls.Request:
    body = b""
    if load.method not in ("GET", "HEAD"):
        body = random.Random(request_id).randbytes(_BODY_BYTES)
    if not load.large:
        return calls.Request(load, request_id, body, crash=crash)
    return calls.Request(
        load, request_id, body, plan.download_bytes, plan.download_rate, crash
    )


async def _run(plan_path: pathlib.Path, results_path: pathlib.Path) -> None:
    plan = read_plan(plan_path)
    process.print_ready("load")
    write_results(await run_load(plan), results_path)


def main() -> None:
    """Makes the load of a plan file and writes a results file."""
    plan_path, results_path = map(pathlib.Path, sys.argv[1:3])
    process.run(functools.partial(_run, plan_path, results_path))


if __name__ == "__main__":
    main()

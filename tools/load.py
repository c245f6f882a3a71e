"""Open-loop load of all classes of work, in this or a separate process."""

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

# Attempts of a request that is retried after every failure.
_MAX_ATTEMPTS_AFTER_FAILURE = 3
# Attempts of a request that is retried only if the answer says when to.
_MAX_ATTEMPTS_AFTER_REFUSAL = 2
_DEFAULT_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 1.0
# Time that a caller waits beyond the deadline of the class.
_TIMEOUT_MARGIN_S = 2.0
_DOWNLOAD_TIMEOUT_S = 120.0
_BODY_BYTES = 300
# Attempts of one request that find no open port; the caller just asks again a
# daemon that it chooses at random.
_MAX_UNSENT_ATTEMPTS = 5


class Plan(NamedTuple):
    """Plan of a load.

    Attributes:
        entries: URLs of the daemons that callers use.
        classes: Classes of work.
        factor: Factor applied to the expected rates of the classes that are not
            large.
        duration_s: Seconds in which requests begin.
        seed: Seed of every random choice; also a part of the request ids.
        download_bytes: Length of each download in bytes.
        download_rate: Bytes per second of each download.
        large_rate: Downloads begun per second by all large classes together,
            instead of their expected rates.
        keyed_factor: Further factor on the rates of work that must not run
            twice and therefore has an idempotency key.
        crash_share: Fraction of repeatable calls that crash their backend
            server.
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
    """Result of one request with all its attempts.

    Attributes:
        label: Service and class of work, as "service/class".
        request_id: Id of the request.
        latency_ms: Milliseconds from the start of the first attempt to the end
            of the last one.
        large: Whether it is a download.
        crash: Whether it crashes the backend server that runs it.
        met: Whether the answer was correct and, unless it is a download, came
            within the class's latency target.
        attempts: Attempts in the order of sending.
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
        """Verdict of the last attempt."""
        return self.attempts[-1].verdict

    @property
    def first_verdict(self) -> calls.Verdict:
        """Verdict of the first attempt that found an open port."""
        not_sent = calls.Verdict.NOT_SENT
        verdicts = [attempt.verdict for attempt in self.attempts]
        return next((v for v in verdicts if v is not not_sent), not_sent)


async def run_load(plan: Plan) -> list[Result]:
    """Makes the load and returns the result of every request."""
    tasks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    ) as session:
        loop = asyncio.get_running_loop()
        began = loop.time()
        for at_s, request in generate_requests(plan):
            await asyncio.sleep(max(0.0, began + at_s - loop.time()))
            rng = random.Random(f"{plan.seed} {request.request_id}")
            coroutine = call_with_retries(session, plan.entries, request, rng)
            tasks.append(asyncio.create_task(coroutine))
        return list(await asyncio.gather(*tasks))


def generate_requests(plan: Plan) -> Iterator[tuple[float, calls.Request]]:
    """Yields each request with its start time in seconds, in order of time."""
    rng = random.Random(plan.seed)
    rates = [_compute_rate(plan, class_load) for class_load in plan.classes]
    total_rate = sum(rates)
    at_s = 0.0
    number = 0
    while total_rate:
        at_s += rng.expovariate(total_rate)
        if at_s >= plan.duration_s:
            return
        class_load = rng.choices(plan.classes, rates)[0]
        request_id = f"{class_load.name}-{plan.seed}-{number}"
        crash = class_load.repeatable and rng.random() < plan.crash_share
        yield at_s, _build_request(plan, class_load, request_id, crash)
        number += 1


async def call_with_retries(
    session: aiohttp.ClientSession,
    entries: list[str],
    request: calls.Request,
    rng: random.Random,
) -> Result:
    """Sends a request and retries it as its caller would.

    Each attempt goes through a randomly chosen daemon. Attempts that find no
    open port count towards `_MAX_UNSENT_ATTEMPTS` only.

    Work that must not run twice is retried, always with the same idempotency
    key, until the verdict is RIGHT or WRONG or `_MAX_ATTEMPTS_AFTER_FAILURE` is
    reached. A request that crashes its backend server is retried as often.
    Other work is retried once, if the answer said that it did not run and when
    to retry.

    Args:
        session: Client to send with.
        entries: URLs of the daemons to choose from.
        request: Request to send.
        rng: Source of the random choice of daemons.
    """
    class_load = request.class_load
    retries_every_failure = request.crash or not class_load.repeatable
    max_attempts = (
        _MAX_ATTEMPTS_AFTER_FAILURE
        if retries_every_failure
        else _MAX_ATTEMPTS_AFTER_REFUSAL
    )
    attempts: list[calls.Attempt] = []
    timeout_s = class_load.deadline_ms / 1000 + _TIMEOUT_MARGIN_S
    if class_load.large:
        timeout_s = _DOWNLOAD_TIMEOUT_S
    loop = asyncio.get_running_loop()
    began = loop.time()
    unsent = 0
    while (
        len(attempts) - unsent < max_attempts and unsent < _MAX_UNSENT_ATTEMPTS
    ):
        entry = rng.choice(entries)
        number = len(attempts)
        attempt = await calls.send(session, entry, request, number, timeout_s)
        attempts.append(attempt)
        if attempt.verdict is calls.Verdict.NOT_SENT:
            unsent += 1
            continue
        if attempt.verdict in (calls.Verdict.RIGHT, calls.Verdict.WRONG):
            break
        if not retries_every_failure and not _is_told_to_retry(attempt):
            break
        if len(attempts) - unsent < max_attempts:
            retry_delay_s = attempt.retry_after_s or _DEFAULT_RETRY_DELAY_S
            await asyncio.sleep(min(retry_delay_s, _MAX_RETRY_DELAY_S))
    latency_ms = (loop.time() - began) * 1000
    correct = attempts[-1].verdict is calls.Verdict.RIGHT
    met = correct and (class_load.large or latency_ms <= class_load.latency_ms)
    return Result(
        class_load.label,
        request.request_id,
        latency_ms,
        class_load.large,
        request.crash,
        met,
        attempts,
    )


def write_plan(plan: Plan, path: pathlib.Path) -> None:
    """Writes a plan for a load process as JSON."""
    fields = plan._asdict()
    fields["classes"] = [class_load._asdict() for class_load in plan.classes]
    path.write_text(json.dumps(fields), encoding="utf-8")


def read_plan(path: pathlib.Path) -> Plan:
    """Reads a plan that `write_plan` wrote."""
    fields: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    classes = [
        workload.ClassLoad(**class_fields)
        for class_fields in fields.pop("classes")
    ]
    return Plan(classes=classes, **fields)


def write_results(results: list[Result], path: pathlib.Path) -> None:
    """Writes each result as one line of JSON."""
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


def _is_told_to_retry(attempt: calls.Attempt) -> bool:
    """Returns whether the answer said that it did not run and when to retry."""
    return (
        attempt.verdict is calls.Verdict.NOT_RUN
        and attempt.retry_after_s is not None
    )


def _compute_rate(plan: Plan, class_load: workload.ClassLoad) -> float:
    """Returns how many requests of one class begin per second."""
    if class_load.large:
        return plan.large_rate / sum(other.large for other in plan.classes)
    if class_load.repeatable:
        return class_load.rate * plan.factor
    return class_load.rate * plan.factor * plan.keyed_factor


def _build_request(
    plan: Plan, class_load: workload.ClassLoad, request_id: str, crash: bool
) -> calls.Request:
    body = b""
    if class_load.method not in ("GET", "HEAD"):
        body = random.Random(request_id).randbytes(_BODY_BYTES)
    if not class_load.large:
        return calls.Request(class_load, request_id, body, crash=crash)
    return calls.Request(
        class_load,
        request_id,
        body,
        plan.download_bytes,
        plan.download_rate,
        crash,
    )


async def _run(plan_path: pathlib.Path, results_path: pathlib.Path) -> None:
    plan = read_plan(plan_path)
    process.print_ready("load")
    write_results(await run_load(plan), results_path)


def main() -> None:
    """Makes the load of a plan file and writes the results file.

    Run it with `python -m tools.load PLAN RESULTS`; PLAN is a JSON file,
    RESULTS a file of JSON lines.
    """
    plan_path, results_path = map(pathlib.Path, sys.argv[1:3])
    process.run(functools.partial(_run, plan_path, results_path))


if __name__ == "__main__":
    main()

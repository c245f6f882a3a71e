"""Load process of the latency measurement."""

from __future__ import annotations

import asyncio
import functools
import gc
import json
import pathlib
import sys
import time
from typing import NamedTuple

import aiohttp

from standins import process
from tools import samples

# Calls of each target before the first round.
_WARM_UP_CALLS = 300


class Target(NamedTuple):
    """URL that leads to the backend server, directly or through proxies.

    Attributes:
        name: "direct", "daemon", "two_daemons" or "baseline".
        url: URL to call.
        pids: Ids of the processes between the caller and the backend server.
    """

    name: str
    url: str
    pids: list[int]


class Plan(NamedTuple):
    """Plan of the calls to make.

    Attributes:
        targets: Targets, called one after another in each round.
        rates: Rates of the open loop in calls per second, one after another.
        rounds: Rounds at each rate, and of the closed loop.
        block_calls: Calls of one target in one round of the open loop.
        closed_s: Duration of the closed loop of one target in one round, in
            seconds.
        concurrency: Concurrent callers of the closed loop.
    """

    targets: list[Target]
    rates: list[int]
    rounds: int
    block_calls: int
    closed_s: float
    concurrency: int


class Block(NamedTuple):
    """Calls of one target in one round.

    Attributes:
        target: Name of the target.
        rate: Calls per second; 0 for the closed loop.
        latencies_ms: Latency of each call that was answered with status 200,
            in milliseconds.
        failures: Number of calls without an answer of status 200.
        cpu_s: Processor time of the target's processes, in seconds.
        took_s: Duration of the block in seconds.
    """

    target: str
    rate: int
    latencies_ms: list[float]
    failures: int
    cpu_s: float
    took_s: float


async def run_plan(plan: Plan) -> list[Block]:
    """Calls all targets in each round, first open loop, then closed loop."""
    blocks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    ) as session:
        for target in plan.targets:
            for _ in range(_WARM_UP_CALLS):
                await _call(session, target.url)
        for rate in plan.rates:
            for _ in range(plan.rounds):
                for target in plan.targets:
                    blocks.append(
                        await _call_open_loop(session, target, rate, plan)
                    )
        for _ in range(plan.rounds):
            for target in plan.targets:
                blocks.append(await _call_closed_loop(session, target, plan))
    return blocks


async def _call_open_loop(
    session: aiohttp.ClientSession, target: Target, rate: int, plan: Plan
) -> Block:
    """Begins calls at a fixed rate, without waiting for earlier answers."""
    loop = asyncio.get_running_loop()
    cpu_before_s = _read_cpu_s(target)
    began = loop.time()
    tasks = []
    for number in range(plan.block_calls):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        tasks.append(asyncio.create_task(_call(session, target.url)))
    latencies = await asyncio.gather(*tasks)
    return _build_block(
        target, rate, latencies, cpu_before_s, took_s=loop.time() - began
    )


async def _call_closed_loop(
    session: aiohttp.ClientSession, target: Target, plan: Plan
) -> Block:
    """Lets each caller call again as soon as its last call has ended."""
    loop = asyncio.get_running_loop()
    latencies: list[float | None] = []
    cpu_before_s = _read_cpu_s(target)
    began = loop.time()

    async def call_repeatedly() -> None:
        while loop.time() - began < plan.closed_s:
            latencies.append(await _call(session, target.url))

    await asyncio.gather(*(call_repeatedly() for _ in range(plan.concurrency)))
    return _build_block(
        target, 0, latencies, cpu_before_s, took_s=loop.time() - began
    )


async def _call(session: aiohttp.ClientSession, url: str) -> float | None:
    """Returns the latency in ms; None without an answer of status 200."""
    began = time.perf_counter()
    try:
        async with session.get(url) as answer:
            await answer.read()
            if answer.status != 200:
                return None
    except aiohttp.ClientError:
        return None
    return (time.perf_counter() - began) * 1000


def _build_block(
    target: Target,
    rate: int,
    latencies: list[float | None],
    cpu_before_s: float,
    took_s: float,
) -> Block:
    answered = [latency for latency in latencies if latency is not None]
    return Block(
        target.name,
        rate,
        answered,
        len(latencies) - len(answered),
        _read_cpu_s(target) - cpu_before_s,
        took_s,
    )


def _read_cpu_s(target: Target) -> float:
    return sum(samples.read_cpu_s(pid) for pid in target.pids)


def write_plan(plan: Plan, path: pathlib.Path) -> None:
    """Writes a plan for the load process as JSON."""
    fields = plan._asdict()
    fields["targets"] = [target._asdict() for target in plan.targets]
    path.write_text(json.dumps(fields), encoding="utf-8")


def read_plan(path: pathlib.Path) -> Plan:
    """Reads a plan that `write_plan` wrote."""
    fields = json.loads(path.read_text(encoding="utf-8"))
    targets = [Target(**target) for target in fields.pop("targets")]
    return Plan(targets=targets, **fields)


def write_blocks(blocks: list[Block], path: pathlib.Path) -> None:
    """Writes blocks as JSON, for `read_blocks`."""
    rows = [block._asdict() for block in blocks]
    path.write_text(json.dumps(rows), encoding="utf-8")


def read_blocks(path: pathlib.Path) -> list[Block]:
    """Reads the blocks that the load process wrote."""
    rows = json.loads(path.read_text(encoding="utf-8"))
    return [Block(**fields) for fields in rows]


async def _run(plan_path: pathlib.Path, results_path: pathlib.Path) -> None:
    plan = read_plan(plan_path)
    process.print_ready("latency load")
    # A garbage collection of this process would add to the measured latency.
    gc.freeze()
    gc.disable()
    write_blocks(await run_plan(plan), results_path)


def main() -> None:
    """Makes the calls of a plan file and writes the results file.

    Run it with `python -m tools.latency_load PLAN RESULTS`; both are JSON
    files.
    """
    plan_path, results_path = map(pathlib.Path, sys.argv[1:3])
    process.run(functools.partial(_run, plan_path, results_path))


if __name__ == "__main__":
    main()

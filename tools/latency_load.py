"""Calls for the latency measurement, from a process of their own.

Run it with `python -m tools.latency_load PLAN RESULTS`; both are JSON files.
"""

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

_WARM_CALLS = 300


class Target(NamedTuple):
    """One way to the backend server.

    Attributes:
        name: "direct", "daemon", "two_daemons" or "baseline".
        url: URL of the call.
        pids: Processes between caller and backend server.
    """

    name: str
    url: str
    pids: list[int]


class Plan(NamedTuple):
    """What is called.

    Attributes:
        targets: The ways, called in turn.
        rates: Calls per second, one after another.
        rounds: Turns at each rate.
        block_calls: Calls of one way in one turn.
        closed_s: Seconds of the closed loop of each way, per turn.
        concurrency: Callers of the closed loop.
    """

    targets: list[Target]
    rates: list[int]
    rounds: int
    block_calls: int
    closed_s: float
    concurrency: int


class Block(NamedTuple):
    """Calls of one way in one turn.

    Attributes:
        target: Name of the way.
        rate: Calls per second; 0: closed loop.
        latencies_ms: Latency of each answered call.
        failures: Calls without status 200.
        cpu_s: Processor seconds of the processes in between.
        took_s: Seconds of the block.
    """

    target: str
    rate: int
    latencies_ms: list[float]
    failures: int
    cpu_s: float
    took_s: float


async def run_plan(plan: Plan) -> list[Block]:
    """Calls all ways in turn, first open loop, then closed loop."""
    blocks = []
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    ) as session:
        for target in plan.targets:
            for _ in range(_WARM_CALLS):
                await _call(session, target.url)
        for rate in plan.rates:
            for _ in range(plan.rounds):
                for target in plan.targets:
                    blocks.append(await _call_open(session, target, rate, plan))
        for _ in range(plan.rounds):
            for target in plan.targets:
                blocks.append(await _call_closed(session, target, plan))
    return blocks


async def _call_open(
    session: aiohttp.ClientSession, target: Target, rate: int, plan: Plan
) -> Block:
    """Begins calls at a fixed rate, whether or not others are answered."""
    loop = asyncio.get_running_loop()
    cpu_s = _read_cpu_s(target)
    began = loop.time()
    tasks = []
    for number in range(plan.block_calls):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        tasks.append(asyncio.create_task(_call(session, target.url)))
    latencies = await asyncio.gather(*tasks)
    return _make_block(
        target, rate, latencies, cpu_s, took_s=loop.time() - began
    )


async def _call_closed(
    session: aiohttp.ClientSession, target: Target, plan: Plan
) -> Block:
    """Lets each caller call again as soon as it is answered."""
    loop = asyncio.get_running_loop()
    latencies: list[float | None] = []
    cpu_s = _read_cpu_s(target)
    began = loop.time()

    async def repeat() -> None:
        while loop.time() - began < plan.closed_s:
            latencies.append(await _call(session, target.url))

    await asyncio.gather(*(repeat() for _ in range(plan.concurrency)))
    return _make_block(target, 0, latencies, cpu_s, took_s=loop.time() - began)


async def _call(session: aiohttp.ClientSession, url: str) -> float | None:
    """Returns the latency in ms; None where the answer is not status 200."""
    began = time.perf_counter()
    try:
        async with session.get(url) as answer:
            await answer.read()
            if answer.status != 200:
                return None
    except aiohttp.ClientError:
        return None
    return (time.perf_counter() - began) * 1000


def _make_block(
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
    """Writes a plan for the load's process."""
    fields = plan._asdict()
    fields["targets"] = [target._asdict() for target in plan.targets]
    path.write_text(json.dumps(fields), encoding="utf-8")


def read_plan(path: pathlib.Path) -> Plan:
    """Reads a plan that `write_plan` wrote."""
    fields = json.loads(path.read_text(encoding="utf-8"))
    targets = [Target(**target) for target in fields.pop("targets")]
    return Plan(targets=targets, **fields)


def write_blocks(blocks: list[Block], path: pathlib.Path) -> None:
    """Writes blocks for `read_blocks`."""
    listed = [block._asdict() for block in blocks]
    path.write_text(json.dumps(listed), encoding="utf-8")


def read_blocks(path: pathlib.Path) -> list[Block]:
    """Reads the blocks that the load's process wrote."""
    listed = json.loads(path.read_text(encoding="utf-8"))
    return [Block(**fields) for fields in listed]


async def _run(plan_path: pathlib.Path, results_path: pathlib.Path) -> None:
    plan = read_plan(plan_path)
    process.print_ready("latency load")
    # A collection of this process would be seen as latency of the others.
    gc.freeze()
    gc.disable()
    write_blocks(await run_plan(plan), results_path)


def main() -> None:
    """Makes the calls of a plan file and writes a results file."""
    plan_path, results_path = map(pathlib.Path, sys.argv[1:3])
    process.run(functools.partial(_run, plan_path, results_path))


if __name__ == "__main__":
    main()

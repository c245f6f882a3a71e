"""Measures how often a failing service is tried for one request (issue 5)."""

from __future__ import annotations

import asyncio
import collections
import json
import logging
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp

from standins import ledger
from standins import nested_calls
from standins import worker
from tools import failures
from tools import fleet
from tools import layouts
from tools import processes
from tools import workload

if TYPE_CHECKING:
    from collections.abc import Callable

logger = logging.getLogger(__name__)

# How the lowest service fails; each is a fault of the backend servers.
MODES = ("breaks", "sheds")
_WARM_S = 4.0
_HEAL_S = 3.0
_TIMEOUT = aiohttp.ClientTimeout(total=30.0)


class Options(NamedTuple):
    """What is measured.

    Attributes:
        layout: Example fleet; its services call each other in their order.
        rate: Requests per second.
        requests: Requests for each depth and way of failing.
    """

    layout: layouts.Layout
    rate: float
    requests: int


async def measure(options: Options, with_baseline: bool) -> dict[str, Any]:
    """Measures the product and then the baseline."""
    figures = await _measure_kind(options, layouts.build_daemon_arguments)
    if with_baseline:
        logger.info("product: %s", json.dumps(figures))
        figures["baseline"] = await _measure_kind(
            options, layouts.build_proxy_arguments
        )
    return figures


async def _measure_kind(
    options: Options, build_arguments: Callable[..., list[str]]
) -> dict[str, Any]:
    table = processes.ProcessTable()
    shown = fleet.Fleet(table, options.layout, build_arguments)
    try:
        await shown.start(layouts.list_places(options.layout))
        if build_arguments is layouts.build_daemon_arguments:
            await failures.apply_documents(shown)
        else:
            await failures.send_upstreams(shown)
        await asyncio.sleep(_WARM_S)
        services = list(options.layout.backend_counts)
        figures: dict[str, Any] = {}
        for mode in MODES:
            for depth in range(1, len(services) + 1):
                name = f"{mode}_depth_{depth}"
                chain = services[:depth]
                figures[name] = await _measure_chain(
                    options, shown, chain, name, mode
                )
        return figures
    finally:
        await shown.close()
        await table.close()


async def _measure_chain(
    options: Options,
    shown: fleet.Fleet,
    chain: list[str],
    name: str,
    mode: str,
) -> dict[str, Any]:
    await _set_faults(shown, chain[-1], {mode: True})
    answered = await _send_all(options, shown, chain, name)
    await _set_faults(shown, chain[-1], {})
    await asyncio.sleep(_HEAL_S)
    lowest = {
        instance.backend.ready_fields["address"]
        for instance in shown.instances
        if instance.place.service == chain[-1] and instance.backend is not None
    }
    tries = collections.Counter(
        run["request_id"]
        for run in ledger.read_ledger(shown.ledger_path)
        if run["at"] in lowest
        and run["event"] in ("started", "shed")
        and run["request_id"].startswith(name)
    )
    return {
        "requests": options.requests,
        "answered": answered,
        "tries_per_request": round(tries.total() / options.requests, 3),
        "tries_max": max(tries.values(), default=0),
    }


async def _set_faults(
    shown: fleet.Fleet, service: str, fields: dict[str, Any]
) -> None:
    for instance in shown.instances:
        if instance.place.service == service:
            assert instance.backend is not None
            control = instance.backend.ready_fields["control"]
            await shown.post_json(control, "/faults", fields)


async def _send_all(
    options: Options, shown: fleet.Fleet, chain: list[str], name: str
) -> int:
    """Sends requests down a chain; returns how many had status 200."""
    paths = [_find_path(options.layout.name, service) for service in chain]
    query = {
        "work_ms": "0",
        nested_calls.NEXT_PATHS_PARAMETER: ",".join(paths[1:]),
    }
    statuses: list[int] = []

    async def send(number: int) -> None:
        entry = shown.instances[number % len(shown.instances)].url
        request_id = f"{name}-{number}"
        headers = {
            worker.REQUEST_ID_HEADER: request_id,
            worker.ATTEMPT_ID_HEADER: f"{request_id}.0",
        }
        url = f"{entry}/{paths[0]}/{number}"
        async with session.get(url, params=query, headers=headers) as answer:
            await answer.read()
            statuses.append(answer.status)

    async with aiohttp.ClientSession(timeout=_TIMEOUT) as session:
        tasks = []
        for number in range(options.requests):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / options.rate)
        await asyncio.gather(*tasks, return_exceptions=True)
    return statuses.count(200)


def _find_path(name: str, service: str) -> str:
    """Returns service and path prefix of a class of small reads."""
    prefix = next(
        target.prefix
        for target in workload.read_classes(name)
        if target.service == service
        and target.method == "GET"
        and target.repeatable
        and not target.large
    )
    return f"{service}{prefix}"


async def run(options: Options, with_baseline: bool) -> int:
    """Measures and prints one JSON line."""
    print(json.dumps(await measure(options, with_baseline)), flush=True)
    return 0

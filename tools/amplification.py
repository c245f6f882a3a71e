"""Measures how many attempts at a failing service one request causes."""

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

# Faults of the last service of a chain, as the backend servers name them. A
# chain is a list of services each of which calls the next.
FAULTS = ("breaks", "sheds")
_WARM_UP_S = 4.0
# Time from the end of a fault until the ledger is read.
_RECOVERY_S = 3.0
_CLIENT_TIMEOUT = aiohttp.ClientTimeout(total=30.0)


class Options(NamedTuple):
    """Options of the measurement.

    Attributes:
        layout: Example fleet; its services call each other in their order.
        rate: Requests per second.
        requests: Requests for each depth and fault.
    """

    layout: layouts.Layout
    rate: float
    requests: int


async def measure(options: Options, with_baseline: bool) -> dict[str, Any]:
    """Measures the daemon and, if asked, the baseline."""
    figures = await _measure_fleet(options, layouts.build_daemon_arguments)
    if with_baseline:
        logger.info("product: %s", json.dumps(figures))
        figures["baseline"] = await _measure_fleet(
            options, layouts.build_proxy_arguments
        )
    return figures


async def _measure_fleet(
    options: Options, build_arguments: Callable[..., list[str]]
) -> dict[str, Any]:
    table = processes.ProcessTable()
    example_fleet = fleet.Fleet(table, options.layout, build_arguments)
    try:
        await example_fleet.start(layouts.list_places(options.layout))
        if build_arguments is layouts.build_daemon_arguments:
            await failures.apply_documents(example_fleet)
        else:
            await failures.send_upstreams(example_fleet)
        await asyncio.sleep(_WARM_UP_S)
        services = list(options.layout.backend_counts)
        figures: dict[str, Any] = {}
        for fault in FAULTS:
            for depth in range(1, len(services) + 1):
                case_name = f"{fault}_depth_{depth}"
                chain = services[:depth]
                figures[case_name] = await _measure_chain(
                    options, example_fleet, chain, case_name, fault
                )
        return figures
    finally:
        await example_fleet.close()
        await table.close()


async def _measure_chain(
    options: Options,
    example_fleet: fleet.Fleet,
    chain: list[str],
    case_name: str,
    fault: str,
) -> dict[str, Any]:
    """Measures a chain while its last service has a fault.

    The name of the case tells its request ids from those of other cases.
    """
    await _set_faults(example_fleet, chain[-1], {fault: True})
    answered = await _send_all(options, example_fleet, chain, case_name)
    await _set_faults(example_fleet, chain[-1], {})
    await asyncio.sleep(_RECOVERY_S)
    failing_addresses = {
        instance.backend.ready_fields["address"]
        for instance in example_fleet.instances
        if instance.place.service == chain[-1] and instance.backend is not None
    }
    attempts = collections.Counter(
        record["request_id"]
        for record in ledger.read_ledger(example_fleet.ledger_path)
        if record["at"] in failing_addresses
        and record["event"] in ("started", "shed")
        and record["request_id"].startswith(case_name)
    )
    return {
        "requests": options.requests,
        "answered": answered,
        "tries_per_request": round(attempts.total() / options.requests, 3),
        "tries_max": max(attempts.values(), default=0),
    }


async def _set_faults(
    example_fleet: fleet.Fleet, service: str, fields: dict[str, Any]
) -> None:
    for instance in example_fleet.instances:
        if instance.place.service == service:
            assert instance.backend is not None
            control = instance.backend.ready_fields["control"]
            await example_fleet.post_json(control, "/faults", fields)


async def _send_all(
    options: Options,
    example_fleet: fleet.Fleet,
    chain: list[str],
    case_name: str,
) -> int:
    """Sends requests down a chain and returns how many had status 200."""
    paths = [_find_path(options.layout.name, service) for service in chain]
    query = {
        "work_ms": "0",
        nested_calls.NEXT_PATHS_PARAMETER: ",".join(paths[1:]),
    }
    statuses: list[int] = []

    async def send(number: int) -> None:
        entry = example_fleet.instances[
            number % len(example_fleet.instances)
        ].url
        request_id = f"{case_name}-{number}"
        headers = {
            worker.REQUEST_ID_HEADER: request_id,
            worker.ATTEMPT_ID_HEADER: f"{request_id}.0",
        }
        url = f"{entry}/{paths[0]}/{number}"
        async with session.get(url, params=query, headers=headers) as answer:
            await answer.read()
            statuses.append(answer.status)

    async with aiohttp.ClientSession(timeout=_CLIENT_TIMEOUT) as session:
        tasks = []
        for number in range(options.requests):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(1 / options.rate)
        await asyncio.gather(*tasks, return_exceptions=True)
    return statuses.count(200)


def _find_path(fleet_name: str, service: str) -> str:
    """Returns the service and path prefix of a class of small reads."""
    prefix = next(
        class_load.prefix
        for class_load in workload.read_classes(fleet_name)
        if class_load.service == service
        and class_load.method == "GET"
        and class_load.repeatable
        and not class_load.large
    )
    return f"{service}{prefix}"


async def run(options: Options, with_baseline: bool) -> int:
    """Measures, prints one JSON line and returns 0."""
    print(json.dumps(await measure(options, with_baseline)), flush=True)
    return 0

"""A roll-out of a new version under load, and what the version gets."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import time
from typing import NamedTuple, TYPE_CHECKING

from review.lab import deployment as deployments
from review.lab import upstreams

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

HOST = "desk.example"
SERVICE = "balie"
OLD, NEW = "v1", "v2"
STATUS_KEY = f"status/rollout/{SERVICE}"
_OLD_COUNT, _NEW_COUNT = 8, 4
LOOKUP, CORRECTION = "/tickets/1", "/corrections/1"
_DURATION_S = 16.0
_EXPOSE_SHARE = 0.1
_EXPOSE_SLACK = 50
_REQUESTS_PER_S = 300.0
_CONSUMERS = 4
_BEFORE_S = 12.0
_DEADLINE_MS = 1500
_SEED = 7
_FAILURE = 500


class Plan(NamedTuple):
    """The requests, and which of the new version's answers are failures.

    Attributes:
        correction_share: Share of the requests that are corrections.
        bad_shares: Share of the answers that are failures, by path.
    """

    correction_share: float
    bad_shares: dict[str, float]


def build_configuration() -> bytes:
    """Returns the configuration: two routes to one service."""
    common = {
        "host": HOST,
        "kind": "idempotent",
        "timeoutMs": _DEADLINE_MS,
        "targetLatencyMs": 500,
        "service": SERVICE,
        "maxAttempts": 2,
    }
    routes = [
        {**common, "name": "tickets", "prefix": "/tickets/", "priority": 2},
        {
            **common,
            "name": "corrections",
            "prefix": "/corrections/",
            "priority": 1,
        },
    ]
    return deployments.build_configuration(5, routes, [SERVICE])


def _build_answer(
    upstream: upstreams.Upstream, generator: random.Random, plan: Plan
) -> Callable[[upstreams.Request, asyncio.StreamWriter], Awaitable[bool]]:
    """Returns how an upstream answers."""

    async def answer(
        received: upstreams.Request, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(generator.uniform(0.02, 0.04))
        bad_share = plan.bad_shares.get(received.target, 0.0)
        if upstream.version == NEW and generator.random() < bad_share:
            upstream.write_answer(writer, received, b"failed", _FAILURE)
        else:
            upstream.write_answer(writer, received, b"whole")
        return True

    return answer


class Consumers:
    """Consumers with kept connections.

    Attributes:
        statuses: Numbers of answers by path and status.
        out_of_touch: Ids of attempts sent by machines that were out of touch.
        spare: Machines for the consumers of a machine that stops.
    """

    def __init__(self, generator: random.Random, plan: Plan):
        self.out_of_touch: set[str] = set()
        self.spare: list[deployments.Machine] = []
        self.statuses: dict[tuple[str, int], int] = {}
        self._generator = generator
        self._plan = plan

    async def use(self, machine: deployments.Machine, rate: float) -> None:
        """Sends requests to a machine, `rate` a second."""
        while True:
            user = machine
            if machine.stopping and self.spare:
                user = self._generator.choice(self.spare)
            try:
                await self._use_connection(user, rate)
            except (OSError, EOFError):
                await asyncio.sleep(0.1)

    async def _use_connection(
        self, machine: deployments.Machine, rate: float
    ) -> None:
        reader, writer = await asyncio.open_connection(
            machine.address, machine.get_port("outbound")
        )
        try:
            while True:
                next_at = time.monotonic() + self._generator.expovariate(rate)
                await self._send(machine, reader, writer)
                await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        finally:
            writer.close()

    async def _send(
        self,
        machine: deployments.Machine,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        is_correction = self._generator.random() < self._plan.correction_share
        path = CORRECTION if is_correction else LOOKUP
        attempt_id = secrets.token_hex(8)
        if machine.frozen or not machine.is_in_touch():
            self.out_of_touch.add(attempt_id)
        head = (
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {attempt_id}\r\n"
            f"X-Deadline-Ms: {_DEADLINE_MS}\r\n\r\n"
        )
        writer.write(head.encode())
        async with asyncio.timeout(2 * _DEADLINE_MS / 1000):
            line, headers = await upstreams.read_head(reader)
            await upstreams.read_body(reader, headers, True)
        key = (path, int(line.split()[1]))
        self.statuses[key] = self.statuses.get(key, 0) + 1
        if headers.get("connection", "").lower() == "close":
            raise EOFError


def build_deployment(record: deployments.Record) -> deployments.Deployment:
    """Returns a deployment whose settings open roll-outs."""
    deployment = deployments.Deployment(
        record,
        exposeShare=str(_EXPOSE_SHARE),
        exposeSlack=str(_EXPOSE_SLACK),
        rollbackMs="5000",
    )
    deployment.contracts += ",rollout"
    return deployment


async def run(record: deployments.Record, plan: Plan) -> int:
    """Orders a roll-out; returns 1 if a bad version got too much, else 0."""
    generator = random.Random(_SEED)
    async with build_deployment(record) as deployment:
        await deployment.start(build_configuration(), [SERVICE] * _OLD_COUNT)
        consumers = Consumers(generator, plan)
        rate = _REQUESTS_PER_S / _OLD_COUNT / _CONSUMERS
        tasks = []
        for machine in deployment.machines:
            machine.upstream.on_answer = _build_answer(
                machine.upstream, generator, plan
            )
            tasks += [
                asyncio.create_task(consumers.use(machine, rate))
                for _ in range(_CONSUMERS)
            ]
        await asyncio.sleep(_BEFORE_S)
        ordered_at = await order(deployment, record, _DURATION_S)
        for _ in range(_NEW_COUNT):
            machine = await deployment.add(SERVICE, NEW)
            machine.upstream.on_answer = _build_answer(
                machine.upstream, generator, plan
            )
        await _watch_state(deployment, record, ordered_at + _DURATION_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        record.write(f"answers by path and status: {consumers.statuses}")
        is_bad = any(plan.bad_shares.values())
        broken = judge(
            deployment,
            record,
            is_bad,
            ordered_at,
            _DURATION_S,
            consumers.out_of_touch,
        )
        return int(broken)


async def order(
    deployment: deployments.Deployment,
    record: deployments.Record,
    duration_s: float,
) -> float:
    """Writes the order of the roll-out as the operator does.

    Returns:
        The monotonic time of the order.
    """
    fields = {
        "service": SERVICE,
        "targetVersion": NEW,
        "durationS": duration_s,
    }
    record.write(f"ordered: {fields}")
    ordered_at = time.monotonic()
    await deployment.store.write(
        f"op/rollout/{SERVICE}", json.dumps(fields).encode()
    )
    return ordered_at


async def _watch_state(
    deployment: deployments.Deployment,
    record: deployments.Record,
    ends_at: float,
) -> None:
    """Writes the states that the system states to the record."""
    known = None
    while time.monotonic() < ends_at:
        state = deployment.read_key(STATUS_KEY)
        if state != known:
            record.write(f"status: {state}")
            known = state
        await asyncio.sleep(0.1)


def judge(
    deployment: deployments.Deployment,
    record: deployments.Record,
    is_bad: bool,
    ordered_at: float,
    duration_s: float,
    out_of_touch: set[str],
) -> bool:
    """Returns whether a bad version got more requests than it may.

    What machines out of touch sent counts for the service, not for the version.
    """
    ends_at = ordered_at + duration_s
    total = exposed = 0
    for machine in deployment.machines:
        for arrival in machine.upstream.runs:
            if not ordered_at <= arrival.at <= ends_at:
                continue
            total += 1
            exposed += (
                machine.upstream.version == NEW
                and arrival.attempt_id not in out_of_touch
            )
    allowed = _EXPOSE_SHARE * total + _EXPOSE_SLACK
    record.write(
        f"requests that reached the service between the order and its"
        f" deadline: {total}, of which {exposed} the new version, which"
        f" is {'bad' if is_bad else 'good'} (if bad, at most {allowed:.0f})"
    )
    return is_bad and exposed > allowed

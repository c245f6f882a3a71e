"""Program that plays ordinary callers, who stay within the limits.

It reads a JSON object with the fields of `Order` from standard input and
prints a list of `Fare`, one for each daemon.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import json
import random
import sys
import time
from typing import NamedTuple

import aiohttp

from tests.clients import plays

_DEADLINE_S = 2.0
_CALLS_PER_S = 20.0
_MAX_RETRIES = 2
_REFUSALS = (408, 421, 429, 503)
_CALLS = (
    ("GET", plays.ROUTE),
    ("POST", plays.UNREPEATABLE),
    ("GET", plays.NEIGHBOUR),
)


class Order(NamedTuple):
    """Where to call.

    Attributes:
        urls: URL of each daemon's port for callers.
        ready_urls: URL at which each is asked whether it is ready.
        seconds: How long to call.
        seed: Seed of the calls' order and of retries' pauses.
    """

    urls: list[str]
    ready_urls: list[str]
    seconds: float
    seed: int


@dataclasses.dataclass
class Fare:
    """How the callers of a daemon fared.

    Attributes:
        calls: Number of calls.
        served: Number of those that were served in time, retries included.
        failures: Last status of each other call; 0 if it had no answer.
        latencies_ms: Sorted times of the calls that were served.
        ready_misses: Questions for readiness without an answer in a second.
        refused: Ids of the attempts that were refused as not run.
    """

    calls: int = 0
    served: int = 0
    failures: list[int] = dataclasses.field(default_factory=list)
    latencies_ms: list[int] = dataclasses.field(default_factory=list)
    ready_misses: int = 0
    refused: list[str] = dataclasses.field(default_factory=list)

    @property
    def share(self) -> float:
        """Share of the calls that were served."""
        return self.served / max(1, self.calls)


class Caller:
    """Callers at one daemon, some on kept connections, some on new ones."""

    ids = itertools.count(1)

    def __init__(self, order: Order, number: int):
        """Sets where to call."""
        self.fare = Fare()
        self._url = order.urls[number]
        self._ready_url = order.ready_urls[number]
        self._random = random.Random(order.seed * 10 + number)

    async def run(self, seconds: float) -> None:
        """Calls at a steady rate."""
        ends_at = time.monotonic() + seconds
        async with (
            aiohttp.ClientSession() as kept,
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True)
            ) as single,
            asyncio.TaskGroup() as group,
        ):
            group.create_task(self._watch_readiness(single, ends_at))
            while time.monotonic() < ends_at:
                session = self._random.choice((kept, single))
                group.create_task(self._call(session, single))
                await asyncio.sleep(1 / _CALLS_PER_S)

    async def _call(
        self, first: aiohttp.ClientSession, later: aiohttp.ClientSession
    ) -> None:
        self.fare.calls += 1
        method, path = self._random.choice(_CALLS)
        began_at = time.monotonic()
        session = first
        for _ in range(1 + _MAX_RETRIES):
            left_s = began_at + _DEADLINE_S - time.monotonic()
            if left_s <= 0.01:
                break
            status, pause_s = await self._send(session, method, path, left_s)
            if status == 200:
                self.fare.served += 1
                elapsed_ms = (time.monotonic() - began_at) * 1000
                self.fare.latencies_ms.append(round(elapsed_ms))
                return
            if status not in _REFUSALS and method == "POST":
                break
            session = later
            await asyncio.sleep(min(pause_s, left_s / 3))
        self.fare.failures.append(status)

    async def _send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        path: str,
        left_s: float,
    ) -> tuple[int, float]:
        """Sends one attempt; returns its status and the pause after it."""
        attempt_id = f"c{next(self.ids)}-{self._url}"
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": str(int(left_s * 1000)),
        }
        try:
            async with (
                asyncio.timeout(left_s),
                session.request(
                    method, self._url + path, headers=headers, data=b"x" * 100
                ) as answer,
            ):
                await answer.read()
                if answer.status in _REFUSALS:
                    self.fare.refused.append(attempt_id)
                pause_s = float(answer.headers.get("Retry-After", 0.05))
                return answer.status, pause_s
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, 0.05

    async def _watch_readiness(
        self, session: aiohttp.ClientSession, ends_at: float
    ) -> None:
        while time.monotonic() < ends_at:
            try:
                async with (
                    asyncio.timeout(1),
                    session.get(self._ready_url) as answer,
                ):
                    self.fare.ready_misses += answer.status != 200
            except (aiohttp.ClientError, TimeoutError, OSError):
                self.fare.ready_misses += 1
            await asyncio.sleep(1)


async def call(order: Order) -> list[Fare]:
    """Calls all daemons; returns how the callers of each fared."""
    callers = [Caller(order, number) for number in range(len(order.urls))]
    await asyncio.gather(*(caller.run(order.seconds) for caller in callers))
    for caller in callers:
        caller.fare.latencies_ms.sort()
    return [caller.fare for caller in callers]


def main() -> None:
    """Plays an order from standard input and prints the fares."""
    order = Order(**json.load(sys.stdin))
    fares = asyncio.run(call(order))
    print(json.dumps([dataclasses.asdict(fare) for fare in fares]))


if __name__ == "__main__":
    main()

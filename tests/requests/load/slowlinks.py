"""Simulation of a slow link that downloads and checks share.

The link sends bytes in the order in which they were written. The operating
system buffers some bytes of each connection at once, whether or not the link
can send them.
"""

from __future__ import annotations

import asyncio
import collections
import random
from typing import Any, TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import links
from merlintrestle.requests.load import reservations
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import transfers
from tests.requests import builders
from tools import model

if TYPE_CHECKING:
    from merlintrestle.requests.calls import call as calls

# Bytes of one connection that the operating system buffers.
_BUFFER_BYTES = 128 * 1024
# Spread of the sizes of downloads, as the standard deviation of the logarithm:
# one in six downloads is twice the median.
_SPREAD = 0.6
_CHECK_BYTES = 1000
_TIMEOUT_S = 3.2
DOWNLOAD = builders.build_plan(
    "download", rate=0.0, work_s=0.0, latency_s=1.35, importance=3
)
CHECK = builders.build_plan(
    "check", rate=0.0, work_s=0.0, latency_s=0.35, importance=3
)


class SlowLink:
    """A link with a fixed rate in bytes per second that sends in FIFO order."""

    def __init__(self, rate: float):
        self._rate = rate
        self._loop = asyncio.get_running_loop()
        self._idle_at = 0.0

    def send(self, connection: Connection, count: int) -> None:
        """Sends bytes of a connection after all that were written before."""
        begins_at = max(self._loop.time(), self._idle_at)
        self._idle_at = begins_at + count / self._rate
        connection.unsent += count
        self._loop.call_at(self._idle_at, connection.record_sent, count)


class Connection:
    """A connection over the link, also its own transport, request and answer.

    Attributes:
        unsent: Bytes that were written and not sent over the link yet.
    """

    def __init__(self, link: SlowLink):
        self.unsent = 0
        self._link = link
        self._progress = asyncio.Event()

    @property
    def transport(self) -> Connection:
        """Returns the transport, which reports the size of the buffers."""
        return self

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that have not been sent."""
        return self.unsent

    def is_closing(self) -> bool:
        """Returns False: no receiver disconnects in the simulation."""
        return False

    def get_extra_info(self, name: str) -> None:
        """Returns None, as there is no socket."""
        del name

    def record_sent(self, count: int) -> None:
        """Records that bytes were sent over the link."""
        self.unsent -= count
        self._progress.set()

    async def write(self, data: bytes) -> None:
        """Writes bytes once the operating system can buffer them."""
        await self.wait_for(_BUFFER_BYTES - len(data))
        self._link.send(self, len(data))

    async def wait_for(self, unsent: int) -> None:
        """Waits until at most `unsent` bytes have not been sent."""
        while self.unsent > unsent:
            self._progress.clear()
            await self._progress.wait()


class Simulation:
    """A local daemon, its outgoing link and its callers.

    Attributes:
        counts: Number of calls by class and result: "in time", "late", "failed"
            (past the deadline) or "refused".
        max_check_s: The longest time that a check took, in seconds.
    """

    def __init__(self, rate: float, seed: int, controlled: bool):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.max_check_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        self._slow_link = SlowLink(rate)
        self._controlled = controlled
        self._link = links.OutgoingLink(self._loop.time)
        self._transfers = transfers.TransferSender(self._link)

    def get_ratio(self, name: str, result: str) -> float:
        """Returns the fraction of the calls of a class with one result."""
        all_calls = sum(
            count for key, count in self.counts.items() if key[0] == name
        )
        return self.counts[name, result] / all_calls

    async def run(
        self, length_s: float, downloads: float, size: float, checks: float
    ) -> None:
        """Runs the simulation.

        Args:
            length_s: Time in which calls arrive, in seconds.
            downloads: Downloads per second.
            size: Mean size of the downloads, in bytes.
            checks: Checks per second.
        """
        until = self._loop.time() + length_s
        async with asyncio.TaskGroup() as group:

            async def generate_calls(
                rate: float, plan: Any, size: float
            ) -> None:
                while self._loop.time() < until:
                    await asyncio.sleep(self._rng.expovariate(rate))
                    group.create_task(self._serve(plan, size))

            group.create_task(generate_calls(downloads, DOWNLOAD, size))
            group.create_task(generate_calls(checks, CHECK, _CHECK_BYTES))

    async def _serve(self, plan: Any, mean_size: float) -> None:
        began_at = self._loop.time()
        call = builders.build_call(
            plan=plan,
            deadline=began_at + _TIMEOUT_S,
            due=began_at + plan.latency_s,
        )
        transfer = self._link.admit(call)
        if isinstance(transfer, outcomes.NotRun):
            self.counts[plan.name, "refused"] += 1
            return
        size = round(mean_size)
        if plan is DOWNLOAD:
            spread = self._rng.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
            size = round(mean_size * spread)
        await asyncio.sleep(self._rng.uniform(0.5, 1.5) * 0.15)
        connection = Connection(self._slow_link)
        await self._send(connection, size, transfer)
        await connection.wait_for(0)
        self._record(call, self._loop.time() - began_at)

    async def _send(
        self, connection: Connection, size: int, transfer: reservations.Transfer
    ) -> None:
        if not self._controlled:
            chunk_bytes = reservations.CHUNK_BYTES
            for start in range(0, size, chunk_bytes):
                await connection.write(bytes(min(size - start, chunk_bytes)))
            return
        transfer.set_size(size)
        if size <= reservations.CHUNK_BYTES:
            await connection.write(bytes(size))
            transfer.end()
            return
        no_response: Any = None
        answered = outcomes.Answered(no_response, bytes(size), [])
        request: Any = connection
        await self._transfers.send(
            request, request, answered, probes.AnswerProgress(), transfer
        )

    def _record(self, call: calls.Call, took_s: float) -> None:
        plan = call.plan
        if plan is CHECK:
            self.max_check_s = max(self.max_check_s, took_s)
        result = "in time"
        if took_s > plan.latency_s:
            result = "late" if took_s <= _TIMEOUT_S else "failed"
        self.counts[plan.name, result] += 1


def simulate(seed: int, load: float, controlled: bool = True) -> Simulation:
    """Simulates downloads and checks over a slow link.

    Args:
        seed: Seed of the arrival times and sizes.
        load: Demand of the downloads, as a ratio of the rate of the link.
        controlled: Whether the daemon controls admission and scheduling. If
            not, all answers are admitted and sent as they arrive.

    Returns:
        The finished simulation.
    """

    async def run() -> Simulation:
        rate, size = 400_000.0, 90_000.0
        simulation = Simulation(rate, seed, controlled)
        await simulation.run(30.0, load * rate / size, size, 25.0)
        return simulation

    with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
        return runner.run(run())

"""Simulation of a slow link that is shared by downloads and checks.

The link sends bytes in the order in which they were written. The operating
system accepts and buffers some bytes of each connection at once, even if the
link is full.
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

# Maximum number of bytes that the operating system buffers for one connection.
_BUFFER_BYTES = 128 * 1024
# Standard deviation of the logarithm of the sizes of downloads. One in six
# downloads is larger than 1.8 times the median.
_SIZE_SIGMA = 0.6
_CHECK_BYTES = 1000
# Timeout of all calls, in seconds.
_TIMEOUT_S = 3.2
DOWNLOAD = builders.build_plan(
    "download", rate=0.0, work_s=0.0, latency_s=1.35, importance=3
)
CHECK = builders.build_plan(
    "check", rate=0.0, work_s=0.0, latency_s=0.35, importance=3
)


class SlowLink:
    """A link that sends at a fixed rate, in bytes per second, in FIFO order."""

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
    """Fake of a connection, which also stands in for other objects.

    These are the transport of the connection, the request that arrived over it
    and the response to this request.

    Attributes:
        unsent: Bytes that were written and not sent over the link yet.
    """

    def __init__(self, link: SlowLink):
        self.unsent = 0
        self._link = link
        self._progress = asyncio.Event()

    @property
    def transport(self) -> Connection:
        """The transport, which reports the number of buffered bytes."""
        return self

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes that have not been sent."""
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
        """Waits until at most `unsent` bytes are not sent yet."""
        while self.unsent > unsent:
            self._progress.clear()
            await self._progress.wait()


class LinkSimulation:
    """A daemon, its outgoing link and the calls that it answers.

    Attributes:
        counts: Number of calls by class and result: "in time", "late", "failed"
            (past the deadline) or "refused".
        max_check_s: The longest time that a check took, in seconds.
    """

    def __init__(self, rate: float, seed: int, admission_control: bool):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.max_check_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        self._slow_link = SlowLink(rate)
        self._admission_control = admission_control
        self._link = links.OutgoingLink(self._loop.time)
        self._transfers = transfers.TransferSender(self._link)

    def get_ratio(self, name: str, result: str) -> float:
        """Returns the fraction of the calls of a class that had a result."""
        all_calls = sum(
            count for key, count in self.counts.items() if key[0] == name
        )
        return self.counts[name, result] / all_calls

    async def run(
        self, duration_s: float, downloads: float, size: float, checks: float
    ) -> None:
        """Runs the simulation.

        Args:
            duration_s: Time in which calls arrive, in seconds.
            downloads: Rate of downloads, per second.
            size: Mean size of the downloads, in bytes.
            checks: Rate of checks, per second.
        """
        end = self._loop.time() + duration_s
        async with asyncio.TaskGroup() as group:

            async def generate_calls(
                rate: float, plan: Any, size: float
            ) -> None:
                while self._loop.time() < end:
                    await asyncio.sleep(self._rng.expovariate(rate))
                    group.create_task(self._serve(plan, size))

            group.create_task(generate_calls(downloads, DOWNLOAD, size))
            group.create_task(generate_calls(checks, CHECK, _CHECK_BYTES))

    async def _serve(self, plan: Any, mean_size: float) -> None:
        began_at = self._loop.time()
        call = builders.build_call(
            plan=plan,
            deadline=began_at + _TIMEOUT_S,
            latency_deadline=began_at + plan.latency_s,
        )
        transfer = self._link.admit(call)
        if isinstance(transfer, outcomes.NotRun):
            self.counts[plan.name, "refused"] += 1
            return
        size = round(mean_size)
        if plan is DOWNLOAD:
            size_factor = self._rng.lognormvariate(
                -(_SIZE_SIGMA**2) / 2, _SIZE_SIGMA
            )
            size = round(mean_size * size_factor)
        # The backend server needs 0.15 s on average.
        await asyncio.sleep(self._rng.uniform(0.5, 1.5) * 0.15)
        connection = Connection(self._slow_link)
        await self._send(connection, size, transfer)
        await connection.wait_for(0)
        self._record(call, self._loop.time() - began_at)

    async def _send(
        self, connection: Connection, size: int, transfer: reservations.Transfer
    ) -> None:
        if not self._admission_control:
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

    def _record(self, call: calls.Call, latency_s: float) -> None:
        plan = call.plan
        if plan is CHECK:
            self.max_check_s = max(self.max_check_s, latency_s)
        result = "in time"
        if latency_s > plan.latency_s:
            result = "late" if latency_s <= _TIMEOUT_S else "failed"
        self.counts[plan.name, result] += 1


def simulate(
    seed: int, load: float, admission_control: bool = True
) -> LinkSimulation:
    """Simulates downloads and checks over a slow link.

    Args:
        seed: Seed of the arrival times and sizes.
        load: Ratio of the demand of the downloads to the rate of the link.
        admission_control: Whether the link admits and schedules answers. If
            not, all answers are sent as soon as they are complete.

    Returns:
        The finished simulation.
    """

    async def run() -> LinkSimulation:
        # Rate of the link in bytes per second, and mean size of the downloads
        # in bytes. Calls arrive for 30 s, among them 25 checks per second.
        rate, size = 400_000.0, 90_000.0
        simulation = LinkSimulation(rate, seed, admission_control)
        await simulation.run(30.0, load * rate / size, size, 25.0)
        return simulation

    with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
        return runner.run(run())

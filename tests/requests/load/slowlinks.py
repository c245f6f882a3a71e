"""Plays of a thin link: downloads and checks that share it, simulated.

The link sends what it is given in the order in which it was given. Of each
connection the operating system takes some bytes at once, whether the link has
room for them or not.
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

# Bytes of one connection that the operating system takes at once.
_BUFFER_BYTES = 128 * 1024
# Spread of the sizes of downloads: the logarithm's standard deviation, so that
# one in six is twice the median.
_SPREAD = 0.6
_CHECK_BYTES = 1000
_LIMIT_S = 3.2
DOWNLOAD = builders.build_plan(
    "download", rate=0.0, work_s=0.0, latency_s=1.35, importance=3
)
CHECK = builders.build_plan(
    "check", rate=0.0, work_s=0.0, latency_s=0.35, importance=3
)


class ThinLink:
    """A link that carries so many bytes per second, first come, first sent."""

    def __init__(self, rate: float):
        self._rate = rate
        self._loop = asyncio.get_running_loop()
        self._idle_at = 0.0

    def put(self, connection: Connection, count: int) -> None:
        """Sends bytes of a connection after all that was given before."""
        begins_at = max(self._loop.time(), self._idle_at)
        self._idle_at = begins_at + count / self._rate
        connection.unsent += count
        self._loop.call_at(self._idle_at, connection.note_sent, count)


class Connection:
    """One connection over the link; its transport, its request, its answer.

    Attributes:
        unsent: Bytes that were written and have not left the link.
    """

    def __init__(self, link: ThinLink):
        self.unsent = 0
        self._link = link
        self._moved = asyncio.Event()

    @property
    def transport(self) -> Connection:
        """Returns what tells of the buffers."""
        return self

    def get_write_buffer_size(self) -> int:
        """Returns the bytes that have not left."""
        return self.unsent

    def is_closing(self) -> bool:
        """Returns False: nobody leaves in a play."""
        return False

    def get_extra_info(self, name: str) -> None:
        """Returns None: there is no socket."""
        del name

    def note_sent(self, count: int) -> None:
        """Notes that bytes have left the link."""
        self.unsent -= count
        self._moved.set()

    async def write(self, data: bytes) -> None:
        """Writes bytes, as soon as the operating system takes them."""
        await self.wait_for(_BUFFER_BYTES - len(data))
        self._link.put(self, len(data))

    async def wait_for(self, unsent: int) -> None:
        """Waits until no more bytes than that have not left."""
        while self.unsent > unsent:
            self._moved.clear()
            await self._moved.wait()


class Play:
    """The daemon beside a backend server, its link, and those who ask.

    Attributes:
        counts: Calls by class and by what became of them: "in time", "late",
            "failed" (past the deadline) or "refused".
        longest_check_s: The longest time that a check took, in seconds.
    """

    def __init__(self, rate: float, seed: int, decides: bool):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.longest_check_s = 0.0
        self._loop = asyncio.get_running_loop()
        self._chance = random.Random(seed)
        self._thin = ThinLink(rate)
        self._decides = decides
        self._link = links.OutgoingLink(self._loop.time)
        self._transfers = transfers.Transfers(self._link)

    def get_part(self, name: str, result: str) -> float:
        """Returns the part of the calls of a class with one result."""
        all_calls = sum(
            count for key, count in self.counts.items() if key[0] == name
        )
        return self.counts[name, result] / all_calls

    async def run(
        self, length_s: float, downloads: float, size: float, checks: float
    ) -> None:
        """Plays for a time.

        Args:
            length_s: Seconds in which calls come.
            downloads: Downloads per second.
            size: Their mean size in bytes.
            checks: Checks per second.
        """
        until = self._loop.time() + length_s
        async with asyncio.TaskGroup() as group:

            async def come(rate: float, plan: Any, size: float) -> None:
                while self._loop.time() < until:
                    await asyncio.sleep(self._chance.expovariate(rate))
                    group.create_task(self._serve(plan, size))

            group.create_task(come(downloads, DOWNLOAD, size))
            group.create_task(come(checks, CHECK, _CHECK_BYTES))

    async def _serve(self, plan: Any, mean: float) -> None:
        began = self._loop.time()
        call = builders.build_call(
            plan=plan, deadline=began + _LIMIT_S, due=began + plan.latency_s
        )
        transfer = self._link.admit(call)
        if isinstance(transfer, outcomes.NotRun):
            self.counts[plan.name, "refused"] += 1
            return
        size = round(mean)
        if plan is DOWNLOAD:
            spread = self._chance.lognormvariate(-(_SPREAD**2) / 2, _SPREAD)
            size = round(mean * spread)
        await asyncio.sleep(self._chance.uniform(0.5, 1.5) * 0.15)
        connection = Connection(self._thin)
        await self._send(connection, size, transfer)
        await connection.wait_for(0)
        self._note(call, self._loop.time() - began)

    async def _send(
        self, connection: Connection, size: int, transfer: reservations.Transfer
    ) -> None:
        if not self._decides:
            piece = reservations.CHUNK_BYTES
            for start in range(0, size, piece):
                await connection.write(bytes(min(size - start, piece)))
            return
        transfer.set_size(size)
        if size <= reservations.CHUNK_BYTES:
            await connection.write(bytes(size))
            transfer.end()
            return
        nobody: Any = None
        answered = outcomes.Answered(nobody, bytes(size), [])
        asked: Any = connection
        await self._transfers.send(
            asked, asked, answered, probes.Progress(), transfer
        )

    def _note(self, call: calls.Call, took_s: float) -> None:
        plan = call.plan
        if plan is CHECK:
            self.longest_check_s = max(self.longest_check_s, took_s)
        result = "in time"
        if took_s > plan.latency_s:
            result = "late" if took_s <= _LIMIT_S else "failed"
        self.counts[plan.name, result] += 1


def play(seed: int, load: float, decides: bool = True) -> Play:
    """Plays downloads that ask for a part of what a thin link carries.

    Args:
        seed: Of the times and sizes.
        load: What the downloads ask for, as a part of the link.
        decides: False: nobody decides; all is begun, and sent as it comes.
    """

    async def run() -> Play:
        rate, size = 400_000.0, 90_000.0
        played = Play(rate, seed, decides)
        await played.run(30.0, load * rate / size, size, 25.0)
        return played

    with asyncio.Runner(loop_factory=model.SimulatedLoop) as runner:
        return runner.run(run())

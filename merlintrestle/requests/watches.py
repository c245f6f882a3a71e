"""Watches over calls to peers that give no sign."""

from __future__ import annotations

import asyncio
import enum
import itertools
import secrets
from typing import TYPE_CHECKING

from merlintrestle.requests import probes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

    from merlintrestle.requests import pools
    from merlintrestle.requests import retries

# A call without a first byte for so long, or for a multiple of its expected
# work time, is asked about.
FIRST_BYTE_S = 0.25
_WORK_FACTOR = 4.0
# What is on its way when the peer says that a call has ended arrives by then.
_GRACE_S = 0.05
# Time between two looks at a transfer.
TRANSFER_S = 5.0


class Verdict(enum.Enum):
    """What a watch found out."""

    NONE = enum.auto()
    # The peer lives and knows nothing of the call: its connection is silent.
    CONNECTION_SILENT = enum.auto()
    # The peer does not answer over a new connection either.
    PEER_SILENT = enum.auto()


def get_patience(work_s: float) -> float:
    """Returns how long a call waits before it is asked about, in seconds."""
    return max(FIRST_BYTE_S, _WORK_FACTOR * work_s)


class CallIds:
    """Names for calls, unique in the fleet."""

    def __init__(self) -> None:
        self._prefix = secrets.token_hex(8)
        self._numbers = itertools.count()

    def take(self) -> str:
        """Returns a new name."""
        return f"{self._prefix}-{next(self._numbers)}"


class PeerWatch:
    """Ends the wait for a first byte that cannot come any more.

    Attributes:
        verdict: What it found out.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        call_id: str,
        work_s: float,
        scope: asyncio.Timeout,
    ):
        """Starts the watch; `scope` is ended when it finds silence."""
        self.verdict = Verdict.NONE
        self._session = session
        self._address = address
        self._call_id = call_id
        self._scope = scope
        self._wait_s = get_patience(work_s)
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        # A timer is cheap; the task is made only for the few that wait.
        self._timer = self._loop.call_later(self._wait_s, self._begin)

    def close(self) -> None:
        """Ends the watch."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _begin(self) -> None:
        self._task = self._loop.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            view = await probes.ask(self._session, self._address, self._call_id)
            if not view.answers:
                return self._end(Verdict.PEER_SILENT)
            if not view.in_flight:
                await asyncio.sleep(_GRACE_S)
                return self._end(Verdict.CONNECTION_SILENT)
            await asyncio.sleep(self._wait_s)

    def _end(self, verdict: Verdict) -> None:
        self.verdict = verdict
        self._scope.reschedule(self._loop.time())


class BackendWatch:
    """Ends the wait for a first byte on a pooled connection to the backend.

    A backend server cannot be asked about a call. If it takes new connections
    the pooled one is given up, within a budget: were the server merely slow,
    starting calls anew would only add to its load.

    Attributes:
        verdict: What it found out.
    """

    def __init__(
        self,
        check: Callable[[], Awaitable[bool]],
        budget: retries.Budget,
        work_s: float,
        scope: asyncio.Timeout,
        reused: bool,
    ):
        """Starts the watch.

        Args:
            check: Tells whether the backend server takes connections.
            budget: What starting anew is paid from.
            work_s: Expected work of the call, in seconds.
            scope: Is ended when the watch finds silence.
            reused: False if the call has a new connection: it is not silent,
                the server itself is slow.
        """
        self.verdict = Verdict.NONE
        self._check = check
        self._budget = budget
        self._scope = scope
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        if reused:
            patience_s = get_patience(work_s)
            self._timer = self._loop.call_later(patience_s, self._begin)

    def close(self) -> None:
        """Ends the watch."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _begin(self) -> None:
        self._task = self._loop.create_task(self._watch())

    async def _watch(self) -> None:
        if await self._check() and self._budget.spend():
            self.verdict = Verdict.CONNECTION_SILENT
            self._scope.reschedule(self._loop.time())


async def watch_transfer(
    session: aiohttp.ClientSession,
    address: str,
    call_id: str,
    response: pools.Response,
) -> None:
    """Closes an answer whose connection has gone silent in its body.

    The signal is that the peer has sent off more than has come, or all there
    was, and that nothing came between two looks. A transfer that waits for its
    backend server has all that the peer sent, and is left alone however long
    it takes.
    """
    content = response.content
    missing = False
    while True:
        received = content.total_bytes
        await asyncio.sleep(TRANSFER_S)
        if content.total_bytes != received:
            missing = False
            continue
        view = await probes.ask(session, address, call_id)
        sent_more = view.written > content.total_bytes
        late = view.answers and (sent_more or not view.in_flight)
        if missing and late and content.total_bytes == received:
            response.close()
            return
        missing = late

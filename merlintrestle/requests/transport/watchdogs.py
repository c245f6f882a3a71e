"""Watches over calls to peers that give no sign."""

from __future__ import annotations

import asyncio
import itertools
import secrets
from typing import Any, TYPE_CHECKING

from merlintrestle.requests.calls import doubts
from merlintrestle.requests.transport import probes

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from merlintrestle.requests.transport import answers
    from merlintrestle.requests.transport import connections
    from merlintrestle.requests.transport import pool as pools

# A call without a first byte for so long, or for a multiple of its expected
# work time, is asked about.
FIRST_BYTE_TIMEOUT_S = 0.25
_WORK_FACTOR = 4.0
# What is on its way when the peer says that a call has ended or has not come
# arrives by then where links are free. On a full one it takes its time just as
# the question and its answer did, which is waited for if it is longer.
_GRACE_S = 0.05
# Time between two looks at a transfer.
TRANSFER_PROBE_INTERVAL_S = 5.0


def get_patience(work_s: float) -> float:
    """Returns how long a call waits before it is asked about, in seconds."""
    return max(FIRST_BYTE_TIMEOUT_S, _WORK_FACTOR * work_s)


class CallIds:
    """Names for calls, unique in the fleet."""

    def __init__(self) -> None:
        self._prefix = secrets.token_hex(8)
        self._numbers = itertools.count()

    def take(self) -> str:
        """Returns a new name."""
        return f"{self._prefix}-{next(self._numbers)}"


class Watchdog:
    """Ends the wait for an answer at its deadline; has it looked into before.

    It costs a call that is answered soon no timer and no task of its own.
    """

    __slots__ = ("_connection", "_deadline", "_look", "_task")

    def __init__(
        self,
        connection: connections.Connection,
        work_s: float,
        deadline: float,
        look: Callable[[], Coroutine[Any, Any, None]] | None,
    ):
        """Starts the watch.

        Args:
            connection: Where the answer is awaited.
            work_s: Expected work time, in seconds.
            deadline: Time of the event loop at which the wait ends anyway.
            look: Finds out what is wrong with a call that gives no sign;
                None: nobody asks before the deadline.
        """
        self._connection = connection
        self._deadline = deadline
        self._look = look
        self._task: asyncio.Task[None] | None = None
        if look is None:
            connection.set_alarm(deadline, connection.expire)
            return
        asks_at = connection.get_time() + get_patience(work_s)
        connection.set_alarm(min(asks_at, deadline), self._begin)

    def close(self) -> None:
        """Ends the watch."""
        self._connection.clear_alarm()
        if self._task is not None:
            self._task.cancel()

    def _begin(self) -> None:
        connection = self._connection
        if connection.get_time() >= self._deadline:
            connection.expire()
            return
        connection.set_alarm(self._deadline, connection.expire)
        assert self._look is not None
        self._task = asyncio.create_task(self._look())


async def ask_peer(
    pool: pools.Pool,
    connection: connections.Connection,
    call_id: str,
    work_s: float,
    has_heard: Callable[[str, float], bool],
    report: Callable[[doubts.Doubt], None],
) -> None:
    """Asks a peer about a call until it knows nothing of it any more.

    No answer to a question, and none of the answers that it gives, proves that
    nobody is at work on the call: on a full link the question is not answered
    in time, and the call or its answer is still on its way. What is found is
    reported as a doubt, and the wait goes on. A peer of which bytes came since
    the question, on whatever connection, is not silent.

    Args:
        pool: Opens the connections of questions.
        connection: Where the answer is awaited.
        call_id: Name of the call.
        work_s: Expected work time, in seconds.
        has_heard: Returns whether bytes came from an address since a time.
        report: Hears each doubt.
    """
    loop = asyncio.get_running_loop()
    address = connection.address
    while True:
        began = loop.time()
        view = await probes.ask(pool, address, call_id)
        if not view.answered:
            if not has_heard(address, began):
                report(doubts.Doubt.PEER_SILENT)
        elif not view.in_flight:
            await asyncio.sleep(max(_GRACE_S, loop.time() - began))
            if connection.heard_at < began:
                report(
                    doubts.Doubt.ANSWER_MISSING
                    if view.ended
                    else doubts.Doubt.NOT_ARRIVED
                )
                return
        await asyncio.sleep(get_patience(work_s))


async def watch_transfer(
    pool: pools.Pool,
    address: str,
    call_id: str,
    response: answers.Answer,
) -> None:
    """Closes an answer whose connection has gone silent in its body.

    The signal is that the peer has sent off more than has come, or all there
    was, and that nothing came between two looks. A transfer that waits for its
    backend server has all that the peer sent, and is left alone however long
    it takes. So is one whose caller takes nothing, for which this daemon stops
    reading.
    """
    content = response.content
    missing = False
    while True:
        received = content.total_bytes
        await asyncio.sleep(TRANSFER_PROBE_INTERVAL_S)
        if content.total_bytes != received:
            missing = False
            continue
        view = await probes.ask(pool, address, call_id)
        sent_more = view.written > content.total_bytes
        late = view.answered and (sent_more or not view.in_flight)
        if response.is_paused():
            late = False
        if missing and late and content.total_bytes == received:
            response.close()
            return
        missing = late

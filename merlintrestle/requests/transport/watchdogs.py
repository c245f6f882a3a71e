"""Watchdogs for calls that are not answered."""

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

# A call whose answer has not started after this time, or after a multiple of
# its expected work time if that is longer, is probed.
FIRST_BYTE_TIMEOUT_S = 0.25
_WORK_TIME_FACTOR = 4.0
# Data in transit when the peer reports that a call has ended or has not arrived
# comes within this time if links are free. On a full link it takes about as
# long as the probe did; the duration of the probe is used if it is longer.
_GRACE_S = 0.05
# Interval at which the transfer of a streamed answer is checked.
TRANSFER_PROBE_INTERVAL_S = 5.0


def get_probe_delay(work_s: float) -> float:
    """Returns how long a call waits before it is probed, in seconds."""
    return max(FIRST_BYTE_TIMEOUT_S, _WORK_TIME_FACTOR * work_s)


class CallIds:
    """Generator of call ids that are unique in the fleet."""

    def __init__(self) -> None:
        self._prefix = secrets.token_hex(8)
        self._numbers = itertools.count()

    def create(self) -> str:
        """Returns a new id."""
        return f"{self._prefix}-{next(self._numbers)}"


class Watchdog:
    """Ends the wait for an answer at the deadline, and checks the call earlier.

    A call that is answered quickly needs neither a timer nor a task of its own.
    """

    __slots__ = ("_connection", "_deadline", "_check", "_task")

    def __init__(
        self,
        connection: connections.Connection,
        work_s: float,
        deadline: float,
        check: Callable[[], Coroutine[Any, Any, None]] | None,
    ):
        """Starts the watchdog.

        Args:
            connection: Connection on which the answer is awaited.
            work_s: Expected work time, in seconds.
            deadline: Time at which the wait ends, in seconds of the event
                loop's clock.
            check: Checks a call that is not answered; None: no check.
        """
        self._connection = connection
        self._deadline = deadline
        self._check = check
        self._task: asyncio.Task[None] | None = None
        if check is None:
            connection.set_alarm(deadline, connection.expire)
            return
        check_at = connection.get_time() + get_probe_delay(work_s)
        connection.set_alarm(min(check_at, deadline), self._start_check)

    def close(self) -> None:
        """Stops the watchdog."""
        self._connection.clear_alarm()
        if self._task is not None:
            self._task.cancel()

    def _start_check(self) -> None:
        connection = self._connection
        if connection.get_time() >= self._deadline:
            connection.expire()
            return
        connection.set_alarm(self._deadline, connection.expire)
        assert self._check is not None
        self._task = asyncio.create_task(self._check())


async def probe_peer(
    pool: pools.Pool,
    connection: connections.Connection,
    call_id: str,
    work_s: float,
    has_received_since: Callable[[str, float], bool],
    report: Callable[[doubts.Doubt], None],
) -> None:
    """Probes a peer about a call until the call is no longer in flight there.

    Neither a missing nor any received result of a probe proves that the call
    isn't running: on a full link a probe isn't answered in time, and the call
    or its answer may still be in transit. So findings are reported as doubts
    and the wait goes on. A peer is not silent if any connection has received
    bytes from it since the probe was sent.

    Args:
        pool: Opens the connections of probes.
        connection: Connection on which the answer is awaited.
        call_id: Id of the call.
        work_s: Expected work time, in seconds.
        has_received_since: Returns whether bytes were received from an address
            since a time.
        report: Called with each doubt.
    """
    loop = asyncio.get_running_loop()
    address = connection.address
    while True:
        probed_at = loop.time()
        result = await probes.ask(pool, address, call_id)
        if not result.answered:
            if not has_received_since(address, probed_at):
                report(doubts.Doubt.PEER_SILENT)
        elif not result.in_flight:
            await asyncio.sleep(max(_GRACE_S, loop.time() - probed_at))
            if connection.last_received_at < probed_at:
                report(
                    doubts.Doubt.ANSWER_MISSING
                    if result.ended
                    else doubts.Doubt.NOT_ARRIVED
                )
                return
        await asyncio.sleep(get_probe_delay(work_s))


async def watch_transfer(
    pool: pools.Pool,
    address: str,
    call_id: str,
    response: answers.Answer,
) -> None:
    """Aborts an answer whose connection goes silent during its body.

    An answer is aborted if the peer has written more than was received, or has
    ended the call, and nothing is received until the next check. A transfer
    that waits for its backend server has received all that the peer wrote; it
    may take any time. So may a transfer that this daemon has paused because its
    caller does not read.

    Args:
        pool: Opens the connections of probes.
        address: Address of the peer, "ip:port".
        call_id: Id of the call.
        response: The answer, whose headers have been read.
    """
    content = response.content
    was_stalled = False
    while True:
        received = content.total_bytes
        await asyncio.sleep(TRANSFER_PROBE_INTERVAL_S)
        if content.total_bytes != received:
            was_stalled = False
            continue
        result = await probes.ask(pool, address, call_id)
        sent_more = result.written > content.total_bytes
        stalled = result.answered and (sent_more or not result.in_flight)
        if response.is_paused():
            stalled = False
        if was_stalled and stalled and content.total_bytes == received:
            response.abort()
            return
        was_stalled = stalled

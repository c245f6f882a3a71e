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

# A call is slow if its answer has not started after this time, or after a
# multiple of its expected work time if that is longer. A slow call to a peer is
# probed; a slow call to the backend server may be resent.
MIN_SLOW_CALL_S = 0.25
_WORK_TIME_FACTOR = 4.0
# Minimum time to wait for data in transit after a peer reported that a call has
# ended or has not arrived. The data arrives within this time if no link is
# congested. Otherwise it takes about as long as the probe did, so the duration
# of the probe is used if it is longer.
_MIN_IN_TRANSIT_S = 0.05
# Interval at which a streamed answer is checked for progress.
PROGRESS_CHECK_INTERVAL_S = 5.0


def get_slow_call_s(work_s: float) -> float:
    """Returns the time after which an unanswered call is slow, in seconds.

    Args:
        work_s: Expected work time, in seconds.
    """
    return max(MIN_SLOW_CALL_S, _WORK_TIME_FACTOR * work_s)


class CallIds:
    """Generator of call ids that are unique in the fleet."""

    def __init__(self) -> None:
        self._prefix = secrets.token_hex(8)
        self._numbers = itertools.count()

    def create(self) -> str:
        """Returns a new id."""
        return f"{self._prefix}-{next(self._numbers)}"


class Watchdog:
    """Ends the wait for an answer at the deadline, and detects slow calls.

    A call that is answered quickly needs neither a timer nor a task of its own.
    """

    __slots__ = ("_connection", "_deadline", "_handle_slow_call", "_task")

    def __init__(
        self,
        connection: connections.Connection,
        work_s: float,
        deadline: float,
        handle_slow_call: Callable[[], Coroutine[Any, Any, None]] | None,
    ):
        """Starts the watchdog.

        Args:
            connection: Connection on which the answer is awaited.
            work_s: Expected work time, in seconds.
            deadline: Time at which the wait ends, in seconds of the event
                loop's clock.
            handle_slow_call: Started as a task once the call is slow; None: do
                nothing until the deadline.
        """
        self._connection = connection
        self._deadline = deadline
        self._handle_slow_call = handle_slow_call
        self._task: asyncio.Task[None] | None = None
        if handle_slow_call is None:
            connection.set_timer(deadline, connection.fail_with_timeout)
            return
        slow_at = connection.get_time() + get_slow_call_s(work_s)
        connection.set_timer(min(slow_at, deadline), self._handle_timer)

    def close(self) -> None:
        """Stops the watchdog."""
        self._connection.clear_timer()
        if self._task is not None:
            self._task.cancel()

    def _handle_timer(self) -> None:
        connection = self._connection
        if connection.get_time() >= self._deadline:
            connection.fail_with_timeout()
            return
        connection.set_timer(self._deadline, connection.fail_with_timeout)
        assert self._handle_slow_call is not None
        self._task = asyncio.create_task(self._handle_slow_call())


async def probe_peer(
    pool: pools.Pool,
    connection: connections.Connection,
    call_id: str,
    work_s: float,
    has_received_since: Callable[[str, float], bool],
    report: Callable[[doubts.Doubt], None],
) -> None:
    """Probes a peer about a call until the call is no longer in flight there.

    A probe cannot prove that the call isn't running: on a congested link it may
    not be answered in time, and the call or its answer may still be in transit.
    So a finding is only reported as a doubt (a reason to hedge the call), and
    the call keeps waiting for its answer. A peer is not silent if any
    connection has received bytes from it since the probe was sent.

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
        result = await probes.send_probe(pool, address, call_id)
        if not result.answered:
            if not has_received_since(address, probed_at):
                report(doubts.Doubt.PEER_SILENT)
        elif not result.in_flight:
            await asyncio.sleep(max(_MIN_IN_TRANSIT_S, loop.time() - probed_at))
            if connection.last_received_at < probed_at:
                report(
                    doubts.Doubt.ANSWER_MISSING
                    if result.ended
                    else doubts.Doubt.NOT_ARRIVED
                )
                return
        await asyncio.sleep(get_slow_call_s(work_s))


async def watch_answer_body(
    pool: pools.Pool,
    address: str,
    call_id: str,
    answer: answers.Answer,
) -> None:
    """Aborts an answer whose connection goes silent during its body.

    An answer is aborted if the peer has written more than was received, or has
    ended the call, and nothing is received until the next check. There is no
    time limit for an answer that waits for its backend server (all that the
    peer wrote has been received), nor for one whose reading this daemon has
    paused because the caller does not read.

    Args:
        pool: Opens the connections of probes.
        address: Address of the peer, "ip:port".
        call_id: Id of the call.
        answer: The answer, whose headers have been read.
    """
    content = answer.content
    was_stalled = False
    while True:
        received = content.total_bytes
        await asyncio.sleep(PROGRESS_CHECK_INTERVAL_S)
        if content.total_bytes != received:
            was_stalled = False
            continue
        result = await probes.send_probe(pool, address, call_id)
        wrote_more = result.written > content.total_bytes
        stalled = result.answered and (wrote_more or not result.in_flight)
        if answer.is_paused():
            stalled = False
        if was_stalled and stalled and content.total_bytes == received:
            answer.abort()
            return
        was_stalled = stalled

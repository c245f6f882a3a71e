"""End of streamed answers that have gone silent at their deadline.

The rest of such an answer is read without a time limit, because a slow backend
server or a slow caller may need long for it. A connection that has gone silent
permanently looks the same, without an error at either end: its answer would
never end, and its call would hold its slot.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle.requests.transport import probes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.requests.transport import answers
    from merlintrestle.requests.transport import pool as pools

# Time without a byte after which an overdue answer is silent, in seconds. It is
# longer than the retransmission of a lost packet takes.
_MAX_SILENCE_S = 1.5
# Interval of the checks for progress, in seconds.
_CHECK_INTERVAL_S = 0.25
_SILENT_CHECKS = round(_MAX_SILENCE_S / _CHECK_INTERVAL_S)


class Silence(NamedTuple):
    """The silence for which an overdue answer is ended.

    Attributes:
        received: Bytes of the body that were received.
        late_s: Time since the deadline, in seconds.
    """

    received: int
    late_s: float


class OverdueWatch:
    """Ends an answer that is silent at its deadline, or goes silent later."""

    def __init__(
        self,
        answer: answers.Answer,
        deadline: float,
        may_continue: Callable[[], Awaitable[bool]],
        end: Callable[[Silence], None],
    ):
        """Sets the answer; `start` begins to watch it.

        Args:
            answer: The answer, whose headers have been read.
            deadline: Time at which the caller's time is over, in seconds of the
                event loop's clock.
            may_continue: Returns whether a silent answer may still continue.
            end: Ends the answer.
        """
        self._answer = answer
        self._deadline = deadline
        self._may_continue = may_continue
        self._end = end
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to watch the answer shortly before its deadline."""
        self._timer = self._loop.call_at(
            self._deadline - _MAX_SILENCE_S, self._start_checks
        )

    def close(self) -> None:
        """Stops watching the answer."""
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start_checks(self) -> None:
        self._task = self._loop.create_task(self._check())

    async def _check(self) -> None:
        """Ends the answer once it is overdue and silent.

        An answer of which bytes arrive goes on, as does one whose reading is
        paused because the caller reads slowly. Silence is counted in checks
        rather than by the clock: after this process was suspended, bytes may
        have arrived that are not read yet.
        """
        content = self._answer.content
        silent_checks = 0
        while not content.is_eof():
            received = content.total_bytes
            await asyncio.sleep(_CHECK_INTERVAL_S)
            if content.total_bytes != received or self._answer.is_paused():
                silent_checks = 0
                continue
            silent_checks += 1
            if silent_checks < _SILENT_CHECKS or self._get_late_s() < 0:
                continue
            if await self._may_continue():
                silent_checks = 0
            elif content.total_bytes == received and not content.is_eof():
                self._end(Silence(received, self._get_late_s()))
                return

    def _get_late_s(self) -> float:
        return self._loop.time() - self._deadline


async def is_never_waiting() -> bool:
    """Returns False, as nobody can be asked about an answer.

    Both ends of a connection to the backend server are on the same instance, so
    an overdue answer is not held up between them.
    """
    return False


async def is_waiting_at_peer(
    pool: pools.Pool, address: str, call_id: str, answer: answers.Answer
) -> bool:
    """Returns whether a peer has written no more of an answer than arrived.

    The peer then waits for its backend server, whose silence it detects itself,
    or for its turn on its link.

    Args:
        pool: Opens the connections of probes.
        address: Address of the peer, "ip:port".
        call_id: Id of the call.
        answer: The answer, whose headers have been read.
    """
    result = await probes.send_probe(pool, address, call_id)
    return result.in_flight and result.written <= answer.content.total_bytes

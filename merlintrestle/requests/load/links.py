"""Links: which long answers an outgoing link gets through in time, and when.

A link that is full carries no more for being asked for more: begun together,
all transfers share it and all end late, and checks wait behind them. What it
carries is observed, not configured: the limit of a virtual link is seldom
known where the daemon runs.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import math
import time
from typing import TYPE_CHECKING

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.load import rates

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests.calls import call as calls

# Answers up to this size are small, in bytes: a dozen packets. They wait for no
# transfer, and transfers are sent in pieces of this size.
PIECE_BYTES = 16 * 1024
# Weight of the newest answer in the means of a class.
_NEWEST = 0.1
# What may wait on its way at once, in seconds of the link: a check finds it
# before it, and it keeps the link busy between two looks.
_AHEAD_S = 0.1
# Part of the latency target for which a late call may wait for the link: it
# only fills what calls in time leave.
_LATE_PART = 0.5
# A transfer of which nothing leaves for so long has a receiver that takes
# nothing, in seconds: several times what may be on its way before it.
_STALLED_S = 5 * _AHEAD_S
# No caller is told to come back sooner, in seconds.
_LEAST_RETRY_S = 0.05


class _Means:
    """What the answers of one class of work were like lately.

    Attributes:
        size: Bytes of an answer; 0: none was seen.
        spread: How far answers are from that, in bytes.
        head_s: Time until an answer began, in seconds.
    """

    __slots__ = ("head_s", "size", "spread")

    def __init__(self) -> None:
        self.size = 0.0
        self.spread = 0.0
        self.head_s = 0.0

    def note(self, size: int, head_s: float) -> None:
        """Takes in an answer."""
        if not self.size:
            self.size = size
            self.head_s = head_s
            return
        self.spread += _NEWEST * (abs(size - self.size) - self.spread)
        self.size += _NEWEST * (size - self.size)
        self.head_s += _NEWEST * (head_s - self.head_s)


class Transfer:
    """One answer on its way through the link.

    Attributes:
        left: Bytes that are promised to it and have not left yet.
        unsent: Bytes that were handed over and have not left yet.
    """

    __slots__ = (
        "_began",
        "_link",
        "_means",
        "_moved_at",
        "_order",
        "_stalled",
        "left",
        "unsent",
    )

    def __init__(self, link: Link, means: _Means, call: calls.Call, late: bool):
        """Promises an answer the mean size of its class.

        Args:
            link: The link.
            means: What answers of the class are like.
            call: What is answered.
            late: It has no latency target, or misses it in any case.
        """
        self.left = 0
        self.unsent = 0
        self._link = link
        self._means = means
        self._began = link.get_time()
        self._moved_at = self._began
        self._stalled = False
        self._order = (late, call.deadline if late else call.due)
        if means.size > PIECE_BYTES:
            self._set_left(round(means.size))

    def __lt__(self, other: Transfer) -> bool:
        """Returns whether it goes before another: late calls go last."""
        return self._order < other._order

    def set_size(self, size: int) -> None:
        """Sets the bytes of the answer, once its head has come."""
        self._means.note(size, self._link.get_time() - self._began)
        self._set_left(size if size > PIECE_BYTES else 0)

    async def take_room(self) -> None:
        """Waits until the link has room for the next piece."""
        await self._link.take_room(self)

    def hand_over(self, count: int) -> None:
        """Notes that bytes were handed over to be sent."""
        if not self.unsent:
            self._moved_at = self._link.get_time()
        self._set_unsent(self.unsent + count)

    def note_unsent(self, unsent: int) -> None:
        """Notes how many of the bytes handed over have not left yet.

        What waits for a receiver that takes nothing is not the link's work.
        Counted as such, it would keep all others from the link, until that
        receiver is given up.
        """
        now = self._link.get_time()
        sent = self.unsent - unsent
        if sent > 0:
            self._moved_at = now
            self._set_stalled(False)
            self._link.note_sent(sent)
            self._set_unsent(unsent)
            self._set_left(max(0, self.left - sent))
        elif self.unsent and now - self._moved_at > _STALLED_S:
            self._set_stalled(True)

    def end(self) -> None:
        """Gives back what is left of the promise."""
        self._set_unsent(0)
        self._set_left(0)

    def _set_stalled(self, stalled: bool) -> None:
        """Takes its bytes from the link, or gives them back to it."""
        if stalled == self._stalled:
            return
        self._stalled = stalled
        if stalled:
            self._link.unsent -= self.unsent
            self._link.change_promise(self.left, 0)
        else:
            self._link.unsent += self.unsent
            self._link.change_promise(0, self.left)

    def _set_unsent(self, unsent: int) -> None:
        if not self._stalled:
            self._link.unsent += unsent - self.unsent
        self.unsent = unsent

    def _set_left(self, left: int) -> None:
        if not self._stalled:
            self._link.change_promise(self.left, left)
        self.left = left


class Link:
    """The outgoing link to other daemons.

    Attributes:
        promised: Bytes of long answers that have not left yet.
        unsent: Those of them that were handed over.
        rate: Bytes per second that it carries; 0: it was never full.
        get_time: The clock, in seconds.
    """

    def __init__(self, get_time: Callable[[], float] = time.monotonic):
        """Sets the clock; it is that of deadlines."""
        self.promised = 0
        self.unsent = 0
        self.rate = 0.0
        self.get_time = get_time
        self._drain_rate = rates.DrainRate()
        self._promises = 0
        self._sent = 0
        self._busy_since: float | None = None
        self._means: dict[tuple[str, str], _Means] = {}
        self._full_until = 0.0
        self._waiting: list[tuple[Transfer, asyncio.Future[None]]] = []

    def get_backlog_s(self) -> float:
        """Returns how long the link needs for what is promised, in seconds."""
        return self._get_seconds(self.promised)

    def admit(self, call: calls.Call) -> Transfer | outcomes.NotRun:
        """Promises a call its part of the link, or refuses it.

        An answer that would not be through in time only makes others late. A
        link with one long answer to send, or none, takes any call: where that
        one has a slow receiver, the link was taken for slow itself, and the
        next one shows what it carries.
        """
        key = (call.organisation, call.plan.name)
        means = self._means.setdefault(key, _Means())
        own_s = self._get_seconds(means.size + means.spread)
        least_s = means.head_s + own_s
        queued_s = self.get_backlog_s() + own_s
        # Judged by progress, a long transfer has no latency target to miss.
        late = call.plan.large or self.get_time() + least_s > call.due
        # Only its claim tells whether a call with a key has run before; by
        # itself, the link must not call it "not run".
        claimed = bool(call.key) and not call.plan.repeatable
        if (
            means.size > PIECE_BYTES
            and self._promises > 1
            and not claimed
            and not self._has_room(call, max(least_s, queued_s), late)
        ):
            return outcomes.NotRun(
                "no room on the link in time",
                retry_after_s=max(_LEAST_RETRY_S, self.get_backlog_s()),
                elsewhere=True,
                overloaded=True,
            )
        return Transfer(self, means, call, late)

    def change_promise(self, before: int, after: int) -> None:
        """Changes the bytes that are promised to one transfer."""
        self.promised += after - before
        self._promises += (after > 0) - (before > 0)

    def note_sent(self, count: int) -> None:
        """Notes that bytes have left."""
        self._sent += count

    def note_look(self) -> None:
        """Notes that all transfers have told what has left by now.

        A time at whose end nothing waits says nothing of the rate: the link
        was idle for some of it. Where all has left and transfers wait for
        room, it carries more than was thought.
        """
        now = self.get_time()
        busy = bool(self.unsent or self._waiting)
        if busy and self._busy_since is not None:
            self._drain_rate.note(now, now - self._busy_since, self._sent)
            self.rate = self._drain_rate.get()
        self._sent = 0
        self._busy_since = now if busy else None
        self._wake()

    async def take_room(self, transfer: Transfer) -> None:
        """Waits until it is a transfer's turn to hand over a piece.

        It waits no longer than the link needs for all that is promised.
        Receivers slower than the link hold what is on its way, and nothing
        would be sent to the others.
        """
        if not self._waiting and self._may_hand_over():
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = (transfer, turn)
        bisect.insort(self._waiting, waiting, key=lambda one: one[0])
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.get_backlog_s()):
                    await turn
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def _wake(self) -> None:
        """Has transfers go on that wait, as far as there is room."""
        room = self._get_room()
        while self._waiting and room > 0:
            _, turn = self._waiting.pop(0)
            if not turn.done():
                turn.set_result(None)
                room -= PIECE_BYTES

    def _has_room(self, call: calls.Call, needed_s: float, late: bool) -> bool:
        """Returns whether an answer would be through in time.

        Args:
            call: What is answered.
            needed_s: Time until it would be through, in seconds.
            late: It has no latency target, or misses it in any case.
        """
        now = self.get_time()
        plan = call.plan
        if not late:
            if now + needed_s <= call.due:
                return True
            self._full_until = now + plan.latency_s
            return False
        if now + needed_s > call.deadline:
            return False
        if plan.large:
            return True
        waits_s = self.get_backlog_s()
        return (
            now >= self._full_until and waits_s <= plan.latency_s * _LATE_PART
        )

    def _may_hand_over(self) -> bool:
        return self._get_room() > 0

    def _get_room(self) -> float:
        """Returns the bytes that may be handed over now."""
        if not self.rate:
            return math.inf
        return max(2 * PIECE_BYTES, self.rate * _AHEAD_S) - self.unsent

    def _get_seconds(self, size: float) -> float:
        """Returns how long the link needs for some bytes, in seconds."""
        return size / self.rate if self.rate else 0.0

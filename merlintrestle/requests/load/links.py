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
# A receiver is slow if bytes on their way to it take as many times as long as
# the link needs for all that may be on its way.
_SLOW_TIMES = 5
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

    Bytes are `left` from the promise until they have left, and besides `unsent`
    from when they were handed over, so that `left` is never less.
    `Link.promised` is the sum of `left`, and `Link.unsent` that of `unsent`,
    but for receivers that take nothing.

    Attributes:
        left: Bytes that are promised to it and have not left yet.
        unsent: Those of them that were handed over.
        order: Smaller goes first: calls in time by the end of their targets,
            after them late ones by their deadlines, in seconds.
        slow: Its receiver takes less than the link brings.
    """

    __slots__ = (
        "_began",
        "_call",
        "_head_s",
        "_open",
        "_link",
        "_means",
        "_moved_at",
        "_stalled",
        "left",
        "order",
        "slow",
        "unsent",
        "_old",
        "_old_at",
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
        self.slow = False
        self.order = _get_order(call, late)
        self._link = link
        self._call = call
        self._means = means
        self._began = link.get_time()
        self._moved_at = self._began
        self._head_s = 0.0
        self._open = False
        self._stalled = False
        self._old = 0
        self._old_at = self._began
        if means.size > PIECE_BYTES:
            self._set_left(round(means.size))

    def __lt__(self, other: Transfer) -> bool:
        """Returns whether it goes before another: late calls go last."""
        return self.order < other.order

    def note_head(self, typical: bool = True) -> None:
        """Notes that an answer begins whose size only its end shows.

        Args:
            typical: It is one that its class is known by; not so an error.
        """
        self._head_s = self._link.get_time() - self._began
        self._open = typical

    def note_whole(self, size: int) -> None:
        """Notes how many bytes an answer had, unless it said so before."""
        if self._open:
            self._open = False
            self._means.note(size, self._head_s)

    def set_size(self, size: int, typical: bool = True) -> None:
        """Sets the bytes of the answer, once its head has come.

        Args:
            size: The bytes.
            typical: As for `note_head`.
        """
        self.note_head(typical)
        self.note_whole(size)
        if (
            self._link.get_time() + self._link.get_seconds(size)
            > self._call.due
        ):
            # Larger than others of its class, it misses its target in any
            # case; going first, it would have all others miss theirs.
            self.order = _get_order(self._call, True)
        self._set_left(size if size > PIECE_BYTES else 0)

    async def take_room(self) -> None:
        """Waits until the link has room for the next piece."""
        await self._link.take_room(self)

    def hand_over(self, count: int) -> None:
        """Notes that bytes were handed over to be sent."""
        if not self.unsent:
            self._moved_at = self._old_at = self._link.get_time()
            self._old = count
        self._set_unsent(self.unsent + count)
        if self.left < self.unsent:
            # An answer without a stated length is longer than its class.
            self._set_left(self.unsent)

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
            self._set_left(max(unsent, self.left - sent))
            self._note_pace(now, sent)
        elif self.unsent and now - self._moved_at > _STALLED_S:
            # It is handed no more either, though it leaves all the room.
            self.slow = True
            self._set_stalled(True)

    def count_ahead(self) -> int:
        """Returns the bytes on their way that others wait for.

        More than a piece before a slow receiver waits for that one, not for
        the link, and takes nothing from others.
        """
        return min(self.unsent, PIECE_BYTES) if self.slow else self.unsent

    def _note_pace(self, now: float, sent: int) -> None:
        """Notes whether what was on its way has left in good time."""
        took_s = now - self._old_at
        self._old -= sent
        if self._old <= 0 or took_s > self._link.get_slow_s():
            self.slow = took_s > self._link.get_slow_s()
        if self._old <= 0:
            self._old = self.unsent
            self._old_at = now

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
            self._link.change_promise(self, self.left, 0)
        else:
            self._link.unsent += self.unsent
            self._link.change_promise(self, 0, self.left)

    def _set_unsent(self, unsent: int) -> None:
        if not self._stalled:
            self._link.unsent += unsent - self.unsent
        self.unsent = unsent

    def _set_left(self, left: int) -> None:
        if not self._stalled:
            self._link.change_promise(self, self.left, left)
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
        self._promises: set[Transfer] = set()
        self._sent = 0
        self._busy_since: float | None = None
        self._means: dict[tuple[str, str], _Means] = {}
        self._full_until = 0.0
        self._waiting: list[tuple[Transfer, asyncio.Future[None]]] = []

    def get_backlog_s(self) -> float:
        """Returns how long calls in time keep the link busy, in seconds."""
        return self.get_seconds(self._count_before((False, math.inf)))

    def get_seconds(self, size: float) -> float:
        """Returns how long the link needs for some bytes, in seconds."""
        return size / self.rate if self.rate else 0.0

    def get_slow_s(self) -> float:
        """Returns after what time what was handed over is slow, in seconds."""
        least = self._drain_rate.get_least()
        ahead_s = self._get_ahead() / least if least else _AHEAD_S
        return _SLOW_TIMES * ahead_s

    def admit(self, call: calls.Call) -> Transfer | outcomes.NotRun:
        """Promises a call its part of the link, or refuses it.

        An answer that would not be through in time only makes others late. A
        link with one long answer to send at most, but for slow receivers,
        takes any call: where these had it taken for slow itself, the next one
        shows what it carries.
        """
        key = (call.organisation, call.plan.name)
        means = self._means.setdefault(key, _Means())
        own_s = self.get_seconds(means.size + means.spread)
        least_s = means.head_s + own_s
        # Judged by progress, a long transfer has no latency target to miss.
        late = call.plan.large or self.get_time() + least_s > call.due
        before = self._count_before(_get_order(call, late))
        before_s = self.get_seconds(before)
        # Only its claim tells whether a call with a key has run before; by
        # itself, the link must not call it "not run".
        claimed = bool(call.key) and not call.plan.repeatable
        if (
            means.size > PIECE_BYTES
            and sum(not one.slow for one in self._promises) > 1
            and not claimed
            and not self._has_room(
                call, before_s, max(least_s, before_s + own_s), late
            )
        ):
            return outcomes.NotRun(
                "no room on the link in time",
                retry_after_s=max(_LEAST_RETRY_S, before_s),
                elsewhere=True,
                overloaded=True,
            )
        return Transfer(self, means, call, late)

    def change_promise(
        self, transfer: Transfer, before: int, after: int
    ) -> None:
        """Changes the bytes that are promised to a transfer."""
        self.promised += after - before
        if after:
            self._promises.add(transfer)
        else:
            self._promises.discard(transfer)

    def note_sent(self, count: int) -> None:
        """Notes that bytes have left."""
        self._sent += count

    def note_look(self) -> None:
        """Notes that all transfers have told what has left by now.

        A time at whose end nothing waits says nothing of the rate: the link
        was idle for some of it. So it was where the loop stood still, and a
        look comes so late that all on its way may have left long before. Where
        all has left and transfers wait for room, it carries more than was
        thought.
        """
        now = self.get_time()
        busy = bool(self.unsent or self._waiting)
        if busy and self._busy_since is not None:
            self._note_drain(now, now - self._busy_since)
        self._sent = 0
        self._busy_since = now if busy else None
        self._wake()

    def _note_drain(self, now: float, since_s: float) -> None:
        if since_s <= _AHEAD_S:
            self._drain_rate.note(now, since_s, self._sent, self._is_shared())
            self.rate = self._drain_rate.get()

    async def take_room(self, transfer: Transfer) -> None:
        """Waits until it is a transfer's turn to hand over a piece.

        It waits no longer than the link needs for all that is promised, late
        ones too. Receivers slower than the link hold what is on its way, and
        nothing would be sent to the others.
        """
        if not self._waiting and self._may_hand_over(
            transfer, self._get_room()
        ):
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = (transfer, turn)
        bisect.insort(self._waiting, waiting, key=lambda one: one[0])
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._get_patience_s()):
                    await turn
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def _get_patience_s(self) -> float:
        """Returns how long one waits for room at most, in seconds."""
        least = self._drain_rate.get_least()
        return max(_STALLED_S, self.promised / least if least else 0.0)

    def _wake(self) -> None:
        """Has transfers go on that wait, as far as there is room."""
        room = self._get_room()
        for waiting in list(self._waiting):
            transfer, turn = waiting
            if turn.done() or not self._may_hand_over(transfer, room):
                continue
            self._waiting.remove(waiting)
            turn.set_result(None)
            room -= PIECE_BYTES

    def _may_hand_over(self, transfer: Transfer, room: float) -> bool:
        """Returns whether the link has room, and the receiver takes more."""
        return room > 0 and not (
            transfer.slow and transfer.unsent >= PIECE_BYTES
        )

    def _is_shared(self) -> bool:
        """Returns whether more than one receiver is being sent to, or waits.

        What one alone takes may be the receiver's limit, not the link's.
        """
        receivers = {one for one in self._promises if one.unsent}
        receivers.update(one for one, _ in self._waiting)
        return len(receivers) > 1

    def _count_before(self, order: tuple[bool, float]) -> int:
        """Returns the bytes that leave before those of one with an order.

        Of transfers that go after it, only what was handed over does, and of
        one with a slow receiver no more than that has of the link.
        """
        return sum(
            one.left
            if one.order <= order and not one.slow
            else one.count_ahead()
            for one in self._promises
        )

    def _has_room(
        self, call: calls.Call, before_s: float, needed_s: float, late: bool
    ) -> bool:
        """Returns whether an answer would be through in time.

        Args:
            call: What is answered.
            before_s: Work of the link that goes before it, in seconds.
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
        return (
            now >= self._full_until and before_s <= plan.latency_s * _LATE_PART
        )

    def _get_room(self) -> float:
        """Returns the bytes that may be handed over now."""
        return self._get_ahead() - sum(
            one.count_ahead() for one in self._promises
        )

    def _get_ahead(self) -> float:
        """Returns the bytes that may be on their way at once.

        Where one receiver is all that was seen, it is by what that one takes:
        it loses nothing by that, and others have their part besides.
        """
        least = self._drain_rate.get_least()
        if not least:
            return math.inf
        return max(2 * PIECE_BYTES, least * _AHEAD_S)


def _get_order(call: calls.Call, late: bool) -> tuple[bool, float]:
    """Returns when the answer of a call goes, as `Transfer.order`."""
    return late, call.deadline if late else call.due

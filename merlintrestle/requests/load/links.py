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
from merlintrestle.requests.load import reservations

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests.calls import call as calls

# Part of the latency target for which a late call may wait for the link: it
# only fills what calls in time leave.
_LATE_PART = 0.5
# A receiver is slow if bytes on their way to it take as many times as long as
# the link needs for all that may be on its way.
_SLOW_TIMES = 5
# No caller is told to come back sooner, in seconds.
_LEAST_RETRY_S = 0.05


class OutgoingLink:
    """The outgoing link to other daemons.

    Attributes:
        reserved_bytes: Bytes of long answers that have not left yet.
        unsent: Those of them that were handed over.
        rate: Bytes per second that it carries; 0: it was never full.
        get_time: The clock, in seconds.
    """

    def __init__(self, get_time: Callable[[], float] = time.monotonic):
        """Sets the clock; it is that of deadlines."""
        self.reserved_bytes = 0
        self.unsent = 0
        self.rate = 0.0
        self.get_time = get_time
        self._measured_rate = rates.DrainRate()
        self._promises: set[reservations.Transfer] = set()
        self._sent = 0
        self._busy_since: float | None = None
        self._means: dict[tuple[str, str], reservations.Means] = {}
        self._full_until = 0.0
        self._waiting: list[
            tuple[reservations.Transfer, asyncio.Future[None]]
        ] = []

    def get_backlog_s(self) -> float:
        """Returns how long calls in time keep the link busy, in seconds."""
        return self.get_seconds(self._count_before((False, math.inf)))

    def get_seconds(self, size: float) -> float:
        """Returns how long the link needs for some bytes, in seconds."""
        return size / self.rate if self.rate else 0.0

    def get_slow_s(self) -> float:
        """Returns after what time what was handed over is slow, in seconds."""
        least = self._measured_rate.get_least()
        ahead_s = self._get_ahead() / least if least else reservations.AHEAD_S
        return _SLOW_TIMES * ahead_s

    def admit(
        self, call: calls.Call
    ) -> reservations.Transfer | outcomes.NotRun:
        """Promises a call its part of the link, or refuses it.

        An answer that would not be through in time only makes others late. A
        link with one long answer to send at most, but for slow receivers,
        takes any call: where these had it taken for slow itself, the next one
        shows what it carries.
        """
        key = (call.organisation, call.plan.name)
        means = self._means.setdefault(key, reservations.Means())
        own_s = self.get_seconds(means.size + means.spread)
        least_s = means.head_s + own_s
        # Judged by progress, a long transfer has no latency target to miss.
        late = (
            call.plan.large or self.get_time() + least_s > call.latency_deadline
        )
        before = self._count_before(reservations.get_order(call, late))
        before_s = self.get_seconds(before)
        # Only its claim tells whether a call with a key has run before; by
        # itself, the link must not call it "not run".
        claimed = bool(call.key) and not call.plan.repeatable
        if (
            means.size > reservations.CHUNK_BYTES
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
        return reservations.Transfer(self, means, call, late)

    def change_promise(
        self, transfer: reservations.Transfer, before: int, after: int
    ) -> None:
        """Changes the bytes that are promised to a transfer."""
        self.reserved_bytes += after - before
        if after:
            self._promises.add(transfer)
        else:
            self._promises.discard(transfer)

    def note_sent(self, count: int) -> None:
        """Notes that bytes have left."""
        self._sent += count

    def update_rate(self) -> None:
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
        if since_s <= reservations.AHEAD_S:
            self._measured_rate.record(
                now, since_s, self._sent, self._is_shared()
            )
            self.rate = self._measured_rate.get()

    async def wait_for_turn(self, transfer: reservations.Transfer) -> None:
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
        least = self._measured_rate.get_least()
        return max(
            reservations.STALLED_S,
            self.reserved_bytes / least if least else 0.0,
        )

    def _wake(self) -> None:
        """Has transfers go on that wait, as far as there is room."""
        room = self._get_room()
        for waiting in list(self._waiting):
            transfer, turn = waiting
            if turn.done() or not self._may_hand_over(transfer, room):
                continue
            self._waiting.remove(waiting)
            turn.set_result(None)
            room -= reservations.CHUNK_BYTES

    def _may_hand_over(
        self, transfer: reservations.Transfer, room: float
    ) -> bool:
        """Returns whether the link has room, and the receiver takes more."""
        return room > 0 and not (
            transfer.slow and transfer.unsent >= reservations.CHUNK_BYTES
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
            if now + needed_s <= call.latency_deadline:
                return True
            self._full_until = now + plan.latency_s
            return False
        if now + needed_s > call.refuse_by:
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
        least = self._measured_rate.get_least()
        if not least:
            return math.inf
        return max(2 * reservations.CHUNK_BYTES, least * reservations.AHEAD_S)

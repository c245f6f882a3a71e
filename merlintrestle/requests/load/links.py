"""Admission and scheduling of large answers on the outgoing network link.

An answer is large if it has more than `reservations.CHUNK_BYTES`. A full link
carries no more bytes when more transfers start: transfers that start together
share it and all end late, and small answers wait behind them.

Answers that can still meet their latency targets are sent first. The others are
sent with best effort, in the capacity that remains: answers without a latency
target, and late ones, which would miss it even on an idle link.

The rate of the link is measured, not configured: the limit of a virtual link is
seldom known where the daemon runs.
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

# Maximum wait of a late call for the link, as a fraction of the latency target.
# A late call only gets capacity that calls in time leave unused.
_MAX_LATE_WAIT_FRACTION = 0.5
# A receiver is slow if bytes are in transit to it for more than this multiple
# of the time in which the link carries a full send window.
_SLOW_RATIO = 5
# Shortest retry delay stated to a caller, in seconds; the same as
# `refusals.MIN_RETRY_AFTER_S`.
_MIN_RETRY_AFTER_S = 0.05


class OutgoingLink:
    """The outgoing network link to other daemons.

    Attributes:
        reserved_bytes: Bytes of large answers that have not been sent yet.
        unsent: Bytes in transit: those of the reserved bytes that were written
            to a connection and have not left the host.
        rate: Rate of the link in bytes per second; 0 if it was never full.
        get_time: Returns the time in seconds, on the clock of deadlines.
    """

    def __init__(self, get_time: Callable[[], float] = time.monotonic):
        """Initializes the link without transfers.

        Args:
            get_time: Returns the time in seconds, on the clock of deadlines.
        """
        self.reserved_bytes = 0
        self.unsent = 0
        self.rate = 0.0
        self.get_time = get_time
        self._measured_rate = rates.MeasuredRate()
        self._transfers: set[reservations.Transfer] = set()
        self._sent_bytes = 0
        self._interval_began_at: float | None = None
        self._answer_stats: dict[tuple[str, str], reservations.AnswerStats] = {}
        self._refuse_late_until = 0.0
        self._waiting: list[
            tuple[reservations.Transfer, asyncio.Future[None]]
        ] = []

    def get_backlog_s(self) -> float:
        """Returns how long answers in time occupy the link, in seconds."""
        # Counts the bytes ahead of an answer that would be sent after all
        # answers in time and before all best-effort ones.
        return self.get_transfer_s(self._count_bytes_ahead((False, math.inf)))

    def get_transfer_s(self, size: float) -> float:
        """Returns how long the link takes to carry some bytes, in seconds."""
        return size / self.rate if self.rate else 0.0

    def get_slow_threshold_s(self) -> float:
        """Returns the maximum transit time of a receiver that is not slow.

        Returns:
            The time in seconds.
        """
        min_rate = self._measured_rate.get_lower_bound()
        window_s = (
            self._get_send_window() / min_rate
            if min_rate
            else reservations.SEND_WINDOW_S
        )
        return _SLOW_RATIO * window_s

    def admit(
        self, call: calls.Call
    ) -> reservations.Transfer | outcomes.NotRun:
        """Reserves link capacity for the answer of a call or refuses the call.

        An answer that would not be sent in time only makes others late, so its
        call is refused. Calls of classes whose mean answer is small, and calls
        that need a claim, are always admitted. So is any call while at most one
        large answer is in progress, not counting those to slow receivers: if
        slow receivers have made the measured rate too low, the answer of this
        call gives a new measurement.

        Args:
            call: The call, which is not running yet.

        Returns:
            The transfer that holds the reservation, or the refusal.
        """
        class_key = (call.organisation, call.plan.name)
        stats = self._answer_stats.setdefault(
            class_key, reservations.AnswerStats()
        )
        transfer_s = self.get_transfer_s(stats.size + stats.deviation)
        min_answer_s = stats.head_s + transfer_s
        # Large transfers are monitored by their progress and have no latency
        # target.
        best_effort = (
            call.plan.large
            or self.get_time() + min_answer_s > call.latency_deadline
        )
        bytes_ahead = self._count_bytes_ahead(
            reservations.get_order(call, best_effort)
        )
        wait_s = self.get_transfer_s(bytes_ahead)
        # Only the claim of a call with an idempotency key shows whether the
        # call has run before, so the link must not report it as "not run".
        needs_claim = bool(call.key) and not call.plan.repeatable
        if (
            stats.size > reservations.CHUNK_BYTES
            and sum(not transfer.slow for transfer in self._transfers) > 1
            and not needs_claim
            and not self._check_capacity(
                call,
                wait_s,
                max(min_answer_s, wait_s + transfer_s),
                best_effort,
            )
        ):
            return outcomes.NotRun(
                "no room on the link in time",
                retry_after_s=max(_MIN_RETRY_AFTER_S, wait_s),
                elsewhere=True,
                overloaded=True,
            )
        return reservations.Transfer(self, stats, call, best_effort)

    def change_reservation(
        self, transfer: reservations.Transfer, before: int, after: int
    ) -> None:
        """Changes the bytes that are reserved for a transfer."""
        self.reserved_bytes += after - before
        if after:
            self._transfers.add(transfer)
        else:
            self._transfers.discard(transfer)

    def record_sent(self, count: int) -> None:
        """Records that `count` bytes have left the host."""
        self._sent_bytes += count

    def update_rate(self) -> None:
        """Updates the measured rate and wakes waiting transfers.

        Called after all transfers have reported what has been sent, which ends
        an interval of the measurement. The rate cannot be measured in an
        interval at whose end no bytes wait, as the link was idle for a fraction
        of it. The same holds for an interval that is longer than the send
        window, because the event loop was blocked: all bytes in transit may
        have left well before its end. If all bytes have left while transfers
        wait for their turn, the link is faster than was measured.
        """
        now = self.get_time()
        busy = bool(self.unsent or self._waiting)
        if busy and self._interval_began_at is not None:
            self._record_sample(now, now - self._interval_began_at)
        self._sent_bytes = 0
        self._interval_began_at = now if busy else None
        self._wake_waiting()

    def _record_sample(self, now: float, interval_s: float) -> None:
        """Records the bytes sent in an interval unless it was too long."""
        if interval_s <= reservations.SEND_WINDOW_S:
            self._measured_rate.record(
                now, interval_s, self._sent_bytes, self._has_several_receivers()
            )
            self.rate = self._measured_rate.get()

    async def wait_for_turn(self, transfer: reservations.Transfer) -> None:
        """Waits until a transfer may write its next chunk.

        The wait is limited to the time in which the link carries all reserved
        bytes, including those of best-effort answers. Without the limit,
        receivers slower than the link could occupy the send window, and nothing
        would be sent to the others.

        Args:
            transfer: The transfer that has a chunk to write.
        """
        if not self._waiting and self._may_write(
            transfer, self._get_window_space()
        ):
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = (transfer, turn)
        bisect.insort(self._waiting, waiting, key=lambda entry: entry[0])
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._get_max_turn_wait_s()):
                    await turn
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def _get_max_turn_wait_s(self) -> float:
        """Returns the maximum wait of a transfer for its turn, in seconds."""
        min_rate = self._measured_rate.get_lower_bound()
        return max(
            reservations.RESERVATION_STALL_TIMEOUT_S,
            self.reserved_bytes / min_rate if min_rate else 0.0,
        )

    def _wake_waiting(self) -> None:
        """Wakes as many waiting transfers as the send window has space for."""
        space = self._get_window_space()
        for waiting in list(self._waiting):
            transfer, turn = waiting
            if turn.done() or not self._may_write(transfer, space):
                continue
            self._waiting.remove(waiting)
            turn.set_result(None)
            space -= reservations.CHUNK_BYTES

    def _may_write(self, transfer: reservations.Transfer, space: float) -> bool:
        """Returns whether a transfer may write a chunk now.

        There must be space in the send window, and a slow receiver must have
        less than a chunk in transit.
        """
        return space > 0 and not (
            transfer.slow and transfer.unsent >= reservations.CHUNK_BYTES
        )

    def _has_several_receivers(self) -> bool:
        """Returns whether several transfers have bytes in transit or wait.

        The rate to a single receiver may be limited by that receiver instead of
        the link.
        """
        active = {transfer for transfer in self._transfers if transfer.unsent}
        active.update(transfer for transfer, _ in self._waiting)
        return len(active) > 1

    def _count_bytes_ahead(self, order: tuple[bool, float]) -> int:
        """Returns the number of bytes that are sent before an answer.

        Of transfers that are scheduled after it, only the bytes in transit are
        counted. Of transfers to slow receivers, only those bytes in transit are
        counted that other transfers wait for.

        Args:
            order: The scheduling order of the answer, as `Transfer.order`.
        """
        return sum(
            transfer.remaining
            if transfer.order <= order and not transfer.slow
            else transfer.count_blocking_bytes()
            for transfer in self._transfers
        )

    def _check_capacity(
        self,
        call: calls.Call,
        wait_s: float,
        completion_s: float,
        best_effort: bool,
    ) -> bool:
        """Returns whether an answer would be sent in time.

        If an answer would miss its latency target, late calls are refused for
        the time of that target.

        Args:
            call: The call that is answered.
            wait_s: Time in which the link sends the bytes ahead of the answer,
                in seconds.
            completion_s: Time until the answer would be sent, in seconds.
            best_effort: Whether the call has no latency target or is late.
        """
        now = self.get_time()
        plan = call.plan
        if not best_effort:
            if now + completion_s <= call.latency_deadline:
                return True
            self._refuse_late_until = now + plan.latency_s
            return False
        if now + completion_s > call.refuse_by:
            return False
        if plan.large:
            return True
        return (
            now >= self._refuse_late_until
            and wait_s <= plan.latency_s * _MAX_LATE_WAIT_FRACTION
        )

    def _get_window_space(self) -> float:
        """Returns the number of bytes that may be written now."""
        return self._get_send_window() - sum(
            transfer.count_blocking_bytes() for transfer in self._transfers
        )

    def _get_send_window(self) -> float:
        """Returns the number of bytes that may be in transit at once.

        If only a single receiver has been measured, the window is derived from
        the rate of that receiver. This does not slow down the transfer to it,
        and bytes that are sent to other receivers add to the measured rate.
        """
        min_rate = self._measured_rate.get_lower_bound()
        if not min_rate:
            return math.inf
        return max(
            2 * reservations.CHUNK_BYTES, min_rate * reservations.SEND_WINDOW_S
        )

"""Reservations of outgoing link capacity for large answers."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests.calls import call as calls

# Size of the chunks in which transfers are sent: a dozen packets. Answers up to
# this size are small: they are sent without a reservation and do not wait for
# their turn.
CHUNK_BYTES = 16 * 1024
# Weight of the latest answer in the moving averages of its class.
_EWMA_WEIGHT = 0.1
# The send window is the number of bytes that may be in transit at once. This is
# the time in which the link carries them, in seconds. They keep the link busy
# between two checks of the connections, but a small answer waits behind them.
SEND_WINDOW_S = 0.06
# If no byte of a transfer is sent for this time, in seconds, its receiver is
# stalled. It is several send windows, as up to one send window of other bytes
# may be sent before those of the transfer.
RESERVATION_STALL_TIMEOUT_S = 5 * SEND_WINDOW_S


class TransferLink(Protocol):
    """The link that carries the answers; see `links.OutgoingLink`.

    Attributes:
        unsent: Bytes in transit, in all transfers: they were written to a
            connection and have not left the host.
        get_time: Returns the time in seconds, on the clock of deadlines.
    """

    unsent: int
    get_time: Callable[[], float]

    def get_transfer_s(self, size: float) -> float:
        """Returns how long the link takes to carry some bytes, in seconds."""

    def get_slow_threshold_s(self) -> float:
        """Returns the maximum transit time of a receiver that is not slow.

        Returns:
            The time in seconds.
        """

    def change_reservation(
        self, transfer: Transfer, before: int, after: int
    ) -> None:
        """Changes the bytes that are reserved for a transfer."""

    def record_sent(self, count: int) -> None:
        """Records that `count` bytes have left the host."""

    async def wait_for_turn(self, transfer: Transfer) -> None:
        """Waits until a transfer may write its next chunk."""


class AnswerStats:
    """Statistics of the recent answers of one class of work.

    Attributes:
        size: Mean size in bytes; 0 if no answer was recorded.
        deviation: Mean absolute deviation of the size, in bytes.
        head_s: Mean time until the head of the answer, in seconds.
    """

    __slots__ = ("head_s", "size", "deviation")

    def __init__(self) -> None:
        self.size = 0.0
        self.deviation = 0.0
        self.head_s = 0.0

    def record(self, size: int, head_s: float) -> None:
        """Records an answer.

        Args:
            size: Its size in bytes.
            head_s: Time until its head, in seconds.
        """
        if not self.size:
            self.size = size
            self.head_s = head_s
            return
        self.deviation += _EWMA_WEIGHT * (
            abs(size - self.size) - self.deviation
        )
        self.size += _EWMA_WEIGHT * (size - self.size)
        self.head_s += _EWMA_WEIGHT * (head_s - self.head_s)


class Transfer:
    """The transfer of one answer over the link.

    Bytes count in `remaining` from their reservation until they leave the host.
    While they are in transit, which begins when they are written to the
    connection, they also count in `unsent`. Thus `remaining` is never less than
    `unsent`. `OutgoingLink.reserved_bytes` is the sum of `remaining` and
    `OutgoingLink.unsent` the sum of `unsent` of all transfers, except for those
    with stalled receivers.

    Attributes:
        remaining: Bytes that are reserved for the answer and not sent yet.
        unsent: Bytes in transit: those of the remaining bytes that were written
            to the connection.
        order: Scheduling order, the smallest first: calls in time by their
            latency deadlines, then best-effort ones by their deadlines, in
            seconds.
        slow: Whether the receiver is slower than the link.
    """

    __slots__ = (
        "_began_at",
        "_call",
        "_head_s",
        "_size_pending",
        "_link",
        "_stats",
        "_progress_at",
        "_stalled",
        "remaining",
        "order",
        "slow",
        "unsent",
        "_sample_bytes",
        "_sample_began_at",
    )

    def __init__(
        self,
        link: TransferLink,
        stats: AnswerStats,
        call: calls.Call,
        best_effort: bool,
    ):
        """Reserves the mean size of the class for an answer.

        Args:
            link: The link that carries the answer.
            stats: Statistics of the answers of the call's class.
            call: The call that is answered.
            best_effort: Whether the call has no latency target or is late.
        """
        self.remaining = 0
        self.unsent = 0
        self.slow = False
        self.order = get_order(call, best_effort)
        self._link = link
        self._call = call
        self._stats = stats
        self._began_at = link.get_time()
        self._progress_at = self._began_at
        self._head_s = 0.0
        self._size_pending = False
        self._stalled = False
        # The transit time is measured for one batch of bytes after the other.
        # These are its bytes that are still in transit, and its start.
        self._sample_bytes = 0
        self._sample_began_at = self._began_at
        if stats.size > CHUNK_BYTES:
            self._set_remaining(round(stats.size))

    def __lt__(self, other: Transfer) -> bool:
        """Returns whether the transfer is scheduled before the other."""
        return self.order < other.order

    def record_head(self, typical: bool = True) -> None:
        """Records the head of an answer, whose size is not known yet.

        Args:
            typical: Whether the answer is recorded in the statistics of its
                class; False for errors.
        """
        self._head_s = self._link.get_time() - self._began_at
        self._size_pending = typical

    def record_size(self, size: int) -> None:
        """Records the size of the answer in the statistics of its class.

        It is recorded once, and only after the head of a typical answer.
        """
        if self._size_pending:
            self._size_pending = False
            self._stats.record(size, self._head_s)

    def set_size(self, size: int, typical: bool = True) -> None:
        """Sets the size of the answer when its head has been received.

        Args:
            size: The size in bytes.
            typical: As for `record_head`.
        """
        self.record_head(typical)
        self.record_size(size)
        if (
            self._link.get_time() + self._link.get_transfer_s(size)
            > self._call.latency_deadline
        ):
            # The answer is larger than others of its class and misses its
            # latency target even on an idle link. If it were sent first, all
            # others would miss theirs.
            self.order = get_order(self._call, True)
        self._set_remaining(size if size > CHUNK_BYTES else 0)

    async def wait_for_turn(self) -> None:
        """Waits until the next chunk may be written."""
        await self._link.wait_for_turn(self)

    def record_written(self, count: int) -> None:
        """Records that `count` bytes were written to the connection."""
        if not self.unsent:
            self._progress_at = self._sample_began_at = self._link.get_time()
            self._sample_bytes = count
        self._set_unsent(self.unsent + count)
        if self.remaining < self.unsent:
            # An answer without a stated size has more bytes than the mean of
            # its class, which was reserved.
            self._set_remaining(self.unsent)

    def update_unsent(self, unsent: int) -> None:
        """Updates the number of bytes in transit.

        The link does not carry the bytes of a stalled receiver, so they are
        excluded. If they were counted, they would block all other transfers
        until the connection to that receiver is closed.

        Args:
            unsent: Bytes that were written to the connection and have not left
                the host.
        """
        now = self._link.get_time()
        sent = self.unsent - unsent
        if sent > 0:
            self._progress_at = now
            self._set_stalled(False)
            self._link.record_sent(sent)
            self._set_unsent(unsent)
            self._set_remaining(max(unsent, self.remaining - sent))
            self._update_slow(now, sent)
        elif (
            self.unsent
            and now - self._progress_at > RESERVATION_STALL_TIMEOUT_S
        ):
            # The transfer is also marked as slow, so that it writes no more
            # chunks. Its bytes no longer occupy the send window.
            self.slow = True
            self._set_stalled(True)

    def count_blocking_bytes(self) -> int:
        """Returns the number of bytes in transit that other transfers wait for.

        For a slow receiver it is one chunk at most: further bytes wait for the
        receiver instead of the link and do not delay other transfers.
        """
        return min(self.unsent, CHUNK_BYTES) if self.slow else self.unsent

    def _update_slow(self, now: float, sent: int) -> None:
        """Updates `slow` by the transit time of the measured batch of bytes."""
        transit_s = now - self._sample_began_at
        self._sample_bytes -= sent
        if (
            self._sample_bytes <= 0
            or transit_s > self._link.get_slow_threshold_s()
        ):
            self.slow = transit_s > self._link.get_slow_threshold_s()
        if self._sample_bytes <= 0:
            self._sample_bytes = self.unsent
            self._sample_began_at = now

    def end(self) -> None:
        """Releases the remaining reservation."""
        self._set_unsent(0)
        self._set_remaining(0)

    def _set_stalled(self, stalled: bool) -> None:
        """Excludes the bytes from those of the link, or includes them again.

        Args:
            stalled: Whether the receiver is stalled.
        """
        if stalled == self._stalled:
            return
        self._stalled = stalled
        if stalled:
            self._link.unsent -= self.unsent
            self._link.change_reservation(self, self.remaining, 0)
        else:
            self._link.unsent += self.unsent
            self._link.change_reservation(self, 0, self.remaining)

    def _set_unsent(self, unsent: int) -> None:
        if not self._stalled:
            self._link.unsent += unsent - self.unsent
        self.unsent = unsent

    def _set_remaining(self, remaining: int) -> None:
        if not self._stalled:
            self._link.change_reservation(self, self.remaining, remaining)
        self.remaining = remaining


def get_order(call: calls.Call, best_effort: bool) -> tuple[bool, float]:
    """Returns the scheduling order of an answer, as `Transfer.order`."""
    return best_effort, call.deadline if best_effort else call.latency_deadline

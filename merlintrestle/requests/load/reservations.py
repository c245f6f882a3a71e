"""Promises: what one long answer has of the outgoing link."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests.calls import call as calls

# Answers up to this size are small, in bytes: a dozen packets. They wait for no
# transfer, and transfers are sent in pieces of this size.
CHUNK_BYTES = 16 * 1024
# Weight of the newest answer in the means of a class.
_NEWEST = 0.1
# What may wait on its way at once, in seconds of the link: a check finds it
# before it, and it keeps the link busy between two looks.
AHEAD_S = 0.06
# A transfer of which nothing leaves for so long has a receiver that takes
# nothing, in seconds: several times what may be on its way before it.
STALLED_S = 5 * AHEAD_S


class Carrier(Protocol):
    """The link that carries the answers; see `links.Link`."""

    unsent: int
    get_time: Callable[[], float]

    def get_seconds(self, size: float) -> float:
        """Returns how long it needs for some bytes, in seconds."""

    def get_slow_s(self) -> float:
        """Returns after what time what was handed over is slow, in seconds."""

    def change_promise(
        self, transfer: Transfer, before: int, after: int
    ) -> None:
        """Changes the bytes that are promised to a transfer."""

    def note_sent(self, count: int) -> None:
        """Notes that bytes have left."""

    async def wait_for_turn(self, transfer: Transfer) -> None:
        """Waits until it is a transfer's turn to hand over a piece."""


class Means:
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

    def __init__(
        self, link: Carrier, means: Means, call: calls.Call, late: bool
    ):
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
        self.order = get_order(call, late)
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
        if means.size > CHUNK_BYTES:
            self._set_left(round(means.size))

    def __lt__(self, other: Transfer) -> bool:
        """Returns whether it goes before another: late calls go last."""
        return self.order < other.order

    def record_head(self, typical: bool = True) -> None:
        """Notes that an answer begins whose size only its end shows.

        Args:
            typical: It is one that its class is known by; not so an error.
        """
        self._head_s = self._link.get_time() - self._began
        self._open = typical

    def record_size(self, size: int) -> None:
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
        self.record_head(typical)
        self.record_size(size)
        if (
            self._link.get_time() + self._link.get_seconds(size)
            > self._call.latency_deadline
        ):
            # Larger than others of its class, it misses its target in any
            # case; going first, it would have all others miss theirs.
            self.order = get_order(self._call, True)
        self._set_left(size if size > CHUNK_BYTES else 0)

    async def wait_for_turn(self) -> None:
        """Waits until the link has room for the next piece."""
        await self._link.wait_for_turn(self)

    def record_written(self, count: int) -> None:
        """Notes that bytes were handed over to be sent."""
        if not self.unsent:
            self._moved_at = self._old_at = self._link.get_time()
            self._old = count
        self._set_unsent(self.unsent + count)
        if self.left < self.unsent:
            # An answer without a stated length is longer than its class.
            self._set_left(self.unsent)

    def update_unsent(self, unsent: int) -> None:
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
        elif self.unsent and now - self._moved_at > STALLED_S:
            # It is handed no more either, though it leaves all the room.
            self.slow = True
            self._set_stalled(True)

    def count_ahead(self) -> int:
        """Returns the bytes on their way that others wait for.

        More than a piece before a slow receiver waits for that one, not for
        the link, and takes nothing from others.
        """
        return min(self.unsent, CHUNK_BYTES) if self.slow else self.unsent

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


def get_order(call: calls.Call, late: bool) -> tuple[bool, float]:
    """Returns when the answer of a call goes, as `Transfer.order`."""
    return late, call.deadline if late else call.latency_deadline

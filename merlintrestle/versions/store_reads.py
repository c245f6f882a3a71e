"""The latest reads of the store, as the daemons tell each other."""

from __future__ import annotations

import collections
import math
import random
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.members import links as links_lib
    from merlintrestle.members import timing as timing_lib
    from merlintrestle.schema import control_pb2

# A read is passed on at once if it is later than the last one that was by this
# part of the interval between two reads of a watcher.
_ANNOUNCED_FRACTION = 0.7
# Processes whose last read is remembered, so that no earlier one counts again.
_MAX_READERS = 1000
_READER_BITS = 32
_MAX_AGE_MS = 2**32 - 1
_MS_PER_S = 1000


class Read(NamedTuple):
    """A read of the head that got an answer.

    Attributes:
        time: When it was sent, in seconds. The time between daemons is not
            counted, so it may be somewhat too late.
        reader: Random id of the process that read.
        number: Number of the read; it is higher for a later one.
        by_watcher: Whether the process was a watcher of its zone.
    """

    time: float
    reader: int
    number: int
    by_watcher: bool


_NEVER = Read(-math.inf, 0, 0, by_watcher=True)


class StoreReads:
    """The latest reads of the store that this daemon knows of.

    Their ages travel in the messages on links, which pass them on to the whole
    fleet within some tenths of a second.

    Attributes:
        heard: Whether any other daemon told of a read.
    """

    def __init__(
        self,
        links: links_lib.Links,
        timing: timing_lib.Timing,
        get_time: Callable[[], float],
    ):
        """Registers the listeners.

        Args:
            links: The links to the neighbours.
            timing: Intervals.
            get_time: Monotonic time in seconds.
        """
        self.heard = False
        self._links = links
        self._announced_gap_s = (
            _ANNOUNCED_FRACTION * timing.head_refresh_interval_s
        )
        self._get_time = get_time
        self._reader = random.getrandbits(_READER_BITS)
        self._number = 0
        self._by_watcher = _NEVER
        self._by_other = _NEVER
        # The last announced read of watchers, and of all others.
        self._announced = {True: -math.inf, False: -math.inf}
        # The last read of each process: of messages that overtake each other,
        # the later one may tell of an earlier read, with an age too low.
        self._numbers: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        links.extend_message.append(self._extend)
        links.on_message.append(self._receive)

    def record(self, asked_at: float, by_watcher: bool) -> None:
        """Records a read of this daemon.

        Args:
            asked_at: When it was sent, in seconds.
            by_watcher: Whether this daemon is a selected watcher.
        """
        self._number += 1
        self._learn(Read(asked_at, self._reader, self._number, by_watcher))

    def get_last_time(self) -> float:
        """Returns when any daemon read last; minus infinity if never."""
        return max(self._by_watcher.time, self._by_other.time)

    def get_last_watcher_time(self) -> float:
        """Returns when a watcher read last; minus infinity if never."""
        return self._by_watcher.time

    def _learn(self, read: Read, source: links_lib.Link | None = None) -> None:
        if read.number <= self._numbers.get(read.reader, 0):
            return
        self._numbers[read.reader] = read.number
        self._numbers.move_to_end(read.reader)
        if len(self._numbers) > _MAX_READERS:
            self._numbers.popitem(last=False)
        if read.by_watcher:
            self._by_watcher = max(self._by_watcher, read)
        else:
            self._by_other = max(self._by_other, read)
        if read.time - self._announced[read.by_watcher] >= (
            self._announced_gap_s
        ):
            self._announced[read.by_watcher] = read.time
            self._links.send_soon(exclude=source)

    def _extend(self, message: control_pb2.LinkMessage) -> None:
        reads = [self._by_watcher]
        if self._by_other.time > self._by_watcher.time:
            reads.append(self._by_other)
        now = self._get_time()
        for read in reads:
            if read.number:
                age_ms = math.ceil(max(0.0, now - read.time) * _MS_PER_S)
                message.store_reads.add(
                    reader=read.reader,
                    number=read.number,
                    by_watcher=read.by_watcher,
                    age_ms=min(age_ms, _MAX_AGE_MS),
                )

    def _receive(
        self, link: links_lib.Link, message: control_pb2.LinkMessage
    ) -> None:
        now = self._get_time()
        for read in message.store_reads:
            if read.reader != self._reader:
                self.heard = True
            self._learn(
                Read(
                    now - read.age_ms / _MS_PER_S,
                    read.reader,
                    read.number,
                    read.by_watcher,
                ),
                link,
            )

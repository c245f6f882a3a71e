"""Takeover of the watch by another daemon if no watcher reaches the store."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.members import selection as selection_lib
from merlintrestle.members import table as table_lib

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import store_reads as store_reads_lib

events = event_logs.EventLog("versions")

_KEY = "failover"
# Part of the interval between two reads of a watcher after which, without a
# read of any daemon, the watchers count as cut off. All of them together read
# several times as often.
_SILENCE_FRACTION = 1.5
# Daemons that try to take over in one such interval, in the whole fleet.
_ATTEMPTS_PER_INTERVAL = 3
# Once every daemon has tried, the store itself is likely to have failed, and
# the attempts are this many times as far apart.
_REPEATED_SPACING_FACTOR = 2


class Failover:
    """Decides when this daemon watches in place of the selected watchers.

    The watchers of all zones may be cut off from a store that answers others.
    If no daemon has told of a read for a while, the others try in turn, in an
    order that all of them compute alike. The first one that gets an answer
    watches until a watcher reads again. While nobody gets an answer, the rate
    of the attempts does not depend on the size of the fleet.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        reads: store_reads_lib.StoreReads,
        list_watchers: Callable[[], Collection[str]],
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Connects the components.

        Args:
            membership: Members and intervals.
            reads: The latest reads of the store.
            list_watchers: Returns the ids of the watchers of all zones.
            get_time: Monotonic time in seconds, that of `reads`.
        """
        self._table = membership.table
        self._reads = reads
        self._list_watchers = list_watchers
        self._get_time = get_time
        interval_s = membership.timing.head_refresh_interval_s
        self._silence_s = _SILENCE_FRACTION * interval_s
        self._spacing_s = interval_s / _ATTEMPTS_PER_INTERVAL
        self._active = False
        # The last read when the place in the order was computed, this place,
        # the number of daemons in the order, and the attempts since that read.
        self._last_read_at = -math.inf
        self._place = 0
        self._count = 0
        self._attempts = 0

    def is_active(self) -> bool:
        """Returns whether this daemon watches in place of the watchers."""
        if self._active and not self._is_silent(
            self._reads.get_last_watcher_time()
        ):
            self._active = False
            events.note("watchers read the store again")
        return self._active

    def shares_attempts(self) -> bool:
        """Returns whether others try in place of watchers that are cut off."""
        read_at = self._reads.get_last_watcher_time()
        return (
            read_at > -math.inf
            and self._is_silent(read_at)
            and len(self._table.list_usable_ids()) > len(self._list_watchers())
        )

    def get_delay(self) -> float:
        """Returns the time until this daemon's next attempt, in seconds.

        It is infinite unless the watchers seem to be cut off. A daemon that has
        not heard of any read has just started, and knows too few of the others
        to tell its place among them.
        """
        read_at = self._reads.get_last_time()
        if not self._reads.heard or not self._is_silent(read_at):
            return math.inf
        if read_at != self._last_read_at:
            self._last_read_at = read_at
            self._attempts = 0
            self._compute_place()
        return self._get_due_time() - self._get_time()

    def begin(self) -> None:
        """Begins an attempt if it is due."""
        if self.get_delay() > 0:
            return
        self._attempts += 1
        self._active = True
        events.note(
            "watches in place of the watchers",
            place=self._place,
            attempt=self._attempts,
            silent_s=round(self._get_time() - self._last_read_at, 2),
        )

    def end(self) -> None:
        """Ends the watch, as the store does not answer this daemon either."""
        self._active = False

    def _is_silent(self, read_at: float) -> bool:
        return self._get_time() - read_at >= self._silence_s

    def _get_due_time(self) -> float:
        """Returns the time of the next attempt, in seconds."""
        first_at = self._last_read_at + self._silence_s
        if not self._attempts:
            return first_at + self._place * self._spacing_s
        earlier = (self._attempts - 1) * self._count + self._place
        return first_at + self._spacing_s * (
            self._count + _REPEATED_SPACING_FACTOR * earlier
        )

    def _compute_place(self) -> None:
        """Computes the place of this daemon among those that may take over."""
        watchers = set(self._list_watchers())
        members = [
            member
            for member in self._table.list_members()
            if not table_lib.is_gone(member) and member.id not in watchers
        ]
        max_link_mbps = selection_lib.find_max_link_mbps(members)
        local_rank = selection_lib.compute_rank(
            _KEY, self._table.local_member, max_link_mbps
        )
        self._count = len(members)
        self._place = sum(
            selection_lib.compute_rank(_KEY, member, max_link_mbps) > local_rank
            for member in members
        )

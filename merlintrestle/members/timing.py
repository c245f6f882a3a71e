"""Intervals of membership and of spreading; tests shorten them."""

from __future__ import annotations

import random
from typing import NamedTuple


class Timing(NamedTuple):
    """Intervals in seconds.

    Attributes:
        heartbeat_interval_s: Mean time between two messages on a quiet link.
        silence_timeout_s: A link that said nothing for so long is given up.
        call_timeout_s: Deadline of one control call.
        fetch_timeout_s: Longest pause between two parts of a snapshot; deadline
            of a call that carries a table.
        flush_delay_s: Member updates wait up to this long to travel together.
        reconnect_delay_s: First wait before a lost link is opened again.
        max_reconnect_delay_s: Longest such wait.
        suspicion_timeout_s: A suspect that has not refuted after this long is
            dead.
        anti_entropy_interval_s: Mean time between two rounds of anti-entropy.
        pause_threshold_s: The own loop is paused if a tick is late by more.
        start_jitter_s: Seeds are tried so long; then a herd spreads its first
            reads of the store over the same time.
        join_timeout_s: Longest wait for a first daemon before this one goes on
            alone.
        max_store_retry_delay_s: Longest wait between two tries at the store by
            a daemon that has met no other.
        max_floor_retry_delay_s: Longest wait between two tries of a daemon that
            seeks its floor.
        max_watch_retry_delay_s: Longest wait between two tries of a watcher.
            They are few, and a change that is accepted before they are back,
            with the store failing again at once, would reach nobody.
        first_read_retry_delay_s: First wait before a starting daemon asks a
            store anew that failed; it grows to `watch_retry_max`, which is the
            wait where the store has no version yet.
        seeds_write_interval_s: Least time between two writes of a zone's seeds.
        seeds_check_interval_s: The records of seeds are looked at again after
            so long, for parts of the fleet that this one does not know; sooner,
            from `seeds_write` on, after the start.
        head_refresh_interval_s: Mean time between two reads of the head by a
            watcher.
        min_witness_uptime_s: A witness must have been open so long to answer
            for marks.
        hedge_delay_s: A fetch of which nothing came for so long is tried with
            another peer as well.
        store_fallback_delay_s: A version that is known and does not come from
            peers is read from the store after so long.
        watcher_settling_time_s: A daemon must have been chosen as watcher for
            so long before it acts as one; tables that fill change the choice
            often.
    """

    heartbeat_interval_s: float = 2.0
    silence_timeout_s: float = 6.0
    call_timeout_s: float = 1.0
    fetch_timeout_s: float = 5.0
    flush_delay_s: float = 0.1
    reconnect_delay_s: float = 0.1
    max_reconnect_delay_s: float = 2.0
    suspicion_timeout_s: float = 5.0
    anti_entropy_interval_s: float = 10.0
    pause_threshold_s: float = 1.5
    start_jitter_s: float = 4.0
    join_timeout_s: float = 12.0
    max_store_retry_delay_s: float = 15.0
    max_floor_retry_delay_s: float = 3.0
    max_watch_retry_delay_s: float = 0.6
    first_read_retry_delay_s: float = 0.1
    seeds_write_interval_s: float = 30.0
    seeds_check_interval_s: float = 600.0
    head_refresh_interval_s: float = 15.0
    min_witness_uptime_s: float = 60.0
    hedge_delay_s: float = 0.3
    store_fallback_delay_s: float = 4.0
    watcher_settling_time_s: float = 1.0


# Where callers wait a second or two: a restarted daemon serves within a
# second, and a failed one is noticed in a few. Its cost in control bytes has
# not been measured.
QUICK = Timing(
    heartbeat_interval_s=1.0,
    silence_timeout_s=3.0,
    call_timeout_s=0.5,
    fetch_timeout_s=2.0,
    flush_delay_s=0.05,
    suspicion_timeout_s=3.0,
    anti_entropy_interval_s=3.0,
    start_jitter_s=0.3,
    join_timeout_s=2.0,
    max_store_retry_delay_s=1.0,
    max_floor_retry_delay_s=1.0,
    seeds_write_interval_s=1.0,
    seeds_check_interval_s=20.0,
    head_refresh_interval_s=1.0,
    store_fallback_delay_s=1.0,
    watcher_settling_time_s=0.2,
)


def jitter(seconds: float) -> float:
    """Returns a time spread by a quarter around a mean."""
    return seconds * random.uniform(0.75, 1.25)


class Backoff:
    """Waits that grow, with full jitter.

    Attributes:
        failures: Tries that failed since the last success.
    """

    def __init__(self, first: float, longest: float):
        """Sets the bounds in seconds."""
        self._first = first
        self._longest = longest
        self.failures = 0

    def reset(self) -> None:
        """Starts again at the first wait."""
        self.failures = 0

    def get_next_delay(self) -> float:
        """Counts a failure and returns the seconds to wait after it."""
        bound = min(self._longest, self._first * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        return random.uniform(bound / 2, bound)

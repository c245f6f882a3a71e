"""Intervals of membership and of spreading; tests shorten them."""

from __future__ import annotations

import random
from typing import NamedTuple


class Timing(NamedTuple):
    """Intervals in seconds.

    Attributes:
        heartbeat: Mean time between two messages on a quiet link.
        silence: A link that said nothing for so long is given up.
        call: Deadline of one control call.
        fetch: Longest pause between two parts of a snapshot; deadline of a call
            that carries a table.
        flush: Member updates wait up to this long to travel together.
        reconnect: First wait before a lost link is opened again.
        reconnect_max: Longest such wait.
        suspicion: A suspect that has not refuted after this long is dead.
        exchange: Mean time between two rounds of anti-entropy.
        pause: The own loop is paused if a tick is late by more.
        start_jitter: Seeds are tried so long; then a herd spreads its first
            reads of the store over the same time.
        join: Longest wait for a first daemon before this one goes on alone.
        store_retry_max: Longest wait between two tries at the store by a daemon
            that has met no other.
        retry_max: Longest wait between two tries of a daemon that seeks its
            floor.
        watch_retry_max: Longest wait between two tries of a watcher. They are
            few, and a change that is accepted before they are back, with the
            store failing again at once, would reach nobody.
        first_read: First wait before a starting daemon asks a store anew that
            failed; it grows to `watch_retry_max`, which is the wait where the
            store has no version yet.
        seeds_write: Least time between two writes of a zone's seeds.
        seeds_check: The records of seeds are looked at again after so long,
            for parts of the fleet that this one does not know; sooner, from
            `seeds_write` on, after the start.
        head_refresh: Mean time between two reads of the head by a watcher.
        memory: A witness must have been open so long to answer for marks.
        hedge: A fetch of which nothing came for so long is tried with another
            peer as well.
        patience: A version that is known and does not come from peers is read
            from the store after so long.
        settle: A daemon must have been chosen as watcher for so long before it
            acts as one; tables that fill change the choice often.
    """

    heartbeat: float = 2.0
    silence: float = 6.0
    call: float = 1.0
    fetch: float = 5.0
    flush: float = 0.1
    reconnect: float = 0.1
    reconnect_max: float = 2.0
    suspicion: float = 5.0
    exchange: float = 10.0
    pause: float = 1.5
    start_jitter: float = 4.0
    join: float = 12.0
    store_retry_max: float = 15.0
    retry_max: float = 3.0
    watch_retry_max: float = 0.6
    first_read: float = 0.1
    seeds_write: float = 30.0
    seeds_check: float = 600.0
    head_refresh: float = 15.0
    memory: float = 60.0
    hedge: float = 0.3
    patience: float = 4.0
    settle: float = 1.0


# Where callers wait a second or two: a restarted daemon serves within a
# second, and a failed one is noticed in a few. Its cost in control bytes has
# not been measured.
QUICK = Timing(
    heartbeat=1.0,
    silence=3.0,
    call=0.5,
    fetch=2.0,
    flush=0.05,
    suspicion=3.0,
    exchange=3.0,
    start_jitter=0.3,
    join=2.0,
    store_retry_max=1.0,
    retry_max=1.0,
    seeds_write=1.0,
    seeds_check=20.0,
    head_refresh=1.0,
    patience=1.0,
    settle=0.2,
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

    def get_wait(self) -> float:
        """Counts a failure and returns the seconds to wait after it."""
        bound = min(self._longest, self._first * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        return random.uniform(bound / 2, bound)

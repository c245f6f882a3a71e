"""Intervals and timeouts of membership and gossip."""

from __future__ import annotations

import random
from typing import NamedTuple


class Timing(NamedTuple):
    """Intervals and timeouts in seconds.

    Attributes:
        heartbeat_interval_s: Mean interval of messages on an idle link.
        silence_timeout_s: A link that receives no message for this time ends.
        call_timeout_s: Timeout of a control call.
        fetch_timeout_s: Maximum gap between two parts of a snapshot; also the
            timeout of a call that transfers a member table.
        flush_delay_s: Maximum time for which member updates are batched.
        reconnect_delay_s: First delay before a lost link is reopened.
        max_reconnect_delay_s: Maximum delay before a lost link is reopened.
        suspicion_timeout_s: A suspect that has not refuted within this time is
            declared dead.
        anti_entropy_interval_s: Mean interval of anti-entropy rounds.
        pause_threshold_s: If a tick is later than this, the daemon was paused.
        start_jitter_s: How long seeds are tried; the first reads of the store
            by daemons that start together are then spread over the same time.
        join_timeout_s: Maximum wait for the first contact before a daemon
            continues alone.
        max_store_retry_delay_s: Maximum delay between two reads of the store
            by a daemon without any contact.
        max_floor_retry_delay_s: Maximum delay between two attempts to find the
            daemon's floor.
        max_watch_retry_delay_s: Maximum delay between two attempts of a
            watcher. There are few watchers, and a change that is accepted
            before they have reconnected would reach no daemon if the store
            failed again at once.
        first_read_retry_delay_s: First delay before a starting daemon reads a
            failed store again. It grows to `max_watch_retry_delay_s`, which is
            also the delay if the store has no version yet.
        seeds_write_interval_s: Minimum interval of writes of a zone's seeds.
        seeds_check_interval_s: Interval at which the seed records are checked
            for unknown partitions of the fleet. After the start, the interval
            is shorter, beginning with `seeds_write_interval_s`.
        head_refresh_interval_s: Mean interval of a watcher's reads of the head.
        min_witness_uptime_s: How long a witness must have been open to answer
            for marks.
        hedge_delay_s: A fetch that receives nothing for this time is hedged
            with another peer.
        store_fallback_delay_s: A known version that does not arrive from peers
            is read from the store after this time.
        watcher_settling_time_s: How long a daemon must have been selected as
            watcher before it acts as one. While the member table fills, the
            selection changes often.
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


# For callers that wait only a second or two: a restarted daemon serves within a
# second, and a failed one is detected within a few seconds.
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


def jitter(mean_s: float) -> float:
    """Returns a random duration within a quarter of a mean, in seconds."""
    return mean_s * random.uniform(0.75, 1.25)


class Backoff:
    """Exponential backoff with jitter.

    Attributes:
        failures: Failed attempts since the last success.
    """

    def __init__(self, first_s: float, max_s: float):
        """Sets the first and the maximum delay in seconds."""
        self._first_s = first_s
        self._max_s = max_s
        self.failures = 0

    def reset(self) -> None:
        """Resets to the first delay, after a success."""
        self.failures = 0

    def get_next_delay(self) -> float:
        """Counts a failure and returns the delay after it in seconds."""
        bound_s = min(self._max_s, self._first_s * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        return random.uniform(bound_s / 2, bound_s)

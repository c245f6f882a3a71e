"""Intervals and timeouts for membership and gossip."""

from __future__ import annotations

import random
from typing import NamedTuple


class Timing(NamedTuple):
    """Intervals and timeouts in seconds.

    Attributes:
        heartbeat_interval_s: Mean interval of messages on an idle link.
        silence_timeout_s: Time without a received message after which a link
            ends; multiplied by the silence factor of the link.
        call_timeout_s: Timeout of a control call.
        fetch_timeout_s: Maximum time between two parts of a fetched version;
            the whole fetch may take longer. Also the timeout of a call that
            transfers records of the member table.
        flush_delay_s: Maximum time for which member updates are batched.
        reconnect_delay_s: First delay before a lost link is reopened.
        max_reconnect_delay_s: Maximum delay before a lost link is reopened.
        suspicion_timeout_s: Time in which a suspect member must refute the
            suspicion; then it is checked again and declared dead if it cannot
            be reached.
        anti_entropy_interval_s: Mean interval of anti-entropy rounds.
        pause_threshold_s: Lateness of a tick above which the daemon is
            considered to have been paused.
        start_jitter_s: Time for which a starting daemon contacts the configured
            seeds. Then the first reads of the store by daemons that start
            together are spread over the same time.
        join_timeout_s: Maximum wait for the first contact before a daemon
            continues alone.
        max_store_retry_delay_s: Maximum delay between two reads of the store
            by a daemon without any contact.
        max_floor_retry_delay_s: Maximum delay between two attempts to determine
            the lowest version that the daemon may run (its floor).
        max_watch_retry_delay_s: Maximum delay before a watcher retries to watch
            the store. It is short because changes spread only through the few
            watchers: if the store accepted a change and failed again before
            they had reconnected, the change would reach no daemon.
        first_read_retry_delay_s: First delay before a starting daemon retries a
            failed read of the store. The delay grows to
            `max_watch_retry_delay_s`, which is also the delay before the next
            read if the store has no version yet.
        seeds_write_interval_s: Minimum interval of writes of a zone's seeds.
        seeds_check_interval_s: Interval at which the seed records are checked
            for unknown partitions of the fleet. After the start, the interval
            is shorter, beginning with `seeds_write_interval_s`.
        head_refresh_interval_s: Mean interval of a watcher's reads of the head.
        min_witness_uptime_s: Time for which a witness must have been recording
            marks (the versions that daemons run) before a daemon started, for
            its answer to replace a read of the store.
        hedge_delay_s: Time without a received part after which a fetch is
            hedged with another peer.
        store_fallback_delay_s: Time after which a version that was announced
            but did not arrive from peers is read from the store.
        watcher_settling_time_s: Time for which a daemon must have been selected
            as watcher before it acts as a watcher, because the selection
            changes often while the member table fills.
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


# Timing for platforms whose callers wait only a second or two: a restarted
# daemon serves within a second, and a failed daemon is detected within a few
# seconds. The shorter intervals cause more control traffic.
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
        failures: Number of failures since the last reset, at most 32.
    """

    def __init__(self, first_s: float, max_s: float):
        """Sets the first and the maximum delay in seconds."""
        self._first_s = first_s
        self._max_s = max_s
        self.failures = 0

    def reset(self) -> None:
        """Resets the delay to the first one after a success."""
        self.failures = 0

    def get_next_delay(self) -> float:
        """Counts a failure and returns the delay before a retry in seconds."""
        bound_s = min(self._max_s, self._first_s * 2**self.failures)
        self.failures = min(self.failures + 1, 32)
        return random.uniform(bound_s / 2, bound_s)

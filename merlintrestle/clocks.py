"""Clocks that the standard library does not provide by name."""

from __future__ import annotations

import time


def get_boot_time() -> float:
    """Returns the seconds since boot, including time spent suspended.

    `CLOCK_MONOTONIC` stops while the machine is suspended, so that a lease that
    expired in that time would seem valid. Steps of the wall clock do not change
    this clock.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""Handling of calls that arrive before a new daemon knows any upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls

# How long after its start a daemon may still be discovering upstreams that were
# ready before.
STARTUP_S = 2.0
# Fraction of the latency target for which a call may wait. The rest is enough
# for a call that takes no longer than usual.
_MAX_WAIT_FRACTION = 0.5
_POLL_INTERVAL_S = 0.02
# When callers may retry, during the startup of the daemon and later.
_STARTUP_RETRY_AFTER_S = 0.2
_RETRY_AFTER_S = 1.0


class StartupWait:
    """Makes calls wait for the first upstream of their service after a start.

    A daemon opens its port as soon as it has a version. Without the wait it
    would refuse all calls until it has discovered their upstreams, although
    these are ready: when a whole fleet is restarted, that would double the time
    in which calls are refused.
    """

    def __init__(
        self, table: interfaces.MemberTable, get_time: Callable[[], float]
    ):
        """Initializes the wait; `begin` starts the startup period.

        Args:
            table: The member table, which lists the known upstreams.
            get_time: Returns the time in seconds.
        """
        self._table = table
        self._get_time = get_time
        self._startup_ends_at = 0.0

    def begin(self) -> None:
        """Begins the startup period, as the daemon opens its port."""
        self._startup_ends_at = self._get_time() + STARTUP_S

    @property
    def retry_after_s(self) -> float:
        """When a caller may retry a call without an upstream, in seconds."""
        return _STARTUP_RETRY_AFTER_S if self._is_starting() else _RETRY_AFTER_S

    async def wait(self, call: calls.Call) -> bool:
        """Waits for an upstream; returns whether there is one."""
        if self._table.get_upstreams(call.service):
            return True
        wait_until = self._get_time() + call.plan.latency_s * _MAX_WAIT_FRACTION
        wait_until = min(wait_until, self._startup_ends_at)
        while not self._table.get_upstreams(call.service):
            if self._get_time() >= wait_until:
                return False
            await asyncio.sleep(_POLL_INTERVAL_S)
        return True

    def _is_starting(self) -> bool:
        return self._get_time() < self._startup_ends_at

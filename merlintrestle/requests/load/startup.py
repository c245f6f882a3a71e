"""Handling of calls that arrive before a new daemon knows any upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls

# Time after its start in which a daemon may not have discovered all ready
# upstreams yet, in seconds.
STARTUP_S = 2.0
# Maximum wait of a call, as a fraction of the latency target. The rest suffices
# for a call with a usual work time.
_MAX_WAIT_FRACTION = 0.5
_LOOKUP_INTERVAL_S = 0.02
# Retry delays stated to callers during the startup period and after it, in
# seconds.
_STARTUP_RETRY_AFTER_S = 0.2
_RETRY_AFTER_S = 1.0


class StartupWait:
    """Makes calls wait for the first upstream of their service after a start.

    A daemon opens its port as soon as it has a version. Without the wait, it
    would refuse all calls until it has discovered their upstreams, although
    these are ready. This would double the time in which calls are refused
    during a restart of a whole fleet.
    """

    def __init__(
        self, table: interfaces.MemberTable, get_time: Callable[[], float]
    ):
        """Initializes the wait; `begin` starts the startup period.

        Args:
            table: Lists the known upstreams of each service.
            get_time: Returns the time in seconds.
        """
        self._table = table
        self._get_time = get_time
        self._startup_ends_at = 0.0

    def begin(self) -> None:
        """Begins the startup period when the daemon opens its port."""
        self._startup_ends_at = self._get_time() + STARTUP_S

    @property
    def retry_after_s(self) -> float:
        """Retry delay for a call without an upstream, in seconds."""
        return _STARTUP_RETRY_AFTER_S if self._is_starting() else _RETRY_AFTER_S

    async def wait(self, call: calls.Call) -> bool:
        """Waits for an upstream of a call.

        Returns:
            Whether there is an upstream.
        """
        if self._table.get_upstreams(call.service):
            return True
        wait_until = self._get_time() + call.plan.latency_s * _MAX_WAIT_FRACTION
        wait_until = min(wait_until, self._startup_ends_at)
        while not self._table.get_upstreams(call.service):
            if self._get_time() >= wait_until:
                return False
            await asyncio.sleep(_LOOKUP_INTERVAL_S)
        return True

    def _is_starting(self) -> bool:
        return self._get_time() < self._startup_ends_at

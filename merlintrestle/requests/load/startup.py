"""Joining: calls that come before a new daemon has heard of any upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import call as calls

# Time after its start in which a daemon still hears of upstreams that have
# long been there, in seconds.
STARTUP_S = 2.0
# Part of the latency target for which a call may wait: what is left is enough
# for a call that takes no longer than usual.
_PART = 0.5
# Time between two looks at the table, in seconds.
_POLL_S = 0.02
# When callers may come back to a daemon that is joining, in seconds.
_RETRY_S = 0.2
_RETRY_LATER_S = 1.0


class StartupWait:
    """Has calls wait for the first upstream of their service, not for long.

    A daemon opens as soon as it has a version. All that come in the next
    moments would be refused though their upstreams are there: whoever starts
    a whole fleet anew finds it refusing for as long again as it was down.
    """

    def __init__(
        self, table: interfaces.MemberTable, get_time: Callable[[], float]
    ):
        """Sets where upstreams are known and the clock, in seconds."""
        self._table = table
        self._get_time = get_time
        self._until = 0.0

    def begin(self) -> None:
        """Notes that the daemon opens now."""
        self._until = self._get_time() + STARTUP_S

    @property
    def retry_after_s(self) -> float:
        """When a call that found no upstream is worth sending again."""
        return _RETRY_S if self._is_joining() else _RETRY_LATER_S

    async def wait(self, call: calls.Call) -> bool:
        """Waits for an upstream; returns whether there is one."""
        if self._table.get_upstreams(call.service):
            return True
        until = self._get_time() + call.plan.latency_s * _PART
        until = min(until, self._until)
        while not self._table.get_upstreams(call.service):
            if self._get_time() >= until:
                return False
            await asyncio.sleep(_POLL_S)
        return True

    def _is_joining(self) -> bool:
        return self._get_time() < self._until

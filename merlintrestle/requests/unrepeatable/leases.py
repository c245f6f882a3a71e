"""The lease under which a daemon's claims expire."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces

# A claim lives for 24 to 25 hours: a lease is used for one hour.
LEASE_S = 25 * 3600
_USE_S = 3600.0
# A claim younger than this is sure to be in the store.
SAFE_S = LEASE_S - _USE_S - 3600.0


def get_boot_time() -> float:
    """Returns seconds since boot, a suspended machine's sleep included.

    `CLOCK_MONOTONIC` stands still while a machine is suspended; a lease that
    lapsed in that time would look fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClaimLease:
    """Opens one lease an hour; a lease per claim would double the writes."""

    def __init__(
        self,
        store: interfaces.Store,
        get_time: Callable[[], float] = get_boot_time,
    ):
        """Sets the store and the clock, in seconds."""
        self._store = store
        self._get_time = get_time
        self._lease_id = 0
        # Taken before the lease is asked for, so that it errs to early.
        self._granted_at = 0.0
        self._lock = asyncio.Lock()

    async def get_id(self) -> int:
        """Returns a lease to write a claim under.

        Raises:
            errors.StoreError: There is none, and none can be had.
        """
        if self._lease_id and self._get_age() < _USE_S:
            return self._lease_id
        async with self._lock:
            if not self._lease_id or self._get_age() >= _USE_S:
                await self._renew()
        return self._lease_id

    def forget(self, lease_id: int) -> None:
        """Uses a lease no more: the store took no write under it.

        A store that was restored may know nothing of it and would refuse all
        claims until the hour of the lease is over. Where the write failed for
        another reason, the next claim costs a lease, and no more.
        """
        if lease_id == self._lease_id:
            self._lease_id = 0

    async def _renew(self) -> None:
        asked_at = self._get_time()
        self._lease_id = await self._store.grant_lease(LEASE_S)
        self._granted_at = asked_at

    def _get_age(self) -> float:
        return self._get_time() - self._granted_at

"""Leases under which the claims of a daemon expire."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces

# A claim lives for 24 to 25 hours: a lease is used for one hour.
LEASE_TTL_S = 25 * 3600
_LEASE_USE_S = 3600.0
# A claim younger than this is sure to be in the store.
MAX_CLAIM_AGE_S = LEASE_TTL_S - _LEASE_USE_S - 3600.0


def get_boot_time() -> float:
    """Returns the seconds since boot, including time spent suspended.

    `CLOCK_MONOTONIC` stops while a machine is suspended, so that a lease which
    expired in that time would look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ClaimLease:
    """Requests one lease an hour; one per claim would double the writes."""

    def __init__(
        self,
        store: interfaces.Store,
        get_time: Callable[[], float] = get_boot_time,
    ):
        """Sets the store and the clock, in seconds."""
        self._store = store
        self._get_time = get_time
        self._lease_id = 0
        # Read before the lease is requested, so that the lease never expires
        # earlier than assumed.
        self._granted_at = 0.0
        self._lock = asyncio.Lock()

    async def get_id(self) -> int:
        """Returns the id of a lease under which to write a claim.

        Raises:
            errors.StoreError: There is no lease and the store grants none.
        """
        if self._lease_id and self._get_age() < _LEASE_USE_S:
            return self._lease_id
        async with self._lock:
            if not self._lease_id or self._get_age() >= _LEASE_USE_S:
                await self._renew()
        return self._lease_id

    def discard(self, lease_id: int) -> None:
        """Stops using a lease under which a write has failed.

        A store that was restored may not know the lease and would refuse all
        claims until its hour is over. If the write failed for another reason,
        this costs no more than one further lease.
        """
        if lease_id == self._lease_id:
            self._lease_id = 0

    async def _renew(self) -> None:
        requested_at = self._get_time()
        self._lease_id = await self._store.grant_lease(LEASE_TTL_S)
        self._granted_at = requested_at

    def _get_age(self) -> float:
        return self._get_time() - self._granted_at

"""Leases of the store, with which the claims of a daemon expire."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from merlintrestle import clocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.requests import interfaces

# A claim expires with its lease. As a lease is used for new claims for one
# hour, each claim lives for 24 to 25 hours.
LEASE_TTL_S = 25 * 3600
_LEASE_REUSE_S = 3600.0
# The lease of a claim that is younger than this cannot have expired. One
# more hour is subtracted as a safety margin.
MAX_CLAIM_AGE_S = LEASE_TTL_S - _LEASE_REUSE_S - 3600.0


class ClaimLease:
    """The lease for new claims, which is replaced after one hour.

    A separate lease for each claim would double the writes to the store.
    """

    def __init__(
        self,
        store: interfaces.Store,
        get_time: Callable[[], float] = clocks.get_boot_time,
    ):
        """Sets the store and the clock, in seconds."""
        self._store = store
        self._get_time = get_time
        self._lease_id = 0
        # Time of the request for the lease. The lease is granted later, so it
        # never expires earlier than is computed from this time.
        self._requested_at = 0.0
        self._lock = asyncio.Lock()

    async def get_id(self) -> int:
        """Returns the id of the lease for a new claim.

        Raises:
            errors.StoreError: A new lease is needed and the store grants none.
        """
        if self._is_usable():
            return self._lease_id
        async with self._lock:
            if not self._is_usable():
                await self._renew()
        return self._lease_id

    def discard(self, lease_id: int) -> None:
        """Stops using a lease after a write under it has failed.

        A store that was restored may not know the lease and would refuse all
        claims until the lease is replaced, up to one hour later. If the write
        failed for another reason, this costs only one further lease.
        """
        if lease_id == self._lease_id:
            self._lease_id = 0

    async def _renew(self) -> None:
        requested_at = self._get_time()
        self._lease_id = await self._store.grant_lease(LEASE_TTL_S)
        self._requested_at = requested_at

    def _is_usable(self) -> bool:
        """Returns whether there is a lease that new claims may use.

        A lease of an earlier era may be gone, or be another daemon's now.
        """
        return (
            bool(self._lease_id)
            and self._store.era.has(self._lease_id)
            and self._get_age() < _LEASE_REUSE_S
        )

    def _get_age(self) -> float:
        return self._get_time() - self._requested_at

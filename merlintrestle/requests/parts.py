"""What the data path needs of the other parts of a daemon."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table
    from merlintrestle.store import client


class Holder(Protocol):
    """Holds the configuration version that runs.

    Attributes:
        running: The version that runs; None while the daemon is closed.
        closed_reason: Why it is closed.
    """

    running: snapshot.Snapshot | None
    closed_reason: str


class MemberTable(Protocol):
    """Knows the upstreams of each service."""

    def get_upstreams(self, service: str) -> tuple[table.Upstream, ...]:
        """Returns the upstreams of a service; the same tuple until changed."""

    def count_usable(self) -> int:
        """Returns the number of daemons that are not gone."""


class Store(Protocol):
    """What claims use of `store.client.StoreClient`."""

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key."""

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        """Writes a key if it still has the expected revision."""

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it still has the expected revision."""

    async def grant_lease(self, seconds: int) -> int:
        """Opens a lease."""

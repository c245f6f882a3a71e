"""What the data path needs of the other parts of a daemon."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table
    from merlintrestle.rollouts import subsets
    from merlintrestle.store import client


class ActiveVersion(Protocol):
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


class Observer(Protocol):
    """Hears what the own backend server answers while versions change."""

    def may_serve(self) -> bool:
        """Returns whether the own backend server is to get calls."""

    def record_answer(self, name: str, failed: bool, took_s: float) -> None:
        """Takes in an answer: its class, whether it failed, its seconds."""


class SubsetSelector(Protocol):
    """Chooses the upstreams of a send while versions change."""

    def choose(
        self, service: str, upstreams: tuple[table.Upstream, ...]
    ) -> subsets.Subset:
        """Returns where the next send of a call may go."""


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

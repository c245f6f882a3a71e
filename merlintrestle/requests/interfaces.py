"""Interfaces of the other parts of a daemon that the data path uses."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table
    from merlintrestle.rollouts import subsets
    from merlintrestle.store import client


class ActiveVersion(Protocol):
    """The configuration version that the daemon applies to requests.

    Attributes:
        running: The version in use; None while the daemon is closed.
        closed_reason: Why the daemon is closed.
    """

    running: snapshot.Snapshot | None
    closed_reason: str


class MemberTable(Protocol):
    """The members of the mesh, with the upstreams of each service."""

    def get_upstreams(self, service: str) -> tuple[table.Upstream, ...]:
        """Returns the upstreams of a service.

        It returns the same tuple until the upstreams change.
        """

    def count_usable(self) -> int:
        """Returns the number of daemons that are still members."""


class Observer(Protocol):
    """Observes the answers of the local backend server during a roll-out."""

    def may_serve(self) -> bool:
        """Returns whether the local backend server may serve calls."""

    def record_answer(
        self, class_name: str, failed: bool, duration_s: float
    ) -> None:
        """Records a finished call.

        Args:
            class_name: Class of work of the call.
            failed: Whether the call failed.
            duration_s: Duration of the call, in seconds.
        """


class SubsetSelector(Protocol):
    """Selects the upstreams of each attempt during a roll-out."""

    def choose(
        self, service: str, upstreams: tuple[table.Upstream, ...]
    ) -> subsets.Subset:
        """Returns the subset that the next attempt of a call may use."""


class Store(Protocol):
    """The methods of `store.client.StoreClient` that claims use."""

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key."""

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        """Writes a key if it still has the expected revision."""

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it still has the expected revision."""

    async def grant_lease(self, seconds: int) -> int:
        """Opens a lease and returns its id."""

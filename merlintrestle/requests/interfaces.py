"""Interfaces of the other packages that the data path uses."""

from __future__ import annotations

from typing import Protocol, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table
    from merlintrestle.requests.calls import outcomes
    from merlintrestle.rollouts import subsets
    from merlintrestle.store import client
    from merlintrestle.store import eras
    from merlintrestle.versions import confirmed_keys


class ActiveVersion(Protocol):
    """The active configuration version, which the daemon applies to requests.

    Attributes:
        active_snapshot: Snapshot of the active version. It is None while the
            daemon is closed, that is, while it refuses all calls because it has
            no version to apply.
        closed_reason: Why the daemon is closed; refusals contain it.
    """

    active_snapshot: snapshot.Snapshot | None
    closed_reason: str


class MemberTable(Protocol):
    """The members of the mesh, and the upstreams of each service."""

    def get_upstreams(self, service: str) -> tuple[table.Upstream, ...]:
        """Returns the upstreams of a service.

        Until these change, each call returns the same tuple object.
        """

    def count_daemons(self) -> int:
        """Returns the number of daemons that are still members."""


class Observer(Protocol):
    """Monitors the local backend server during a roll-out.

    It records the results of calls, and decides whether the version of the
    backend server may serve calls in the current phase.
    """

    def may_serve(self) -> bool:
        """Returns whether the local backend server may serve calls."""

    def record_call(
        self, class_name: str, failed: bool, duration_s: float
    ) -> None:
        """Records a finished call that ran or may have run.

        Args:
            class_name: Class of work of the call.
            failed: Whether it got a server error or no answer.
            duration_s: Duration of the call, in seconds.
        """


class SubsetSelector(Protocol):
    """Selects the upstreams that each attempt may use during a roll-out."""

    def choose(
        self, service: str, upstreams: tuple[table.Upstream, ...]
    ) -> subsets.Subset:
        """Returns the subset that the next attempt of a call may use.

        Args:
            service: Service that is called.
            upstreams: All upstreams of the service.
        """


class Freshness(Protocol):
    """Knows whether this daemon's active version is proven to be fresh."""

    def is_fresh(self) -> bool:
        """Returns whether requests with API keys may be admitted."""

    def is_behind(self) -> bool:
        """Returns whether a newer version is known that cannot be used."""

    def find_workspace(
        self, active_snapshot: snapshot.Snapshot, key_digest: bytes
    ) -> snapshot.Workspace | confirmed_keys.NoWorkspace:
        """Returns the workspace of an API key.

        Args:
            active_snapshot: Snapshot of the active version.
            key_digest: SHA-256 digest of the key.
        """


class Quotas(Protocol):
    """Spends tokens of the quotas of workspaces, one for each call.

    Only workspaces with a rate are passed.
    """

    def try_spend(self, workspace: snapshot.Workspace) -> bool:
        """Spends a token if one is in hand."""

    async def spend(
        self, workspace: snapshot.Workspace, timeout_s: float
    ) -> None | outcomes.NotRun:
        """Waits for a token and spends it.

        If this is cancelled, no token is spent.

        Args:
            workspace: The workspace.
            timeout_s: Maximum wait, in seconds.

        Returns:
            None if a token was spent; otherwise a refusal with status 429 if
            the quota is exceeded, and with 503 if that is not known.
        """

    def give_back(self, workspace: snapshot.Workspace, spent_at: float) -> None:
        """Returns the token of a call that did not run.

        Args:
            workspace: Workspace of the call.
            spent_at: When the call got the token, in seconds since boot.
        """


class Store(Protocol):
    """The part of `store.client.StoreClient` that claims use.

    Attributes:
        era: Era of the store.
    """

    era: eras.StoreEra

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

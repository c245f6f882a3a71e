"""Builders and fakes for tests of workspaces."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

from merlintrestle.documents import snapshot
from merlintrestle.versions import active_version
from merlintrestle.versions import confirmed_keys
from tests.requests import builders

if TYPE_CHECKING:
    from merlintrestle.requests.calls import outcomes


def build_workspace(
    name: str = "ijssel", *keys: str, **fields: Any
) -> snapshot.Workspace:
    """Builds a workspace; by default its only key is "key-" and its name."""
    digests = map(snapshot.hash_key, keys or (f"key-{name}",))
    return snapshot.Workspace(name, tuple(digests), **fields)


def build_snapshot(
    *workspaces: snapshot.Workspace,
    plans: dict[str, snapshot.ClassPlan] | None = None,
    anonymous_prefix: str = "",
) -> snapshot.Snapshot:
    """Builds the snapshot of a version with the service kassa.

    Args:
        *workspaces: The workspaces.
        plans: Plans of classes of work by path prefix.
        anonymous_prefix: Path prefix whose routes need no key; empty: none.
    """
    base = builders.build_snapshot(plans)
    service = base.services["kassa"]
    routes = {
        organisation: tuple(
            route._replace(anonymous=route.prefix == anonymous_prefix)
            for route in organisation_routes
        )
        for organisation, organisation_routes in service.routes.items()
    }
    return snapshot.Snapshot(
        1,
        {},
        {"kassa": service._replace(routes=routes)},
        workspaces={workspace.name: workspace for workspace in workspaces},
    )


def build_key_header(key: str = "key-ijssel") -> dict[str, str]:
    """Builds the header of a request with an API key."""
    return {"Authorization": f"Bearer {key}"}


class FakeFreshness:
    """A fake `interfaces.Freshness`.

    Attributes:
        fresh: Whether the active version is fresh.
        keys: Keys of an unusable version.
    """

    def __init__(self, fresh: bool = True):
        self.fresh = fresh
        self.keys = confirmed_keys.ConfirmedKeys(active_version.ActiveVersion())

    def is_fresh(self) -> bool:
        """Returns the attribute."""
        return self.fresh

    def is_behind(self) -> bool:
        """Returns whether there are keys of an unusable version."""
        return self.keys.get() is not None

    def find_workspace(
        self, active_snapshot: snapshot.Snapshot, key_digest: bytes
    ) -> snapshot.Workspace | confirmed_keys.NoWorkspace:
        """Returns the workspace of a key."""
        return self.keys.find_workspace(active_snapshot, key_digest)


class FakeQuotas:
    """A fake `interfaces.Quotas`.

    Attributes:
        tokens: Tokens in hand.
        refusal: Result of each wait for a token.
        timeouts_s: Timeouts of these waits, in seconds.
    """

    def __init__(self, tokens: int = 0, refusal: outcomes.NotRun | None = None):
        self.tokens = tokens
        self.refusal = refusal
        self.timeouts_s: list[float] = []

    def try_spend(self, workspace: snapshot.Workspace) -> bool:
        """Spends a token if there is one."""
        if not self.tokens:
            return False
        self.tokens -= 1
        return True

    async def spend(
        self, workspace: snapshot.Workspace, timeout_s: float
    ) -> outcomes.NotRun | None:
        """Returns the attribute `refusal`."""
        self.timeouts_s.append(timeout_s)
        return self.refusal

    def give_back(self, workspace: snapshot.Workspace, spent_at: float) -> None:
        """Adds a token."""
        self.tokens += 1

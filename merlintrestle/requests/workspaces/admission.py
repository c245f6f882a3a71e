"""Admission of requests to workspaces by API key, freshness and quota."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import plans
from merlintrestle.requests.workspaces import credentials
from merlintrestle.requests.workspaces import reasons
from merlintrestle.requests.workspaces import refusals
from merlintrestle.versions import confirmed_keys

if TYPE_CHECKING:
    from collections.abc import Callable

    import multidict

    from merlintrestle.documents import snapshot
    from merlintrestle.requests import interfaces
    from merlintrestle.requests.calls import routing

# Fraction of the latency target for which a call may wait for a quota token.
# The rest must be enough to run the call.
_MAX_WAIT_FRACTION = 0.25
_TOO_MANY_REQUESTS = 429

_UNKNOWN_KEY = outcomes.NotRun("the API key is missing or unknown", 401, None)
_STALE = outcomes.NotRun(
    "this daemon cannot prove that its API keys are up to date",
    elsewhere=True,
)


class Admitted(NamedTuple):
    """A request that may enter.

    Attributes:
        plan: Class of work of the call, with the importance of its workspace.
        workspace: Name of its workspace; empty if it is anonymous.
        charged: The workspace whose quota a token was taken from, if any.
        charged_at: When that was, in seconds since boot.
    """

    plan: snapshot.ClassPlan
    workspace: str = ""
    charged: snapshot.Workspace | None = None
    charged_at: float = 0.0


class QuotaWait(NamedTuple):
    """A request of a workspace that has no quota token in hand.

    Attributes:
        workspace: Its workspace.
        plan: Class of work of its route.
    """

    workspace: snapshot.Workspace
    plan: snapshot.ClassPlan


class AlwaysFresh:
    """An `interfaces.Freshness` without a limit."""

    def is_fresh(self) -> bool:
        """Returns True."""
        return True

    def is_behind(self) -> bool:
        """Returns False."""
        return False

    def find_workspace(
        self, active_snapshot: snapshot.Snapshot, key_digest: bytes
    ) -> snapshot.Workspace | confirmed_keys.NoWorkspace:
        """Returns the workspace in the active version."""
        return (
            active_snapshot.find_workspace(key_digest)
            or confirmed_keys.NoWorkspace.UNKNOWN
        )


class UnlimitedQuotas:
    """An `interfaces.Quotas` that admits every call."""

    def try_spend(self, workspace: snapshot.Workspace) -> bool:
        """Returns True."""
        return True

    async def spend(
        self, workspace: snapshot.Workspace, timeout_s: float
    ) -> outcomes.NotRun | None:
        """Returns None."""
        return None

    def give_back(self, workspace: snapshot.Workspace, spent_at: float) -> None:
        """Does nothing."""


class WorkspaceAdmission:
    """Decides whether a request may enter while API keys are required.

    Attributes:
        freshness: Knows whether the active version is fresh.
        quotas: Quotas of the workspaces.
        refusals: Counts the refusals.
    """

    def __init__(
        self,
        get_time: Callable[[], float],
        freshness: interfaces.Freshness | None = None,
        quotas: interfaces.Quotas | None = None,
    ):
        """Initializes the admission.

        Args:
            get_time: Returns a monotonic time, in seconds.
            freshness: Knows whether the active version is fresh; by default it
                always is.
            quotas: Quotas of the workspaces; by default there are none.
        """
        self.freshness = freshness or AlwaysFresh()
        self.quotas = quotas or UnlimitedQuotas()
        self.refusals = refusals.RefusalCounts(get_time)

    def admit(
        self,
        active_snapshot: snapshot.Snapshot,
        match: routing.Match,
        request_headers: multidict.MultiMapping[str],
    ) -> Admitted | QuotaWait | outcomes.NotRun:
        """Decides on a request; `active_snapshot` must require API keys.

        This is the only check: an admitted request may wait, be retried or run
        at another daemon later on.

        Args:
            active_snapshot: Snapshot of the active version.
            match: Destination of the request.
            request_headers: Headers of the request.

        Returns:
            `QuotaWait` if the decision must wait for a token, see `wait`.
        """
        digest = credentials.read_key_digest(request_headers)
        if digest is None and match.anonymous:
            return Admitted(match.plan)
        workspace = self.freshness.find_workspace(
            active_snapshot, digest or credentials.MALFORMED
        )
        if workspace is confirmed_keys.NoWorkspace.UNKNOWN:
            self.refusals.record(reasons.UNKNOWN_KEY)
            return _UNKNOWN_KEY
        if isinstance(workspace, confirmed_keys.NoWorkspace):
            self.refusals.record(reasons.STALE)
            return _STALE
        if not self.freshness.is_fresh():
            self.refusals.record(reasons.STALE, workspace.name)
            return _STALE
        if workspace.rate and not self.quotas.try_spend(workspace):
            return QuotaWait(workspace, match.plan)
        return _build_admitted(workspace, match.plan)

    async def wait(self, quota_wait: QuotaWait) -> Admitted | outcomes.NotRun:
        """Waits for a token, for a fraction of the latency target at most."""
        workspace, plan = quota_wait
        refusal = await self.quotas.spend(
            workspace, plan.latency_s * _MAX_WAIT_FRACTION
        )
        if refusal is None:
            return _build_admitted(workspace, plan)
        over_quota = refusal.status == _TOO_MANY_REQUESTS
        self.refusals.record(
            reasons.OVER_QUOTA if over_quota else reasons.NO_QUOTA_KNOWN,
            workspace.name,
        )
        return refusal

    def give_back(self, admitted: Admitted) -> None:
        """Returns the quota token of a call that did not run."""
        if admitted.charged is not None:
            self.quotas.give_back(admitted.charged, admitted.charged_at)


def get_refusal_cause(refusal: outcomes.NotRun) -> str:
    """Returns what a request was refused for: its key, freshness or quota."""
    if refusal is _UNKNOWN_KEY:
        return "key"
    return "freshness" if refusal is _STALE else "quota"


def _build_admitted(
    workspace: snapshot.Workspace, plan: snapshot.ClassPlan
) -> Admitted:
    if workspace.importance:
        plan = plans.replace_importance(plan, workspace.importance)
    if not workspace.rate:
        return Admitted(plan, workspace.name)
    return Admitted(plan, workspace.name, workspace, clocks.get_boot_time())

"""Workspaces in the status of the fleet: refusals and the quota coordinator."""

from __future__ import annotations

import collections
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from merlintrestle.operators import fleet
    from merlintrestle.schema import control_pb2

# Daemons report their ten busiest workspaces, which may differ.
_MAX_SHOWN = 20


class Refusals(NamedTuple):
    """Refusals of calls of one workspace, over all daemons.

    Attributes:
        workspace: Name of the workspace.
        over_quota: Calls per second that are over its quota.
        undecided: Calls per second whose quota no daemon could decide on.
        stale: Calls per second at daemons that refuse requests with API keys,
            as their version may be out of date.
        daemons: Number of daemons that refuse its calls.
    """

    workspace: str
    over_quota: float
    undecided: float
    stale: float
    daemons: int


class Coordinator(NamedTuple):
    """A quota coordinator that daemons know.

    Attributes:
        id: Member id of the coordinator; empty if none is known, or the latest
            one has given up its lease.
        epoch: Its epoch; 0 if none is known.
        daemons: Number of daemons for which it is the latest one.
        is_granting: Whether it says that it grants tokens.
    """

    id: str
    epoch: int
    daemons: int
    is_granting: bool


class WorkspaceStatus(NamedTuple):
    """Status of the workspaces.

    Attributes:
        coordinators: The coordinators that daemons know, latest first; one if
            all agree, none if no workspace has a quota.
        unknown_key: Calls per second without a known API key.
        refusals: The workspaces that are refused most, among the ten of each
            daemon; the most refused first.
    """

    coordinators: tuple[Coordinator, ...]
    unknown_key: float
    refusals: tuple[Refusals, ...]


def summarize(
    member_statuses: Iterable[fleet.MemberStatus],
) -> WorkspaceStatus | None:
    """Sums up what daemons report on workspaces.

    Returns:
        None if no daemon runs a version with workspaces.
    """
    replies = [
        (status.member.id, status.reply)
        for status in member_statuses
        if status.reply is not None
    ]
    refusals = [
        reply.refusals for _, reply in replies if reply.HasField("refusals")
    ]
    if not refusals:
        return None
    return WorkspaceStatus(
        _list_coordinators(replies),
        sum(
            _compute_rate(status.unknown_key, status.window_s)
            for status in refusals
        ),
        _sum_refusals(refusals),
    )


def _list_coordinators(
    replies: Iterable[tuple[str, control_pb2.StatusReply]],
) -> tuple[Coordinator, ...]:
    known: collections.Counter[tuple[int, str]] = collections.Counter()
    granting_ids = set()
    for member_id, reply in replies:
        if reply.HasField("quotas"):
            known[reply.quotas.epoch, reply.quotas.coordinator] += 1
            if reply.quotas.granting:
                granting_ids.add(member_id)
    return tuple(
        Coordinator(
            member_id,
            epoch,
            known[epoch, member_id],
            member_id in granting_ids,
        )
        for epoch, member_id in sorted(known, reverse=True)
    )


def _sum_refusals(
    statuses: Iterable[control_pb2.RefusalStatus],
) -> tuple[Refusals, ...]:
    sums: dict[str, Refusals] = {}
    for status in statuses:
        for one in status.workspaces:
            before = sums.get(
                one.workspace, Refusals(one.workspace, 0.0, 0.0, 0.0, 0)
            )
            window_s = status.window_s
            sums[one.workspace] = Refusals(
                one.workspace,
                before.over_quota + _compute_rate(one.over_quota, window_s),
                before.undecided + _compute_rate(one.undecided, window_s),
                before.stale + _compute_rate(one.stale, window_s),
                before.daemons + 1,
            )
    ranked = sorted(
        sums.values(),
        key=lambda one: (
            -(one.over_quota + one.undecided + one.stale),
            one.workspace,
        ),
    )
    return tuple(ranked[:_MAX_SHOWN])


def _compute_rate(count: int, window_s: float) -> float:
    # A daemon that has just started has a short window.
    return round(count / max(1.0, window_s), 2)

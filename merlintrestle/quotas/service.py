"""Quotas of this daemon: its tokens, and its part as the coordinator."""

from __future__ import annotations

import asyncio
import random
from typing import Any, TYPE_CHECKING

import mode
from prometheus_client import metrics_core

from merlintrestle import clocks
from merlintrestle import events as event_logs
from merlintrestle import supervision
from merlintrestle.members import accounting
from merlintrestle.quotas import account as accounts
from merlintrestle.quotas import allocation as allocations
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.quotas import election as elections
from merlintrestle.quotas import gossip as gossips
from merlintrestle.quotas import refills as refills_lib
from merlintrestle.schema import quota_pb2
from merlintrestle.schema import quota_pb2_grpc

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from merlintrestle.documents import snapshot
    from merlintrestle.members import membership as memberships
    from merlintrestle.requests.calls import outcomes
    from merlintrestle.schema import control_pb2
    from merlintrestle.versions import active_version as active_versions

events = event_logs.EventLog("quotas")

# Interval at which the active version is compared with the one in use.
_VERSION_INTERVAL_S = 0.25


class Quotas(mode.Service):
    """Decides whether a call is within the quota of its workspace.

    The requests and the election run while the active version has a workspace
    with a rate.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        active_version: active_versions.ActiveVersion,
        store: elections.Store,
        get_rank: Callable[[], int | None],
        bounds: bounds_lib.Bounds,
        get_time: Callable[[], float] = clocks.get_boot_time,
    ):
        """Connects the components.

        Args:
            membership: Links and peers.
            active_version: The active version, with the workspaces.
            store: Holds the lease of the coordinator.
            get_rank: Returns the number of candidates for the coordinator
                before this daemon; None if it is not a candidate.
            bounds: Bounds on the calls of each workspace.
            get_time: Returns the time in seconds, with suspended time counted.
        """
        super().__init__()
        self._active_version = active_version
        self._bounds = bounds
        self._get_time = get_time
        self._membership = membership
        table = membership.table
        self._member_id = table.local_id
        self.gossip = gossips.CoordinatorGossip(membership.links)
        self.election = elections.Election(
            store,
            self._member_id,
            get_rank,
            bounds.window_s,
            self._is_cut_off,
            get_time,
        )
        self.account = accounts.Account(get_time)
        self.refills = refills_lib.Refills(
            self.account,
            self.gossip,
            self._send,
            self._member_id,
            random.getrandbits(64),
            bounds,
            get_time,
        )
        self._send_to_peer = refills_lib.build_sender(membership.peers)
        self._allocation: allocations.Allocation | None = None
        self._configured: snapshot.Snapshot | None = None
        self._granted_before = 0
        self._is_retired = False
        self._refill_task: asyncio.Task[None] | None = None
        self._election_task: asyncio.Task[None] | None = None
        self.gossip.on_change.append(self._handle_change)
        self.refills.on_unavailable = self.election.hurry
        self.election.on_seen = self.gossip.learn
        self.election.on_begin = self._begin_term
        self.election.on_end = self._end_term

    def try_spend(self, workspace: snapshot.Workspace) -> bool:
        """Spends a token for a call, if there is one or no quota."""
        return workspace.rate <= 0 or self.account.try_spend(workspace.name)

    async def spend(
        self, workspace: snapshot.Workspace, timeout_s: float
    ) -> None | outcomes.NotRun:
        """Spends a token for a call, and waits for it if necessary.

        Args:
            workspace: Workspace of the call.
            timeout_s: Longest wait, in seconds.

        Returns:
            None if the call is within the quota; otherwise the refusal.
        """
        if self.try_spend(workspace):
            return None
        return await self.refills.spend(workspace, timeout_s)

    def give_back(
        self, workspace: snapshot.Workspace, spent_at: float | None = None
    ) -> None:
        """Returns the token of a call that certainly did not run.

        Args:
            workspace: Workspace of the call.
            spent_at: Time since boot at which the token was spent, if known.
        """
        if workspace.rate > 0:
            self.account.give_back(workspace.name, spent_at)

    def answer(self, request: quota_pb2.RefillRequest) -> quota_pb2.RefillReply:
        """Grants tokens to a daemon if this one is the coordinator."""
        allocation = self._allocation
        if allocation is None or not self.election.may_grant():
            return quota_pb2.RefillReply(epoch=self.gossip.epoch)
        self._configure(allocation)
        return allocation.answer(request)

    def add_status(self, reply: control_pb2.StatusReply) -> None:
        """Adds to a status which daemon is the quota coordinator."""
        if not self._has_rates():
            return
        reply.quotas.epoch = self.gossip.epoch
        reply.quotas.coordinator = self.gossip.member_id
        reply.quotas.granting = self.election.may_grant()

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yields the metrics."""
        granted = self._granted_before
        if self._allocation is not None:
            granted += self._allocation.granted
        for name, text, value in (
            ("granted", "Tokens granted as the coordinator.", granted),
            ("spent", "Tokens spent for calls.", self.account.spent),
            ("expired", "Tokens not spent.", self.account.expired),
        ):
            yield metrics_core.CounterMetricFamily(
                f"merlintrestle_quota_tokens_{name}", text, value=value
            )
        refusals = metrics_core.CounterMetricFamily(
            "merlintrestle_quota_refusals",
            "Calls refused over the quota, or as no daemon could decide.",
            labels=("reason",),
        )
        refusals.add_metric(("over",), self.account.refused)
        refusals.add_metric(("undecided",), self.refills.refused)
        yield refusals
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_quota_coordinator",
            "1 while this daemon is the quota coordinator.",
            value=int(self.election.may_grant()),
        )
        yield metrics_core.GaugeMetricFamily(
            "merlintrestle_quota_epoch",
            "Epoch of the quota coordinator; 0: none is known.",
            value=self.gossip.epoch,
        )

    async def retire(self) -> None:
        """Gives up the lease and takes no further part in the election.

        Calls that are still served get tokens from the next coordinator.
        """
        self._is_retired = True
        await self._cancel(self._election_task)
        self._election_task = None
        await self.election.release()

    async def on_stop(self) -> None:
        """Ends the tasks; a coordinator releases its lease."""
        await self._stop_tasks()

    @mode.Service.task
    @supervision.restart_on_failure
    async def _follow_version(self) -> None:
        while not self.should_stop:
            if self._has_rates():
                self._start_tasks()
            elif self._refill_task is not None:
                await self._stop_tasks()
            if self._allocation is not None:
                self._configure(self._allocation)
            await self.sleep(_VERSION_INTERVAL_S)

    def _has_rates(self) -> bool:
        active = self._active_version.active_snapshot
        if active is None or not active.workspaces:
            return False
        return any(
            workspace.rate > 0 for workspace in active.workspaces.values()
        )

    def _start_tasks(self) -> None:
        """Starts the tasks, each again if it has failed."""
        if not _is_running(self._refill_task):
            self._refill_task = asyncio.create_task(self.refills.run())
        if not self._is_retired and not _is_running(self._election_task):
            self._election_task = asyncio.create_task(self.election.run())

    async def _stop_tasks(self) -> None:
        for task in (self._refill_task, self._election_task):
            await self._cancel(task)
        self._refill_task = self._election_task = None
        await self.election.release()

    async def _cancel(self, task: asyncio.Task[None] | None) -> None:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    def _is_cut_off(self) -> bool:
        return (
            self._membership.table.count_daemons() > 1
            and self._membership.is_isolated()
        )

    async def _send(
        self, member_id: str, request: quota_pb2.RefillRequest
    ) -> quota_pb2.RefillReply:
        if member_id == self._member_id:
            return self.answer(request)
        return await self._send_to_peer(member_id, request)

    def _configure(self, allocation: allocations.Allocation) -> None:
        active = self._active_version.active_snapshot
        if active is not None and active is not self._configured:
            self._configured = active
            allocation.configure(active.workspaces)

    def _begin_term(self, term: elections.Term) -> None:
        self._allocation = allocations.Allocation(
            term.epoch,
            self._bounds,
            term.starts_at,
            term.settled_at,
            self._get_time,
            term.starts_full,
        )
        self._configured = None
        self._configure(self._allocation)
        self.gossip.learn(term.epoch, self._member_id)

    def _end_term(self, epoch: int) -> None:
        if self._allocation is not None:
            self._granted_before += self._allocation.granted
            self._allocation = None
        self.gossip.learn(epoch, "")

    def _handle_change(self) -> None:
        events.note(
            "quota coordinator known",
            epoch=self.gossip.epoch,
            member=self.gossip.member_id,
        )
        if self.gossip.member_id:
            self.refills.handle_new_coordinator()
        else:
            self.election.handle_release()


class QuotaServicer(quota_pb2_grpc.QuotasServicer):
    """Answers requests for tokens."""

    def __init__(self, quotas: Quotas):
        """Initializes the servicer with the quotas of this daemon."""
        self._quotas = quotas

    async def Refill(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Grants tokens if this daemon is the coordinator."""
        del context
        overhead = accounting.CALL_OVERHEAD_BYTES
        accounting.count_received("Refill", request, overhead)
        reply = self._quotas.answer(request)
        accounting.count_sent("Refill", reply, overhead)
        return reply


def _is_running(task: asyncio.Task[None] | None) -> bool:
    """Returns whether a task runs; logs why it has failed."""
    if task is None:
        return False
    if task.done() and not task.cancelled():
        events.fail("quota task failed", error=repr(task.exception()))
    return not task.done()

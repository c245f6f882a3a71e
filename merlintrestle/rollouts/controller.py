"""Controller that accepts orders of roll-outs and writes their states."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle import supervision
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from merlintrestle.rollouts import observer as observers
    from merlintrestle.rollouts import progress as progresses
    from merlintrestle.rollouts import storage as storages
    from merlintrestle.rollouts import tracker as trackers

events = event_logs.EventLog("rollouts")

# Interval between two updates of the open roll-outs, in seconds.
_UPDATE_INTERVAL_S = 0.25
# A daemon writes a state after its rank times this delay, in seconds, so that
# usually only the first daemon (rank 0) writes.
_WRITE_DELAY_PER_RANK_S = 0.3
# Time until a daemon that knows a replaced order writes its state again, in
# seconds. It mostly hears of the later order before that.
_REPLACED_ORDER_DELAY_S = 1.0
# Maximum time to wait until the old version is drained, in seconds. Daemons
# that are cut off from the others cannot report a drained backend server.
_DRAIN_TIMEOUT_S = 3.5


class RolloutController(mode.Service):
    """Updates the open roll-outs regularly, and writes their states.

    Every daemon updates the phase of each roll-out from the reports that it
    knows. The daemons that read the store for their availability zone also
    accept orders and write states. They may write concurrently, since the
    storage keeps the first final state.
    """

    def __init__(
        self,
        tracker: trackers.RolloutTracker,
        observer: observers.Observer,
        storage: storages.RolloutStorage,
        get_write_rank: Callable[[], int | None],
    ):
        """Initializes the controller.

        Args:
            tracker: Tracks the roll-outs of all services.
            observer: Observes the local backend server.
            storage: Reads and writes the records in the store.
            get_write_rank: Returns the number of daemons that write states
                before this one, or None if this daemon does not write.
        """
        super().__init__()
        self._tracker = tracker
        self._observer = observer
        self._storage = storage
        self._get_write_rank = get_write_rank
        self._handled_orders: set[tuple[str, int]] = set()
        self._write_at: dict[tuple[str, int, int], float] = {}

    async def handle_orders(
        self, orders: Iterable[control_pb2.Rollout]
    ) -> None:
        """Merges orders from the store into the tracker.

        The state of an order is read before the order is gossiped. Otherwise, a
        roll-out that ended before a restart of all daemons would start again.

        Args:
            orders: The orders, including those merged before.

        Raises:
            errors.StoreError: The store did not answer.
        """
        for order in orders:
            key = (order.service, order.number)
            if key in self._handled_orders:
                continue
            known = self._tracker.get(order.service)
            if known is None or known.rollout.number <= order.number:
                order.state = await self._storage.read_state(order)
                self._tracker.merge_rollout(order)
                await self._restore_state(order)
            self._handled_orders.add(key)

    async def _restore_state(self, order: control_pb2.Rollout) -> None:
        """Writes the final state of an order that the store has lost.

        Args:
            order: The order, with its state in the store.
        """
        progress = self._tracker.get(order.service)
        if (
            progress is not None
            and progress.rollout.number == order.number
            and progress.rollout.state in records.FINAL_STATES
            and order.state not in records.FINAL_STATES
        ):
            await self._storage.write_state(order, progress.rollout.state)

    async def write_state(self, progress: progresses.Progress) -> None:
        """Writes the state of a roll-out if it has changed.

        The daemon waits according to its rank before it writes. A failed write
        is logged, and repeated on the next update.
        """
        state = self._choose_state(progress)
        rank = self._get_write_rank()
        if state is None or rank is None:
            return
        rollout = progress.rollout
        now = asyncio.get_running_loop().time()
        key = (rollout.service, rollout.number, state)
        write_at = self._write_at.setdefault(
            key, now + rank * _WRITE_DELAY_PER_RANK_S
        )
        if now < write_at:
            return
        try:
            written = await self._storage.write_state(rollout, state)
        except errors.StoreError as error:
            events.warn(
                "state not written",
                service=rollout.service,
                state=control_pb2.RolloutState.Name(state).lower(),
                error=str(error),
            )
            return
        if written == control_pb2.ROLLOUT_STATE_UNSPECIFIED:
            self._write_at[key] = now + _REPLACED_ORDER_DELAY_S
            return
        updated = control_pb2.Rollout()
        updated.CopyFrom(rollout)
        updated.state = written
        self._tracker.merge_rollout(updated)

    @mode.Service.task
    @supervision.restart_on_failure
    async def _update_periodically(self) -> None:
        while not self.should_stop:
            await self.sleep(_UPDATE_INTERVAL_S)
            for progress in self._tracker.list_open():
                self._tracker.update(progress.rollout.service)
            self._observer.update()
            for progress in self._tracker.list_open():
                await self.write_state(progress)

    def _choose_state(
        self, progress: progresses.Progress
    ) -> control_pb2.RolloutState | None:
        """Returns the state to write, or None if the state does not change."""
        if progress.phase is analysis.Phase.BACK:
            return control_pb2.ROLLED_BACK
        if progress.phase is analysis.Phase.NEW and self._may_complete(
            progress
        ):
            return control_pb2.COMPLETE
        if progress.rollout.state < control_pb2.RUNNING:
            return control_pb2.RUNNING
        return None

    def _may_complete(self, progress: progresses.Progress) -> bool:
        """Returns whether a roll-out may be declared complete.

        This requires that all backend servers of the old version are drained,
        or that the drain timeout has passed. They are stopped as soon as the
        roll-out is complete, and calls that are still in flight to them are
        then lost.
        """
        undrained_ids = [
            member_id
            for member_id in progress.old_ids
            if not progress.is_drained(member_id)
        ]
        return (
            not undrained_ids
            or self._tracker.get_phase_age(progress) >= _DRAIN_TIMEOUT_S
        )

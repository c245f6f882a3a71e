"""Controller of roll-outs: accepts orders and writes their states."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import mode

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.rollouts import analysis
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
# Time that a daemon waits with a state for each daemon whose turn to write is
# earlier, in seconds.
_WRITE_TURN_S = 0.3
# Longest wait for the old version to be drained, in seconds. Daemons that are
# cut off from the others cannot report that they are drained.
_DRAIN_TIMEOUT_S = 3.5


class RolloutController(mode.Service):
    """Advances the roll-outs at this daemon.

    Every daemon evaluates what its observer has recorded. The daemons that read
    the store for their availability zone also accept orders and write states.
    They may write at once: the storage keeps the first end.
    """

    def __init__(
        self,
        tracker: trackers.RolloutTracker,
        observer: observers.Observer,
        storage: storages.RolloutStorage,
        get_turn: Callable[[], int | None],
    ):
        """Sets the roll-outs and their storage.

        Args:
            tracker: The roll-outs.
            observer: The observer of the local backend server.
            storage: The records in the store.
            get_turn: Returns how many daemons write before this one; None: this
                one does not write.
        """
        super().__init__()
        self._tracker = tracker
        self._observer = observer
        self._storage = storage
        self._get_turn = get_turn
        self._handled: set[tuple[str, int]] = set()
        self._write_at: dict[tuple[str, int, int], float] = {}

    async def handle_orders(
        self, orders: Iterable[control_pb2.Rollout]
    ) -> None:
        """Merges orders from the store into the tracker.

        The state of an order is read before the order is gossiped, so that one
        that ended before a restart of the whole fleet does not start again.

        Raises:
            errors.StoreError: The store did not answer.
        """
        for order in orders:
            key = (order.service, order.number)
            if key in self._handled:
                continue
            known = self._tracker.get(order.service)
            if known is None or known.rollout.number < order.number:
                order.state = await self._storage.read_state(order)
                self._tracker.merge_rollout(order)
            self._handled.add(key)

    async def write_state(self, progress: progresses.Progress) -> None:
        """Writes the state of a roll-out if it is due and this daemon's turn.

        A failed write is logged; the next update tries again.
        """
        state = self._choose_state(progress)
        turn = self._get_turn()
        if state is None or turn is None:
            return
        rollout = progress.rollout
        now = asyncio.get_running_loop().time()
        write_at = self._write_at.setdefault(
            (rollout.service, rollout.number, state), now + turn * _WRITE_TURN_S
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
        updated = control_pb2.Rollout()
        updated.CopyFrom(rollout)
        updated.state = written
        self._tracker.merge_rollout(updated)

    @mode.Service.task
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
        """Returns the state to write; None: the written one is current."""
        if progress.phase is analysis.Phase.BACK:
            return control_pb2.ROLLED_BACK
        if progress.phase is analysis.Phase.NEW and self._is_drained(progress):
            return control_pb2.COMPLETE
        if progress.rollout.state < control_pb2.RUNNING:
            return control_pb2.RUNNING
        return None

    def _is_drained(self, progress: progresses.Progress) -> bool:
        """Returns whether the old version's backend servers may be stopped.

        They are stopped as soon as the roll-out is complete; a call that is
        still on its way to one of them is then lost.
        """
        not_drained = [
            name for name in progress.old_ids if not progress.is_drained(name)
        ]
        return (
            not not_drained
            or self._tracker.get_phase_age(progress) >= _DRAIN_TIMEOUT_S
        )

"""The keeper: takes orders from the store and writes how they ended."""

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
    from merlintrestle.rollouts import storage as registers
    from merlintrestle.rollouts import tracker as books

events = event_logs.EventLog("rollouts")

# Time between two looks at the roll-outs, in seconds.
_LOOK_S = 0.25
# Wait of a daemon that is not the first to write an end, for each one before.
_TURN_S = 0.3
# Longest wait for the version before to have no calls any more, in seconds.
# Daemons that are cut off do not say so, and cannot be waited for.
_DRAIN_S = 3.5


class RolloutController(mode.Service):
    """Keeps the roll-outs going at this daemon.

    Every daemon looks at what it saw itself; those that read the store for
    their availability zone take in orders and write the ends. They may race:
    the register lets one end stand.
    """

    def __init__(
        self,
        book: books.RolloutTracker,
        observer: observers.Observer,
        register: registers.RolloutStorage,
        get_turn: Callable[[], int | None],
    ):
        """Sets the parts.

        Args:
            book: The roll-outs.
            observer: What is seen of the own backend server.
            register: The store's records.
            get_turn: Returns how many daemons write before this one; None: it
                leaves that to others.
        """
        super().__init__()
        self._book = book
        self._observer = observer
        self._register = register
        self._get_turn = get_turn
        self._handled: set[tuple[str, int]] = set()
        self._due: dict[tuple[str, int, int], float] = {}

    async def handle_orders(
        self, orders: Iterable[control_pb2.Rollout]
    ) -> None:
        """Takes in orders as the store has them.

        How an order ended is read before it is told to others: one that ended
        before this fleet was started anew is not begun again.

        Raises:
            errors.StoreError: The store did not answer.
        """
        for order in orders:
            key = (order.service, order.number)
            if key in self._handled:
                continue
            known = self._book.get(order.service)
            if known is None or known.rollout.number < order.number:
                order.state = await self._register.read_state(order)
                self._book.merge_rollout(order)
            self._handled.add(key)

    async def write(self, progress: progresses.Progress) -> None:
        """Writes the state that a roll-out has come to, when it is time."""
        state = self._choose_state(progress)
        turn = self._get_turn()
        if state is None or turn is None:
            return
        rollout = progress.rollout
        now = asyncio.get_running_loop().time()
        due = self._due.setdefault(
            (rollout.service, rollout.number, state), now + turn * _TURN_S
        )
        if now < due:
            return
        try:
            written = await self._register.write_state(rollout, state)
        except errors.StoreError as error:
            events.warn(
                "state not written",
                service=rollout.service,
                state=control_pb2.RolloutState.Name(state).lower(),
                error=str(error),
            )
            return
        told = control_pb2.Rollout()
        told.CopyFrom(rollout)
        told.state = written
        self._book.merge_rollout(told)

    @mode.Service.task
    async def _look(self) -> None:
        while not self.should_stop:
            await self.sleep(_LOOK_S)
            for progress in self._book.list_open():
                self._book.update(progress.rollout.service)
            self._observer.update()
            for progress in self._book.list_open():
                await self.write(progress)

    def _choose_state(
        self, progress: progresses.Progress
    ) -> control_pb2.RolloutState | None:
        """Returns the state to write; None: the one written still holds."""
        if progress.phase is analysis.Phase.BACK:
            return control_pb2.ROLLED_BACK
        if progress.phase is analysis.Phase.NEW and self._is_drained(progress):
            return control_pb2.COMPLETE
        if progress.rollout.state < control_pb2.RUNNING:
            return control_pb2.RUNNING
        return None

    def _is_drained(self, progress: progresses.Progress) -> bool:
        """Returns whether the version before may be stopped.

        It stops at once: a call that is still on its way there is lost.
        """
        waiting = [
            name for name in progress.before if not progress.is_drained(name)
        ]
        return not waiting or self._book.get_phase_age(progress) >= _DRAIN_S

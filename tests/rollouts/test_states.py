"""Property test of roll-outs: whatever races, there is one end."""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from merlintrestle.requests import backend as backends
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import controller as keepers
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import records
from merlintrestle.rollouts import storage as registers
from merlintrestle.rollouts import tracker as books
from merlintrestle.schema import control_pb2
from tests.rollouts import builders

_DAEMONS = 3
_daemons = strategies.integers(0, _DAEMONS - 1)
_FORM = registers.DefaultFormat()


class _Daemon:
    """One daemon that judges and writes, and what it knows."""

    def __init__(self, store: builders.FakeStore, clock: builders.Clock):
        upstreams = builders.build_upstreams(2, 2)
        self.book = books.RolloutTracker(lambda service: upstreams, clock)
        self.register = registers.RolloutStorage(store, _FORM)
        observer = observers.Observer(
            self.book, backends.LocalBackend(), lambda: "", lambda: 0, clock
        )
        self.keeper = keepers.RolloutController(
            self.book, observer, self.register, lambda: 0
        )


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Daemons that hear of evidence in any order, restart and race."""

    def __init__(self) -> None:
        super().__init__()
        self.store = builders.FakeStore()
        self.clock = builders.Clock()
        self.daemons = [
            _Daemon(self.store, self.clock) for _ in range(_DAEMONS)
        ]
        self.ends: dict[int, set[int]] = {}
        self.order()

    @stateful.rule()
    def order(self) -> None:
        """The operator orders the roll-out, perhaps once more."""
        order = builders.build_rollout(number=0, within_ms=10_000)
        self.store.write(
            registers.ORDER_PREFIX + builders.SERVICE,
            order.SerializeToString(),
        )

    @stateful.rule(daemon=_daemons)
    def read(self, daemon: int) -> None:
        """A daemon reads the orders."""

        async def run() -> None:
            one = self.daemons[daemon]
            orders = await one.register.read_orders()
            await one.keeper.handle_orders(orders)

        asyncio.run(run())

    @stateful.rule(
        daemon=_daemons,
        server=strategies.integers(1, 2),
        calls=strategies.sampled_from([0, 30, 400]),
        watched_ms=strategies.sampled_from([100, 3_500, 6_000]),
        suspect=strategies.booleans(),
    )
    def see(
        self,
        daemon: int,
        server: int,
        calls: int,
        watched_ms: int,
        suspect: bool,
    ) -> None:
        """A daemon hears what was seen of a backend server."""
        progress = self.daemons[daemon].book.get(builders.SERVICE)
        if progress is not None:
            trial = builders.build_trial(
                f"10.0.1.{server}:7600",
                calls,
                number=progress.rollout.number,
                watched_ms=watched_ms,
                suspect=suspect,
            )
            self.daemons[daemon].book.merge_trial(trial)

    @stateful.rule(daemon=_daemons, other=_daemons)
    def tell(self, daemon: int, other: int) -> None:
        """A daemon tells another all that it knows."""
        book = self.daemons[daemon].book
        told = [builders.copy(one) for one in book.list_rollouts()]
        self.daemons[other].book.merge(told, book.list_trials())

    @stateful.rule(daemon=_daemons, lost=strategies.booleans())
    def write(self, daemon: int, lost: bool) -> None:
        """A daemon writes what it has come to; the answer may be lost."""

        async def run() -> None:
            one = self.daemons[daemon]
            for progress in one.book.list_open():
                await one.keeper.write(progress)

        self.store.lose = int(lost)
        asyncio.run(run())
        self.store.lose = 0

    @stateful.rule(seconds=strategies.sampled_from([0.5, 4.0, 10.0]))
    def wait(self, seconds: float) -> None:
        """Time passes."""
        self.clock.now += seconds
        for daemon in self.daemons:
            daemon.book.update(builders.SERVICE)

    @stateful.rule(daemon=_daemons)
    def restart(self, daemon: int) -> None:
        """A daemon forgets everything."""
        self.daemons[daemon] = _Daemon(self.store, self.clock)

    @stateful.invariant()
    def one_end(self) -> None:
        """The store states one end of each order, and nobody another."""
        entry = self.store.entries.get(
            registers.STATE_PREFIX + builders.SERVICE
        )
        if entry is not None:
            written = control_pb2.Rollout.FromString(entry.value)
            self.note_end(written)
        for daemon in self.daemons:
            for rollout in daemon.book.list_rollouts():
                self.note_end(rollout)

    @stateful.invariant()
    def nothing_goes_to_what_was_ended(self) -> None:
        """No daemon serves by a version that it knows to have ended."""
        for daemon in self.daemons:
            progress = daemon.book.get(builders.SERVICE)
            if progress is None or not progress.ended:
                continue
            complete = progress.rollout.state == control_pb2.COMPLETE
            phase = analysis.Phase.NEW if complete else analysis.Phase.BACK
            assert progress.phase is phase

    def note_end(self, rollout: control_pb2.Rollout) -> None:
        """Notes an end; there may be no other of the same order."""
        if rollout.state in records.ENDED:
            ends = self.ends.setdefault(rollout.number, set())
            ends.add(rollout.state)
            assert len(ends) == 1, "two ends of one order"


class StatesTest(unittest.TestCase):
    def test_there_is_one_end(self):
        """Guards against a roll-back after the old version was stopped."""
        stateful.run_state_machine_as_test(
            RolloutMachine,
            settings=hypothesis.settings(
                max_examples=60, stateful_step_count=30, deadline=None
            ),
        )

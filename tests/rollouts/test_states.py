"""State-machine test of the final state of an order.

Every order must have one final state, even if daemons write concurrently,
restart, or receive reports in a different sequence.
"""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from merlintrestle.requests import backend as backends
from merlintrestle.rollouts import analysis
from merlintrestle.rollouts import controller as controllers
from merlintrestle.rollouts import observer as observers
from merlintrestle.rollouts import records
from merlintrestle.rollouts import storage as storages
from merlintrestle.rollouts import tracker as trackers
from merlintrestle.schema import control_pb2
from tests.rollouts import builders

_DAEMONS = 3
_daemons = strategies.integers(0, _DAEMONS - 1)
_FORMAT = storages.DefaultFormat()


class _Daemon:
    """Daemon that tracks roll-outs and writes their states."""

    def __init__(self, store: builders.FakeStore, clock: builders.FakeClock):
        upstreams = builders.build_upstreams(2, 2)
        self.tracker = trackers.RolloutTracker(lambda service: upstreams, clock)
        self.storage = storages.RolloutStorage(store, _FORMAT)
        observer = observers.Observer(
            self.tracker, backends.LocalBackend(), lambda: "", lambda: 0, clock
        )
        self.controller = controllers.RolloutController(
            self.tracker, observer, self.storage, lambda: 0
        )


class RolloutStateMachine(stateful.RuleBasedStateMachine):
    """Daemons with a common store, during the roll-outs of one service.

    Attributes:
        store: The store.
        clock: The clock of all daemons.
        daemons: The daemons.
        final_states: The final states that were seen of each order, by its
            number.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = builders.FakeStore()
        self.clock = builders.FakeClock()
        self.daemons = [
            _Daemon(self.store, self.clock) for _ in range(_DAEMONS)
        ]
        self.final_states: dict[int, set[int]] = {}
        self.write_order()

    @stateful.rule()
    def write_order(self) -> None:
        """The operator orders the roll-out, possibly again."""
        order = builders.build_rollout(number=0, within_ms=10_000)
        self.store.write(
            storages.ORDER_PREFIX + builders.SERVICE,
            order.SerializeToString(),
        )

    @stateful.rule(daemon=_daemons)
    def read_orders(self, daemon: int) -> None:
        """A daemon reads the orders."""

        async def run() -> None:
            reader = self.daemons[daemon]
            orders = await reader.storage.read_orders()
            await reader.controller.handle_orders(orders)

        asyncio.run(run())

    @stateful.rule(
        daemon=_daemons,
        server=strategies.integers(1, 2),
        calls=strategies.sampled_from([0, 30, 400]),
        watched_ms=strategies.sampled_from([100, 3_500, 6_000]),
        suspect=strategies.booleans(),
    )
    def receive_report(
        self,
        daemon: int,
        server: int,
        calls: int,
        watched_ms: int,
        suspect: bool,
    ) -> None:
        """A daemon receives the report of a backend server."""
        progress = self.daemons[daemon].tracker.get(builders.SERVICE)
        if progress is not None:
            report = builders.build_report(
                f"10.0.1.{server}:7600",
                calls,
                number=progress.rollout.number,
                watched_ms=watched_ms,
                suspect=suspect,
            )
            self.daemons[daemon].tracker.merge_report(report)

    @stateful.rule(daemon=_daemons, receiver=_daemons)
    def gossip(self, daemon: int, receiver: int) -> None:
        """A daemon sends all its orders and reports to another daemon."""
        tracker = self.daemons[daemon].tracker
        orders = [builders.copy(rollout) for rollout in tracker.list_rollouts()]
        self.daemons[receiver].tracker.merge(orders, tracker.list_reports())

    @stateful.rule(daemon=_daemons, lost=strategies.booleans())
    def write_states(self, daemon: int, lost: bool) -> None:
        """A daemon writes the states; the reply to the first may be lost."""

        async def run() -> None:
            writer = self.daemons[daemon]
            for progress in writer.tracker.list_open():
                await writer.controller.write_state(progress)

        key = storages.STATE_PREFIX + builders.SERVICE
        self.store.lost_answers[key] = int(lost)
        asyncio.run(run())
        self.store.lost_answers.clear()

    @stateful.rule(duration_s=strategies.sampled_from([0.5, 4.0, 10.0]))
    def wait(self, duration_s: float) -> None:
        """Time passes, and all daemons update the phase."""
        self.clock.now += duration_s
        for daemon in self.daemons:
            daemon.tracker.update(builders.SERVICE)

    @stateful.rule(daemon=_daemons)
    def restart(self, daemon: int) -> None:
        """A daemon restarts and loses its state."""
        self.daemons[daemon] = _Daemon(self.store, self.clock)

    @stateful.invariant()
    def every_order_has_one_final_state(self) -> None:
        """The store and the daemons agree on one final state of each order."""
        entry = self.store.entries.get(storages.STATE_PREFIX + builders.SERVICE)
        if entry is not None:
            written = control_pb2.Rollout.FromString(entry.value)
            self.record_final_state(written)
        for daemon in self.daemons:
            for rollout in daemon.tracker.list_rollouts():
                self.record_final_state(rollout)

    @stateful.invariant()
    def phase_matches_final_state(self) -> None:
        """The phase at each daemon matches the final state that it knows."""
        for daemon in self.daemons:
            progress = daemon.tracker.get(builders.SERVICE)
            if progress is None or not progress.ended:
                continue
            complete = progress.rollout.state == control_pb2.COMPLETE
            phase = analysis.Phase.NEW if complete else analysis.Phase.BACK
            assert progress.phase is phase

    def record_final_state(self, rollout: control_pb2.Rollout) -> None:
        """Records a final state; an order must not have two."""
        if rollout.state in records.FINAL_STATES:
            final_states = self.final_states.setdefault(rollout.number, set())
            final_states.add(rollout.state)
            assert len(final_states) == 1, "two final states of one order"


class RolloutStatesTest(unittest.TestCase):
    def test_every_order_has_one_final_state(self):
        """Guards against a rollback after the old version was stopped."""
        stateful.run_state_machine_as_test(
            RolloutStateMachine,
            settings=hypothesis.settings(
                max_examples=60, stateful_step_count=30, deadline=None
            ),
        )

"""Tests of at-most-once execution under arbitrary sequences of faults."""

from __future__ import annotations

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.unrepeatable import claims
from tests.requests import builders
from tests.requests import fakes
from tests.requests import interleaving

_DAEMON = strategies.integers(0, 2)
# Kinds of actions, each with its weight and the values of its argument. Each
# action also has the number of a daemon, which some kinds do not use. The kinds
# are, with their arguments:
#   send: a caller sends a payout to the daemon; 1 or 0 for the key "a" or "b"
#   release: a pending step of the daemon is resumed; the index of the step
#   crash: the daemon is replaced by one without state
#   freeze: the daemon is suspended, or resumed if it is suspended
#   fault: a later store request has a fault; index in _FAULTS
#   late: the store executes the writes that were delayed by `Fault.DELAYED`
#   fate: result of a later request at a backend server; index in
#       _BACKEND_RESULTS
#   wait: time passes; seconds
_ACTION_KINDS: list[tuple[str, int, list[int]]] = [
    ("send", 4, [1, 1, 1, 0]),
    ("release", 8, [0, 0, 1, 2]),
    ("crash", 1, [0]),
    ("freeze", 2, [0]),
    ("fault", 2, [1, 2, 3, 4]),
    ("late", 1, [0]),
    ("fate", 2, [0, 1, 2]),
    ("wait", 1, [3, 30, 26 * 3600]),
]
_ACTION = strategies.sampled_from(
    [
        # Each kind has 12 entries for each unit of its weight, however many
        # arguments it has.
        (kind, argument)
        for kind, weight, arguments in _ACTION_KINDS
        for _ in range(weight)
        for argument in arguments * (12 // len(arguments))
    ]
).flatmap(
    lambda kind_and_argument: strategies.tuples(
        strategies.just(kind_and_argument[0]),
        _DAEMON,
        strategies.just(kind_and_argument[1]),
    )
)
_BACKEND_RESULTS = ("answered", "refused", "broken")
# Index 1 is REQUEST_LOST, 2 is REPLY_LOST, 3 is DELAYED, and 4 is STALE_READ.
_FAULTS = list(fakes.Fault)
# Minimum time for which a claim is kept, in seconds.
_MIN_CLAIM_LIFETIME_S = 23 * 3600


async def simulate(
    actions: list[tuple[str, int, int]],
) -> interleaving.Simulation:
    """Simulates actions on three daemons, then lets all calls end.

    Args:
        actions: Kind, daemon number and argument of each action.

    Returns:
        The final state of the simulation.
    """
    world = interleaving.Simulation()
    for kind, number, argument in actions:
        if kind == "send":
            world.send_payout(number, "a" if argument else "b")
        elif kind == "release":
            world.resume_step(number, argument)
        elif kind == "crash":
            world.crash(number)
        elif kind == "freeze":
            world.daemons[number].frozen ^= True
        elif kind == "fault":
            world.store.faults.append(_FAULTS[argument])
        elif kind == "late":
            world.store.apply_delayed_writes()
        elif kind == "fate":
            world.backend_results.append(_BACKEND_RESULTS[argument])
        else:
            world.store.now += argument
        await world.run_until_blocked()
    await world.finish()
    await world.close()
    return world


class InterleavingTest(unittest.TestCase):
    """Payouts that are sent several times, during faults of store and daemons.

    The faults are lost answers and late writes of the store, expired leases,
    and crashes and pauses of daemons. A payout must run at most once while its
    claim is valid. A caller may get "not run" only if its payout has not run.
    """

    @hypothesis.settings(max_examples=400, deadline=None)
    @hypothesis.given(strategies.lists(_ACTION, max_size=60))
    def test_runs_at_most_once_and_reports_not_run_only_if_true(
        self, actions: list[tuple[str, int, int]]
    ) -> None:
        world = asyncio.run(simulate(actions))
        for key in ("a", "b"):
            run_times = sorted(run.at for run in world.runs if run.key == key)
            for earlier, later in zip(run_times, run_times[1:], strict=False):
                self.assertGreater(later - earlier, _MIN_CLAIM_LIFETIME_S)
        run_numbers = {run.call_number for run in world.runs}
        for number, (_, outcome) in world.results.items():
            if isinstance(outcome, outcomes.NotRun):
                self.assertNotIn(number, run_numbers)

    def test_every_request_gets_an_outcome(self) -> None:
        actions = [("send", number, 1) for number in (0, 1, 2, 0)]
        world = asyncio.run(simulate(actions))
        self.assertEqual(len(world.runs), 1)
        self.assertEqual(len(world.results), 4)

    def test_released_claim_is_taken_over(self) -> None:
        """Guards against payouts that never run after a late write of a claim.

        The first daemon gives up its request as the store is slow, and its
        claim is written afterwards. In reply to a recall by the second daemon
        it confirms that it will never run the payout.
        """
        world = asyncio.run(
            simulate(
                [
                    ("send", 0, 1),
                    ("release", 0, 0),
                    ("fault", 0, 3),
                    ("fault", 0, 1),
                    ("release", 0, 0),
                    ("release", 0, 0),
                    ("late", 0, 0),
                    ("send", 1, 1),
                ]
            )
        )
        self.assertIsInstance(world.results[0][1], outcomes.NotRun)
        self.assertEqual([run.call_number for run in world.runs], [1])

    def test_stale_read_after_a_lost_answer(self) -> None:
        """Guards against a payout that runs twice, or never, by a stale read.

        The claim of the first daemon is written, but the answer of the store is
        lost. The daemon reads the claim to learn whether it was written, and
        gets the state from before the write. It releases the claim, and
        confirms this in reply to a recall by the second daemon.
        """
        world = asyncio.run(
            simulate(
                [
                    ("send", 0, 1),
                    ("release", 0, 0),
                    ("fault", 0, 2),
                    ("fault", 0, 4),
                    ("release", 0, 0),
                    ("release", 0, 0),
                    ("send", 1, 1),
                ]
            )
        )
        self.assertIsInstance(world.results[0][1], outcomes.NotRun)
        self.assertEqual([run.call_number for run in world.runs], [1])

    def test_claim_holder_is_frozen_or_replaced(self) -> None:
        """Guards against a second run of a payout whose outcome is lost.

        The first daemon is suspended or replaced while its backend server runs
        the payout. No daemon knows then whether it ran, so the second caller
        gets "unknown".
        """
        first_request = [("send", 0, 1), *[("release", 0, 0)] * 3]
        second_request = [("send", 1, 1), *[("release", 1, 0)] * 4]
        for fault in ("freeze", "crash"):
            world = asyncio.run(
                simulate([*first_request, (fault, 0, 0), *second_request])
            )
            self.assertIsInstance(world.results[1][1], outcomes.Unknown)
            self.assertEqual([run.call_number for run in world.runs], [0])


class ClaimCheckAfterPauseTest(unittest.IsolatedAsyncioTestCase):
    """Checks of a claim after its daemon was suspended before forwarding.

    They guard against a second run of a payout. During the pause the caller may
    have got "unknown" at its deadline and retried, or the claim may have
    expired and the payout may have run elsewhere. Each check is tested alone.
    """

    async def asyncSetUp(self) -> None:
        self.world = interleaving.Simulation()
        self.claims = self.world.daemons[0].claims
        self.call = builders.build_call(deadline=float("inf"))
        acquiring = asyncio.create_task(
            self.claims.acquire(self.call, "claims/1", 0)
        )
        await self.world.finish()
        held_claim = await acquiring
        assert isinstance(held_claim, claims.HeldClaim)
        self.held_claim = held_claim

    async def check(self) -> outcomes.NotRun | None:
        """Returns why the call must not be forwarded; None if it may be."""
        checking = asyncio.create_task(
            self.claims.check(self.held_claim, self.call)
        )
        await self.world.finish()
        return await checking

    async def test_valid_claim_passes(self) -> None:
        # After a minute the claim is read from the store again.
        self.world.store.now += 60
        self.assertIsNone(await self.check())

    async def test_passed_deadline_is_refused(self) -> None:
        self.call.deadline = 1.0
        self.world.store.now += 2
        refusal = await self.check()
        assert refusal is not None
        self.assertIn("deadline", refusal.reason)

    async def test_deleted_claim_is_refused(self) -> None:
        await self.world.store.delete("claims/1", self.held_claim.revision)
        self.world.store.now += 60
        refusal = await self.check()
        assert refusal is not None
        self.assertIn("not there", refusal.reason)

    async def test_expiring_claim_is_refused(self) -> None:
        # Claims are kept for at least 23 h, and may be deleted at any time
        # after that.
        self.world.store.now += 23.5 * 3600
        refusal = await self.check()
        assert refusal is not None
        self.assertIn("expired", refusal.reason)

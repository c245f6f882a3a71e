"""Tests of at-most-once execution under any sequence of faults."""

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
# Kind of an action, its weight, and the values of its detail.
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
        (kind, detail)
        for kind, weight, details in _ACTION_KINDS
        for _ in range(weight)
        for detail in details * (12 // len(details))
    ]
).flatmap(
    lambda choice: strategies.tuples(
        strategies.just(choice[0]), _DAEMON, strategies.just(choice[1])
    )
)
_FATES = ("answered", "refused", "broken")
_FAULTS = list(fakes.Fault)
# Minimum time for which a claim is kept, in seconds.
_MIN_CLAIM_LIFETIME_S = 23 * 3600


async def simulate(
    actions: list[tuple[str, int, int]],
) -> interleaving.World:
    """Simulates actions on three daemons, then lets all calls end."""
    world = interleaving.World()
    for kind, number, detail in actions:
        if kind == "send":
            world.send_payout(number, "a" if detail else "b")
        elif kind == "release":
            world.resume_step(number, detail)
        elif kind == "crash":
            world.crash(number)
        elif kind == "freeze":
            world.daemons[number].frozen ^= True
        elif kind == "fault":
            world.store.faults.append(_FAULTS[detail])
        elif kind == "late":
            world.store.apply_delayed_writes()
        elif kind == "fate":
            world.backend_results.append(_FATES[detail])
        else:
            world.store.now += detail
        await world.run_until_blocked()
    await world.finish()
    await world.close()
    return world


class InterleavingTest(unittest.TestCase):
    """Lost answers, resends, crashes, pauses, late writes, expired leases."""

    @hypothesis.settings(max_examples=400, deadline=None)
    @hypothesis.given(strategies.lists(_ACTION, max_size=60))
    def test_at_most_once_and_honest(
        self, actions: list[tuple[str, int, int]]
    ) -> None:
        world = asyncio.run(simulate(actions))
        for key in ("a", "b"):
            times = sorted(run.at for run in world.runs if run.key == key)
            for earlier, later in zip(times, times[1:], strict=False):
                self.assertGreater(later - earlier, _MIN_CLAIM_LIFETIME_S)
        ran = {run.call_number for run in world.runs}
        for sending, (_, outcome) in world.results.items():
            if isinstance(outcome, outcomes.NotRun):
                self.assertNotIn(sending, ran)

    def test_every_sending_ends(self) -> None:
        actions = [("send", number, 1) for number in (0, 1, 2, 0)]
        world = asyncio.run(simulate(actions))
        self.assertEqual(len(world.runs), 1)
        self.assertEqual(len(world.results), 4)

    def test_released_claim_is_taken_over(self) -> None:
        """The second sending runs, as the first one provably did not.

        The first daemon gives up because the store is slow, and its write takes
        effect afterwards. In reply to a recall it states that it will never run
        the request.
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

    def test_read_after_a_lost_answer_is_stale(self) -> None:
        """The second sending runs, the first never does.

        The claim of the first daemon is written, but the answer of the store is
        lost. The daemon reads the claim to resolve it, but gets the state from
        before the write, which shows no claim. It gives up its claim, and says
        so when the second daemon recalls it.
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

    def test_holder_is_silent_or_has_forgotten(self) -> None:
        """The second caller gets "unknown"; nothing runs twice.

        The first daemon freezes, or is replaced, while its backend server runs
        the payout. Nobody knows then whether it ran.
        """
        first_sending = [("send", 0, 1), *[("release", 0, 0)] * 3]
        second_sending = [("send", 1, 1), *[("release", 1, 0)] * 4]
        for fault in ("freeze", "crash"):
            world = asyncio.run(
                simulate([*first_sending, (fault, 0, 0), *second_sending])
            )
            self.assertIsInstance(world.results[1][1], outcomes.Unknown)
            self.assertEqual([run.call_number for run in world.runs], [0])


class ThawTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that was frozen after its claim checks before it forwards.

    In the meantime its caller got "unknown", or its claim has expired and the
    same payout has run elsewhere. Each check alone suffices for its case.
    """

    async def asyncSetUp(self) -> None:
        self.world = interleaving.World()
        self.claims = self.world.daemons[0].claims
        self.call = builders.build_call(deadline=float("inf"))
        acquiring = asyncio.create_task(
            self.claims.acquire(self.call, "claims/1", 0)
        )
        await self.world.finish()
        held = await acquiring
        assert isinstance(held, claims.HeldClaim)
        self.held = held

    async def check(self) -> outcomes.NotRun | None:
        checking = asyncio.create_task(self.claims.check(self.held, self.call))
        await self.world.finish()
        return await checking

    async def test_nothing_happened(self) -> None:
        self.world.store.now += 60
        self.assertIsNone(await self.check())

    async def test_deadline_has_passed(self) -> None:
        self.call.deadline = 1.0
        self.world.store.now += 2
        refusal = await self.check()
        assert refusal is not None
        self.assertIn("deadline", refusal.reason)

    async def test_claim_is_gone(self) -> None:
        await self.world.store.delete("claims/1", self.held.revision)
        self.world.store.now += 60
        refusal = await self.check()
        assert refusal is not None
        self.assertIn("not there", refusal.reason)

    async def test_claim_may_expire_any_moment(self) -> None:
        self.world.store.now += 23.5 * 3600
        refusal = await self.check()
        assert refusal is not None
        self.assertIn("expired", refusal.reason)

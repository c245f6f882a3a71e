"""Tests of the tokens of a coordinator and of the daemons that ask it."""

from __future__ import annotations

import random
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.quotas import account as accounts
from merlintrestle.quotas import allocation as allocations
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.schema import quota_pb2
from tests.quotas import builders
from tests.requests import fakes

_DAEMONS = 6
_NAME = "w"


class _Exchange:
    """Daemons and a coordinator whose messages arrive in any order.

    Attributes:
        ran: Times at which calls ran.
    """

    def __init__(self, rate: float, burst: float, slack: float, seed: int):
        self.rng = random.Random(seed)
        self.clock = fakes.FakeClock()
        self.bounds = bounds_lib.Bounds(slack=slack)
        self.workspace = builders.build_workspace(_NAME, rate, burst)
        self.ran: list[float] = []
        self.accounts = [self._build_account() for _ in range(_DAEMONS)]
        self.processes = list(range(1, _DAEMONS + 1))
        self.sequences = [0] * _DAEMONS
        self.sent_at = [0.0] * _DAEMONS
        self.requests: list[tuple[int, quota_pb2.RefillRequest]] = []
        self.replies: list[tuple[int, int, quota_pb2.RefillReply]] = []
        self.term_began_at = self.clock.now
        self.allocation = self._begin_term(1, 0.0, True)

    def _build_account(self) -> accounts.Account:
        account = accounts.Account(self.clock.get_time)
        account.begin_epoch(1)
        return account

    def _begin_term(
        self, epoch: int, wait_s: float, starts_full: bool
    ) -> allocations.Allocation:
        now = self.clock.now
        settled_at = now + bounds_lib.COUNTED_LIFETIME_S if epoch > 1 else now
        allocation = allocations.Allocation(
            epoch,
            self.bounds,
            now + wait_s,
            settled_at,
            self.clock.get_time,
            starts_full,
        )
        allocation.configure({_NAME: self.workspace})
        return allocation

    def replace_coordinator(self) -> None:
        """Starts the next term, as the election does."""
        is_settled = self.allocation.is_settled()
        lasted_s = self.clock.now - self.term_began_at
        wait_s = 0.0 if is_settled else bounds_lib.COUNTED_LIFETIME_S
        self.term_began_at = self.clock.now + wait_s
        self.allocation = self._begin_term(
            self.allocation.epoch + 1,
            wait_s,
            is_settled and lasted_s > self.bounds.window_s,
        )

    def send_request(self, index: int) -> None:
        """Sends a request; the reply to the one before is not awaited."""
        account = self.accounts[index]
        if account.epoch != self.allocation.epoch and self.rng.random() < 0.7:
            account.begin_epoch(self.allocation.epoch)
        self.sent_at[index] = self.clock.now
        self.sequences[index] += 1
        request = quota_pb2.RefillRequest(
            process=self.processes[index],
            sequence=self.sequences[index],
            epoch=account.epoch,
            workspaces=account.build_reports(),
        )
        # More than is needed, so that many tokens are held for long.
        for report in request.workspaces:
            report.needed = self.rng.choice([0, 5, 500])
        self.requests.append((index, request))

    def deliver_request(self) -> None:
        """Delivers any request, which may arrive again later."""
        if self.requests:
            age = min(len(self.requests), int(self.rng.expovariate(1.0)) + 1)
            index, request = self.requests[-age]
            reply = self.allocation.answer(request)
            self.replies.append((index, request.sequence, reply))

    def deliver_reply(self) -> None:
        """Delivers any reply; all but that to the last request are ignored."""
        if not self.replies:
            return
        age = min(len(self.replies), int(self.rng.expovariate(1.0)) + 1)
        self._apply(*self.replies.pop(-age))

    def _apply(
        self, index: int, sequence: int, reply: quota_pb2.RefillReply
    ) -> None:
        if sequence != self.sequences[index]:
            return
        # The same reply is not delivered twice: a call has one.
        self.replies = [item for item in self.replies if item[0] != index]
        self.sequences[index] += 1
        if reply.epoch == self.accounts[index].epoch:
            self.accounts[index].apply(reply.workspaces, self.sent_at[index])

    def exchange_promptly(self, index: int) -> None:
        """Sends a request and delivers it and its reply at once."""
        self.send_request(index)
        _, request = self.requests[-1]
        reply = self.allocation.answer(request)
        self.replies.append((index, request.sequence, reply))
        self._apply(*self.replies.pop())

    def call(self, index: int, count: int) -> None:
        """Makes calls at a daemon; some get no token, some do not run."""
        account = self.accounts[index]
        for _ in range(count):
            spent_at = self.clock.now
            if account.try_spend(_NAME):
                if self.rng.random() < 0.1:
                    account.give_back(_NAME, spent_at)
                else:
                    self.ran.append(spent_at)
            else:
                account.get_refusal(_NAME)

    def restart(self, index: int) -> None:
        """Replaces a daemon by one without memory."""
        self.accounts[index] = self._build_account()
        self.processes[index] = self.rng.getrandbits(60)
        self.sequences[index] = 0
        self.requests = [item for item in self.requests if item[0] != index]
        self.replies = [item for item in self.replies if item[0] != index]

    def find_excess(self) -> float:
        """Returns the largest excess over the limit of any window."""
        limit = self.bounds.compute_limit(
            self.workspace.rate, self.workspace.burst
        )
        first = 0
        most = 0
        for index, at in enumerate(self.ran):
            while self.ran[first] < at - self.bounds.window_s:
                first += 1
            most = max(most, index + 1 - first)
        return most - limit


def _play(exchange: _Exchange, steps: int) -> None:
    rng = exchange.rng
    # Few calls let tokens gather; then all daemons spend theirs at once.
    for step in range(steps):
        is_busy = step // 200 % 3 > 0
        exchange.clock.now += rng.expovariate(60.0)
        kind = rng.random()
        index = rng.randrange(_DAEMONS)
        if kind < 0.35:
            exchange.exchange_promptly(index)
        elif kind < 0.42:
            exchange.send_request(index)
        elif kind < 0.52:
            exchange.deliver_request()
        elif kind < 0.6:
            exchange.deliver_reply()
        elif kind < 0.98:
            exchange.call(index, 300 if is_busy else 1)
        elif kind < 0.982:
            exchange.clock.now += rng.uniform(0, 6)
        elif kind < 0.996:
            exchange.restart(index)
        else:
            exchange.replace_coordinator()


class ExchangeTest(unittest.TestCase):
    @hypothesis.settings(max_examples=150, deadline=None, derandomize=True)
    @hypothesis.given(
        strategies.integers(0, 2**32),
        strategies.sampled_from([(1.6, 0), (20, 0), (20, 40), (200, 50)]),
        strategies.sampled_from([1, 20]),
    )
    def test_no_window_exceeds_the_limit(
        self, seed: int, quota: tuple[float, float], slack: float
    ) -> None:
        """Guards against tokens that are counted less long than they live."""
        exchange = _Exchange(*quota, slack, seed)
        _play(exchange, 1500)
        self.assertLessEqual(exchange.find_excess(), 0)


class AllocationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.allocation = self.build_allocation(0.0, 0.0)

    def build_allocation(
        self, starts_in_s: float, settles_in_s: float
    ) -> allocations.Allocation:
        now = self.clock.now
        allocation = allocations.Allocation(
            7,
            bounds_lib.Bounds(),
            now + starts_in_s,
            now + settles_in_s,
            self.clock.get_time,
        )
        allocation.configure({_NAME: builders.build_workspace(_NAME, 10, 10)})
        return allocation

    def ask(
        self,
        process: int,
        sequence: int,
        needed: int = 0,
        spent: int = 0,
        held: int = 0,
    ) -> int:
        """Sends a request; returns how many tokens were granted."""
        report = quota_pb2.TokenRequest(
            workspace=_NAME, needed=needed, spent=spent, held=held
        )
        reply = self.allocation.answer(
            quota_pb2.RefillRequest(
                process=process, sequence=sequence, epoch=7, workspaces=[report]
            )
        )
        return sum(grant.granted for grant in reply.workspaces)

    def test_starts_without_tokens_and_refills(self) -> None:
        """Guards against a takeover that grants a burst again."""
        self.assertEqual(self.ask(1, 1, 5), 0)
        self.clock.now += 0.55
        self.assertEqual(self.ask(1, 2, 10), 5)

    def test_repeated_request_is_granted_once(self) -> None:
        """Guards against duplicates that cost or bring tokens twice."""
        self.clock.now += 1
        self.assertEqual(self.ask(1, 1, 3), 3)
        self.assertEqual(self.ask(1, 1, 3), 0)

    def test_late_request_takes_back_nothing(self) -> None:
        """Guards against an old report that frees tokens that are in use."""
        self.clock.now += 60
        granted = self.ask(1, 2, 1000)
        self.ask(1, 1, 0, spent=0, held=0)
        self.assertEqual(self.ask(2, 1, 1000), 0)
        self.assertGreater(granted, 10)

    def test_lost_reply_returns_with_the_next_request(self) -> None:
        """Guards against a quota that lost messages use up."""
        self.clock.now += 60
        granted = self.ask(1, 1, 1000)
        self.assertEqual(self.ask(1, 2, 1000, spent=0, held=0), granted)

    def test_tokens_of_a_killed_daemon_count_until_they_expire(self) -> None:
        """Guards against tokens that are granted again while they live."""
        self.clock.now += 60
        granted = self.ask(1, 1, 1000)
        self.clock.now += bounds_lib.TOKEN_LIFETIME_S
        self.assertEqual(self.ask(2, 1, 1000), 0)
        self.clock.now += 60
        self.assertEqual(self.ask(2, 2, 1000), granted)

    def test_nothing_is_granted_before_the_start(self) -> None:
        """Guards against three coordinators' tokens in one window."""
        self.allocation = self.build_allocation(3.1, 3.1)
        self.clock.now += 3.0
        self.assertEqual(self.ask(1, 1, 5), 0)
        self.clock.now += 0.45
        self.assertEqual(self.ask(1, 1, 5), 3)

    def test_cap_is_smaller_until_settled(self) -> None:
        """Guards against tokens of two coordinators that exceed the limit."""
        self.allocation = self.build_allocation(0.0, 60.0)
        self.clock.now += 50
        unsettled = self.ask(1, 1, 1000)
        self.clock.now += 60
        settled = self.ask(2, 1, 1000)
        circulation = bounds_lib.Bounds().compute_circulation(10, 10)
        self.assertEqual(unsettled, int(0.3 * circulation))
        self.assertEqual(settled, int(0.7 * circulation))

    def test_workspace_that_returns_does_not_start_twice(self) -> None:
        """Guards against a version that removes and adds a workspace."""
        workspaces = {_NAME: builders.build_workspace(_NAME, 10, 10)}
        self.clock.now += 60
        granted = self.ask(1, 1, 1000)
        self.allocation.configure({})
        self.allocation.configure(workspaces)
        self.assertGreater(granted, 0)
        self.assertEqual(self.ask(2, 1, 1000), 0)


class AccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.account = accounts.Account(self.clock.get_time)
        self.account.begin_epoch(1)

    def receive(self, granted: int, retry_after_ms: int = 0) -> None:
        """Sends a request and receives its reply at once."""
        sent_at = self.clock.now
        self.account.build_reports()
        grant = quota_pb2.TokenGrant(
            workspace=_NAME, granted=granted, retry_after_ms=retry_after_ms
        )
        self.account.apply([grant], sent_at)

    def receive_all(self) -> None:
        """Sends a request and receives all that it asks for."""
        sent_at = self.clock.now
        for report in self.account.build_reports():
            grant = quota_pb2.TokenGrant(
                workspace=_NAME, granted=report.needed + report.wanted
            )
            self.account.apply([grant], sent_at)

    def test_token_expires_by_the_time_of_the_request(self) -> None:
        """Guards against tokens that a frozen daemon spends later."""
        self.account.get_refusal(_NAME)
        self.receive(2)
        self.assertTrue(self.account.try_spend(_NAME))
        self.clock.now += bounds_lib.TOKEN_LIFETIME_S
        self.assertFalse(self.account.try_spend(_NAME))

    def test_unreported_token_is_given_back(self) -> None:
        """Guards against calls that did not run and use up the quota."""
        self.account.get_refusal(_NAME)
        self.receive(1)
        self.assertTrue(self.account.try_spend(_NAME))
        self.account.give_back(_NAME)
        self.assertTrue(self.account.try_spend(_NAME))
        self.assertFalse(self.account.try_spend(_NAME))

    def test_reported_token_is_not_given_back(self) -> None:
        """Guards against a token that was granted to another daemon again."""
        self.account.get_refusal(_NAME)
        self.receive(1)
        self.assertTrue(self.account.try_spend(_NAME))
        for _ in range(3):
            self.account.build_reports()
        self.account.give_back(_NAME)
        self.assertFalse(self.account.try_spend(_NAME))

    def test_token_is_given_back_under_steady_calls(self) -> None:
        """Guards against an expiry of reported tokens that voids later ones.

        The calls since the last request are never reported with it, as they
        may still be given back, so some calls are always unreported.
        """
        self.account.get_refusal(_NAME)
        for _ in range(50):
            self.receive_all()
            self.assertTrue(self.account.try_spend(_NAME))
            self.clock.now += bounds_lib.TOKEN_LIFETIME_S / 10
        self.receive_all()
        self.clock.now += 0.01
        self.assertTrue(self.account.try_spend(_NAME))
        spent = self.account.spent
        self.account.give_back(_NAME, self.clock.now)
        self.assertEqual(self.account.spent, spent - 1)

    def test_removed_workspace_is_forgotten(self) -> None:
        """Guards against reports for a workspace that gets no grants.

        The coordinator answers nothing for a workspace that a version removed.
        """
        self.account.get_refusal(_NAME)
        self.receive(2)
        self.assertTrue(self.account.try_spend(_NAME))
        for _ in range(25):
            self.clock.now += 0.5
            reports = self.account.build_reports()
        self.assertEqual(reports, [])

    def test_unused_tokens_are_returned(self) -> None:
        """Guards against idle daemons that hold what others need."""
        self.account.get_refusal(_NAME)
        self.receive(3)
        self.clock.now += 2.5
        (report,) = self.account.build_reports()
        self.assertEqual((report.held, report.spent, report.wanted), (0, 0, 0))

    def test_known_refusal_needs_no_request(self) -> None:
        """Guards against one request for each refused call."""
        self.account.get_refusal(_NAME)
        self.receive(0, retry_after_ms=800)
        self.assertAlmostEqual(self.account.get_refusal(_NAME), 0.8)
        self.clock.now += 0.8
        self.assertEqual(self.account.get_refusal(_NAME), 0.0)


class BoundsTest(unittest.TestCase):
    def test_zero_means_the_default(self) -> None:
        """Guards against settings files without bounds."""
        self.assertEqual(bounds_lib.build_bounds(0, 0, 0), bounds_lib.Bounds())

    @hypothesis.given(
        strategies.floats(0.01, 10_000), strategies.floats(0, 10_000)
    )
    def test_parts_add_up_to_the_limit(self, rate: float, burst: float) -> None:
        """Guards against shares that exceed what the limit allows."""
        bounds = bounds_lib.Bounds()
        total = (
            bounds.compute_circulation(rate, burst)
            + bounds.compute_wait_s(rate, burst) * rate
            + rate * bounds.window_s
        )
        limit = bounds.compute_limit(rate, burst)
        self.assertAlmostEqual(total / limit, 1.0)
        self.assertGreater(bounds.compute_circulation(rate, burst), 0)

"""Tests of the orders of roll-outs and of their audit trail."""

from __future__ import annotations

import unittest

from merlintrestle import errors
from merlintrestle.rollouts import orders
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from tests.rollouts import builders
from tests.standins import builders as standin_builders


def _build_order(version: str) -> control_pb2.Rollout:
    return builders.build_rollout(version=version, number=0)


def _build_attempt(operator: str, at_ms: int = 5) -> orders.Attempt:
    return orders.Attempt(orders.START, operator, at_ms, builders.SERVICE, "v2")


class OrderTest(unittest.IsolatedAsyncioTestCase):
    async def test_order_without_a_check_replaces_nothing(self) -> None:
        """Guards against a caller that orders without what a check read."""
        store = builders.FakeStore()
        number = await orders.write_order(store, _build_order("v3"))
        with self.assertRaises(errors.LostRaceError):
            await orders.write_order(store, _build_order("v2"))
        storage = storages.RolloutStorage(store, storages.DefaultFormat())
        seen = await storage.read_last_order(builders.SERVICE)
        assert seen.order is not None
        self.assertEqual((seen.order.version, seen.revision), ("v3", number))

    async def test_order_that_was_read_replaces_itself_only(self) -> None:
        """Guards against writing an order again in place of a later one."""
        store = builders.FakeStore()
        storage = storages.RolloutStorage(store, storages.DefaultFormat())
        await orders.write_order(store, _build_order("v2"))
        (order,) = await storage.read_orders()
        order.state = control_pb2.ROLLED_BACK
        await orders.write_order(store, order)
        with self.assertRaises(errors.LostRaceError):
            await orders.write_order(store, order)


class EraTest(unittest.IsolatedAsyncioTestCase):
    """The store comes back from an older copy between check and write."""

    async def asyncSetUp(self) -> None:
        self.standin = await standin_builders.start_store(self)
        self.store = await standin_builders.start_client(self, self.standin)
        self.storage = storages.RolloutStorage(
            self.store, storages.DefaultFormat()
        )
        self.contents = self.standin.servicer.key_value_store
        self.copy = self.contents.take_copy()

    async def test_checked_order_of_an_earlier_era_is_not_replaced(
        self,
    ) -> None:
        """Guards against replacing an order that has the checked revision.

        The store has lost the checked order and given its revision out again,
        to the order of another operator.
        """
        await orders.write_order(self.store, _build_order("v1"))
        seen = await self.storage.read_last_order(builders.SERVICE)
        self.contents.come_back(self.copy)
        other = await standin_builders.start_client(self, self.standin)
        await orders.write_order(other, _build_order("v3"))
        await self.store.get("any key")
        with self.assertRaises(errors.LostRaceError):
            await orders.write_order(self.store, _build_order("v2"), seen)
        last = await self.storage.read_last_order(builders.SERVICE)
        assert last.order is not None
        self.assertEqual(last.order.version, "v3")


class AuditTrailTest(unittest.IsolatedAsyncioTestCase):
    async def test_attempts_in_the_same_millisecond_are_listed(self) -> None:
        """Guards against an attempt that is missing in the audit trail.

        Two operators try to start a roll-out of a service in the same
        millisecond.
        """
        store = builders.FakeStore()
        for operator in ("anna", "bram"):
            attempt = orders.Attempt(
                orders.START, operator, 5, builders.SERVICE, "v2"
            )
            await orders.write_attempt(store, attempt, [])
        attempts = await orders.list_attempts(store, builders.SERVICE)
        self.assertCountEqual(
            [attempt.operator for attempt in attempts], ["anna", "bram"]
        )

    async def test_attempts_of_one_operator_are_told_apart(self) -> None:
        """Guards against an identity that is only a name and a time."""
        store = builders.FakeStore()
        for _ in range(2):
            await orders.write_attempt(store, _build_attempt("anna"), [])
        attempts = await orders.list_attempts(store, builders.SERVICE)
        self.assertEqual(len(attempts), 2)

    async def test_attempt_whose_answer_is_lost_is_listed_once(self) -> None:
        """Guards against a repeated write that is listed as a second attempt.

        The store writes the record, but its answer to that write is lost.
        """
        store = builders.FakeStore()

        async def lose_answer(method: str, key: str) -> None:
            store.before_call = None
            store.lost_answers[key] = 1

        store.before_call = lose_answer
        await orders.write_attempt(store, _build_attempt("anna"), [])
        attempts = await orders.list_attempts(store, builders.SERVICE)
        self.assertEqual(len(attempts), 1)

    async def test_list_is_in_the_order_of_time(self) -> None:
        """Guards against records of earlier releases at the wrong place.

        Their keys have the time only. Attempts of the same millisecond are
        listed in the order in which they were recorded, whatever their ids.
        """
        store = builders.FakeStore()
        for operator, at_ms in (("first", 5), ("third", 7), ("second", 6)):
            record = control_pb2.RolloutAttempt(operator=operator, at_ms=at_ms)
            store.write(
                f"rollouts/trail/{builders.SERVICE}/{at_ms:015d}",
                record.SerializeToString(),
            )
        names = [f"new {number}" for number in range(5)]
        for name in names:
            await orders.write_attempt(store, _build_attempt(name, 6), [])
        attempts = await orders.list_attempts(store, builders.SERVICE)
        self.assertEqual(
            [attempt.operator for attempt in attempts],
            ["first", "second", *names, "third"],
        )

    async def test_newest_of_many_attempts_are_listed(self) -> None:
        """Guards against a list that ends at a limit, before the newest."""
        store = builders.FakeStore()
        count = 2100
        for at_ms in range(count):
            await orders.write_attempt(store, _build_attempt("anna", at_ms), [])
        attempts = await orders.list_attempts(store, builders.SERVICE)
        self.assertEqual(
            [attempt.at_ms for attempt in attempts], list(range(count))
        )

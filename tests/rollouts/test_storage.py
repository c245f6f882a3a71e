"""Tests of orders and their ends in the store."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from merlintrestle import errors
from merlintrestle.platform import rollouts
from merlintrestle.rollouts import storage as registers
from merlintrestle.schema import control_pb2
from merlintrestle.store import client
from tests.rollouts import builders

_FORMS: tuple[registers.RecordFormat, ...] = (
    registers.DefaultFormat(),
    rollouts.OPERATORS_FORMAT,
)
_ENDS = (control_pb2.COMPLETE, control_pb2.ROLLED_BACK)


class RegisterTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_first_end_stays(self):
        """Guards against two ends of one roll-out, whoever writes last."""
        for form, order in itertools.product(
            _FORMS, itertools.permutations(_ENDS)
        ):
            with self.subTest(form=form, order=order):
                register = registers.RolloutStorage(builders.FakeStore(), form)
                rollout = builders.build_rollout()
                written = [
                    await register.write_state(rollout, state)
                    for state in (*order, control_pb2.RUNNING)
                ]
                self.assertEqual(written, [order[0]] * 3)

    async def test_racing_writers_agree(self):
        """Guards against two daemons that write different ends at once."""
        for form in _FORMS:
            store = builders.FakeStore()
            one, other = (
                registers.RolloutStorage(store, form) for _ in range(2)
            )
            rollout = builders.build_rollout()
            ends = await asyncio.gather(
                one.write_state(rollout, control_pb2.COMPLETE),
                other.write_state(rollout, control_pb2.ROLLED_BACK),
            )
            self.assertEqual(len(set(ends)), 1)

    async def test_a_lost_answer_is_settled_by_reading(self):
        """Guards against an end that is written and not known."""
        for form in _FORMS:
            store = builders.FakeStore()
            register = registers.RolloutStorage(store, form)
            rollout = builders.build_rollout()
            store.lose = 1
            with self.assertRaises(errors.StoreUnknownOutcomeError):
                await register.write_state(rollout, control_pb2.COMPLETE)
            state = await register.write_state(rollout, control_pb2.ROLLED_BACK)
            self.assertEqual(state, control_pb2.COMPLETE)

    async def test_an_order_again_begins_anew(self):
        """Guards against an order that counts as ended by the one before."""
        for form in _FORMS:
            store = builders.FakeStore()
            register = registers.RolloutStorage(store, form)
            first = builders.build_rollout()
            await register.write_state(first, control_pb2.ROLLED_BACK)
            again = builders.build_rollout(number=99)
            state = await register.read_state(again)
            self.assertEqual(state, control_pb2.ROLLOUT_STATE_UNSPECIFIED)
            await register.write_state(again, control_pb2.RUNNING)

    async def test_malformed_orders_hold_up_no_other(self):
        """Guards against another writer's record that stops all roll-outs."""
        form = rollouts.OPERATORS_FORMAT
        register = registers.RolloutStorage(builders.FakeStore(), form)
        good = b'{"service":"balie","targetVersion":"v2","durationS":12}'
        values = (
            b"",
            b"[]",
            b"{}",
            good.replace(b"12", b"true"),
            good.replace(b"12", b"-1"),
            good.replace(b"12", b"NaN"),
            good.replace(b"balie", b"kassa"),
            good.replace(b'"v2"', b"2"),
            good,
        )
        entries = [
            client.Entry("op/rollout/balie", value, number + 1)
            for number, value in enumerate(values)
        ]
        orders = register.parse_orders(entries)
        self.assertEqual(
            orders, [builders.build_rollout(number=9, within_ms=12_000)]
        )

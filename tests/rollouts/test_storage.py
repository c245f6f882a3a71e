"""Tests of the storage of orders and their states."""

from __future__ import annotations

import asyncio
import itertools
import unittest

from merlintrestle import errors
from merlintrestle.platform import rollouts
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from merlintrestle.store import client
from tests.rollouts import builders

_FORMATS: tuple[storages.RecordFormat, ...] = (
    storages.DefaultFormat(),
    rollouts.OPERATORS_FORMAT,
)
_ENDS = (control_pb2.COMPLETE, control_pb2.ROLLED_BACK)


class RolloutStorageTest(unittest.IsolatedAsyncioTestCase):
    async def test_first_end_is_kept(self):
        """Guards against a second end that replaces the first."""
        for record_format, order in itertools.product(
            _FORMATS, itertools.permutations(_ENDS)
        ):
            with self.subTest(record_format=record_format, order=order):
                storage = storages.RolloutStorage(
                    builders.FakeStore(), record_format
                )
                rollout = builders.build_rollout()
                written = [
                    await storage.write_state(rollout, state)
                    for state in (*order, control_pb2.RUNNING)
                ]
                self.assertEqual(written, [order[0]] * 3)

    async def test_concurrent_writers_agree(self):
        """Guards against two daemons that write different ends concurrently."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            first, second = (
                storages.RolloutStorage(store, record_format) for _ in range(2)
            )
            rollout = builders.build_rollout()
            ends = await asyncio.gather(
                first.write_state(rollout, control_pb2.COMPLETE),
                second.write_state(rollout, control_pb2.ROLLED_BACK),
            )
            self.assertEqual(len(set(ends)), 1)

    async def test_lost_reply_is_resolved_by_reading(self):
        """Guards against overwriting an end whose write got no reply."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            storage = storages.RolloutStorage(store, record_format)
            rollout = builders.build_rollout()
            store.lost_replies = 1
            with self.assertRaises(errors.StoreUnknownOutcomeError):
                await storage.write_state(rollout, control_pb2.COMPLETE)
            state = await storage.write_state(rollout, control_pb2.ROLLED_BACK)
            self.assertEqual(state, control_pb2.COMPLETE)

    async def test_repeated_order_starts_again(self):
        """Guards against an order that gets the end of the previous one."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            storage = storages.RolloutStorage(store, record_format)
            previous = builders.build_rollout()
            await storage.write_state(previous, control_pb2.ROLLED_BACK)
            repeated = builders.build_rollout(number=99)
            state = await storage.read_state(repeated)
            self.assertEqual(state, control_pb2.ROLLOUT_STATE_UNSPECIFIED)
            await storage.write_state(repeated, control_pb2.RUNNING)

    async def test_malformed_orders_do_not_block_others(self):
        """Guards against another writer's record that stops all roll-outs."""
        record_format = rollouts.OPERATORS_FORMAT
        storage = storages.RolloutStorage(builders.FakeStore(), record_format)
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
        orders = storage.parse_orders(entries)
        self.assertEqual(
            orders, [builders.build_rollout(number=9, within_ms=12_000)]
        )

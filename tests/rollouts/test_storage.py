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
from merlintrestle.store import eras
from tests.rollouts import builders

_FORMATS: tuple[storages.RecordFormat, ...] = (
    storages.DefaultFormat(),
    rollouts.PLATFORM_FORMAT,
)
_FINAL_STATES = (control_pb2.COMPLETE, control_pb2.ROLLED_BACK)


class RolloutStorageTest(unittest.IsolatedAsyncioTestCase):
    async def test_first_final_state_is_kept(self):
        """Guards against a second final state that replaces the first."""
        for record_format, states in itertools.product(
            _FORMATS, itertools.permutations(_FINAL_STATES)
        ):
            with self.subTest(record_format=record_format, states=states):
                storage = storages.RolloutStorage(
                    builders.FakeStore(), record_format
                )
                rollout = builders.build_rollout()
                written = [
                    await storage.write_state(rollout, state)
                    for state in (*states, control_pb2.RUNNING)
                ]
                self.assertEqual(written, [states[0]] * 3)

    async def test_concurrent_writers_agree(self):
        """Guards against two daemons that write different final states."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            first, second = (
                storages.RolloutStorage(store, record_format) for _ in range(2)
            )
            rollout = builders.build_rollout()
            states = await asyncio.gather(
                first.write_state(rollout, control_pb2.COMPLETE),
                second.write_state(rollout, control_pb2.ROLLED_BACK),
            )
            self.assertEqual(len(set(states)), 1)

    async def test_lost_reply_is_resolved_by_reading(self):
        """Guards against replacing a final state whose write got no reply."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            storage = storages.RolloutStorage(store, record_format)
            rollout = self._write_order(store, record_format)
            key = record_format.build_state_key(builders.SERVICE)
            store.lost_answers[key] = 1
            with self.assertRaises(errors.StoreUnknownOutcomeError):
                await storage.write_state(rollout, control_pb2.COMPLETE)
            state = await storage.write_state(rollout, control_pb2.ROLLED_BACK)
            self.assertEqual(state, control_pb2.COMPLETE)

    async def test_repeated_order_starts_again(self):
        """Guards against an order that gets the state of the previous one."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            storage = storages.RolloutStorage(store, record_format)
            previous = builders.build_rollout()
            await storage.write_state(previous, control_pb2.ROLLED_BACK)
            repeated = builders.build_rollout(number=99)
            state = await storage.read_state(repeated)
            self.assertEqual(state, control_pb2.ROLLOUT_STATE_UNSPECIFIED)
            await storage.write_state(repeated, control_pb2.RUNNING)

    async def test_late_daemon_does_not_end_the_next_rollout(self):
        """Guards against a final state for an order that never reached it.

        A roll-out is rolled back, and the same version is ordered again and
        runs. A daemon that has heard of neither writes that the roll-out it
        knows is complete.
        """
        states = []
        for record_format in _FORMATS:
            store = builders.FakeStore()
            storage = storages.RolloutStorage(store, record_format)
            known = self._write_order(store, record_format)
            await storage.write_state(known, control_pb2.RUNNING)
            await storage.write_state(known, control_pb2.ROLLED_BACK)
            ordered_again = self._write_order(store, record_format)
            await storage.write_state(ordered_again, control_pb2.RUNNING)
            await storage.write_state(known, control_pb2.COMPLETE)
            states.append(await storage.read_state(ordered_again))
        self.assertEqual(states, [control_pb2.RUNNING] * len(_FORMATS))

    async def test_late_write_does_not_end_the_next_rollout(self) -> None:
        """Guards against an unanswered write that comes after a later order."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            storage = storages.RolloutStorage(store, record_format)
            known = self._write_order(store, record_format)
            store.late_writes[record_format.build_state_key(known.service)] = 1
            with self.assertRaises(errors.StoreUnknownOutcomeError):
                await storage.write_state(known, control_pb2.COMPLETE)
            ordered_again = self._write_order(store, record_format)
            store.release_late_writes()
            self.assertEqual(
                await storage.read_state(ordered_again),
                control_pb2.ROLLOUT_STATE_UNSPECIFIED,
            )

    async def test_order_of_an_earlier_era_does_not_end_a_restored_one(self):
        """Guards against a final state for an order that the copy has kept."""
        for record_format in _FORMATS:
            store = builders.FakeStore()
            storage = storages.RolloutStorage(store, record_format)
            self._write_order(store, record_format)
            store.begin_era(eras.qualify(10, 2))
            restored = self._write_order(store, record_format)
            lost = builders.build_rollout(number=eras.qualify(99, 1))
            written = await storage.write_state(lost, control_pb2.COMPLETE)
            self.assertEqual(written, control_pb2.ROLLOUT_STATE_UNSPECIFIED)
            self.assertEqual(
                await storage.read_state(restored),
                control_pb2.ROLLOUT_STATE_UNSPECIFIED,
            )

    def _write_order(
        self, store: builders.FakeStore, record_format: storages.RecordFormat
    ) -> control_pb2.Rollout:
        """Writes an order, and returns it as daemons read it."""
        key = record_format.order_prefix + builders.SERVICE
        value = b'{"service":"balie","targetVersion":"v2","durationS":10}'
        if isinstance(record_format, storages.DefaultFormat):
            value = builders.build_rollout(number=0).SerializeToString()
        store.write(key, value)
        return record_format.decode_order(store.entries[key])

    async def test_malformed_orders_do_not_block_others(self):
        """Guards against a malformed record that blocks all roll-outs."""
        record_format = rollouts.PLATFORM_FORMAT
        storage = storages.RolloutStorage(builders.FakeStore(), record_format)
        valid = b'{"service":"balie","targetVersion":"v2","durationS":12}'
        values = (
            b"",
            b"[]",
            b"{}",
            valid.replace(b"12", b"true"),
            valid.replace(b"12", b"-1"),
            valid.replace(b"12", b"NaN"),
            valid.replace(b"balie", b"kassa"),
            valid.replace(b'"v2"', b"2"),
            valid,
        )
        entries = [
            client.Entry("op/rollout/balie", value, index + 1)
            for index, value in enumerate(values)
        ]
        orders = storage.parse_orders(entries)
        self.assertEqual(
            orders, [builders.build_rollout(number=9, within_ms=12_000)]
        )

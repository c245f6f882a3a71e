"""Tests of ordering and aborting roll-outs while the store loses answers."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING
import unittest

from merlintrestle import errors
from merlintrestle.rollouts import storage as storages
from merlintrestle.schema import control_pb2
from tests.rollouts import builders
from tests.standins import builders as standin_builders
from tests.store import fakes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.store import client

_ORDER_KEY = storages.ORDER_PREFIX + builders.SERVICE
_STATE_KEY = storages.STATE_PREFIX + builders.SERVICE
_FINAL_STATES = (control_pb2.COMPLETE, control_pb2.ROLLED_BACK)


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.anna = builders.Operator(self.store, "anna")
        self.bram = builders.Operator(self.store, "bram")

    async def _check_last_order(self, version: str) -> None:
        seen = await self.anna.read_last_order()
        assert seen.order is not None
        self.assertEqual(seen.order.version, version)

    async def test_own_first_try_is_recognized(self) -> None:
        """Guards against taking the own order for that of another operator.

        The store writes the order, but its answer is lost. The repeated write
        meets it, also where it replaced a roll-out that had ended.
        """
        for state in (None, *_FINAL_STATES):
            with self.subTest(state=state):
                await self.asyncSetUp()
                if state is not None:
                    await self.bram.start(await self.bram.read_last_order())
                    await self.bram.write_state(state)
                seen = await self.anna.read_last_order()
                self.store.lost_answers[_ORDER_KEY] = 1
                number = await self.anna.start(seen)
                last = await self.anna.read_last_order()
                self.assertEqual(last.revision, number)
                attempts = await self.anna.list_attempts()
                self.assertEqual(attempts.count(("anna", "start")), 1)

    async def test_equal_order_of_another_operator_is_not_the_own(self) -> None:
        """Guards against two operators who both read that they were first.

        The other operator orders the same. The answer that nothing was written
        is lost.
        """
        seen = await self.anna.read_last_order()
        await self.bram.start(seen)
        self.store.lost_answers[_ORDER_KEY] = 1
        with self.assertRaises(errors.LostRaceError):
            await self.anna.start(seen)

    async def test_own_order_that_was_aborted_is_recognized(self) -> None:
        """Guards against calling an order that was accepted a lost race.

        The other operator aborts it before the write is repeated.
        """
        seen = await self.anna.read_last_order()
        self.store.lost_answers[_ORDER_KEY] = 1

        async def abort_at_repetition(method: str, key: str) -> None:
            is_written = _ORDER_KEY in self.store.entries
            if is_written and (method, key) == ("put", _ORDER_KEY):
                self.store.before_call = None
                await self.bram.abort(await self.bram.read_last_order())

        self.store.before_call = abort_at_repetition
        await self.anna.start(seen)

    async def test_late_write_orders_nothing_twice(self) -> None:
        """Guards against a late first try that replaces the repeated one."""
        seen = await self.anna.read_last_order()
        self.store.late_writes[_ORDER_KEY] = 1
        number = await self.anna.start(seen)
        self.store.release_late_writes()
        last = await self.anna.read_last_order()
        self.assertEqual(last.revision, number)

    async def test_order_without_any_answer_is_undecided(self) -> None:
        """Guards against calling an order that may come late no change."""
        seen = await self.anna.read_last_order()
        self.store.late_writes[_ORDER_KEY] = 100
        with self.assertRaises(errors.UndecidedError):
            await self.anna.start(seen)
        self.store.release_late_writes()
        await self._check_last_order("v2")

    async def test_order_without_a_recorded_attempt_is_not_written(
        self,
    ) -> None:
        """Guards against an order that the audit trail does not list."""
        seen = await self.anna.read_last_order()
        self.store.down = True
        with self.assertRaises(errors.StoreError):
            await self.anna.start(seen)
        self.assertEqual(self.store.entries, {})

    async def test_lost_answers_to_an_abort(self) -> None:
        """Guards against calling an abort that took effect no change.

        The answer to any of its writes is lost.
        """
        for key in (_STATE_KEY, _ORDER_KEY):
            with self.subTest(key=key):
                await self.asyncSetUp()
                await self.bram.start(await self.bram.read_last_order())
                seen = await self.anna.read_last_order()
                self.store.lost_answers[key] = 1
                state = await self.anna.abort(seen)
                self.assertEqual(state, control_pb2.ROLLED_BACK)
                last = await self.anna.read_last_order()
                assert last.order is not None
                self.assertEqual(last.order.state, control_pb2.ROLLED_BACK)
                self.assertEqual(
                    await self.anna.list_attempts(),
                    [("bram", "start"), ("anna", "abort")],
                )

    async def test_abort_without_any_answer_is_undecided(self) -> None:
        """Guards against calling an abort that may come late no change."""
        for key in (_STATE_KEY, _ORDER_KEY):
            with self.subTest(key=key):
                await self.asyncSetUp()
                await self.bram.start(await self.bram.read_last_order())
                seen = await self.anna.read_last_order()
                self.store.late_writes[key] = 100
                with self.assertRaises(errors.UndecidedError):
                    await self.anna.abort(seen)


class AbortRaceTest(unittest.IsolatedAsyncioTestCase):
    """Another operator or a daemon comes before any call of an abort."""

    async def asyncSetUp(self) -> None:
        self.store = fakes.FakeStore()
        self.anna = builders.Operator(self.store, "anna")
        self.bram = builders.Operator(self.store, "bram")

    async def _abort(
        self, position: int | None, interrupt: Callable[[], Awaitable[None]]
    ) -> control_pb2.RolloutState:
        """Starts a roll-out, aborts it, and returns the state.

        Args:
            position: Number of calls of the abort after which another writer
                comes; None for never.
            interrupt: What the other writer does.
        """
        await self.asyncSetUp()
        await self.bram.start(await self.bram.read_last_order())
        seen = await self.anna.read_last_order()
        interruption = fakes.Interruption(self.store, position, interrupt)
        try:
            return await self.anna.abort(seen)
        finally:
            interruption.close()
            self.calls = interruption.calls

    async def _list_calls(self) -> list[tuple[str, str]]:
        """Returns the calls of an abort that nobody interrupts."""

        async def interrupt() -> None:
            """Is never called."""

        await self._abort(None, interrupt)
        return self.calls

    async def _check_last_state(self, state: control_pb2.RolloutState) -> None:
        last = await self.anna.read_last_order()
        assert last.order is not None
        self.assertEqual(last.order.state, state)

    async def test_next_rollout_to_the_same_version_continues(self) -> None:
        """Guards against an abort that ends the roll-out after the next.

        The other operator aborts the roll-out and orders the same version
        again, which daemons start.
        """

        async def order_again() -> None:
            await self.bram.abort(await self.bram.read_last_order())
            await self.bram.start(await self.bram.read_last_order())
            await self.bram.write_state(control_pb2.RUNNING)

        for position, call in enumerate(await self._list_calls()):
            with self.subTest(position=position, call=call):
                try:
                    state = await self._abort(position, order_again)
                    self.assertNotEqual(state, control_pb2.ROLLED_BACK)
                except errors.LostRaceError:
                    """The order that was read is not the last any more."""
                await self._check_last_state(control_pb2.RUNNING)

    async def test_abort_of_another_operator_is_no_lost_race(self) -> None:
        """Guards against an abort that reports a race though it holds."""

        async def abort() -> None:
            await self.bram.abort(await self.bram.read_last_order())

        for position, call in enumerate(await self._list_calls()):
            with self.subTest(position=position, call=call):
                state = await self._abort(position, abort)
                self.assertEqual(state, control_pb2.ROLLED_BACK)
                await self._check_last_state(control_pb2.ROLLED_BACK)

    async def test_start_by_a_daemon_does_not_stop_an_abort(self) -> None:
        """Guards against a roll-out that continues though it was aborted.

        A daemon writes that it runs.
        """

        async def run() -> None:
            await self.bram.write_state(control_pb2.RUNNING)

        for position, call in enumerate(await self._list_calls()):
            with self.subTest(position=position, call=call):
                state = await self._abort(position, run)
                self.assertEqual(state, control_pb2.ROLLED_BACK)
                await self._check_last_state(control_pb2.ROLLED_BACK)

    async def test_first_end_stands(self) -> None:
        """Guards against a rollback after the old version was stopped.

        A daemon writes that the roll-out is complete.
        """

        async def complete() -> None:
            await self.bram.write_state(control_pb2.COMPLETE)

        for position, call in enumerate(await self._list_calls()):
            with self.subTest(position=position, call=call):
                state = await self._abort(position, complete)
                self.assertIn(state, _FINAL_STATES)
                await self._check_last_state(state)


class EraTest(unittest.IsolatedAsyncioTestCase):
    """The store comes back from an older copy between check and order."""

    async def asyncSetUp(self) -> None:
        self.standin = await standin_builders.start_store(self)
        self.contents = self.standin.servicer.key_value_store
        self.copy = self.contents.take_copy()
        self.store = await standin_builders.start_client(self, self.standin)
        self.anna = builders.Operator(self.store, "anna")
        other_store = await standin_builders.start_client(self, self.standin)
        self.bram = builders.Operator(other_store, "bram")

    def _interrupt_order(
        self, interrupt: Callable[[], Awaitable[None]]
    ) -> None:
        """Has something happen just before Anna's first write of an order."""
        put = self.store.put

        async def put_after_interrupt(
            key: str, *arguments: Any, **conditions: Any
        ) -> client.WriteReply:
            if key == _ORDER_KEY:
                self.store.put = put  # type: ignore[method-assign]
                await interrupt()
            return await put(key, *arguments, **conditions)

        self.store.put = put_after_interrupt  # type: ignore[method-assign]

    async def test_attempt_that_the_store_lost_is_listed(self) -> None:
        """Guards against an order in force whose attempt is not listed.

        The store comes back from a copy that is older than the record of the
        attempt.
        """
        seen = await self.anna.read_last_order()

        async def come_back() -> None:
            self.contents.come_back(self.copy)

        self._interrupt_order(come_back)
        await self.anna.start(seen)
        self.assertEqual(await self.anna.list_attempts(), [("anna", "start")])
        last = await self.anna.read_last_order()
        self.assertNotEqual(last.revision, 0)

    async def test_order_replaces_none_of_a_later_era(self) -> None:
        """Guards against replacing an order that has the checked revision.

        The store comes back without the checked order, and gives its revision
        out again to another operator's. The first try comes after that, or does
        not reach the store.
        """
        for is_lost in (False, True):
            with self.subTest(is_lost=is_lost):
                await self.asyncSetUp()
                await self.bram.start(await self.bram.read_last_order(), "v1")
                await self.bram.write_state(control_pb2.COMPLETE)
                seen = await self.anna.read_last_order()

                async def come_back(is_lost: bool = is_lost) -> None:
                    self.contents.come_back(self.copy)
                    other = await self.bram.read_last_order()
                    await self.bram.start(other, "v3")
                    if is_lost:
                        raise errors.StoreUnknownOutcomeError("store is down")

                self._interrupt_order(come_back)
                with self.assertRaises(errors.LostRaceError):
                    await self.anna.start(seen)
                last = await self.anna.read_last_order()
                assert last.order is not None
                self.assertEqual(last.order.version, "v3")
                self.assertCountEqual(
                    await self.anna.list_attempts(),
                    [("bram", "start"), ("anna", "start")],
                )

"""Tests of what a daemon concludes of its backend server in any order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.daemon import heartbeats
from merlintrestle.daemon import lifecycle
from merlintrestle.requests import backend as backends
from merlintrestle.schema import control_pb2
from tests.store import fakes

if TYPE_CHECKING:
    from collections.abc import Sequence

_ADDRESS = "127.0.0.1:1"
_READY = control_pb2.READY
_DRAINING = control_pb2.DRAINING
# Restarts of the daemon, by the status that its check reads.
_RESTARTS = {
    "restart, ready": _READY,
    "restart, draining": _DRAINING,
    "restart, no status": None,
}
# Late heartbeats that arrive once more, by action.
_LATE_HEARTBEATS = {"late heartbeat": 1, "two late heartbeats": 2}
# Number of heartbeats after which a sound process must get calls.
_SOUND_HEARTBEATS = 2
_TEST_TIMEOUT_S = 20.0


class _Instance:
    """A daemon and the process of a backend server beside it.

    Attributes:
        backend: What the daemon concludes.
        started_ms: Start of the process.
        leaving: Whether the process has announced that it leaves.
        store: The store of the daemon.
        announced: Leaving processes that the daemon told to others.
        flush_count: How often it waited until others were told.
        has_neighbours: Whether there are others.
        confirmed: Whether the latest leave or heartbeat was confirmed.
    """

    def __init__(self, states_start: bool, leave_states_start: bool):
        self.store = fakes.FakeStore()
        self.announced: list[heartbeats.Process] = []
        self.flush_count = 0
        self.has_neighbours = True
        self.confirmed = False
        self.started_ms = 1000
        self.leaving = False
        self._now_s = 2.0
        self._sequence = 0
        self._sent: list[heartbeats.Heartbeat] = []
        self._states_start = states_start
        self._leave_states_start = leave_states_start
        self._create_daemon()

    async def apply(self, action: str) -> None:
        """Applies an action of the process, the daemon or the network."""
        self._now_s += 1.0
        if action in _RESTARTS:
            await self._restart(_RESTARTS[action])
        elif action == "heartbeat":
            await self.send_heartbeat()
        elif action == "delayed heartbeat":
            self._sent.append(self._create_heartbeat())
        elif action == "drain":
            self.leaving = True
            await self.send_heartbeat()
        elif action == "leave":
            self.leaving = True
            started_ms = self.started_ms if self._leave_states_start else 0
            self.confirmed = await self._lifecycle.handle_leave(
                "i-1", started_ms
            )
        elif action == "process restart":
            self.started_ms = int(self._now_s * 1000)
            self._sequence = 0
            self.leaving = False
        else:
            for heartbeat in self._sent[-_LATE_HEARTBEATS[action] :]:
                await self._lifecycle.handle_heartbeat(heartbeat)

    async def send_heartbeat(self) -> None:
        """Sends the next heartbeat of the process."""
        heartbeat = self._create_heartbeat()
        if not self.leaving:
            self._sent.append(heartbeat)
        self.confirmed = await self._lifecycle.handle_heartbeat(heartbeat)
        self._last_heartbeat = heartbeat

    async def repeat_heartbeat(self) -> None:
        """Sends the heartbeat that was sent last once more."""
        self.confirmed = await self._lifecycle.handle_heartbeat(
            self._last_heartbeat
        )

    async def close(self) -> None:
        """Ends the daemon."""
        await self._lifecycle.close()

    def _create_heartbeat(self) -> heartbeats.Heartbeat:
        """Creates the next heartbeat of the process without sending it."""
        self._now_s += 1.0
        self._sequence += 1
        return self._build_heartbeat(
            self._sequence,
            _DRAINING if self.leaving else _READY,
            self.started_ms if self._states_start else 0,
        )

    def _create_daemon(self) -> None:
        self.backend = backends.LocalBackend()
        self._lifecycle = lifecycle.BackendLifecycle(
            self.backend,
            self.store,  # type: ignore[arg-type]
            _ADDRESS,
            self.announced.append,
            self._flush,
            lambda: self._now_s,
        )

    async def _flush(self) -> bool:
        self.flush_count += 1
        return self.has_neighbours

    async def _restart(self, state: control_pb2.BackendState | None) -> None:
        await self._lifecycle.close()
        self._create_daemon()

        async def read_status() -> heartbeats.Heartbeat | None:
            if state is None:
                return None
            return self._build_heartbeat(heartbeats.INITIAL_SEQUENCE, state, 0)

        await self._lifecycle.restore(read_status)

    def _build_heartbeat(
        self, sequence: float, state: control_pb2.BackendState, started_ms: int
    ) -> heartbeats.Heartbeat:
        return heartbeats.Heartbeat(
            "i-1", "kassa", _ADDRESS, 12, state, 0.0, sequence, started_ms
        )


class AnotherProcessTest(unittest.IsolatedAsyncioTestCase):
    """Heartbeats of two processes at one address, without start times."""

    async def asyncSetUp(self) -> None:
        self.running: str | None = "live"
        self.backend = backends.LocalBackend()
        self.lifecycle = lifecycle.BackendLifecycle(
            self.backend,
            fakes.FakeStore(),  # type: ignore[arg-type]
            _ADDRESS,
            lambda process: None,
            self._flush,
        )
        self.addAsyncCleanup(self.lifecycle.close)
        await self.lifecycle.restore(self._check_status)

    async def _flush(self) -> bool:
        return True

    async def _check_status(self) -> heartbeats.Heartbeat | None:
        if self.running is None:
            return None
        return self._build(self.running, heartbeats.INITIAL_SEQUENCE)

    def _build(self, instance_id: str, sequence: float) -> heartbeats.Heartbeat:
        return heartbeats.Heartbeat(
            instance_id, "kassa", _ADDRESS, 12, _READY, 0.0, sequence
        )

    async def send(
        self,
        instance_id: str,
        sequence: float,
        state: control_pb2.BackendState = _READY,
    ) -> str:
        """Sends a heartbeat, and returns the process that is known to run."""
        heartbeat = self._build(instance_id, sequence)._replace(state=state)
        self.assertTrue(await self.lifecycle.handle_heartbeat(heartbeat))
        return self.backend.instance_id

    async def test_late_heartbeat_does_not_replace_the_live_process(self):
        """Guards against a live process that is ignored for good."""
        self.assertEqual(await self.send("live", 1), "live")
        self.assertEqual(await self.send("crashed", 40), "live")
        self.assertEqual(await self.send("live", 2), "live")

    async def test_live_process_comes_back_after_a_late_heartbeat(self) -> None:
        """Guards against a live process ignored after a failed status check."""
        await self.send("live", 1)
        self.running = None
        await self.send("crashed", 40)
        self.running = "live"
        self.assertEqual(await self.send("live", 2), "live")
        self.assertEqual(await self.send("crashed", 41), "live")

    async def test_new_process_gets_calls_with_its_first_heartbeat(
        self,
    ) -> None:
        """Guards against a new process that has to wait for its calls."""
        for running in ("new", None):
            with self.subTest(running=running):
                await self.asyncSetUp()
                await self.send("live", 1)
                self.running = running
                self.assertEqual(await self.send("new", 1), "new")

    async def test_late_heartbeat_does_not_end_a_drain(self) -> None:
        """Guards against calls to a process that drains and was displaced."""
        await self.send("live", 10, _DRAINING)
        self.running = None
        await self.send("crashed", 40)
        self.running = "live"
        self.assertEqual(await self.send("live", 9), "crashed")
        self.assertEqual(await self.send("live", 11, _DRAINING), "live")
        self.assertEqual(self.backend.build_record().state, _DRAINING)

    async def test_process_that_left_does_not_come_back(self) -> None:
        """Guards against calls to a process that left and still answers."""
        await self.send("live", 1)
        self.running = None
        await self.send("new", 1)
        await self.lifecycle.handle_leave("live")
        self.running = "live"
        self.assertEqual(await self.send("live", 2), "new")


_ACTIONS = (
    *_RESTARTS,
    "heartbeat",
    "late heartbeat",
    "two late heartbeats",
    "drain",
    "leave",
)


class OrderTest(unittest.TestCase):
    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(_ACTIONS), max_size=9),
        strategies.booleans(),
        strategies.booleans(),
    )
    def test_a_confirmed_leave_holds_in_any_order(
        self, actions: Sequence[str], states_start: bool, leave_states: bool
    ) -> None:
        """Guards against calls to a process whose leave was confirmed."""
        asyncio.run(self._check_leave(actions, states_start, leave_states))

    @hypothesis.settings(max_examples=500)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(
                (*_ACTIONS, "process restart", "delayed heartbeat")
            ),
            max_size=9,
        ),
        strategies.booleans(),
    )
    def test_a_leave_holds_after_a_restart_of_the_process(
        self, actions: Sequence[str], leave_states: bool
    ) -> None:
        """Guards against calls to a process that left under a reused id."""
        asyncio.run(self._check_leave(actions, True, leave_states))

    def test_a_restarted_process_drains_before_a_restart_of_the_daemon(
        self,
    ) -> None:
        """Guards against a record that names the earlier process of an id."""
        actions = (
            "heartbeat",
            "leave",
            "process restart",
            "heartbeat",
            "drain",
            "restart, ready",
            "late heartbeat",
        )
        asyncio.run(self._check_leave(actions, True, True))

    def test_a_restarted_process_leaves_before_its_first_heartbeat(
        self,
    ) -> None:
        """Guards against a leave that is taken for that of the process before.

        Its heartbeat arrives after the leave, which states no start.
        """
        actions = (
            "heartbeat",
            "process restart",
            "delayed heartbeat",
            "leave",
            "late heartbeat",
        )
        asyncio.run(self._check_leave(actions, True, False))

    async def _check_leave(
        self, actions: Sequence[str], states_start: bool, leave_states: bool
    ) -> None:
        instance = _Instance(states_start, states_start and leave_states)
        left = False
        for action in actions:
            if action in ("heartbeat", "delayed heartbeat") and left:
                continue
            await instance.apply(action)
            if action in ("leave", "process restart"):
                left = action == "leave"
            if instance.leaving:
                self.assertNotEqual(instance.backend.state, _READY, action)
        await instance.close()

    @hypothesis.settings(max_examples=300)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from((*_ACTIONS, "process restart")), max_size=9
        ),
        strategies.booleans(),
    )
    def test_a_sound_process_gets_calls_after_any_order(
        self, actions: Sequence[str], leave_states: bool
    ) -> None:
        """Guards against a process that starts again and gets no calls."""
        asyncio.run(self._check_sound(actions, leave_states))

    async def _check_sound(
        self, actions: Sequence[str], leave_states: bool
    ) -> None:
        instance = _Instance(True, leave_states)
        for action in (*actions, "process restart"):
            await instance.apply(action)
        for _ in range(_SOUND_HEARTBEATS):
            await instance.send_heartbeat()
        for action in ("late heartbeat", "two late heartbeats"):
            await instance.apply(action)
            self.assertEqual(instance.backend.state, _READY)
            self.assertEqual(instance.backend.started_ms, instance.started_ms)
        await instance.close()


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        timeout = asyncio.timeout(_TEST_TIMEOUT_S)
        await self.enterAsyncContext(timeout)

    async def test_a_leave_is_recorded_before_it_is_confirmed(self) -> None:
        """Guards against a kill right after the confirmation."""
        instance = _Instance(True, False)
        await instance.apply("leave")
        self.assertEqual(len(instance.store.entries), 1)
        await instance.close()

    async def test_a_repeated_leave_waits_for_the_record(self) -> None:
        """Guards against a second leave that is confirmed too early."""
        instance = _Instance(True, True)
        await instance.apply("heartbeat")
        recorded = asyncio.Event()

        async def wait(method: str, key: str) -> None:
            del method, key
            await recorded.wait()

        instance.store.before_call = wait
        first = asyncio.create_task(instance.apply("leave"))
        await asyncio.sleep(0)
        second = asyncio.create_task(instance.apply("leave"))
        await asyncio.sleep(0.05)
        self.assertFalse(second.done())
        recorded.set()
        await asyncio.gather(first, second)
        self.assertEqual(len(instance.store.entries), 1)
        await instance.close()

    async def test_a_leave_is_told_before_it_is_confirmed(self) -> None:
        """Guards against a kill right after the confirmation in an outage."""
        instance = _Instance(True, False)
        await instance.apply("heartbeat")
        await instance.apply("leave")
        self.assertEqual(
            (len(instance.announced), instance.flush_count), (1, 1)
        )
        await instance.close()

    async def test_one_record_for_each_process(self) -> None:
        """Guards against calls and messages with each heartbeat."""
        for leave_states_start, records in ((True, 1), (False, 2)):
            with self.subTest(leave_states_start=leave_states_start):
                instance = _Instance(True, leave_states_start)
                for action in ("drain", "heartbeat", "heartbeat", "leave"):
                    await instance.apply(action)
                self.assertEqual(instance.store.calls["put"], records)
                self.assertEqual(len(instance.announced), records)
                await instance.close()

    async def test_a_leave_is_confirmed_without_the_store(self) -> None:
        """Guards against a leave that no daemon confirms in an outage."""
        instance = _Instance(True, False)
        instance.store.down = True
        await instance.apply("heartbeat")
        await instance.apply("leave")
        self.assertTrue(instance.confirmed)
        self.assertEqual(instance.backend.state, _DRAINING)
        instance.store.down = False
        while not instance.store.entries:
            await asyncio.sleep(0.05)
        await instance.close()

    async def test_a_leave_that_nobody_remembers_is_not_confirmed(self) -> None:
        """Guards against a promise that a restart would break."""
        instance = _Instance(True, False)
        instance.store.down = True
        instance.has_neighbours = False
        await instance.apply("heartbeat")
        await instance.apply("leave")
        self.assertFalse(instance.confirmed)
        self.assertEqual(instance.backend.state, _DRAINING)
        instance.store.down = False
        while not instance.confirmed:
            await instance.apply("leave")
        await instance.close()

    async def test_a_repeated_drain_that_nobody_remembers(self) -> None:
        """Guards against a confirmation of an outdated heartbeat's drain."""
        instance = _Instance(True, False)
        instance.store.down = True
        instance.has_neighbours = False
        await instance.apply("drain")
        self.assertFalse(instance.confirmed)
        await instance.repeat_heartbeat()
        self.assertFalse(instance.confirmed)
        instance.store.down = False
        while not instance.confirmed:
            await instance.repeat_heartbeat()
        self.assertEqual(len(instance.store.entries), 1)
        await instance.close()

    async def test_records_are_read_once_the_store_is_back(self) -> None:
        """Guards against a leave that is forgotten after an outage."""
        instance = _Instance(True, False)
        await instance.apply("heartbeat")
        await instance.apply("leave")
        instance.store.down = True
        await instance.apply("restart, ready")
        instance.store.down = False
        while instance.backend.state == _READY:
            await asyncio.sleep(0.05)
        await instance.apply("late heartbeat")
        self.assertNotEqual(instance.backend.state, _READY)
        await instance.close()

    async def test_a_malformed_record_is_ignored(self) -> None:
        """Guards against a daemon that does not start for another's entry."""
        instance = _Instance(True, False)
        for key, value in (("x", b"\xff\xff"), ("y", b"")):
            await instance.store.put(f"leaves/{_ADDRESS}/{key}", value, 0)
        await instance.apply("restart, ready")
        self.assertEqual(instance.backend.state, _READY)
        self.assertEqual(instance.announced, [])
        await instance.close()

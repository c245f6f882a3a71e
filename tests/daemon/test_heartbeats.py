"""Tests of outdated heartbeats, retired processes and process restarts."""

from __future__ import annotations

import unittest

from merlintrestle.daemon import heartbeats
from merlintrestle.requests import backend
from merlintrestle.schema import control_pb2


def _build_heartbeat(
    instance_id: str = "i-1",
    sequence: float = 1,
    started_ms: int = 0,
    state: control_pb2.BackendState = control_pb2.READY,
) -> heartbeats.Heartbeat:
    return heartbeats.Heartbeat(
        instance_id=instance_id,
        service="kassa",
        address="127.0.0.1:1",
        slots=12,
        state=state,
        remaining_warmup_s=0.0,
        sequence=sequence,
        started_ms=started_ms,
    )


class HeartbeatFilterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.filter = heartbeats.HeartbeatFilter()

    def test_a_restart_under_the_same_id(self) -> None:
        """A backend server that restarts under its old id gets calls at once.

        Its sequence numbers restart too. If its heartbeats were treated as
        outdated until the numbers had caught up, at one heartbeat every 1.5 s
        it would get no calls for as long as the previous process had run.
        """
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 400, 1000)))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 1, 2000)))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 2, 2000)))

    def test_a_late_heartbeat_after_a_restart_of_the_daemon(self) -> None:
        """Guards against calls to a process that left before the restart."""
        drained = _build_heartbeat(
            sequence=heartbeats.INITIAL_SEQUENCE, state=control_pb2.DRAINING
        )
        self.assertTrue(self.filter.accept(drained))
        self.assertFalse(self.filter.accept(_build_heartbeat(sequence=7)))
        self.assertFalse(self.filter.accept(_build_heartbeat(sequence=6)))

    def test_a_sound_process_whose_status_was_bad(self) -> None:
        """Guards against a sound process that gets no calls any more."""
        drained = _build_heartbeat(
            sequence=heartbeats.INITIAL_SEQUENCE, state=control_pb2.DRAINING
        )
        self.filter.accept(drained)
        self.filter.accept(_build_heartbeat(sequence=7))
        self.assertTrue(self.filter.accept(_build_heartbeat(sequence=8)))

    def test_another_process_after_a_bad_status(self) -> None:
        """Guards against a new process that has to wait for its calls."""
        drained = _build_heartbeat(
            sequence=heartbeats.INITIAL_SEQUENCE, state=control_pb2.DRAINING
        )
        self.filter.accept(drained)
        self.assertTrue(self.filter.accept(_build_heartbeat("i-2")))

    def test_a_late_heartbeat_from_before_a_restart(self) -> None:
        self.filter.accept(_build_heartbeat("i-1", 400, 1000))
        self.filter.accept(_build_heartbeat("i-1", 1, 2000))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 401, 1000)))

    def test_a_late_heartbeat_of_another_earlier_process(self) -> None:
        """An unknown process that started before the current one is ignored."""
        self.filter.accept(_build_heartbeat("i-2", 1, 2000))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 400, 1000)))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-2", 1, 2000)))

    def test_a_late_retirement_of_the_previous_process(self) -> None:
        """The process after a restart still gets calls."""
        self.filter.accept(_build_heartbeat("i-1", 400, 1000))
        self.filter.accept(_build_heartbeat("i-1", 1, 2000))
        self.assertFalse(self.filter.retire("i-1", 1000))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 2, 2000)))

    def test_a_retired_id_is_accepted_after_a_restart(self) -> None:
        self.filter.accept(_build_heartbeat("i-1", 400, 1000))
        self.assertTrue(self.filter.retire("i-1", 1000))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 401, 1000)))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 1, 2000)))

    def test_a_retirement_without_a_start_time(self) -> None:
        """It applies to the current process, which must get no new calls."""
        self.filter.accept(_build_heartbeat("i-1", 400, 1000))
        self.assertTrue(self.filter.retire("i-1"))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 401, 1000)))

    def test_an_initial_state_without_a_start_time(self) -> None:
        """The first heartbeat after the initial state is accepted.

        The state that the daemon reads from the health endpoint at its start
        has no start time. A later heartbeat is treated as one of the same
        process, and the order of sequence numbers applies.
        """
        self.filter.accept(_build_heartbeat("i-1", heartbeats.INITIAL_SEQUENCE))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 7, 1000)))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 6)))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 6, 1000)))

    def test_without_start_times_the_sequence_decides(self) -> None:
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 2)))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 1)))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-2", 1)))
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 3)))

    def test_a_leave_before_the_first_heartbeat(self) -> None:
        """Guards against calls to a process that left after a restart."""
        for initial_state in ("none", "ready"):
            with self.subTest(initial_state=initial_state):
                self.filter = heartbeats.HeartbeatFilter(lambda: 5.0)
                if initial_state == "ready":
                    self.filter.accept(
                        _build_heartbeat("i-1", heartbeats.INITIAL_SEQUENCE)
                    )
                self.assertTrue(self.filter.retire("i-1"))
                late = _build_heartbeat("i-1", 7, 1000)
                self.assertFalse(self.filter.accept(late))

    def test_a_process_after_a_leave_before_the_first_heartbeat(self) -> None:
        """Guards against a restarted process that gets no calls."""
        self.filter = heartbeats.HeartbeatFilter(lambda: 5.0)
        self.assertTrue(self.filter.retire("i-1"))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 1, 5001)))

    def test_a_leave_while_an_earlier_process_seems_current(self) -> None:
        """Guards against calls to a process whose address was reused."""
        self.filter = heartbeats.HeartbeatFilter(lambda: 5.0)
        self.filter.accept(_build_heartbeat("i-1", heartbeats.INITIAL_SEQUENCE))
        self.filter.accept(_build_heartbeat("i-0", 40, 1000))
        self.filter.retire("i-1")
        self.assertFalse(self.filter.accept(_build_heartbeat("i-1", 7, 2000)))

    def test_drains_of_several_processes_are_restored(self) -> None:
        """Guards against calls to a process that drained after another one."""
        for order in ((0, 1), (1, 0)):
            with self.subTest(order=order):
                self.filter = heartbeats.HeartbeatFilter()
                drained = (
                    heartbeats.Process("i-1", 1000, 10),
                    heartbeats.Process("i-2", 2000, 3),
                )
                for index in order:
                    self.assertTrue(self.filter.restore(drained[index]))
                for late in (
                    _build_heartbeat("i-1", 9, 1000),
                    _build_heartbeat("i-2", 2, 2000),
                    _build_heartbeat("i-2", heartbeats.INITIAL_SEQUENCE),
                ):
                    self.assertFalse(self.filter.accept(late))
                self.assertTrue(
                    self.filter.accept(_build_heartbeat("i-2", 4, 2000))
                )

    def test_a_process_that_starts_again_after_a_restored_drain(self) -> None:
        """Guards against a restarted process that gets no calls."""
        self.filter.restore(heartbeats.Process("i-1", 1000, 10))
        self.assertTrue(self.filter.accept(_build_heartbeat("i-1", 1, 2000)))


class RestartTest(unittest.TestCase):
    """Tests that `LocalBackend` resets its state when a process restarts."""

    def setUp(self) -> None:
        self.backend = backend.LocalBackend()
        self.restarted: list[str] = []
        self.backend.on_restart = self.restarted.append

    def announce(
        self, instance_id: str, remaining_warmup_s: float, started_ms: int
    ) -> None:
        """Announces a process as ready."""
        self.backend.announce(
            "kassa",
            "127.0.0.1:1",
            12,
            instance_id=instance_id,
            remaining_warmup_s=remaining_warmup_s,
            started_ms=started_ms,
        )

    def test_a_restarted_process_warms_up_again(self) -> None:
        """A restarted process gets a rising share of calls, on new connections.

        If it were treated as warmed up, it would get its full share while it is
        slow, and its first calls would use connections of the previous process.
        """
        for instance_id, started_ms in (("i-1", 2000), ("i-2", 0)):
            with self.subTest(instance_id=instance_id):
                self.setUp()
                self.announce("i-1", 0.0, 1000)
                first_ready_ms = self.backend.ready_since_ms
                self.announce(instance_id, 5.0, started_ms)
                self.assertGreater(self.backend.ready_since_ms, first_ready_ms)
                self.assertEqual(self.restarted, ["127.0.0.1:1"])

    def test_the_same_process_stays_warmed_up(self) -> None:
        self.announce("i-1", 0.0, 1000)
        first_ready_ms = self.backend.ready_since_ms
        self.announce("i-1", 0.0, 1000)
        self.assertEqual(self.backend.ready_since_ms, first_ready_ms)
        self.assertEqual(self.restarted, [])

"""Which heartbeats and leaves of a backend server still say something."""

from __future__ import annotations

import unittest

from merlintrestle.daemon import heartbeats
from merlintrestle.requests import backend
from merlintrestle.schema import control_pb2


def _build(
    instance_id: str = "i-1", sequence: float = 1, born_ms: int = 0
) -> heartbeats.Heartbeat:
    return heartbeats.Heartbeat(
        instance_id=instance_id,
        service="kassa",
        address="127.0.0.1:1",
        slots=12,
        state=control_pb2.READY,
        remaining_warmup_s=0.0,
        sequence=sequence,
        started_ms=born_ms,
    )


class HeartbeatsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.heard = heartbeats.HeartbeatFilter()

    def test_a_restart_under_the_same_id(self) -> None:
        """Callers are served by a backend server that has just restarted.

        It keeps its id and counts from the beginning. Taken for late ones,
        its heartbeats would be dropped until they had caught up: at one in
        1.5 s it would get no work for as long as it had lived before.
        """
        self.assertTrue(self.heard.accept(_build("i-1", 400, 1000)))
        self.assertTrue(self.heard.accept(_build("i-1", 1, 2000)))
        self.assertTrue(self.heard.accept(_build("i-1", 2, 2000)))

    def test_a_late_heartbeat_of_the_earlier_life(self) -> None:
        self.heard.accept(_build("i-1", 400, 1000))
        self.heard.accept(_build("i-1", 1, 2000))
        self.assertFalse(self.heard.accept(_build("i-1", 401, 1000)))

    def test_a_late_heartbeat_of_another_earlier_process(self) -> None:
        """A process that nobody here heard of started before the newest."""
        self.heard.accept(_build("i-2", 1, 2000))
        self.assertFalse(self.heard.accept(_build("i-1", 400, 1000)))
        self.assertFalse(self.heard.accept(_build("i-2", 1, 2000)))

    def test_a_late_leave_of_the_earlier_life(self) -> None:
        """The new process goes on getting work."""
        self.heard.accept(_build("i-1", 400, 1000))
        self.heard.accept(_build("i-1", 1, 2000))
        self.assertFalse(self.heard.retire("i-1", 1000))
        self.assertTrue(self.heard.accept(_build("i-1", 2, 2000)))

    def test_an_id_that_left_counts_again_after_a_restart(self) -> None:
        self.heard.accept(_build("i-1", 400, 1000))
        self.assertTrue(self.heard.retire("i-1", 1000))
        self.assertFalse(self.heard.accept(_build("i-1", 401, 1000)))
        self.assertTrue(self.heard.accept(_build("i-1", 1, 2000)))

    def test_a_leave_that_does_not_say_of_which_life(self) -> None:
        """It counts for the newest one: no new work may reach a leaver."""
        self.heard.accept(_build("i-1", 400, 1000))
        self.assertTrue(self.heard.retire("i-1"))
        self.assertFalse(self.heard.accept(_build("i-1", 401, 1000)))

    def test_a_status_says_nothing_of_the_start(self) -> None:
        """The first heartbeat after it is of the same process."""
        self.heard.accept(_build("i-1", heartbeats.INITIAL_SEQUENCE))
        self.assertTrue(self.heard.accept(_build("i-1", 7, 1000)))
        self.assertFalse(self.heard.accept(_build("i-1", 6)))
        self.assertFalse(self.heard.accept(_build("i-1", 6, 1000)))

    def test_without_a_start_the_count_alone_decides(self) -> None:
        self.assertTrue(self.heard.accept(_build("i-1", 2)))
        self.assertFalse(self.heard.accept(_build("i-1", 1)))
        self.assertTrue(self.heard.accept(_build("i-2", 1)))
        self.assertFalse(self.heard.accept(_build("i-1", 3)))


class RestartTest(unittest.TestCase):
    """What the daemon knows of its backend server is of one process."""

    def setUp(self) -> None:
        self.backend = backend.LocalBackend()
        self.dropped: list[str] = []
        self.backend.on_restart = self.dropped.append

    def announce(self, instance_id: str, cold_s: float, born_ms: int) -> None:
        """Has a process announce itself as ready."""
        self.backend.announce(
            "kassa",
            "127.0.0.1:1",
            12,
            instance_id=instance_id,
            cold_s=cold_s,
            born_ms=born_ms,
        )

    def test_a_restarted_process_is_cold(self) -> None:
        """It gets a share of work that rises, on new connections.

        Held for warm, it would get a full share while it is slow, and its
        first calls would meet connections of the process before.
        """
        for instance_id, born_ms in (("i-1", 2000), ("i-2", 0)):
            with self.subTest(instance_id=instance_id):
                self.setUp()
                self.announce("i-1", 0.0, 1000)
                warm_since = self.backend.ready_since_ms
                self.announce(instance_id, 5.0, born_ms)
                self.assertGreater(self.backend.ready_since_ms, warm_since)
                self.assertEqual(self.dropped, ["127.0.0.1:1"])

    def test_the_same_process_stays_warm(self) -> None:
        self.announce("i-1", 0.0, 1000)
        warm_since = self.backend.ready_since_ms
        self.announce("i-1", 0.0, 1000)
        self.assertEqual(self.backend.ready_since_ms, warm_since)
        self.assertEqual(self.dropped, [])

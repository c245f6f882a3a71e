"""Tests of process checks and garbage collection settings."""

from __future__ import annotations

import gc
import os
import unittest
from unittest import mock

from merlintrestle import application


class IoUringTest(unittest.TestCase):
    def test_the_event_loop_opens_no_ring(self):
        """Instances do not allow a process to open an io_uring.

        uvloop 0.23.0 opens one regardless of the variable; 0.22.1 opens two
        unless UV_USE_IO_URING is 0 when its loop is created. The check finds
        rings among the open files.
        """
        with mock.patch.dict(os.environ, {"UV_USE_IO_URING": "0"}):
            import uvloop

            loop = uvloop.new_event_loop()
            try:
                application.check_io_uring()
            finally:
                loop.close()

    def test_a_ring_is_refused(self):
        """The check detects a ring that a later release of uvloop opens.

        A mocked open file replaces the ring of such a release. The check has to
        raise, so that the process ends before it serves calls.
        """
        ring = mock.Mock()
        ring.readlink.return_value.name = "anon_inode:[io_uring]"
        with mock.patch.object(application, "_OPEN_FILES") as files:
            files.iterdir.return_value = [ring]
            with self.assertRaises(application.IoUringError):
                application.check_io_uring()


class GarbageCollectionTest(unittest.TestCase):
    def test_objects_of_the_startup_are_frozen(self):
        """A full collection does not traverse the imported modules.

        It pauses all calls in flight. Frozen objects are not traversed any
        more, while new cycles are still freed.
        """
        thresholds = gc.get_threshold()
        try:
            application.resume_gc()
            self.assertGreater(gc.get_freeze_count(), 0)
            cycle: list[object] = []
            cycle.append(cycle)
            del cycle
            self.assertGreaterEqual(gc.collect(), 1)
        finally:
            gc.unfreeze()
            gc.set_threshold(*thresholds)

    def test_the_collector_is_disabled_only_during_startup(self):
        """Guards against memory that grows without bound after the start.

        The collector is disabled while modules are imported. If it stayed
        disabled, no cycle would ever be freed, and the process would be killed
        for its memory use some hours later.
        """
        thresholds = gc.get_threshold()
        try:
            application.pause_gc()
            self.assertFalse(gc.isenabled())
            application.resume_gc()
            self.assertTrue(gc.isenabled())
        finally:
            gc.enable()
            gc.unfreeze()
            gc.set_threshold(*thresholds)

"""Tests of process checks and garbage collection settings."""

from __future__ import annotations

import gc
import os
import unittest
from unittest import mock

from merlintrestle import application


class IoUringTest(unittest.TestCase):
    def test_the_event_loop_opens_no_io_uring(self):
        """Fails if an upgrade of uvloop opens an io_uring.

        Instances do not allow a process to open one. uvloop 0.22.1 opens two
        unless the variable UV_USE_IO_URING is 0 when its loop is created;
        0.23.0 opens one regardless of the variable. The check searches the open
        files for an io_uring.
        """
        with mock.patch.dict(os.environ, {"UV_USE_IO_URING": "0"}):
            import uvloop

            loop = uvloop.new_event_loop()
            try:
                application.check_io_uring()
            finally:
                loop.close()

    def test_an_io_uring_is_detected(self):
        """The check detects an io_uring that a later uvloop opens.

        A mocked open file represents the io_uring. The check has to raise an
        error, so that the process ends before it serves calls.
        """
        symlink = mock.Mock()
        symlink.readlink.return_value.name = "anon_inode:[io_uring]"
        with mock.patch.object(application, "_OPEN_FILES") as files:
            files.iterdir.return_value = [symlink]
            with self.assertRaises(application.IoUringError):
                application.check_io_uring()


class GarbageCollectionTest(unittest.TestCase):
    def test_objects_of_the_startup_are_frozen(self):
        """A full collection does not traverse the imported modules.

        A collection pauses all calls in flight. It skips frozen objects, but
        still frees new cycles.
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
        """Guards against unbounded memory growth after the start.

        The collector is disabled while modules are imported. If it stayed
        disabled, no cycle would ever be freed, and after some hours the process
        would be killed for its memory use.
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

"""Tests of running a process."""

from __future__ import annotations

import gc
import os
import unittest
from unittest import mock

from merlintrestle import application


class IoUringTest(unittest.TestCase):
    def test_the_event_loop_opens_no_ring(self):
        """A process that opens an io_uring is not allowed on the instances.

        uvloop 0.23.0 opens one whatever the variable says; 0.22.1 opens two
        unless UV_USE_IO_URING is 0 when its loop is made. The check sees the
        rings as open files.
        """
        with mock.patch.dict(os.environ, {"UV_USE_IO_URING": "0"}):
            import uvloop

            loop = uvloop.new_event_loop()
            try:
                application.check_io_uring()
            finally:
                loop.close()

    def test_a_ring_is_refused(self):
        """The check must not pass over a ring that a later release opens.

        An open file of that kind stands in for the ring of such a release;
        the check has to raise, so that the process ends before it serves.
        """
        ring = mock.Mock()
        ring.readlink.return_value.name = "anon_inode:[io_uring]"
        with mock.patch.object(application, "_OPEN_FILES") as files:
            files.iterdir.return_value = [ring]
            with self.assertRaises(application.IoUringError):
                application.check_io_uring()


class GarbageTest(unittest.TestCase):
    def test_what_start_up_made_is_left_out(self):
        """A caller does not wait while all imported modules are looked through.

        A full collection stops every call in flight. What is frozen is not
        looked at any more, while new cycles still are freed.
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

    def test_the_collector_rests_only_while_the_process_starts(self):
        """Memory does not grow without bound after the start.

        The collector is switched off while modules are imported. Were it not
        switched on again, no cycle would ever be freed, and the process would
        be killed for its memory some hours later.
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

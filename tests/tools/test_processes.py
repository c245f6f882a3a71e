"""Tests of the process table and of samples from the kernel."""

from __future__ import annotations

import os
import unittest

from tools import processes
from tools import samples


class ProcessTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_close_leaves_no_process_behind(self) -> None:
        table = processes.ProcessTable()
        try:
            store = await table.start("store", "standins.store")
            self.assertIn("address", store.ready_fields)
            self.assertGreater(samples.read_rss_mb(store.pid), 0)
        finally:
            await table.close()
        self.assertFalse(store.running)
        self.assertFalse(table.directory.exists())
        with self.assertRaises(ProcessLookupError):
            os.kill(store.pid, 0)

    async def test_process_that_fails_shows_its_last_lines(self) -> None:
        table = processes.ProcessTable()
        self.addAsyncCleanup(table.close)
        with self.assertRaisesRegex(processes.ProcessError, "no_such_module"):
            await table.start("odd", "standins.no_such_module")


class SamplesTest(unittest.TestCase):
    def test_percentile_is_a_value_that_was_seen(self) -> None:
        values = [float(n) for n in range(1, 101)]
        self.assertEqual(samples.compute_percentile(values, 0.5), 50.0)
        self.assertEqual(samples.compute_percentile(values, 0.99), 99.0)
        self.assertEqual(samples.compute_percentile([3.0], 0.99), 3.0)

    def test_bytes_are_counted_of_open_connections(self) -> None:
        before = {(1, 2): 10, (3, 4): 100}
        after = {(1, 2): 15, (5, 6): 7}
        self.assertEqual(samples.compute_added_bytes(before, after), 12)


if __name__ == "__main__":
    unittest.main()

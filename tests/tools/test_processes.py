"""Tests of the process table and of the samples."""

from __future__ import annotations

import os
import unittest

from tools import processes
from tools import samples


class ProcessTableTest(unittest.IsolatedAsyncioTestCase):
    async def test_close_stops_every_process(self) -> None:
        """Guards against processes and files that outlive their run.

        Nothing else stops the processes of a table or removes its directory.
        """
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

    async def test_failed_start_reports_last_stderr_lines(self) -> None:
        """Guards against a failed start without its cause.

        A process whose module does not exist ends before its ready line; only
        its stderr says why.
        """
        table = processes.ProcessTable()
        self.addAsyncCleanup(table.close)
        with self.assertRaisesRegex(processes.ProcessError, "no_such_module"):
            await table.start("odd", "standins.no_such_module")


class SamplesTest(unittest.TestCase):
    def test_percentile_is_one_of_the_values(self) -> None:
        """Guards against percentiles that are interpolated or off by one."""
        values = [float(n) for n in range(1, 101)]
        self.assertEqual(samples.compute_percentile(values, 0.5), 50.0)
        self.assertEqual(samples.compute_percentile(values, 0.99), 99.0)
        self.assertEqual(samples.compute_percentile([3.0], 0.99), 3.0)

    def test_bytes_of_open_connections_are_counted(self) -> None:
        """Guards against bytes that are left out or counted too often.

        Between two samples one connection carries more bytes, one is opened and
        one is closed.
        """
        before = {(1, 2): 10, (3, 4): 100}
        after = {(1, 2): 15, (5, 6): 7}
        self.assertEqual(samples.compute_added_bytes(before, after), 12)


if __name__ == "__main__":
    unittest.main()

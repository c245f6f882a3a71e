"""Test of the memory of daemons whose backend servers send without end."""

from __future__ import annotations

import asyncio
import unittest

from tests.clients import floods


class FloodTest(unittest.TestCase):
    def test_floods_of_all_backend_servers_end_no_daemon(self) -> None:
        """Guards against a daemon that keeps what a faulty server sends."""
        for name in ("informational", "header lines", "body", "own body"):
            with self.subTest(name):
                result = asyncio.run(floods.play(floods.FLOODS[name], 12, 3.0))
                self.assertEqual(result.ended, [])
                self.assertGreater(result.calls, 0)


if __name__ == "__main__":
    unittest.main()

"""Downloads and checks over a thin link, in plays of simulated time."""

from __future__ import annotations

import unittest

from tests.requests.load import thinlinks

_SEEDS = (1, 2, 3)
_LOAD = 2.2


class ThinLinksTest(unittest.TestCase):
    """One backend server behind a link of 400 kB/s.

    Figures in brackets are the least of the runs for which a bound was set.
    """

    def test_far_more_downloads_than_the_link_carries(self) -> None:
        """Most of those that it can carry are in time, and so are checks.

        Downloads ask for 2.2 times what the link carries, so that 0.45 of
        them can be served whoever decides (0.36 in time; checks 0.995). Begun
        all together they share the link, and each comes late or never; checks
        wait behind them in the buffers of the operating system.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                played = thinlinks.play(seed, _LOAD)
                in_time = played.get_part("download", "in time")
                self.assertGreater(in_time, 0.75 / _LOAD)
                self.assertEqual(played.counts["download", "failed"], 0)
                self.assertGreater(played.get_part("check", "in time"), 0.98)

    def test_nobody_decides(self) -> None:
        """The same play without decisions: what the first test guards.

        Of the downloads 0.03 are in time, and of the checks 0.005.
        """
        played = thinlinks.play(_SEEDS[0], _LOAD, decides=False)
        self.assertLess(played.get_part("download", "in time"), 0.1)
        self.assertLess(played.get_part("check", "in time"), 0.1)

    def test_downloads_that_ask_for_half_of_the_link(self) -> None:
        """Few are refused, when they come in bursts (0.95 in time).

        Checks are in time (0.995); where nobody decides, 0.36 of them are.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                played = thinlinks.play(seed, 0.5)
                self.assertGreater(played.get_part("download", "in time"), 0.93)
                self.assertGreater(played.get_part("check", "in time"), 0.98)

"""Downloads and checks over a thin link, in plays of simulated time."""

from __future__ import annotations

import unittest

from tests.requests.load import slowlinks

_SEEDS = (1, 2, 3)
_LOAD = 2.2
# Part of the checks that are to be in time. The aim leaves before a check what
# may be on its way, 0.1 s, and a piece, 0.04 s. Its target is 0.35 s, and its
# backend server takes 0.075 to 0.225 s, all equally likely: late are those for
# which both sum up to more, 0.008 of them if each wait up to 0.14 s is as
# likely. Before anything is known of the link, one download of which 128 KB
# are taken at once is 0.33 s before all checks, which is 0.011 of a play.
_CHECKS_IN_TIME = 0.98
# Part of the downloads that are to be in time if they ask for half of the link.
# It carries each in 0.225 s on the average. By the waiting time of a queue with
# one server (mean 0.161 s for this spread of sizes; beyond t, a part of
# 0.5 * exp(-0.5 * t / 0.161)), 0.024 find more before them than their target
# leaves after their head (0.15 s) and body, 0.98 s; or 0.033, as the spread of
# sizes, 0.1 s, is left as well. Of the 66 of a play, 0.022 more or less are to
# be expected by chance; 1.6 times that is left for it.
_HALF_IN_TIME = 0.93


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
                played = slowlinks.play(seed, _LOAD)
                in_time = played.get_part("download", "in time")
                self.assertGreater(in_time, 0.75 / _LOAD)
                self.assertEqual(played.counts["download", "failed"], 0)
                checks = played.get_part("check", "in time")
                self.assertGreater(checks, _CHECKS_IN_TIME)

    def test_nobody_decides(self) -> None:
        """The same play without decisions: what the first test guards.

        Of the downloads 0.03 are in time, and of the checks 0.005.
        """
        played = slowlinks.play(_SEEDS[0], _LOAD, decides=False)
        self.assertLess(played.get_part("download", "in time"), 0.1)
        self.assertLess(played.get_part("check", "in time"), 0.1)

    def test_downloads_that_ask_for_half_of_the_link(self) -> None:
        """Few are refused, when they come in bursts (0.95 in time).

        Checks are in time (0.995); where nobody decides, 0.36 of them are.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                played = slowlinks.play(seed, 0.5)
                in_time = played.get_part("download", "in time")
                self.assertGreater(in_time, _HALF_IN_TIME)
                checks = played.get_part("check", "in time")
                self.assertGreater(checks, _CHECKS_IN_TIME)

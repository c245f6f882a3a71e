"""Tests of downloads and checks over a slow link, in simulated time."""

from __future__ import annotations

import unittest

from tests.requests.load import slowlinks

_SEEDS = (1, 2, 3)
_OVERLOAD = 2.2
# Minimum fraction of the checks that are in time. By design a check waits at
# most for the bytes in transit, 0.1 s, and one chunk, 0.04 s. Its latency
# target is 0.35 s and its backend server takes 0.075 to 0.225 s, uniformly
# distributed: checks are late if both times together exceed the target, which
# is 0.008 of them for waits that are uniformly distributed up to 0.14 s. Before
# the rate of the link is measured, a download of which 128 KB are buffered at
# once delays all checks by 0.33 s, which is 0.011 of a simulation.
_MIN_CHECKS_IN_TIME = 0.98
# Minimum fraction of the downloads that are in time if they use half of the
# link. The link carries each in 0.225 s on average. The waiting time of a queue
# with one server has a mean of 0.161 s for this spread of sizes, and a fraction
# of 0.5 * exp(-0.5 * t / 0.161) of the downloads waits longer than t. For 0.024
# of them the wait exceeds the 0.98 s that their latency target leaves after
# their head (0.15 s) and body, or for 0.033 of them, as the spread of sizes,
# 0.1 s, is kept free as well. For the 66 downloads of a simulation the random
# deviation is 0.022; the bound allows for 1.6 times that.
_MIN_DOWNLOADS_IN_TIME = 0.93


class SlowLinksTest(unittest.TestCase):
    """One backend server behind a link of 400 kB/s.

    Figures in parentheses are the minimum of the runs from which a bound was
    derived.
    """

    def test_far_more_downloads_than_the_link_carries(self) -> None:
        """Most downloads that the link can carry are in time, as are checks.

        Downloads demand 2.2 times the rate of the link, so that 0.45 of them
        can be served at best (0.36 in time; checks 0.995). If all of them were
        admitted, they would share the link and be late or fail, and checks
        would wait behind them in the buffers of the operating system.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                simulation = slowlinks.simulate(seed, _OVERLOAD)
                downloads_in_time = simulation.get_ratio("download", "in time")
                self.assertGreater(downloads_in_time, 0.75 / _OVERLOAD)
                self.assertEqual(simulation.counts["download", "failed"], 0)
                checks_in_time = simulation.get_ratio("check", "in time")
                self.assertGreater(checks_in_time, _MIN_CHECKS_IN_TIME)

    def test_far_more_downloads_without_admission_control(self) -> None:
        """Shows the failure that the test above guards against.

        In the same simulation without admission control 0.03 of the downloads
        are in time, and 0.005 of the checks.
        """
        simulation = slowlinks.simulate(_SEEDS[0], _OVERLOAD, controlled=False)
        self.assertLess(simulation.get_ratio("download", "in time"), 0.1)
        self.assertLess(simulation.get_ratio("check", "in time"), 0.1)

    def test_downloads_that_use_half_of_the_link(self) -> None:
        """Few downloads are refused, only those of bursts (0.95 in time).

        Checks are in time (0.995); without admission control 0.36 of them are.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                simulation = slowlinks.simulate(seed, 0.5)
                downloads_in_time = simulation.get_ratio("download", "in time")
                self.assertGreater(downloads_in_time, _MIN_DOWNLOADS_IN_TIME)
                checks_in_time = simulation.get_ratio("check", "in time")
                self.assertGreater(checks_in_time, _MIN_CHECKS_IN_TIME)

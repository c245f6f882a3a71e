"""Tests of downloads and checks over a slow link, in simulated time."""

from __future__ import annotations

import unittest

from tests.requests.load import slowlinks

_SEEDS = (1, 2, 3)
_OVERLOAD = 2.2
# Minimum fraction of the checks that are in time.
#
# Checks are late if they wait longer than their latency target, 0.35 s, minus
# the time of their backend server, which is uniformly distributed from 0.075 to
# 0.225 s. Waits for the bytes in transit (0.1 s) and one chunk (0.04 s) are at
# most 0.14 s. If they are uniformly distributed, 0.008 of the checks are late.
#
# Until the rate of the link is measured, a download of which 128 KB are
# buffered at once delays all checks by 0.33 s, which is 0.011 of a simulation.
_MIN_CHECKS_IN_TIME = 0.98
# Minimum fraction of the downloads that are in time if they use half of the
# link.
#
# The link is modelled as a queue with one server and random arrivals (M/G/1). A
# download takes 0.225 s on average. With this deviation of the sizes the mean
# wait is 0.161 s, and a fraction of 0.5 * exp(-0.5 * t / 0.161) of the
# downloads waits longer than t.
#
# The latency target leaves 0.98 s for the wait, after the head (0.15 s) and the
# body; 0.024 of the downloads wait longer. The link also keeps the mean
# deviation of the sizes, 0.1 s, free, which makes it 0.033 of the downloads.
# The standard deviation for the 66 downloads of a simulation is 0.022; the
# bound allows for 1.6 times as much.
_MIN_DOWNLOADS_IN_TIME = 0.93


class SlowLinksTest(unittest.TestCase):
    """One backend server behind a link of 400 kB/s."""

    def test_far_more_downloads_than_the_link_carries(self) -> None:
        """Most downloads that the link can carry are in time, as are checks.

        Downloads demand 2.2 times the rate of the link, so at most 0.45 of them
        can be served. If all of them were admitted, they would share the link
        and be late or fail, and checks would wait behind them in the buffers of
        the operating system.
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
        """The failure that the test above guards against occurs without it.

        In the same simulation without admission control, 0.03 of the downloads
        and 0.005 of the checks are in time.
        """
        simulation = slowlinks.simulate(
            _SEEDS[0], _OVERLOAD, admission_control=False
        )
        self.assertLess(simulation.get_ratio("download", "in time"), 0.1)
        self.assertLess(simulation.get_ratio("check", "in time"), 0.1)

    def test_downloads_that_use_half_of_the_link(self) -> None:
        """Only few downloads are refused, in bursts, and checks are in time.

        Without admission control, only 0.36 of the checks would be in time.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                simulation = slowlinks.simulate(seed, 0.5)
                downloads_in_time = simulation.get_ratio("download", "in time")
                self.assertGreater(downloads_in_time, _MIN_DOWNLOADS_IN_TIME)
                checks_in_time = simulation.get_ratio("check", "in time")
                self.assertGreater(checks_in_time, _MIN_CHECKS_IN_TIME)

"""Tests of the simulation of a fleet and of the results of its callers."""

from __future__ import annotations

import random
import unittest

from tools import model
from tools import model_records
from tools import policies

_DURATION_S = 3.0


def _simulate(
    load: str,
    seed: int = 1,
    min_timeout_fraction: float = 0.83,
    simulation_seed: int | None = None,
) -> model_records.Result:
    """Simulates the request rate of a load on a fleet without changes.

    Args:
        load: Name of the load, of which only the rate is used.
        seed: Seed of the fleet.
        min_timeout_fraction: Shortest timeout of a caller, as a fraction of the
            longest one.
        simulation_seed: Seed of the simulation; None for that of the fleet.
    """
    rng = random.Random(seed)
    servers = policies.build_servers(rng)
    work_classes = [
        work_class._replace(min_timeout_fraction=min_timeout_fraction)
        for work_class in policies.build_work_classes(
            policies.LOADS[load].rate_factor
        )
    ]
    return model.simulate(
        servers, work_classes, _DURATION_S, simulation_seed or seed
    )


class ModelTest(unittest.TestCase):
    """Simulations of fourteen daemons.

    Figures in brackets are those of the first run of a test.
    """

    def test_same_seed_gives_same_result(self) -> None:
        """The seed determines the whole result of a simulation.

        Policies are compared by simulations with the same seeds.
        """
        self.assertEqual(_simulate("busy"), _simulate("busy"))

    def test_callers_with_short_timeouts_are_served(self) -> None:
        """Callers with short timeouts are answered as others are.

        First requests have timeouts of 0.4 to 1 of the longest one. If a short
        timeout is taken for the remaining time of a caller that has waited,
        such callers are refused although slots are free.
        """
        result = _simulate("busy", min_timeout_fraction=0.4)
        self.assertGreater(result.earned, 0.98)
        self.assertEqual(
            result.compute_fraction("lookup", "refused again"), 0.0
        )

    def test_overloaded_service_answers_in_time(self) -> None:
        """At 2.2 times the calm rate, lookups and grants are in time (0.98)."""
        result = _simulate("full")
        self.assertGreater(result.compute_fraction("lookup", "in time"), 0.95)
        self.assertGreater(result.compute_fraction("grant", "in time"), 0.95)
        self.assertLess(result.compute_fraction("grant", "refused again"), 0.02)

    def test_retries_are_not_sent_back_to_the_same_queue(self) -> None:
        """Few grants are refused again after a retry, with each of four seeds.

        If a call is refused after 0.2 s in a full queue and its caller is told
        to retry at once, the retry meets the same calls in that queue, too late
        to wait and too early to count as late. Then 0.026 of the grants are
        refused again (mean of twelve seeds), otherwise 0.004.
        """
        fractions = [
            _simulate("full", 1, simulation_seed=seed).compute_fraction(
                "grant", "refused again"
            )
            for seed in range(2, 6)
        ]
        self.assertLess(max(fractions), 0.02)
        self.assertLess(sum(fractions) / len(fractions), 0.01)

    def test_shedding_backend_servers_are_avoided(self) -> None:
        """Callers earn most of the value although backend servers shed (0.93).

        Four in ten of 32 backend servers shed nearly every other call but
        report that they are healthy. Only their own daemons see this, as each
        other daemon sends a call to one of them only every few seconds. If
        calls are sent there without asking these daemons, their retries use up
        the retry budget, and less value is earned (0.89).
        """
        result = policies.simulate_load("shedding", 1, 4.0)
        self.assertGreater(result.earned, 0.91)
        # Besides the retries that its calls allow, a daemon may make one retry
        # in each window.
        self.assertLess(
            max(result.repeat_ratios.values()), model.RETRY_RATIO + 0.03
        )

    def test_variant_is_simulated(self) -> None:
        """A variant without changed constants earns nearly all of the value.

        The figures have their printed titles.
        """
        figures = policies.simulate_variant(
            "calm", 1, policies.Variant("usual", {})
        )
        self.assertGreater(figures["earned"], 0.98)
        self.assertLess(figures["far"], 0.2)

    def test_swing_moves_the_demand_between_zones(self) -> None:
        """Demand of a zone changes, and that of all zones together does not.

        Otherwise a load would compare policies by a change of the total demand.
        """
        swing = model_records.Swing(amplitude=0.5, period_s=15.0)
        factors_by_zone = [
            [
                swing.get_factor(zone / 3, elapsed_ms / 1000)
                for elapsed_ms in range(0, 15_000, 250)
            ]
            for zone in range(3)
        ]
        for factors in factors_by_zone:
            self.assertAlmostEqual(max(factors), 1.5, places=2)
            self.assertAlmostEqual(min(factors), 0.5, places=2)
        for factors_at_once in zip(*factors_by_zone, strict=True):
            self.assertAlmostEqual(sum(factors_at_once), 3.0)

    def test_uneven_servers_have_the_usual_speed_on_average(self) -> None:
        """The capacity of uneven servers is that of as many usual ones."""
        servers = policies.build_servers(
            random.Random(1), policies.LOADS["uneven"]
        )
        self.assertAlmostEqual(
            sum(1.0 / server.slowness for server in servers), len(servers)
        )

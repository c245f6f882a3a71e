"""Tests of the lookup of host routes by path prefix in a snapshot."""

from __future__ import annotations

import unittest

import hypothesis
from hypothesis import strategies

from merlintrestle.documents import snapshot
from tests.requests import builders

_SEGMENT = strategies.sampled_from(["a", "b", "ab", ""])
_PATH = strategies.lists(_SEGMENT, max_size=4).map(
    lambda segments: "/" + "/".join(segments)
)


def _build_route(name: str, prefix: str) -> snapshot.HostRoute:
    return snapshot.HostRoute(
        name=name,
        host="desk.example",
        prefix=prefix,
        destinations=(snapshot.WeightedService("kassa", 1),),
        plan=builders.build_plan(),
    )


class HostRouteTest(unittest.TestCase):
    @hypothesis.given(strategies.lists(_PATH, max_size=8), _PATH)
    def test_the_longest_prefix_matches(
        self, prefixes: list[str], path: str
    ) -> None:
        """The index gives the same result as a search through all routes.

        Otherwise a request could go to the service of a shorter prefix.
        """
        prefixes.sort(key=len, reverse=True)
        routes = tuple(
            _build_route(f"r{number}", prefix)
            for number, prefix in enumerate(prefixes)
        )
        route_snapshot = snapshot.Snapshot(
            1, {}, {}, host_routes={"desk.example": routes}
        )
        expected = next(
            (route for route in routes if path.startswith(route.prefix)), None
        )
        found = route_snapshot.find_host_route("desk.example", path)
        self.assertEqual(found, expected)
        self.assertIsNone(route_snapshot.find_host_route("elsewhere", path))

    def test_lookup_does_not_search_all_routes(self) -> None:
        """The cost of a lookup does not grow with the number of routes.

        The index has one entry for each length of prefix, and all prefixes
        have the same length here.
        """
        routes = tuple(
            _build_route(f"r{number}", f"/p{number:03}/")
            for number in range(360)
        )
        route_snapshot = snapshot.Snapshot(
            1, {}, {}, host_routes={"desk.example": routes}
        )
        lengths, _ = route_snapshot._prefixes["desk.example"]
        self.assertEqual(lengths, (6,))

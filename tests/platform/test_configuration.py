"""Tests of the operators' configuration."""

from __future__ import annotations

import json
import unittest

from merlintrestle import errors
from merlintrestle.documents import loading
from merlintrestle.platform import configuration
from merlintrestle.platform import store as stores
from merlintrestle.versions import deltas
from standins import platform_store
from tests.platform import builders


def _load(value: bytes):
    resources = configuration.build_resources(json.loads(value))
    return loading.load_snapshot(1, resources)


class ResourcesTest(unittest.TestCase):
    def test_the_longest_prefix_comes_first(self):
        snapshot = _load(
            builders.build_configuration(
                1,
                builders.build_route("a", prefix="/x/"),
                builders.build_route("b", prefix="/x/y/"),
            )
        )
        prefixes = [route.prefix for route in snapshot.hosts["desk.example"]]
        self.assertEqual(prefixes, ["/x/y/", "/x/"])

    def test_a_kind_says_what_may_be_repeated(self):
        expected = {
            "idempotent": True,
            "download": True,
            "non_idempotent": False,
        }
        for kind, repeatable in expected.items():
            with self.subTest(kind=kind):
                route = builders.build_route("a", kind=kind, priority=0)
                snapshot = _load(builders.build_configuration(1, route))
                plan = snapshot.hosts["desk.example"][0].plan
                self.assertEqual(plan.repeatable, repeatable)
                # Each has a latency target, so none is judged by progress.
                self.assertFalse(plan.large)
                self.assertEqual(plan.importance, 5)
                self.assertEqual(plan.max_attempts, 2)

    def test_a_split_has_its_weights(self):
        parts = [
            {"service": "balie", "weight": 90},
            {"service": "kassa", "weight": 10},
        ]
        route = builders.build_route("a", service=None, split=parts)
        snapshot = _load(builders.build_configuration(1, route))
        found = snapshot.hosts["desk.example"][0].parts
        self.assertEqual(
            [tuple(part) for part in found], [("balie", 90), ("kassa", 10)]
        )

    def test_a_route_to_an_unknown_service_refuses_the_whole(self):
        """No caller meets a route that leads nowhere.

        A configuration names a service that it does not have. Taken in part
        it would serve the rest and drop one route; it is refused whole, and
        what ran before goes on.
        """
        value = builders.build_configuration(
            1, builders.build_route("a", service="gone")
        )
        with self.assertRaises(errors.SnapshotError):
            _load(value)

    def test_malformed_values_are_named(self):
        for change in (
            {"timeoutMs": "soon"},
            {"kind": "perhaps"},
            {"host": None},
            {"priority": -1},
        ):
            with self.subTest(change=change):
                route = builders.build_route("a", **change)
                value = builders.build_configuration(1, route)
                with self.assertRaises(errors.SnapshotError) as caught:
                    _load(value)
                self.assertIn(next(iter(change)), str(caught.exception))

    def test_a_delta_carries_one_changed_route(self):
        before = _load(
            builders.build_configuration(
                1, builders.build_route("a"), builders.build_route("b")
            )
        )
        after = loading.load_snapshot(
            2,
            configuration.build_resources(
                json.loads(
                    builders.build_configuration(
                        2,
                        builders.build_route("a"),
                        builders.build_route("b", timeoutMs=500),
                    )
                )
            ),
            before,
        )
        delta = deltas.make_delta(before, after)
        self.assertEqual([one.name for one in delta.changed], ["route/b"])
        applied = deltas.apply_delta(before, delta)
        self.assertEqual(applied.hosts, after.hosts)


class SourceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.standin = platform_store.PlatformStoreStandin()
        await self.standin.start()
        self.addAsyncCleanup(self.standin.close)
        self.store = stores.PlatformStore(self.standin.address)
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.source = configuration.ConfigurationSource(self.store)

    async def test_versions_come_in_uneven_steps(self):
        await self.standin.write(
            stores.CONFIGURATION_KEY, builders.build_configuration(5)
        )
        versions = []
        async for head in self.source.watch_head():
            snapshot = await self.source.compile_head(head)
            versions.append(snapshot.version)
            if len(versions) == 2:
                break
            await self.standin.write(
                stores.CONFIGURATION_KEY, builders.build_configuration(12)
            )
        self.assertEqual(versions, [5, 12])

    async def test_a_malformed_record_is_an_error_and_not_a_version(self):
        await self.standin.write(stores.CONFIGURATION_KEY, b"{}")
        with self.assertRaises(errors.SnapshotError):
            await self.source.read_head()

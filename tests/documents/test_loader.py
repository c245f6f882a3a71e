"""Tests of loading the changes of a version."""

from __future__ import annotations

from typing import TYPE_CHECKING
import unittest

import hypothesis
from hypothesis import strategies as st

from merlintrestle import errors
from merlintrestle.documents import loader
from merlintrestle.documents import snapshot as snapshots
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

_SERVICES = ("balie", "kassa")
_HOSTS = ("desk.example", "shop.example")
_PREFIXES = ("/", "/a/", "/b/", "/a/b/")
_KEYS = tuple(bytes([number]) * 32 for number in range(4))


def _draw_service(name: str) -> st.SearchStrategy[bytes]:
    return st.builds(
        lambda connections: document_pb2.ServiceResource(
            name=name, max_connections=connections
        ).SerializeToString(),
        st.integers(1, 2),
    )


def _draw_route(name: str) -> st.SearchStrategy[bytes]:
    return st.builds(
        lambda host, prefix, service, latency_ms: (
            document_pb2.HostRouteResource(
                name=name,
                host=host,
                prefix=prefix,
                parts=[document_pb2.RoutePart(service=service, weight=1)],
                target=document_pb2.ClassTarget(latency_ms=latency_ms),
            ).SerializeToString()
        ),
        st.sampled_from(_HOSTS),
        st.sampled_from(_PREFIXES),
        st.sampled_from(_SERVICES),
        st.integers(1, 2),
    )


def _draw_workspace(name: str) -> st.SearchStrategy[bytes]:
    return st.builds(
        lambda keys: document_pb2.WorkspaceResource(
            name=name, key_digests=sorted(keys)
        ).SerializeToString(),
        st.sets(st.sampled_from(_KEYS), max_size=2),
    )


def _draw_resources() -> st.SearchStrategy[dict[str, bytes]]:
    """Draws resources in any order, some of which cannot be loaded."""
    optional = {
        snapshots.build_host_route_name(name): _draw_route(name)
        for name in ("r1", "r2", "r3", "r4")
    }
    for name in ("studio", "press"):
        optional[snapshots.build_workspace_name(name)] = _draw_workspace(name)
    optional[snapshots.LIMITS_RESOURCE] = st.sampled_from(
        [
            document_pb2.LimitsResource(max_body_bytes=size).SerializeToString()
            for size in (1, 2)
        ]
    )
    for service in _SERVICES:
        optional[snapshots.build_service_name(service)] = _draw_service(service)
    return st.fixed_dictionaries({}, optional=optional).flatmap(
        lambda resources: st.permutations(list(resources.items())).map(dict)
    )


def _try_load(
    resources: Mapping[str, bytes], base: snapshots.Snapshot | None = None
) -> snapshots.Snapshot | None:
    try:
        return loader.load_snapshot(2, resources, base)
    except errors.SnapshotError:
        return None


class LoadChangesTest(unittest.TestCase):
    @hypothesis.given(_draw_resources(), _draw_resources())
    def test_changes_give_the_same_snapshot_as_all_resources(
        self, old: dict[str, bytes], new: dict[str, bytes]
    ) -> None:
        """A daemon derives only what depends on the changed resources.

        If it kept a route, a workspace or a limit of the base that changed, or
        accepted a route to a removed service, it would run something else than
        the daemons that received the whole version, under the same digest.
        """
        base = _try_load(old)
        hypothesis.assume(base is not None)
        whole = _try_load(new)
        changed = _try_load(new, base)
        self.assertEqual(changed is None, whole is None)
        if changed is None or whole is None:
            return
        self.assertEqual(whole.digest, snapshots.compute_digest(2, new))
        for name in (
            "digest",
            "resources",
            "parsed_resources",
            "services",
            "host_routes",
            "limits",
            "workspaces",
        ):
            self.assertEqual(getattr(changed, name), getattr(whole, name), name)
        for host in _HOSTS:
            for path in _PREFIXES:
                self.assertEqual(
                    changed.find_host_route(host, path),
                    whole.find_host_route(host, path),
                )
        for key in _KEYS:
            self.assertEqual(
                changed.find_workspace(key), whole.find_workspace(key)
            )

    def test_resource_that_is_removed_and_changed_has_its_new_value(
        self,
    ) -> None:
        """A delta of another program may list a resource twice.

        A snapshot whose serialized resources differ from the parsed ones would
        pass other versions on than it runs.
        """
        name = snapshots.LIMITS_RESOURCE
        old, new = (
            document_pb2.LimitsResource(max_body_bytes=size).SerializeToString()
            for size in (1, 2)
        )
        base = loader.load_snapshot(1, {name: old})
        changed = loader.load_changes(2, base, {name: new}, [name])
        self.assertEqual(changed.resources, {name: new})
        assert changed.limits is not None
        self.assertEqual(changed.limits.max_body_bytes, 2)

    def test_a_burst_without_a_rate_is_no_limit(self) -> None:
        """Guards against a version refused for a limit that was lifted."""
        resource = document_pb2.WorkspaceResource(name="studio", burst=4)
        loaded = loader.load_snapshot(
            1,
            {
                snapshots.build_workspace_name(
                    "studio"
                ): resource.SerializeToString()
            },
        )
        self.assertEqual(loaded.workspaces["studio"].rate, 0)

"""Loader of snapshots from serialized resources."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypeVar

from google.protobuf import message

from merlintrestle import errors
from merlintrestle.documents import snapshot
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

M = TypeVar("M", bound=message.Message)

# SHA-256.
_KEY_DIGEST_BYTES = 32
_EMPTY = snapshot.Snapshot(0, {}, {})


def load_snapshot(
    version: int,
    resources: Mapping[str, bytes],
    base: snapshot.Snapshot | None = None,
    digest: bytes | None = None,
) -> snapshot.Snapshot:
    """Builds a snapshot from resources and validates them.

    The resources come from this process or from a peer.

    Args:
        version: Number of the version.
        resources: Serialized resources by name.
        base: Earlier snapshot whose unchanged resources are not parsed again.
            Parsing all resources would block the event loop at each change.
        digest: Expected digest, compared before any resource is parsed; None
            if the resources come from this process. Without this check, a
            snapshot with a missing or corrupted resource from a peer would
            run as a version that was never accepted.

    Raises:
        errors.SnapshotError: The digest differs, a resource cannot be parsed,
            a route or a service refers to a resource that is missing, or two
            workspaces have the same API key.
    """
    base = base or _EMPTY
    changed = {
        name: value
        for name, value in resources.items()
        if base.resources.get(name) != value
    }
    removed = base.resources.keys() - resources.keys()
    return load_changes(version, base, changed, removed, digest)


def load_changes(
    version: int,
    base: snapshot.Snapshot,
    changed: Mapping[str, bytes],
    removed: Iterable[str],
    digest: bytes | None = None,
) -> snapshot.Snapshot:
    """Builds the snapshot that differs from a base in some resources.

    The time it takes depends mainly on the number of these resources, as
    everything that does not depend on them is shared with the base.

    Args:
        version: Number of the version.
        base: Earlier snapshot, built by this module.
        changed: Added and changed serialized resources by name.
        removed: Names of removed resources.
        digest: Expected digest, see `load_snapshot`.

    Raises:
        errors.SnapshotError: See `load_snapshot`.
    """
    resources = dict(base.resources)
    parsed_resources = dict(base.parsed_resources)
    replaced = []
    for name in {*removed, *changed} & resources.keys():
        del resources[name]
        replaced.append(parsed_resources.pop(name))
    resources.update(changed)
    changed_digests = {
        name: snapshot.hash_resource(name, value)
        for name, value in changed.items()
    }
    digests = {name: parsed.digest for name, parsed in parsed_resources.items()}
    actual_digest = snapshot.combine_digests(
        version, {**digests, **changed_digests}
    )
    if digest is not None and actual_digest != digest:
        raise errors.SnapshotError(f"version {version} has another digest")
    added = {
        name: _parse_resource(name, value, changed_digests[name])
        for name, value in changed.items()
    }
    parsed_resources.update(added)
    differing = [*replaced, *added.values()]
    service_plans: Mapping[str, snapshot.ServicePlan]
    if any(parsed.service or parsed.plan for parsed in differing):
        service_plans = _build_services(base, parsed_resources)
        _check_destinations(service_plans, parsed_resources)
    else:
        service_plans = base.services
        _check_destinations(service_plans, added)
    workspaces = base.workspaces
    if any(parsed.workspace for parsed in differing):
        workspaces = _collect_workspaces(parsed_resources)
    limits = parsed_resources.get(snapshot.LIMITS_RESOURCE)
    return snapshot.Snapshot(
        version,
        resources,
        service_plans,
        parsed_resources,
        actual_digest,
        host_routes=_group_host_routes(
            base.host_routes,
            [parsed.host_route for parsed in replaced if parsed.host_route],
            [
                parsed.host_route
                for parsed in added.values()
                if parsed.host_route
            ],
        ),
        limits=limits.limits if limits else None,
        workspaces=workspaces,
        base=base,
    )


def _parse_resource(
    name: str, value: bytes, digest: bytes
) -> snapshot.ParsedResource:
    if name == snapshot.BUDGET_RESOURCE:
        _parse_message(name, value, document_pb2.BudgetResource())
        return snapshot.ParsedResource(digest)
    if name.startswith(snapshot.SERVICE_PREFIX):
        service = _parse_message(name, value, document_pb2.ServiceResource())
        _require(
            name,
            name == snapshot.build_service_name(service.name),
            "is misnamed",
        )
        return snapshot.ParsedResource(digest, service)
    if name == snapshot.API_KEYS_RESOURCE:
        _require(name, not value, "is not empty")
        return snapshot.ParsedResource(digest)
    if name == snapshot.LIMITS_RESOURCE:
        limits = _parse_message(name, value, document_pb2.LimitsResource())
        return snapshot.ParsedResource(digest, limits=_build_limits(limits))
    if name.startswith(snapshot.HOST_ROUTE_PREFIX):
        route = _parse_message(name, value, document_pb2.HostRouteResource())
        _require(
            name,
            name == snapshot.build_host_route_name(route.name),
            "is misnamed",
        )
        return snapshot.ParsedResource(
            digest, host_route=_build_host_route(name, route)
        )
    if name.startswith(snapshot.WORKSPACE_PREFIX):
        workspace = _parse_message(
            name, value, document_pb2.WorkspaceResource()
        )
        _require(
            name,
            name == snapshot.build_workspace_name(workspace.name),
            "is misnamed",
        )
        return snapshot.ParsedResource(
            digest, workspace=_build_workspace(name, workspace)
        )
    _require(
        name, name.startswith(snapshot.CLASS_PREFIX), "is of no known kind"
    )
    resource = _parse_message(name, value, document_pb2.ClassResource())
    plan = _build_plan_from_resource(resource)
    expected_name = snapshot.build_class_name(
        plan.service, plan.organisation, plan.name
    )
    _require(name, name == expected_name, "is misnamed")
    target = resource.target
    routes = tuple(
        _parse_route(name, pattern, plan, target.anonymous)
        for pattern in target.match
    )
    return snapshot.ParsedResource(digest, None, plan, routes)


def _require(name: str, condition: bool, problem: str) -> None:
    if not condition:
        raise errors.SnapshotError(f"resource {name!r} {problem}")


def _parse_message(name: str, value: bytes, result: M) -> M:
    try:
        result.ParseFromString(value)
    except message.DecodeError as error:
        raise errors.SnapshotError(f"resource {name!r}: {error}") from error
    return result


def _check_references(
    services: Mapping[str, document_pb2.ServiceResource],
    parsed_resources: Mapping[str, snapshot.ParsedResource],
) -> None:
    listed_classes = set()
    for service in services.values():
        name = snapshot.build_service_name(service.name)
        for called_service in service.calls:
            _require(
                name,
                called_service in services,
                f"calls unknown {called_service!r}",
            )
        for class_name in service.classes:
            parsed = parsed_resources.get(class_name)
            plan = parsed.plan if parsed else None
            known = plan is not None and plan.service == service.name
            _require(name, known, f"lists unknown {class_name!r}")
            listed_classes.add(class_name)
    for name, parsed in parsed_resources.items():
        # The reverse direction must hold as well: a class that its service does
        # not list has no route, so its calls would be refused although its
        # targets are in force.
        if parsed.plan is not None:
            _require(
                name, name in listed_classes, "is not listed by its service"
            )


def _build_plan_from_resource(
    resource: document_pb2.ClassResource,
) -> snapshot.ClassPlan:
    return _build_plan_from_target(
        resource.organisation, resource.service, resource.target
    )


def _build_plan_from_target(
    organisation: str, service: str, target: document_pb2.ClassTarget
) -> snapshot.ClassPlan:
    return snapshot.ClassPlan(
        organisation=organisation,
        service=service,
        name=target.name,
        latency_s=target.latency_ms / 1000,
        share=target.share,
        availability=target.availability,
        repeatable=target.repeatable,
        importance=target.importance,
        rate=target.rate,
        work_s=target.work_ms / 1000,
        large=target.size == document_pb2.LARGE,
        deadline_s=target.deadline_ms / 1000,
        key_required=target.key_required,
    )


def _build_host_route(
    name: str, route: document_pb2.HostRouteResource
) -> snapshot.HostRoute:
    _require(name, bool(route.parts), "leads to no service")
    _require(name, route.prefix.startswith("/"), "has a bad prefix")
    _require(
        name,
        any(destination.weight for destination in route.parts),
        "has no weight at all",
    )
    destinations = tuple(
        snapshot.WeightedService(destination.service, destination.weight)
        for destination in route.parts
    )
    # No organisation declares the targets of a host route. The service of its
    # first destination stands for all of them.
    plan = _build_plan_from_target("", destinations[0].service, route.target)
    return snapshot.HostRoute(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        destinations=destinations,
        plan=plan._replace(max_attempts=route.max_attempts),
        anonymous=route.anonymous,
    )


def _build_workspace(
    name: str, workspace: document_pb2.WorkspaceResource
) -> snapshot.Workspace:
    # The name becomes the value of a header.
    _require(
        name,
        workspace.name.isprintable()
        and workspace.name.strip() == workspace.name != "",
        "has no name or one that does not fit into a header",
    )
    _require(
        name,
        all(len(key) == _KEY_DIGEST_BYTES for key in workspace.key_digests),
        "has a malformed digest of a key",
    )
    _require(name, 0 <= workspace.rate < math.inf, "has a bad rate")
    _require(name, 0 <= workspace.burst < math.inf, "has a bad burst")
    return snapshot.Workspace(
        name=workspace.name,
        key_digests=tuple(workspace.key_digests),
        importance=workspace.importance,
        rate=workspace.rate,
        burst=workspace.burst,
    )


def _collect_workspaces(
    parsed_resources: Mapping[str, snapshot.ParsedResource],
) -> dict[str, snapshot.Workspace]:
    """Returns the workspaces by name.

    Raises:
        errors.SnapshotError: Two workspaces have the same API key.
    """
    workspaces = {}
    owners: dict[bytes, str] = {}
    for name, parsed in parsed_resources.items():
        workspace = parsed.workspace
        if workspace is None:
            continue
        workspaces[workspace.name] = workspace
        for digest in workspace.key_digests:
            owner = owners.setdefault(digest, workspace.name)
            _require(
                name,
                owner == workspace.name,
                f"has an API key of {owner!r}",
            )
    return workspaces


def _build_limits(limits: document_pb2.LimitsResource) -> snapshot.Limits:
    return snapshot.Limits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )


def _check_destinations(
    services: Mapping[str, snapshot.ServicePlan],
    parsed_resources: Mapping[str, snapshot.ParsedResource],
) -> None:
    """Checks that host routes lead to known services."""
    for name, parsed in parsed_resources.items():
        if parsed.host_route is None:
            continue
        for destination in parsed.host_route.destinations:
            known = destination.service in services
            _require(name, known, f"leads to unknown {destination.service!r}")


def _group_host_routes(
    base: Mapping[str, tuple[snapshot.HostRoute, ...]],
    replaced: Iterable[snapshot.HostRoute],
    added: Iterable[snapshot.HostRoute],
) -> Mapping[str, tuple[snapshot.HostRoute, ...]]:
    """Returns the host routes by host, longest prefix first.

    Args:
        base: Host routes of the base.
        replaced: Routes of the base that were changed or removed.
        added: New and changed routes.
    """
    replaced_names = {route.name for route in replaced}
    added_by_host: dict[str, list[snapshot.HostRoute]] = {
        route.host: [] for route in replaced
    }
    for route in added:
        added_by_host.setdefault(route.host, []).append(route)
    grouped = dict(base)
    for host, routes in added_by_host.items():
        kept = [
            route
            for route in base.get(host, ())
            if route.name not in replaced_names
        ]
        grouped[host] = tuple(sorted([*kept, *routes], key=_rank_host_route))
        if not grouped[host]:
            del grouped[host]
    return grouped


def _rank_host_route(route: snapshot.HostRoute) -> tuple[int, str, str]:
    """Returns the sort key of a host route.

    Of routes with the same prefix, all daemons must use the same one, whatever
    the order in which they received the resources.
    """
    return -len(route.prefix), route.prefix, route.name


def _parse_route(
    name: str, pattern: str, plan: snapshot.ClassPlan, anonymous: bool
) -> snapshot.Route:
    method, _, prefix = pattern.partition(" ")
    _require(name, prefix.startswith("/"), f"has a bad match {pattern!r}")
    return snapshot.Route(method, prefix, plan, anonymous)


def _build_services(
    base: snapshot.Snapshot,
    parsed_resources: Mapping[str, snapshot.ParsedResource],
) -> dict[str, snapshot.ServicePlan]:
    """Returns the services by name, those of the base if they are unchanged."""
    services = {
        parsed.service.name: parsed.service
        for parsed in parsed_resources.values()
        if parsed.service is not None
    }
    _check_references(services, parsed_resources)
    return {
        name: _reuse_service(base, name, parsed_resources)
        or _build_service(name, parsed_resources)
        for name in services
    }


def _reuse_service(
    base: snapshot.Snapshot,
    name: str,
    parsed_resources: Mapping[str, snapshot.ParsedResource],
) -> snapshot.ServicePlan | None:
    """Returns the service plan of the base if its resources are unchanged."""
    if name not in base.services:
        return None
    service = parsed_resources[snapshot.build_service_name(name)].service
    assert service is not None
    for resource_name in (snapshot.build_service_name(name), *service.classes):
        if (
            base.parsed_resources.get(resource_name)
            is not parsed_resources[resource_name]
        ):
            return None
    return base.services[name]


def _build_service(
    name: str, parsed_resources: Mapping[str, snapshot.ParsedResource]
) -> snapshot.ServicePlan:
    service = parsed_resources[snapshot.build_service_name(name)].service
    assert service is not None
    plans = []
    routes_by_organisation: dict[str, list[snapshot.Route]] = {}
    for class_name in sorted(service.classes):
        parsed = parsed_resources[class_name]
        assert parsed.plan is not None
        plans.append(parsed.plan)
        organisation_routes = routes_by_organisation.setdefault(
            parsed.plan.organisation, []
        )
        organisation_routes.extend(parsed.routes)
    return snapshot.ServicePlan(
        name=service.name,
        owner=service.owner,
        calls=tuple(sorted(service.calls)),
        classes=tuple(plans),
        routes={
            organisation: tuple(sorted(routes, key=_rank_route))
            for organisation, routes in routes_by_organisation.items()
        },
    )


def _rank_route(route: snapshot.Route) -> tuple[int, bool, str, str]:
    """Returns the sort key of a route.

    Longer prefixes come first; of equal prefixes, a named method comes before
    "*".
    """
    return -len(route.prefix), route.method == "*", route.prefix, route.method

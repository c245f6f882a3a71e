"""Loads snapshots from resources that may have come from a peer."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from google.protobuf import message

from merlintrestle import errors
from merlintrestle.documents import snapshot
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

M = TypeVar("M", bound=message.Message)


def load_snapshot(
    version: int,
    resources: Mapping[str, bytes],
    base: snapshot.Snapshot | None = None,
    digest: bytes | None = None,
) -> snapshot.Snapshot:
    """Builds a snapshot from resources, which may have come from a peer.

    Args:
        version: Number of the version.
        resources: Its resources.
        base: What it has in common with this one is not read again: reading
            all of it would hold up the event loop at each change.
        digest: The digest that it must have; compared before anything is
            read, for a lost or corrupted part would otherwise run as a
            version that nobody accepted. None: resources of this process.

    Raises:
        errors.SnapshotError: The digest differs, a resource cannot be read,
            or a route or a service refers to one that is not there.
    """
    found = snapshot.compute_digest(version, resources, base)
    if digest is not None and found != digest:
        raise errors.SnapshotError(f"version {version} has another digest")
    parts = {
        name: snapshot.find_part(base, name, value) or _read_part(name, value)
        for name, value in resources.items()
    }
    services = {
        part.service.name: part.service
        for part in parts.values()
        if part.service is not None
    }
    _check_references(services, parts)
    built = {
        name: _reuse_service(base, name, parts) or _build_service(name, parts)
        for name in services
    }
    limits = parts.get(snapshot.LIMITS)
    return snapshot.Snapshot(
        version,
        dict(resources),
        built,
        parts,
        found,
        hosts=_build_hosts(services, parts),
        limits=limits.limits if limits else None,
    )


def _read_part(name: str, value: bytes) -> snapshot.Part:
    digest = snapshot.hash_part(name, value)
    if name == snapshot.BUDGET:
        _parse(name, value, document_pb2.BudgetResource())
        return snapshot.Part(digest)
    if name.startswith(snapshot.SERVICE):
        service = _parse(name, value, document_pb2.ServiceResource())
        _require(
            name, name == snapshot.name_service(service.name), "is misnamed"
        )
        return snapshot.Part(digest, service)
    if name == snapshot.LIMITS:
        limits = _parse(name, value, document_pb2.LimitsResource())
        return snapshot.Part(digest, limits=_read_limits(limits))
    if name.startswith(snapshot.HOST_ROUTE):
        route = _parse(name, value, document_pb2.HostRouteResource())
        _require(
            name, name == snapshot.name_host_route(route.name), "is misnamed"
        )
        return snapshot.Part(digest, host_route=_read_host_route(name, route))
    _require(name, name.startswith(snapshot.CLASS), "is of no known kind")
    resource = _parse(name, value, document_pb2.ClassResource())
    plan = _read_plan(resource)
    full = snapshot.name_class(plan.service, plan.organisation, plan.name)
    _require(name, name == full, "is misnamed")
    matches = resource.target.match
    routes = tuple(_read_route(name, match, plan) for match in matches)
    return snapshot.Part(digest, None, plan, routes)


def _require(name: str, holds: bool, problem: str) -> None:
    if not holds:
        raise errors.SnapshotError(f"resource {name!r} {problem}")


def _parse(name: str, value: bytes, target: M) -> M:
    try:
        target.ParseFromString(value)
    except message.DecodeError as error:
        raise errors.SnapshotError(f"resource {name!r}: {error}") from error
    return target


def _check_references(
    services: Mapping[str, document_pb2.ServiceResource],
    parts: Mapping[str, snapshot.Part],
) -> None:
    listed = set()
    for service in services.values():
        name = snapshot.name_service(service.name)
        for called in service.calls:
            _require(name, called in services, f"calls unknown {called!r}")
        for wanted in service.classes:
            part = parts.get(wanted)
            plan = part.plan if part else None
            known = plan is not None and plan.service == service.name
            _require(name, known, f"lists unknown {wanted!r}")
            listed.add(wanted)
    for name, part in parts.items():
        # Both ways: a class that its service does not list has no route, and
        # its calls would be refused though their targets are in force.
        if part.plan is not None:
            _require(name, name in listed, "is not listed by its service")


def _read_plan(part: document_pb2.ClassResource) -> snapshot.ClassPlan:
    return _build_plan(part.organisation, part.service, part.target)


def _build_plan(
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


def _read_host_route(
    name: str, route: document_pb2.HostRouteResource
) -> snapshot.HostRoute:
    _require(name, bool(route.parts), "leads to no service")
    _require(name, route.prefix.startswith("/"), "has a bad prefix")
    _require(
        name, any(part.weight for part in route.parts), "has no weight at all"
    )
    parts = tuple(
        snapshot.RoutePart(part.service, part.weight) for part in route.parts
    )
    plan = _build_plan("", parts[0].service, route.target)
    return snapshot.HostRoute(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        parts=parts,
        plan=plan._replace(max_attempts=route.max_attempts),
    )


def _read_limits(limits: document_pb2.LimitsResource) -> snapshot.Limits:
    return snapshot.Limits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )


def _build_hosts(
    services: Mapping[str, document_pb2.ServiceResource],
    parts: Mapping[str, snapshot.Part],
) -> dict[str, tuple[snapshot.HostRoute, ...]]:
    """Returns the host routes by host, longer prefixes first."""
    hosts: dict[str, list[snapshot.HostRoute]] = {}
    for name, part in parts.items():
        route = part.host_route
        if route is None:
            continue
        for destination in route.parts:
            known = destination.service in services
            _require(name, known, f"leads to unknown {destination.service!r}")
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=_rank_host_route))
        for host, found in hosts.items()
    }


def _rank_host_route(route: snapshot.HostRoute) -> tuple[int, str]:
    return -len(route.prefix), route.prefix


def _read_route(
    name: str, match: str, plan: snapshot.ClassPlan
) -> snapshot.Route:
    method, _, prefix = match.partition(" ")
    _require(name, prefix.startswith("/"), f"has a bad match {match!r}")
    return snapshot.Route(method, prefix, plan)


def _reuse_service(
    base: snapshot.Snapshot | None,
    name: str,
    parts: Mapping[str, snapshot.Part],
) -> snapshot.ServicePlan | None:
    """Returns the base's plan of a service of which nothing has changed."""
    if base is None or name not in base.services:
        return None
    service = parts[snapshot.name_service(name)].service
    assert service is not None
    for used in (snapshot.name_service(name), *service.classes):
        if base.parts.get(used) is not parts[used]:
            return None
    return base.services[name]


def _build_service(
    name: str, parts: Mapping[str, snapshot.Part]
) -> snapshot.ServicePlan:
    service = parts[snapshot.name_service(name)].service
    assert service is not None
    plans = []
    by_organisation: dict[str, list[snapshot.Route]] = {}
    for listed in sorted(service.classes):
        part = parts[listed]
        assert part.plan is not None
        plans.append(part.plan)
        own = by_organisation.setdefault(part.plan.organisation, [])
        own.extend(part.routes)
    return snapshot.ServicePlan(
        name=service.name,
        owner=service.owner,
        calls=tuple(sorted(service.calls)),
        classes=tuple(plans),
        routes={
            organisation: tuple(sorted(found, key=_rank_route))
            for organisation, found in by_organisation.items()
        },
    )


def _rank_route(route: snapshot.Route) -> tuple[int, bool, str, str]:
    """Longer prefixes first; of equal ones, a named method before any."""
    return -len(route.prefix), route.method == "*", route.prefix, route.method

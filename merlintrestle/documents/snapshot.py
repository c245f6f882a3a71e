"""Snapshots: one whole configuration version as a daemon runs it."""

from __future__ import annotations

import hashlib
from typing import NamedTuple, TYPE_CHECKING, TypeVar

from google.protobuf import message

from merlintrestle import errors
from merlintrestle.schema import document_pb2

if TYPE_CHECKING:
    from collections.abc import Mapping

BUDGET = "budget"
_SERVICE = "service/"
_CLASS = "class/"

M = TypeVar("M", bound=message.Message)


class Route(NamedTuple):
    """Which class of work a request belongs to.

    Attributes:
        method: HTTP method; "*" for any.
        prefix: Path prefix, beginning with "/".
        plan: The class of work.
    """

    method: str
    prefix: str
    plan: ClassPlan


class ClassPlan(NamedTuple):
    """The targets of one class of work, in the units the daemon uses.

    Attributes:
        organisation: Organisation that declares the targets.
        service: Service that serves the class.
        name: Name of the class.
        latency_s: Latency in seconds that `share` of the calls must keep.
        share: Share of the calls within `latency_s`, 0 to 1.
        availability: Share of calls answered without a failure, 0 to 1.
        repeatable: True if a call may be run more than once (idempotent).
        importance: 1 (shed first) to 5 (shed last).
        rate: Expected calls per second over the whole mesh.
        work_s: Expected seconds that one call holds a slot.
        large: True for long transfers, judged by progress.
        deadline_s: Seconds after which the caller has its final answer.
        key_required: Calls without Idempotency-Key are refused.
    """

    organisation: str
    service: str
    name: str
    latency_s: float
    share: float
    availability: float
    repeatable: bool
    importance: int
    rate: float
    work_s: float
    large: bool
    deadline_s: float
    key_required: bool


class ServicePlan(NamedTuple):
    """One service with its classes of work.

    Attributes:
        name: Name of the service, unique in the mesh.
        owner: Organisation whose service it is.
        calls: Services that it calls.
        classes: All classes of work on it, of every organisation.
        routes: Routes by organisation, each list with longer prefixes first.
    """

    name: str
    owner: str
    calls: tuple[str, ...]
    classes: tuple[ClassPlan, ...]
    routes: Mapping[str, tuple[Route, ...]]

    def match(
        self, method: str, path: str, organisation: str = ""
    ) -> ClassPlan | None:
        """Returns the class of work of a request; None: no route."""
        for route in self.routes.get(organisation or self.owner, ()):
            if route.method in ("*", method) and path.startswith(route.prefix):
                return route.plan
        return None


class Part(NamedTuple):
    """One resource as read; unchanged ones are shared between versions.

    Attributes:
        digest: SHA-256 over name and value.
        service: What a service resource says, else None.
        plan: The class of work of a class resource, else None.
        routes: Its routes.
    """

    digest: bytes
    service: document_pb2.ServiceResource | None = None
    plan: ClassPlan | None = None
    routes: tuple[Route, ...] = ()


class Snapshot:
    """A configuration version, closed under its references.

    Attributes:
        version: Number of the version.
        digest: SHA-256 over version and resources, see `compute_digest`.
        resources: Serialized resources by name.
        services: What the proxy routes by, derived from the resources.
        parts: The resources as read, by name.
    """

    def __init__(
        self,
        version: int,
        resources: Mapping[str, bytes],
        services: Mapping[str, ServicePlan],
        parts: Mapping[str, Part] | None = None,
        digest: bytes = b"",
    ):
        self.version = version
        self.resources = resources
        self.services = services
        self.parts = parts or {}
        self.digest = digest or compute_digest(version, resources)


def compute_digest(
    version: int,
    resources: Mapping[str, bytes],
    base: Snapshot | None = None,
) -> bytes:
    """Returns the SHA-256 of a version and of its resources' digests.

    Args:
        version: Number of the version.
        resources: Its resources.
        base: Resources that it has as well are not hashed again.
    """
    digest = hashlib.sha256(str(version).encode())
    for name in sorted(resources):
        known = _find_part(base, name, resources[name])
        digest.update(
            known.digest if known else _hash_part(name, resources[name])
        )
    return digest.digest()


def name_service(service: str) -> str:
    """Returns the name of the resource of a service."""
    return f"{_SERVICE}{service}"


def name_class(service: str, organisation: str, name: str) -> str:
    """Returns the name of the resource of a class of work."""
    return f"{_CLASS}{service}/{organisation}/{name}"


def load_snapshot(
    version: int,
    resources: Mapping[str, bytes],
    base: Snapshot | None = None,
    digest: bytes | None = None,
) -> Snapshot:
    """Builds a snapshot from resources, which may have come from a peer.

    Args:
        version: Number of the version.
        resources: Its resources.
        base: What it has in common with this one is not read again: at 740
            services reading all of it held the event loop for 58 ms a change.
        digest: The digest that it must have; compared before anything is
            read, for a lost or corrupted part would otherwise run as a
            version that nobody accepted. None: resources of this process.

    Raises:
        errors.SnapshotError: The digest differs, a resource cannot be read,
            or a route or a service refers to one that is not there.
    """
    found = compute_digest(version, resources, base)
    if digest is not None and found != digest:
        raise errors.SnapshotError(f"version {version} has another digest")
    parts = {
        name: _find_part(base, name, value) or _read_part(name, value)
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
    return Snapshot(version, dict(resources), built, parts, found)


def _find_part(base: Snapshot | None, name: str, value: bytes) -> Part | None:
    if base is None or base.resources.get(name) != value:
        return None
    return base.parts.get(name)


def _hash_part(name: str, value: bytes) -> bytes:
    return hashlib.sha256(f"{name}\0".encode() + value).digest()


def _read_part(name: str, value: bytes) -> Part:
    digest = _hash_part(name, value)
    if name == BUDGET:
        _parse(name, value, document_pb2.BudgetResource())
        return Part(digest)
    if name.startswith(_SERVICE):
        service = _parse(name, value, document_pb2.ServiceResource())
        _require(name, name == name_service(service.name), "is misnamed")
        return Part(digest, service)
    _require(name, name.startswith(_CLASS), "is of no known kind")
    resource = _parse(name, value, document_pb2.ClassResource())
    plan = _read_plan(resource)
    full = name_class(plan.service, plan.organisation, plan.name)
    _require(name, name == full, "is misnamed")
    matches = resource.target.match
    routes = tuple(_read_route(name, match, plan) for match in matches)
    return Part(digest, None, plan, routes)


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
    parts: Mapping[str, Part],
) -> None:
    listed = set()
    for service in services.values():
        name = name_service(service.name)
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


def _read_plan(part: document_pb2.ClassResource) -> ClassPlan:
    target = part.target
    return ClassPlan(
        organisation=part.organisation,
        service=part.service,
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


def _read_route(name: str, match: str, plan: ClassPlan) -> Route:
    method, _, prefix = match.partition(" ")
    _require(name, prefix.startswith("/"), f"has a bad match {match!r}")
    return Route(method, prefix, plan)


def _reuse_service(
    base: Snapshot | None, name: str, parts: Mapping[str, Part]
) -> ServicePlan | None:
    """Returns the base's plan of a service of which nothing has changed."""
    if base is None or name not in base.services:
        return None
    service = parts[name_service(name)].service
    assert service is not None
    for used in (name_service(name), *service.classes):
        if base.parts.get(used) is not parts[used]:
            return None
    return base.services[name]


def _build_service(name: str, parts: Mapping[str, Part]) -> ServicePlan:
    service = parts[name_service(name)].service
    assert service is not None
    plans = []
    by_organisation: dict[str, list[Route]] = {}
    for listed in sorted(service.classes):
        part = parts[listed]
        assert part.plan is not None
        plans.append(part.plan)
        own = by_organisation.setdefault(part.plan.organisation, [])
        own.extend(part.routes)
    return ServicePlan(
        name=service.name,
        owner=service.owner,
        calls=tuple(sorted(service.calls)),
        classes=tuple(plans),
        routes={
            organisation: tuple(sorted(found, key=_rank_route))
            for organisation, found in by_organisation.items()
        },
    )


def _rank_route(route: Route) -> tuple[int, bool, str, str]:
    """Longer prefixes first; of equal ones, a named method before any."""
    return -len(route.prefix), route.method == "*", route.prefix, route.method

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


class Snapshot:
    """A configuration version, closed under its references.

    Attributes:
        version: Number of the version.
        digest: SHA-256 over version and resources.
        resources: Serialized resources by name.
        services: What the proxy routes by, derived from the resources.
    """

    def __init__(
        self,
        version: int,
        resources: Mapping[str, bytes],
        services: Mapping[str, ServicePlan],
    ):
        self.version = version
        self.resources = resources
        self.services = services
        self.digest = compute_digest(version, resources)


def compute_digest(version: int, resources: Mapping[str, bytes]) -> bytes:
    """Returns the SHA-256 of a version and its resources."""
    digest = hashlib.sha256(str(version).encode())
    for name in sorted(resources):
        value = resources[name]
        digest.update(f"\0{name}\0{len(value)}\0".encode())
        digest.update(value)
    return digest.digest()


def name_service(service: str) -> str:
    """Returns the name of the resource of a service."""
    return f"{_SERVICE}{service}"


def name_class(service: str, organisation: str, name: str) -> str:
    """Returns the name of the resource of a class of work."""
    return f"{_CLASS}{service}/{organisation}/{name}"


def load_snapshot(version: int, resources: Mapping[str, bytes]) -> Snapshot:
    """Builds a snapshot from resources, which may have come from a peer.

    Raises:
        errors.SnapshotError: A resource cannot be read, or a route or a
            service refers to one that is not there.
    """
    services: dict[str, document_pb2.ServiceResource] = {}
    plans: dict[str, ClassPlan] = {}
    routes: dict[str, list[Route]] = {}
    for name in sorted(resources):
        value = resources[name]
        if name == BUDGET:
            _parse(name, value, document_pb2.BudgetResource())
        elif name.startswith(_SERVICE):
            service = _parse(name, value, document_pb2.ServiceResource())
            _require(name, name == name_service(service.name), "is misnamed")
            services[service.name] = service
        elif name.startswith(_CLASS):
            part = _parse(name, value, document_pb2.ClassResource())
            plan = _read_plan(part)
            full = name_class(plan.service, plan.organisation, plan.name)
            _require(name, name == full, "is misnamed")
            plans[name] = plan
            routes[name] = [
                _read_route(name, m, plan) for m in part.target.match
            ]
        else:
            _require(name, False, "is of no known kind")
    _check_references(services, plans)
    built = {
        name: _build_service(service, plans, routes)
        for name, service in services.items()
    }
    return Snapshot(version, dict(resources), built)


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
    plans: Mapping[str, ClassPlan],
) -> None:
    for service in services.values():
        name = name_service(service.name)
        for called in service.calls:
            _require(name, called in services, f"calls unknown {called!r}")
        for listed in service.classes:
            known = listed in plans and plans[listed].service == service.name
            _require(name, known, f"lists unknown {listed!r}")
    for name, plan in plans.items():
        # Both ways: a class that its service does not list has no route, and
        # its calls would be refused though their targets are in force.
        on_known = plan.service in services
        _require(name, on_known, f"is on unknown service {plan.service!r}")
        on_list = name in services[plan.service].classes
        _require(name, on_list, "is not listed by its service")


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


def _build_service(
    service: document_pb2.ServiceResource,
    plans: Mapping[str, ClassPlan],
    routes: Mapping[str, list[Route]],
) -> ServicePlan:
    by_organisation: dict[str, list[Route]] = {}
    for name in sorted(service.classes):
        own = by_organisation.setdefault(plans[name].organisation, [])
        own.extend(routes[name])
    return ServicePlan(
        name=service.name,
        owner=service.owner,
        calls=tuple(sorted(service.calls)),
        classes=tuple(plans[name] for name in sorted(service.classes)),
        routes={
            organisation: tuple(sorted(found, key=_rank_route))
            for organisation, found in by_organisation.items()
        },
    )


def _rank_route(route: Route) -> tuple[int, bool, str, str]:
    """Longer prefixes first; of equal ones, a named method before any."""
    return -len(route.prefix), route.method == "*", route.prefix, route.method

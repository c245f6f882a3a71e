"""Snapshots: one whole configuration version as a daemon runs it."""

from __future__ import annotations

import hashlib
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from merlintrestle.schema import document_pb2

BUDGET = "budget"
LIMITS_RESOURCE = "limits"
SERVICE = "service/"
CLASS = "class/"
HOST_ROUTE = "route/"


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
        max_attempts: Upstreams that one call may be sent to; 0: not stated.
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
    max_attempts: int = 0


class WeightedService(NamedTuple):
    """One service that a host route leads to.

    Attributes:
        service: Name of the service.
        weight: Its share of the requests, relative to the other parts.
    """

    service: str
    weight: int


class HostRoute(NamedTuple):
    """Where requests for a host and a path prefix go.

    Attributes:
        name: Name of the route.
        host: Host, in lower case and without port.
        prefix: Path prefix, beginning and ending with "/".
        destinations: The services that share its requests.
        plan: Its class of work.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[WeightedService, ...]
    plan: ClassPlan


class Limits(NamedTuple):
    """What callers may send, and how long they may take.

    Attributes:
        max_header_bytes: Size of the headers of one request.
        max_body_bytes: Size of its body.
        header_timeout_s: Time until its headers must be there, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


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
        host_route: What a host route resource says, else None.
        limits: What the resource of the limits says, else None.
    """

    digest: bytes
    service: document_pb2.ServiceResource | None = None
    plan: ClassPlan | None = None
    routes: tuple[Route, ...] = ()
    host_route: HostRoute | None = None
    limits: Limits | None = None


class Snapshot:
    """A configuration version, closed under its references.

    Attributes:
        version: Number of the version.
        digest: SHA-256 over version and resources, see `compute_digest`.
        resources: Serialized resources by name.
        services: What the proxy routes by, derived from the resources.
        parts: The resources as read, by name.
        host_routes: Host routes by host, each list with longer prefixes first.
        limits: What callers may send; None: not stated.
    """

    def __init__(
        self,
        version: int,
        resources: Mapping[str, bytes],
        services: Mapping[str, ServicePlan],
        parts: Mapping[str, Part] | None = None,
        digest: bytes = b"",
        hosts: Mapping[str, tuple[HostRoute, ...]] | None = None,
        limits: Limits | None = None,
    ):
        self.version = version
        self.host_routes = hosts or {}
        self._prefixes = {
            host: _index_prefixes(routes)
            for host, routes in self.host_routes.items()
        }
        self.limits = limits
        self.resources = resources
        self.services = services
        self.parts = parts or {}
        self.digest = digest or compute_digest(version, resources)

    def find_host_route(self, host: str, path: str) -> HostRoute | None:
        """Returns the route with the longest prefix of a path, or None.

        It looks once for each length that a prefix of the host has. Looked at
        one after the other, hundreds of routes would cost each call more than
        all else that is decided about it.
        """
        found = self._prefixes.get(host)
        if found is None:
            return None
        lengths, routes = found
        for length in lengths:
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None


def _index_prefixes(
    routes: tuple[HostRoute, ...],
) -> tuple[tuple[int, ...], dict[str, HostRoute]]:
    """Returns the lengths of prefixes, longest first, and routes by prefix."""
    # Of two routes with one prefix the first one counts.
    by_prefix = {route.prefix: route for route in reversed(routes)}
    lengths = sorted({len(prefix) for prefix in by_prefix}, reverse=True)
    return tuple(lengths), by_prefix


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
        known = find_part(base, name, resources[name])
        digest.update(
            known.digest if known else hash_part(name, resources[name])
        )
    return digest.digest()


def build_service_name(service: str) -> str:
    """Returns the name of the resource of a service."""
    return f"{SERVICE}{service}"


def name_class(service: str, organisation: str, name: str) -> str:
    """Returns the name of the resource of a class of work."""
    return f"{CLASS}{service}/{organisation}/{name}"


def build_host_route_name(name: str) -> str:
    """Returns the name of the resource of a host route."""
    return f"{HOST_ROUTE}{name}"


def find_part(base: Snapshot | None, name: str, value: bytes) -> Part | None:
    """Returns a resource of a base if it has this very value there."""
    if base is None or base.resources.get(name) != value:
        return None
    return base.parts.get(name)


def hash_part(name: str, value: bytes) -> bytes:
    """Returns the SHA-256 of a resource's name and value."""
    return hashlib.sha256(f"{name}\0".encode() + value).digest()

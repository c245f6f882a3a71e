"""Snapshots of the complete configuration at one version."""

from __future__ import annotations

import hashlib
from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from merlintrestle.schema import document_pb2

# Names of resources, and prefixes of such names.
BUDGET_RESOURCE = "budget"
LIMITS_RESOURCE = "limits"
# Empty resource: requests need API keys although there are no workspaces.
API_KEYS_RESOURCE = "api-keys"
SERVICE_PREFIX = "service/"
CLASS_PREFIX = "class/"
HOST_ROUTE_PREFIX = "route/"
WORKSPACE_PREFIX = "workspace/"


class Route(NamedTuple):
    """A rule that assigns requests to a class of work.

    Attributes:
        method: HTTP method; "*" matches any method.
        prefix: Path prefix, starting with "/".
        plan: Class of work of the matching requests.
        anonymous: Whether requests without an API key are served.
    """

    method: str
    prefix: str
    plan: ClassPlan
    anonymous: bool = False


class ClassPlan(NamedTuple):
    """The parsed targets of one class of work, with times in seconds.

    Attributes:
        organisation: Organisation that declares the targets; empty for a host
            route.
        service: Service that serves the class; for a host route, the service
            of its first destination.
        name: Name of the class.
        latency_s: Target latency in seconds.
        share: Fraction of the answered calls that must be answered within
            `latency_s`, 0 to 1.
        availability: Fraction of calls that must be answered without a
            failure, 0 to 1.
        repeatable: Whether a call may be run more than once (idempotent).
        importance: 1 (shed first) to 5 (shed last).
        rate: Expected calls per second in the whole mesh.
        work_s: Expected time in seconds for which one call holds a slot.
        large: Whether answers are long transfers, which are monitored by
            their progress instead of a latency target.
        deadline_s: Time in seconds within which the caller gets its final
            answer.
        key_required: Whether calls without an Idempotency-Key header are
            refused.
        max_attempts: Maximum number of upstreams that one call may be sent
            to; 0 if not specified.
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
    """A service that a host route sends requests to.

    Attributes:
        service: Name of the service.
        weight: Share of the route's requests that this service gets, relative
            to the weights of the other destinations.
    """

    service: str
    weight: int


class HostRoute(NamedTuple):
    """Destinations of the requests for a host and a path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case, without a port.
        prefix: Path prefix, starting and ending with "/". The loader does not
            check the end; without it, "/a" would also match "/ab".
        destinations: Services among which the requests are distributed.
        plan: Class of work of the requests.
        anonymous: Whether requests without an API key are served.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[WeightedService, ...]
    plan: ClassPlan
    anonymous: bool = False


class Workspace(NamedTuple):
    """A group of callers with API keys.

    Attributes:
        name: Name of the workspace.
        key_digests: SHA-256 digests of its API keys.
        importance: 1 (shed first) to 5 (shed last); 0 if the class of work
            decides.
        rate: Quota in requests per second of all daemons together; 0 for no
            quota.
        burst: Requests that are admitted beyond the rate after a pause.
    """

    name: str
    key_digests: tuple[bytes, ...]
    importance: int = 0
    rate: float = 0.0
    burst: float = 0.0


class Limits(NamedTuple):
    """Limits and timeouts for the requests of callers.

    Attributes:
        max_header_bytes: Maximum size of the headers of a request.
        max_body_bytes: Maximum size of the body of a request.
        header_timeout_s: Time in seconds within which the headers of a
            request must arrive.
        idle_timeout_s: Time in seconds after which an idle connection is
            closed.
    """

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ServicePlan(NamedTuple):
    """A service with its classes of work.

    Attributes:
        name: Name of the service, unique in the mesh.
        owner: Organisation that owns the service.
        calls: Names of the services that this service calls.
        classes: All classes of work of the service, of every organisation.
        routes: Routes by organisation, longest prefix first.
    """

    name: str
    owner: str
    calls: tuple[str, ...]
    classes: tuple[ClassPlan, ...]
    routes: Mapping[str, tuple[Route, ...]]

    def match(
        self, method: str, path: str, organisation: str = ""
    ) -> Route | None:
        """Returns the route of a request, or None if no route matches.

        Args:
            method: HTTP method of the request.
            path: Path of the request.
            organisation: Organisation of the caller; empty for the owner of
                the service.
        """
        for route in self.routes.get(organisation or self.owner, ()):
            if route.method in ("*", method) and path.startswith(route.prefix):
                return route
        return None


class ParsedResource(NamedTuple):
    """The parsed form of one resource.

    Versions share the parsed form of a resource that did not change.

    Attributes:
        digest: SHA-256 of the name and the value.
        service: The service, for a service resource; otherwise None.
        plan: The class of work, for a class resource; otherwise None.
        routes: The routes to the class of work, for a class resource.
        host_route: The host route, for a host route resource; otherwise None.
        limits: The limits, for the limits resource; otherwise None.
        workspace: The workspace, for a workspace resource; otherwise None.
    """

    digest: bytes
    service: document_pb2.ServiceResource | None = None
    plan: ClassPlan | None = None
    routes: tuple[Route, ...] = ()
    host_route: HostRoute | None = None
    limits: Limits | None = None
    workspace: Workspace | None = None


class Snapshot:
    """The complete configuration at one version.

    Every service and class that a resource refers to is in the snapshot.

    Attributes:
        version: Number of the version.
        digest: SHA-256 of the version and the resources, see
            `compute_digest`.
        resources: Serialized resources by name.
        services: Services by name, derived from the resources; the daemon
            uses them to route calls.
        parsed_resources: Parsed resources by name.
        host_routes: Host routes by host, longest prefix first.
        limits: Limits for the requests of callers; None if not specified.
        workspaces: Workspaces by name.
    """

    def __init__(
        self,
        version: int,
        resources: Mapping[str, bytes],
        services: Mapping[str, ServicePlan],
        parsed_resources: Mapping[str, ParsedResource] | None = None,
        digest: bytes = b"",
        host_routes: Mapping[str, tuple[HostRoute, ...]] | None = None,
        limits: Limits | None = None,
        workspaces: Mapping[str, Workspace] | None = None,
        base: Snapshot | None = None,
    ):
        """Initializes the snapshot.

        Args:
            version: Number of the version.
            resources: Serialized resources by name.
            services: Services by name.
            parsed_resources: Parsed resources by name; empty if omitted.
            digest: Digest of the snapshot; computed if empty.
            host_routes: Host routes by host, longest prefix first.
            limits: Limits for the requests of callers; None if not specified.
            workspaces: Workspaces by name, of which no two have the same API
                key.
            base: Snapshot whose indexes of unchanged hosts and workspaces are
                shared.
        """
        self.version = version
        self.host_routes = host_routes or {}
        self._prefixes: Mapping[
            str, tuple[tuple[int, ...], dict[str, HostRoute]]
        ] = {
            host: base._prefixes[host]
            if base is not None and base.host_routes.get(host) is routes
            else _index_prefixes(routes)
            for host, routes in self.host_routes.items()
        }
        self.limits = limits
        self.workspaces = workspaces or {}
        self._workspaces_by_key: Mapping[bytes, Workspace]
        if base is not None and base.workspaces is self.workspaces:
            self._workspaces_by_key = base._workspaces_by_key
        else:
            self._workspaces_by_key = {
                digest: workspace
                for workspace in self.workspaces.values()
                for digest in workspace.key_digests
            }
        self.resources = resources
        self.services = services
        self.parsed_resources = parsed_resources or {}
        self.digest = digest or compute_digest(version, resources)

    @property
    def requires_api_keys(self) -> bool:
        """True if requests need an API key unless their route is anonymous.

        If there are no workspaces, no key is known.
        """
        return bool(self.workspaces) or API_KEYS_RESOURCE in self.resources

    def find_host_route(self, host: str, path: str) -> HostRoute | None:
        """Returns the route with the longest prefix that matches a path.

        Does one lookup for each distinct length of the prefixes of the host.
        With hundreds of routes, comparing the path with each of them would
        take longer than all other decisions about a call together.

        Args:
            host: Host of the request, in lower case and without a port.
            path: Path of the request.

        Returns:
            The route, or None if no route matches.
        """
        indexed = self._prefixes.get(host)
        if indexed is None:
            return None
        lengths, routes = indexed
        for length in lengths:
            route = routes.get(path[:length])
            if route is not None:
                return route
        return None

    def find_workspace(self, key_digest: bytes) -> Workspace | None:
        """Returns the workspace of an API key, or None if it is unknown.

        Args:
            key_digest: SHA-256 digest of the key.
        """
        return self._workspaces_by_key.get(key_digest)


def _index_prefixes(
    routes: tuple[HostRoute, ...],
) -> tuple[tuple[int, ...], dict[str, HostRoute]]:
    """Returns the prefix lengths, longest first, and the routes by prefix."""
    # If several routes have the same prefix, the first route is used.
    by_prefix = {route.prefix: route for route in reversed(routes)}
    lengths = sorted({len(prefix) for prefix in by_prefix}, reverse=True)
    return tuple(lengths), by_prefix


def compute_digest(version: int, resources: Mapping[str, bytes]) -> bytes:
    """Returns the SHA-256 of a version and the digests of its resources.

    Args:
        version: Number of the version.
        resources: Serialized resources by name.
    """
    return combine_digests(
        version,
        {name: hash_resource(name, value) for name, value in resources.items()},
    )


def combine_digests(version: int, digests: Mapping[str, bytes]) -> bytes:
    """Returns the digest of a snapshot from those of its resources.

    Args:
        version: Number of the version.
        digests: Result of `hash_resource` by name of the resource.
    """
    parts = [digests[name] for name in sorted(digests)]
    return hashlib.sha256(b"".join((str(version).encode(), *parts))).digest()


def build_service_name(service: str) -> str:
    """Returns the name of the resource that holds a service."""
    return f"{SERVICE_PREFIX}{service}"


def build_class_name(service: str, organisation: str, name: str) -> str:
    """Returns the name of the resource that holds a class of work."""
    return f"{CLASS_PREFIX}{service}/{organisation}/{name}"


def build_host_route_name(name: str) -> str:
    """Returns the name of the resource that holds a host route."""
    return f"{HOST_ROUTE_PREFIX}{name}"


def build_workspace_name(name: str) -> str:
    """Returns the name of the resource that holds a workspace."""
    return f"{WORKSPACE_PREFIX}{name}"


def hash_key(key: str) -> bytes:
    """Returns the SHA-256 digest of an API key.

    Args:
        key: The key. Bytes of a header that are not UTF-8 are surrogates, as
            the HTTP library decodes them.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


def hash_resource(name: str, value: bytes) -> bytes:
    """Returns the SHA-256 of the name and the value of a resource."""
    return hashlib.sha256(f"{name}\0".encode() + value).digest()

"""Snapshots: one whole configuration version as a daemon runs it."""

from __future__ import annotations

import hashlib
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import Mapping


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


def load_snapshot(version: int, resources: Mapping[str, bytes]) -> Snapshot:
    """Builds a snapshot from resources that came from a peer.

    Raises:
        errors.SnapshotError: A resource cannot be read, or a route or a
            service refers to one that is not there.
    """
    raise errors.SnapshotError("not written yet")

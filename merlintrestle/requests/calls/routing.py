"""Routing of callers' requests to services and classes of work."""

from __future__ import annotations

import random
import re
from typing import NamedTuple, TYPE_CHECKING
import urllib.parse

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

# A path segment "." or "..". It is searched for in the decoded path, so that
# escaped dots match as well.
_DOT_SEGMENT_PATTERN = re.compile(r"/\.{1,2}(?:/|$)")
_REPEATED_SLASHES_PATTERN = re.compile(r"/{2,}")


class Match(NamedTuple):
    """The destination of a request and its class of work.

    Attributes:
        service: Name of the destination service.
        plan: Class of work of the request.
        target: Path and query for the backend server, beginning with "/".
        route: Name of the host route; empty if the request was routed
            otherwise.
        anonymous: Whether the route serves requests without an API key.
    """

    service: str
    plan: snapshot.ClassPlan
    target: str
    route: str = ""
    anonymous: bool = False


def match_service(
    active_snapshot: snapshot.Snapshot,
    method: str,
    raw_path: str,
    organisation: str,
) -> Match | outcomes.NotRun:
    """Returns the destination of a request to a named service, or a refusal.

    The class of work is matched against the path as the backend server
    understands it. Otherwise a request could be given another class of work
    than that of "/payouts", which the backend server then runs:

    - The path is decoded, because of "/%70ayouts".
    - Repeated slashes are merged, because of "//payouts".
    - Dot segments are refused, because of "/x/../payouts".

    The service name is not decoded, because it is cut off the undecoded path,
    which is forwarded. If it were decoded, the path matched for "/svc%2Fx/y"
    would be "/x/y", but the path forwarded would be "/y".

    Args:
        active_snapshot: Snapshot of the active version.
        method: HTTP method.
        raw_path: Path and query as sent by the caller.
        organisation: Organisation of the caller; empty if not stated.
    """
    if not raw_path.startswith("/") or "#" in raw_path:
        return _refuse("the request target must be a path", 400)
    name, slash, rest = raw_path[1:].partition("/")
    service = active_snapshot.services.get(name)
    if service is None:
        return _refuse(f"no service {name[:80]!r}", 404)
    if not slash:
        return _refuse("the path must go on after the service", 404)
    target = "/" + rest
    path, _, _ = target.partition("?")
    if "%" in path:
        path = urllib.parse.unquote(path)
    if "/." in path and _DOT_SEGMENT_PATTERN.search(path):
        return _refuse("a path must have no dot segments", 400)
    if "//" in path:
        path = _REPEATED_SLASHES_PATTERN.sub("/", path)
    route = service.match(method, path, organisation)
    if route is None:
        return _refuse(f"no class of work of {name} takes this request", 404)
    return Match(name, route.plan, target, anonymous=route.anonymous)


def match_host(
    active_snapshot: snapshot.Snapshot, host: str, raw_path: str
) -> Match | outcomes.NotRun:
    """Returns the destination of a request by its host, or a refusal.

    The path is neither decoded nor changed before it is matched and forwarded,
    so that the daemon and the backend server see the same path.

    Args:
        active_snapshot: Snapshot of the active version.
        host: Value of the Host header; a port in it is ignored.
        raw_path: Path and query as sent by the caller.
    """
    host_name = host.partition(":")[0].lower()
    route = active_snapshot.find_host_route(
        host_name, raw_path.partition("?")[0]
    )
    if route is None:
        return _refuse("no route takes this request", 404)
    return Match(
        choose_service(route),
        route.plan,
        raw_path,
        route.name,
        route.anonymous,
    )


def choose_service(route: snapshot.HostRoute) -> str:
    """Returns a service of a route, chosen at random by weight."""
    if len(route.destinations) == 1:
        return route.destinations[0].service
    weights = [part.weight for part in route.destinations]
    return random.choices(route.destinations, weights)[0].service


def _refuse(reason: str, status: int) -> outcomes.NotRun:
    return outcomes.NotRun(reason, status, None)

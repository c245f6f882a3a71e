"""Routing of callers' requests to services and classes of work."""

from __future__ import annotations

import random
import re
from typing import NamedTuple, TYPE_CHECKING
import urllib.parse

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

# A path segment "." or "..". Escaped ones match as well, since the path is
# decoded first.
_DOT_SEGMENT = re.compile(r"/\.{1,2}(?:/|$)")
_SLASHES = re.compile(r"/{2,}")


class Match(NamedTuple):
    """The destination of a request.

    Attributes:
        service: Name of the service.
        plan: Class of work.
        target: Path and query for the backend server.
        route: Name of the host route; empty if it was routed otherwise.
    """

    service: str
    plan: snapshot.ClassPlan
    target: str
    route: str = ""


def match_service(
    running: snapshot.Snapshot, method: str, raw_path: str, organisation: str
) -> Match | outcomes.NotRun:
    """Returns the destination of a request to a named service, or a refusal.

    The path is decoded and repeated slashes are merged before it is matched,
    and dot segments are refused. Otherwise "/x/../payouts", "/%70ayouts" or
    "//payouts" would match another class than the one that the backend server
    then runs. The service name is not decoded: with an escaped slash after it,
    another part of the path would be matched than the one that is forwarded.
    """
    if not raw_path.startswith("/") or "#" in raw_path:
        return _refuse("the request target must be a path", 400)
    name, slash, rest = raw_path[1:].partition("/")
    service = running.services.get(name)
    if service is None:
        return _refuse(f"no service {name[:80]!r}", 404)
    if not slash:
        return _refuse("the path must go on after the service", 404)
    target = "/" + rest
    path, _, _ = target.partition("?")
    if "%" in path:
        path = urllib.parse.unquote(path)
    if "/." in path and _DOT_SEGMENT.search(path):
        return _refuse("a path must have no dot segments", 400)
    if "//" in path:
        path = _SLASHES.sub("/", path)
    plan = service.match(method, path, organisation)
    if plan is None:
        return _refuse(f"no class of work of {name} takes this request", 404)
    return Match(name, plan, target)


def match_host(
    running: snapshot.Snapshot, host: str, raw_path: str
) -> Match | outcomes.NotRun:
    """Returns the destination of a request by its host, or a refusal.

    The path is matched as it was sent and forwarded unchanged, so that the
    daemon and the backend server see the same path.
    """
    name = host.partition(":")[0].lower()
    route = running.find_host_route(name, raw_path.partition("?")[0])
    if route is None:
        return _refuse("no route takes this request", 404)
    return Match(choose_service(route), route.plan, raw_path, route.name)


def choose_service(route: snapshot.HostRoute) -> str:
    """Returns a service of a route for one request, chosen by weight."""
    if len(route.parts) == 1:
        return route.parts[0].service
    weights = [part.weight for part in route.parts]
    return random.choices(route.parts, weights)[0].service


def _refuse(reason: str, status: int) -> outcomes.NotRun:
    return outcomes.NotRun(reason, status, None)

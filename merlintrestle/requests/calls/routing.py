"""Routing: from a caller's request to its class of work."""

from __future__ import annotations

import random
import re
from typing import NamedTuple, TYPE_CHECKING
import urllib.parse

from merlintrestle.requests.calls import outcomes

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

# A segment "." or "..", written plainly or escaped.
_DOT_SEGMENT = re.compile(r"/\.{1,2}(?:/|$)")
_SLASHES = re.compile(r"/{2,}")


class Match(NamedTuple):
    """Where a request goes.

    Attributes:
        service: Name of the service.
        plan: Class of work.
        target: Path and query for the backend server.
        route: Name of the route by host; empty: it was found otherwise.
    """

    service: str
    plan: snapshot.ClassPlan
    target: str
    route: str = ""


def find_class(
    running: snapshot.Snapshot, method: str, raw_path: str, organisation: str
) -> Match | outcomes.NotRun:
    """Returns the class of work of a request, or why it has none.

    The path is matched in its decoded form, runs of slashes as one, and dot
    segments are refused: "/x/../payouts", "/%70ayouts" or "//payouts" would
    otherwise pass for another class than the one the backend server then runs.
    The service is not decoded: an escaped slash after it would have another
    part of the path matched than the one that is passed on.
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
    """Returns where a request goes that names its destination by host.

    The path is matched as it was sent and passed on unchanged, so that both
    sides see the same one.
    """
    name = host.partition(":")[0].lower()
    route = running.find_host_route(name, raw_path.partition("?")[0])
    if route is None:
        return _refuse("no route takes this request", 404)
    return Match(choose_part(route), route.plan, raw_path, route.name)


def choose_part(route: snapshot.HostRoute) -> str:
    """Returns the service that gets one request of a route, by weight."""
    if len(route.parts) == 1:
        return route.parts[0].service
    weights = [part.weight for part in route.parts]
    return random.choices(route.parts, weights)[0].service


def _refuse(reason: str, status: int) -> outcomes.NotRun:
    return outcomes.NotRun(reason, status, None)

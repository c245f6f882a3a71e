"""Routing: from a caller's request to its class of work."""

from __future__ import annotations

import re
from typing import NamedTuple, TYPE_CHECKING
import urllib.parse

from merlintrestle.requests import outcomes

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
    """

    service: str
    plan: snapshot.ClassPlan
    target: str


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


def find_named_class(
    running: snapshot.Snapshot, service: str, organisation: str, name: str
) -> snapshot.ClassPlan | None:
    """Returns a class of work by its name; None: not in this version."""
    plan = running.services.get(service)
    if plan is None:
        return None
    for candidate in plan.classes:
        if candidate.name == name and candidate.organisation == organisation:
            return candidate
    return None


def _refuse(reason: str, status: int) -> outcomes.NotRun:
    return outcomes.NotRun(reason, status, None)

"""Calls with API keys to an example fleet, for the demonstration."""

from __future__ import annotations

import asyncio
import collections
import itertools
import pathlib
import time
from typing import NamedTuple, TYPE_CHECKING

import aiohttp

from standins import worker
from tools import processes

if TYPE_CHECKING:
    from tools import fleet

_FLEETS_FOLDER = pathlib.Path(__file__).parent.parent / "fleets"
# Example keys of the workspaces in fleets/zaanoever/workspaces/mesh.toml.
KEYS = {
    "weegbrug": "example-key-of-weegbrug-5b0e9c41d7",
    "reporting": "example-key-of-reporting-a83f17e2c6",
}
_LIMITED_WORKSPACE = "reporting"
_UNKNOWN_KEY = "no key of any workspace"
_PATH = "/balie/tickets"
_CALLS = 20
_LIMITED_CALLS = 300
_ACTIVATION_TIMEOUT_S = 20.0
# Time within which a quota coordinator begins to grant tokens.
_COORDINATOR_TIMEOUT_S = 10.0
_RETRY_INTERVAL_S = 0.2
_OK = 200
_UNAUTHORIZED = 401
_OVER_QUOTA = 429
# A call that waits for a token longer than a fraction of its latency target.
_UNDECIDED = 503
# Largest number of calls that the quota of the limited workspace admits in a
# window of 5 s: (rate x window + burst) x (1 + overshoot) + slack.
_MAX_ADMITTED = (10 * 5 + 20) * 1.1 + 20


class Group(NamedTuple):
    """Calls with the same API key.

    Attributes:
        label: Description of the key.
        key: The key; empty for calls without one.
        calls: Number of calls.
        expected: Statuses that all of its calls must have.
    """

    label: str
    key: str
    calls: int
    expected: frozenset[int]


class GroupResult(NamedTuple):
    """What the calls of a group got.

    Attributes:
        group: The group.
        statuses: Number of calls by status.
        duration_s: Time from the first call to the last answer, in seconds.
    """

    group: Group
    statuses: dict[int, int]
    duration_s: float


_GROUPS = (
    Group("workspace weegbrug", KEYS["weegbrug"], _CALLS, frozenset({_OK})),
    Group("an unknown key", _UNKNOWN_KEY, _CALLS, frozenset({_UNAUTHORIZED})),
    Group("no key", "", _CALLS, frozenset({_UNAUTHORIZED})),
    Group(
        "workspace reporting, over its quota",
        KEYS[_LIMITED_WORKSPACE],
        _LIMITED_CALLS,
        frozenset({_OK, _OVER_QUOTA, _UNDECIDED}),
    ),
)


def find_document(fleet_name: str) -> pathlib.Path | None:
    """Returns the document with workspaces of a fleet, if it has one."""
    path = _FLEETS_FOLDER / fleet_name / "workspaces" / "mesh.toml"
    return path if path.exists() else None


async def run_calls(
    example_fleet: fleet.Fleet, document: pathlib.Path
) -> list[GroupResult]:
    """Applies workspaces and sends each group of calls through all daemons.

    Raises:
        processes.ProcessError: The workspaces did not come into force, or no
            daemon grants tokens.
    """
    await example_fleet.apply(str(document))
    version = (await example_fleet.read_head()).version
    instances = [i for i in example_fleet.instances if i.daemon.running]
    if (
        await example_fleet.wait_until_active(
            version, _ACTIVATION_TIMEOUT_S, instances
        )
        is None
    ):
        raise processes.ProcessError("workspaces are not in force everywhere")
    urls = [instance.url + _PATH for instance in instances]
    async with aiohttp.ClientSession() as session:
        await _wait_for_coordinator(session, urls[0])
        return [await _send_group(session, urls, group) for group in _GROUPS]


def list_violations(results: list[GroupResult]) -> list[str]:
    """Returns a message for each group with an unexpected status."""
    violations = [
        f"calls with {result.group.label} got {result.statuses}"
        for result in results
        if set(result.statuses) - result.group.expected
    ]
    limited = results[-1].statuses
    if not limited.get(_OVER_QUOTA) or not limited.get(_OK):
        violations.append(f"the quota had no effect: {limited}")
    elif limited[_OK] > _MAX_ADMITTED:
        violations.append(f"the quota was exceeded: {limited}")
    return violations


def format_result(result: GroupResult) -> str:
    """Returns a line about a group."""
    counts = ", ".join(
        f"{count} got {status}"
        for status, count in sorted(result.statuses.items())
    )
    return (
        f"  {result.group.calls} calls with {result.group.label} in"
        f" {result.duration_s:.1f} s: {counts}"
    )


async def _wait_for_coordinator(
    session: aiohttp.ClientSession, url: str
) -> None:
    try:
        async with asyncio.timeout(_COORDINATOR_TIMEOUT_S):
            while await _send(session, url, KEYS[_LIMITED_WORKSPACE]) != _OK:
                await asyncio.sleep(_RETRY_INTERVAL_S)
    except TimeoutError as error:
        raise processes.ProcessError("no daemon grants tokens") from error


async def _send_group(
    session: aiohttp.ClientSession, urls: list[str], group: Group
) -> GroupResult:
    began = time.monotonic()
    entries = itertools.islice(itertools.cycle(urls), group.calls)
    statuses = await asyncio.gather(
        *(_send(session, url, group.key) for url in entries)
    )
    return GroupResult(
        group, dict(collections.Counter(statuses)), time.monotonic() - began
    )


async def _send(session: aiohttp.ClientSession, url: str, key: str) -> int:
    """Sends a call and returns the status; 0 if there is no answer."""
    headers = {worker.REQUEST_ID_HEADER: "keyed"}
    if key:
        headers["Authorization"] = f"Bearer {key}"
    try:
        async with session.get(f"{url}/keyed", headers=headers) as response:
            await response.read()
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return 0

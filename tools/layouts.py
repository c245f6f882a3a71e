"""Layouts of the example fleets, and how to start each kind of process."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING, TypeVar

import click

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

F = TypeVar("F", bound="Callable[..., Any]")

HOST = "127.0.0.1"
# Hosts of one /24 that are used.
_HOSTS = 250


class Place(NamedTuple):
    """Where one instance runs and what it serves.

    Attributes:
        zone: Availability zone.
        service: Service of the backend server.
    """

    zone: str
    service: str


class Layout(NamedTuple):
    """The instances of an example fleet.

    Attributes:
        name: Folder of its target documents.
        region: Region of all its zones.
        zones: Availability zones.
        backend_counts: Number of backend servers by service.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    backend_counts: Mapping[str, int]


ZAANOEVER = Layout(
    "zaanoever",
    "zaanstreek",
    ("weeghal-noord", "weeghal-zuid", "kantoor-dijk"),
    {"balie": 6, "kassa": 4, "beeldarchief": 3},
)
KOCHI = Layout(
    "kochi",
    "kochi",
    ("willingdon", "vallarpadam", "kakkanad"),
    {"dwell-desk": 5, "settle-ledger": 3, "evidence-vault": 3},
)
LAYOUTS = {layout.name: layout for layout in (ZAANOEVER, KOCHI)}


def list_places(layout: Layout, scale: float = 1.0) -> list[Place]:
    """Spreads a layout's instances over its zones, one by one.

    Args:
        layout: The fleet.
        scale: Factor on the upstreams of each service; one at least stays.
    """
    services = [
        service
        for service, count in layout.backend_counts.items()
        for _ in range(max(1, round(count * scale)))
    ]
    zones = layout.zones
    return [
        Place(zones[index % len(zones)], service)
        for index, service in enumerate(services)
    ]


def get_address(number: int) -> str:
    """Returns the loopback address of an instance.

    Each has its own, as in a mesh. Outgoing connections of this machine use
    `HOST`, so that none takes the port of a daemon that is being restarted.
    """
    return f"127.0.{1 + number // _HOSTS}.{1 + number % _HOSTS}"


def build_proxy_arguments(
    _place: Place, _region: str, _store: str, _seeds: list[str]
) -> list[str]:
    """Returns module and arguments of the baseline's random proxy."""
    ports = ["--port", "0", "--admin-port", "0"]
    return ["standins.plain_random_proxy", *ports]


def build_watcher_arguments(
    _place: Place, _region: str, store: str, _seeds: list[str]
) -> list[str]:
    """Returns module and arguments of the baseline's watcher."""
    return ["standins.plain_watcher", "--store", store, "--admin-port", "0"]


def build_daemon_arguments(
    place: Place,
    region: str,
    store: str,
    seeds: list[str],
    spread: str = "fast",
) -> list[str]:
    """Returns module and arguments that start a daemon on free ports."""
    arguments = [
        *("merlintrestle.daemon.command", "--address", HOST),
        *("--zone", place.zone, "--region", region, "--port", "0"),
        *("--peer-port", "0", "--control-port", "0", "--admin-port", "0"),
        *("--store", store, "--spread", spread, "--log-level", "warning"),
    ]
    if seeds:
        arguments += ["--seeds", ",".join(seeds)]
    return arguments


def add_fleet_option(text: str) -> Callable[[F], F]:
    """Returns a decorator that gives a command the option `--fleet`.

    Args:
        text: What the command uses the fleet for.
    """
    return click.option(
        "--fleet",
        "name",
        default="zaanoever",
        show_default=True,
        type=click.Choice(sorted(LAYOUTS)),
        help=text,
    )

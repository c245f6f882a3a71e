"""Layouts of the example fleets and the commands that start their processes."""

from __future__ import annotations

from typing import Any, NamedTuple, TYPE_CHECKING, TypeVar

import click

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

F = TypeVar("F", bound="Callable[..., Any]")

# Loopback address of admin ports, of the baseline and of outgoing connections;
# see `get_address`.
HOST = "127.0.0.1"
# Number of loopback addresses used in each /24 network.
_ADDRESSES_PER_NETWORK = 250


class Place(NamedTuple):
    """Availability zone and service of one instance.

    Attributes:
        zone: Availability zone in which it runs.
        service: Service that its backend server serves.
    """

    zone: str
    service: str


class Layout(NamedTuple):
    """The instances of an example fleet.

    Attributes:
        name: Name of the fleet and of the folder of its target documents.
        region: Region that all its availability zones belong to.
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
    """Returns a layout's instances, assigned to its zones in turn.

    Args:
        layout: The fleet.
        scale: Factor on the number of backend servers of each service; each
            service keeps at least one.
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

    Each instance has an address of its own, as in a mesh. Outgoing
    connections of this machine use `HOST`, so that none of them takes the
    port of a daemon that is being restarted.

    Args:
        number: Number of the instance, from 0.
    """
    return (
        f"127.0.{1 + number // _ADDRESSES_PER_NETWORK}"
        f".{1 + number % _ADDRESSES_PER_NETWORK}"
    )


def build_proxy_arguments(
    _place: Place, _region: str, _store: str, _seeds: list[str]
) -> list[str]:
    """Returns the module and arguments of the baseline's random proxy."""
    ports = ["--port", "0", "--admin-port", "0"]
    return ["standins.plain_random_proxy", *ports]


def build_watcher_arguments(
    _place: Place, _region: str, store: str, _seeds: list[str]
) -> list[str]:
    """Returns the module and arguments of the baseline's store watcher."""
    return ["standins.plain_watcher", "--store", store, "--admin-port", "0"]


def build_daemon_arguments(
    place: Place,
    region: str,
    store: str,
    seeds: list[str],
    spread: str = "fast",
) -> list[str]:
    """Returns the module and arguments that start a daemon on free ports.

    The address is `HOST`; `fleet.Fleet` replaces it by `get_address`.

    Args:
        place: Zone and service of the instance.
        region: Region of the zone.
        store: Address of the store, "ip:port".
        seeds: Ids of daemons that the daemon contacts first.
        spread: The daemon's setting of that name, "fast" or "lean".
    """
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
    """Returns a decorator that adds the option `--fleet` to a command.

    Args:
        text: Help text of the option.
    """
    return click.option(
        "--fleet",
        "name",
        default="zaanoever",
        show_default=True,
        type=click.Choice(sorted(LAYOUTS)),
        help=text,
    )

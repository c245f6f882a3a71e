"""Settings of a process as the platform writes them."""

from __future__ import annotations

import os
import pathlib
from typing import NamedTuple

from merlintrestle import config
from merlintrestle import errors
from merlintrestle import settings_reader

PATH_VARIABLE = "MERLINTRESTLE_CONFIG"
_MS = 1000
_MAX_PORT = 65535


class Address(NamedTuple):
    """Where a socket listens.

    Attributes:
        host: IP number.
        port: Port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings(NamedTuple):
    """What the platform tells a process.

    Attributes:
        address: IP number of the instance.
        zone: Its availability zone.
        region: Its region.
        service: Service of the backend server on the instance.
        backend: Address of that backend server.
        callers: Where callers on the instance send requests.
        peers: Where other daemons send calls for the backend server.
        readiness: Where the platform asks whether the daemon serves.
        announcements: Where the backend server announces itself.
        first_port: First of the ports that are free for the daemon.
        last_port: Last of them.
        store: Address of the platform's store.
        heartbeat_s: Time between two announcements, in seconds.
        drain_s: Time after which a leaving backend server gets no new work,
            in seconds.
        grace_s: Time from the stop signal to the kill, in seconds.
        retry_ratio: Retries that a service may get for each of its requests.
        retry_slack: Retries that it may get beside these, in one window.
        retry_window_s: Length of that window, in seconds.
        expose_share: Part of a service's calls that a bad version may get; 0:
            not stated.
        link_mbps: Capacity of the instance's link in Mbit/s; 0: not known.
    """

    address: str
    zone: str
    region: str
    service: str
    backend: Address
    callers: Address
    peers: Address
    readiness: Address
    announcements: Address
    first_port: int
    last_port: int
    store: Address
    heartbeat_s: float
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    expose_share: float
    link_mbps: float


def find_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        errors.InvalidInputError: The variable that names it is not set.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise errors.InvalidInputError(
            [errors.Finding(PATH_VARIABLE, "is required.")]
        )
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> Settings:
    """Reads the settings file.

    Raises:
        errors.InvalidInputError: With every finding about it.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise errors.InvalidInputError(
            [errors.Finding(str(path), f"cannot be read: {error}.")]
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Returns the settings in the text of a file, lines of `name=value`.

    Raises:
        errors.InvalidInputError: With every finding about it.
    """
    reader = settings_reader.SettingsReader(_split(text))
    ports = reader.get_required("internalPorts", _parse_ports, (0, 0))
    settings = Settings(
        address=reader.get_required("ip", settings_reader.parse_ip, ""),
        zone=reader.get_required("zone", str, ""),
        region=reader.get_required("region", str, ""),
        service=reader.get_required("service", str, ""),
        backend=reader.get_required("app", _parse_address, _NOWHERE),
        callers=reader.get_required(
            "listen.outbound", _parse_address, _NOWHERE
        ),
        peers=reader.get_required("listen.inbound", _parse_address, _NOWHERE),
        readiness=reader.get_required("listen.ready", _parse_address, _NOWHERE),
        announcements=reader.get_required(
            "listen.control", _parse_address, _NOWHERE
        ),
        first_port=ports[0],
        last_port=ports[1],
        store=reader.get_required("platform.address", _parse_address, _NOWHERE),
        heartbeat_s=reader.get_required(
            "heartbeatMs", settings_reader.parse_number, 0.0
        )
        / _MS,
        drain_s=reader.get_required(
            "bounds.drainMs", settings_reader.parse_number, 0.0
        )
        / _MS,
        grace_s=reader.get_required(
            "bounds.graceS", settings_reader.parse_number, 0.0
        ),
        retry_ratio=reader.get_required(
            "bounds.retryBudgetRatio", settings_reader.parse_number, 0.0
        ),
        retry_slack=reader.get_required(
            "bounds.retrySlack", settings_reader.parse_number, 0.0
        ),
        retry_window_s=reader.get_required(
            "bounds.budgetWindowS", settings_reader.parse_number, 0.0
        ),
        expose_share=reader.get_optional(
            "bounds.exposeShare", settings_reader.parse_number, 0.0
        ),
        link_mbps=reader.get_optional(
            "limits.linkMbps", settings_reader.parse_number, 0.0
        ),
    )
    if reader.findings:
        raise errors.InvalidInputError(reader.findings)
    return settings


_NOWHERE = Address("", 0)


def _split(text: str) -> dict[str, str]:
    """Returns the values by name; `bounds` holds names of its own."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, _, value = line.partition("=")
        if name.strip() != "bounds":
            values[name.strip()] = value.strip()
            continue
        for bound in value.split(","):
            bound_name, _, figure = bound.partition("=")
            values[f"bounds.{bound_name.strip()}"] = figure.strip()
    return values


def _parse_address(text: str) -> Address:
    if problem := config.check_address(text):
        raise ValueError(problem)
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _parse_ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(",")
    ports = (int(first), int(last or first))
    if not 0 < ports[0] <= ports[1] <= _MAX_PORT:
        raise ValueError(f"{text!r} is not a range of ports.")
    return ports

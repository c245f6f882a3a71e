"""Parser of the settings file that the platform writes."""

from __future__ import annotations

import os
import pathlib
from typing import NamedTuple

from merlintrestle import config
from merlintrestle import errors
from merlintrestle import settings_reader

PATH_VARIABLE = "MERLINTRESTLE_CONFIG"
_MS_PER_S = 1000
_MAX_PORT = 65535


class Address(NamedTuple):
    """IP number and port number of a socket."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings(NamedTuple):
    """Settings of a process on the platform.

    Attributes:
        address: IP number of the instance.
        zone: Availability zone of the instance.
        region: Region of the instance.
        service: Service of the backend server on the instance.
        backend: Address of that backend server.
        callers: Address to which callers on the instance send requests.
        peers: Address to which other daemons send calls.
        readiness: Address at which the platform checks readiness.
        announcements: Address that gets heartbeats (setting `listen.control`).
        first_port: First port reserved for the daemon; 0 (in tests): any free.
        last_port: Last of these ports; not used.
        store: Address of the platform's store.
        heartbeat_s: Interval of heartbeats, in seconds; not used.
        drain_s: Seconds until a leaving backend server gets no calls; not used.
        grace_s: Time from the stop signal to the kill, in seconds.
        retry_ratio: Allowed retries per request of a service in one window.
        retry_slack: Retries allowed in one window in addition to the ratio's.
        retry_window_s: Length of the window, in seconds.
        expose_share: Share of calls that a bad version may get; 0 if unstated.
        quota_window_s: Length of the window of quotas, in seconds; 0 if
            unstated.
        quota_overshoot: Part of a quota by which it may be exceeded; 0 if
            unstated.
        quota_slack: Calls by which a quota may be exceeded in addition; 0 if
            unstated.
        link_mbps: Capacity of the instance's link in Mbit/s; 0 if unknown.
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
    quota_window_s: float
    quota_overshoot: float
    quota_slack: float
    link_mbps: float


def find_path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        errors.InvalidInputError: `PATH_VARIABLE` is not set.
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
        errors.InvalidInputError: With all findings.
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise errors.InvalidInputError(
            [errors.Finding(str(path), f"cannot be read: {error}.")]
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parses the text of a settings file, which has lines of `name=value`.

    Raises:
        errors.InvalidInputError: With all findings.
    """
    reader = settings_reader.SettingsReader(_split_lines(text))
    ports = reader.get_required("internalPorts", _parse_ports, (0, 0))
    settings = Settings(
        address=reader.get_required("ip", settings_reader.parse_ip, ""),
        zone=reader.get_required("zone", str, ""),
        region=reader.get_required("region", str, ""),
        service=reader.get_required("service", str, ""),
        backend=reader.get_required("app", _parse_address, _UNSET),
        callers=reader.get_required("listen.outbound", _parse_address, _UNSET),
        peers=reader.get_required("listen.inbound", _parse_address, _UNSET),
        readiness=reader.get_required("listen.ready", _parse_address, _UNSET),
        announcements=reader.get_required(
            "listen.control", _parse_address, _UNSET
        ),
        first_port=ports[0],
        last_port=ports[1],
        store=reader.get_required("platform.address", _parse_address, _UNSET),
        heartbeat_s=reader.get_required(
            "heartbeatMs", settings_reader.parse_number, 0.0
        )
        / _MS_PER_S,
        drain_s=reader.get_required(
            "bounds.drainMs", settings_reader.parse_number, 0.0
        )
        / _MS_PER_S,
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
        quota_window_s=reader.get_optional(
            "bounds.quotaWindowS", settings_reader.parse_number, 0.0
        ),
        quota_overshoot=reader.get_optional(
            "bounds.quotaOvershoot", settings_reader.parse_number, 0.0
        ),
        quota_slack=reader.get_optional(
            "bounds.quotaSlack", settings_reader.parse_number, 0.0
        ),
        link_mbps=reader.get_optional(
            "limits.linkMbps", settings_reader.parse_number, 0.0
        ),
    )
    if reader.findings:
        raise errors.InvalidInputError(reader.findings)
    return settings


_UNSET = Address("", 0)  # Placeholder for a missing or malformed address.


def _split_lines(text: str) -> dict[str, str]:
    """Returns the values by name; those within `bounds` as `bounds.NAME`."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, _, value = line.partition("=")
        if name.strip() != "bounds":
            values[name.strip()] = value.strip()
            continue
        for bound in value.split(","):
            bound_name, _, bound_value = bound.partition("=")
            values[f"bounds.{bound_name.strip()}"] = bound_value.strip()
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

"""Parser of the settings file that the platform writes."""

from __future__ import annotations

import os
import pathlib
from typing import NamedTuple

from merlintrestle import errors
from merlintrestle import settings_reader

PATH_VARIABLE = "MERLINTRESTLE_CONFIG"
_MS_PER_S = 1000
_DEFAULT_REVOCATION_LIMIT_MS = 5000.0


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
        revocation_limit_s: Time after a version within which the API keys that
            it removed stop working, in seconds; 0: no limit.
        quota_window_s: Length of the window of quotas, in seconds; 0 if
            unstated.
        quota_overshoot: Part of a quota by which it may be exceeded; 0 if
            unstated.
        quota_slack: Calls by which a quota may be exceeded in addition; 0 if
            unstated.
        link_mbps: Capacity of the instance's link in Mbit/s; 0 if unknown.
        memory_mb: Memory that the process may use, in MB; 0 if unstated.
        descriptors: Descriptors that it may open; 0 if unstated.
    """

    address: str
    zone: str
    region: str
    service: str
    backend: settings_reader.Address
    callers: settings_reader.Address
    peers: settings_reader.Address
    readiness: settings_reader.Address
    announcements: settings_reader.Address
    first_port: int
    last_port: int
    store: settings_reader.Address
    heartbeat_s: float
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    expose_share: float
    revocation_limit_s: float
    quota_window_s: float
    quota_overshoot: float
    quota_slack: float
    link_mbps: float
    memory_mb: float
    descriptors: int


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
    return parse_settings(settings_reader.read_file(path))


def parse_settings(text: str) -> Settings:
    """Parses the text of a settings file, which has lines of `name=value`.

    Raises:
        errors.InvalidInputError: With all findings.
    """
    reader = settings_reader.SettingsReader(
        settings_reader.split_lines(text, "bounds")
    )
    ports = reader.get_required(
        "internalPorts", settings_reader.parse_ports, (0, 0)
    )
    settings = Settings(
        address=reader.get_required("ip", settings_reader.parse_ip, ""),
        zone=_read_text(reader, "zone"),
        region=_read_text(reader, "region"),
        service=_read_text(reader, "service"),
        backend=_read_address(reader, "app"),
        callers=_read_address(reader, "listen.outbound"),
        peers=_read_address(reader, "listen.inbound"),
        readiness=_read_address(reader, "listen.ready"),
        announcements=_read_address(reader, "listen.control"),
        first_port=ports[0],
        last_port=ports[1],
        store=_read_address(reader, "platform.address"),
        heartbeat_s=_read_required(reader, "heartbeatMs") / _MS_PER_S,
        drain_s=_read_required(reader, "bounds.drainMs") / _MS_PER_S,
        grace_s=_read_required(reader, "bounds.graceS"),
        retry_ratio=_read_required(reader, "bounds.retryBudgetRatio"),
        retry_slack=_read_required(reader, "bounds.retrySlack"),
        retry_window_s=reader.get_required(
            "bounds.budgetWindowS", settings_reader.parse_duration, 0.0
        ),
        expose_share=_read_number(reader, "bounds.exposeShare"),
        revocation_limit_s=_read_revocation_limit(reader),
        quota_window_s=reader.get_optional(
            "bounds.quotaWindowS", settings_reader.parse_duration, 0.0
        ),
        quota_overshoot=_read_number(reader, "bounds.quotaOvershoot"),
        quota_slack=_read_number(reader, "bounds.quotaSlack"),
        link_mbps=_read_number(reader, "limits.linkMbps"),
        memory_mb=_read_number(reader, "limits.memoryMb"),
        descriptors=int(_read_number(reader, "limits.maxFds")),
    )
    if reader.findings:
        raise errors.InvalidInputError(reader.findings)
    return settings


# Placeholder for a missing or malformed address.
_UNSET = settings_reader.Address("", 0)


def _read_address(
    reader: settings_reader.SettingsReader, name: str
) -> settings_reader.Address:
    return reader.get_required(name, settings_reader.parse_address, _UNSET)


def _read_required(reader: settings_reader.SettingsReader, name: str) -> float:
    return reader.get_required(name, settings_reader.parse_number, 0.0)


def _read_number(reader: settings_reader.SettingsReader, name: str) -> float:
    """Returns a number; 0 if it is not stated."""
    return reader.get_optional(name, settings_reader.parse_number, 0.0)


def _read_text(reader: settings_reader.SettingsReader, name: str) -> str:
    return reader.get_required(name, settings_reader.parse_text, "")


def _read_revocation_limit(reader: settings_reader.SettingsReader) -> float:
    """Returns the limit in seconds; 0 if it is not strict."""
    limit_ms = reader.get_optional(
        "bounds.revokeMs",
        settings_reader.parse_number,
        _DEFAULT_REVOCATION_LIMIT_MS,
    )
    strict = reader.get_optional(
        "bounds.revokeStrict", settings_reader.parse_flag, False
    )
    return limit_ms / _MS_PER_S if strict else 0.0

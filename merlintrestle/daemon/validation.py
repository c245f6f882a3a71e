"""Which values of a heartbeat can be used."""

from __future__ import annotations

import math
import re
from typing import Any

from merlintrestle import config

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MAX_SLOTS = 100_000
_MAX_VERSION_CHARACTERS = 200


def is_name(value: Any) -> bool:
    """Returns whether a value is the name of a service."""
    return isinstance(value, str) and _NAME.fullmatch(value) is not None


def is_version(value: Any) -> bool:
    """Returns whether a version of software is one, or left out."""
    return value is None or (
        isinstance(value, str) and len(value) <= _MAX_VERSION_CHARACTERS
    )


def is_address(value: Any) -> bool:
    """Returns whether a value is an "ip:port"."""
    return isinstance(value, str) and not config.check_address(value)


def is_slots(value: Any) -> bool:
    """Returns whether a value is a number of slots."""
    return type(value) is int and 0 < value <= _MAX_SLOTS


def is_number(value: Any) -> bool:
    """Returns whether a value is a number, not negative."""
    if type(value) not in (int, float):
        return False
    return math.isfinite(value) and value >= 0


def is_born(value: Any) -> bool:
    """Returns whether a start in ms since 1970 is one, or left out."""
    return value is None or (type(value) is int and value > 0)

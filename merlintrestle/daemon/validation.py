"""Validation of the values of a heartbeat."""

from __future__ import annotations

import re
from typing import Any

from merlintrestle import config
from merlintrestle import decoding
from merlintrestle import errors

# Unlike a name in a document, the service name in a heartbeat may contain
# capital letters, "." and "_".
_SERVICE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MAX_SLOTS = 100_000
_MAX_DURATION_MS = 86_400_000
# Integers up to this one are exact as floats.
MAX_COUNT = 2**53
_MAX_VERSION_CHARACTERS = 200
# Characters that may stand in the header that names the backend server.
_INSTANCE_ID = re.compile(r"[!-~]{1,200}")


def build_finding(name: str, value: Any) -> errors.Finding:
    """Returns the finding about a value that is not allowed."""
    return errors.Finding(name, f"{decoding.show_value(value)} is not allowed.")


def parse_slots(text: str, index: int) -> int | None:
    """Returns the number of slots in a header, or None.

    Args:
        text: Fields with commas between them.
        index: Index of the field with the slots.
    """
    fields = text.split(",")
    if len(fields) <= index:
        return None
    return (
        decoding.parse_whole_number(fields[index].strip(), _MAX_SLOTS) or None
    )


def check_instance_id(instance_id: str) -> None:
    """Checks an id, which records and headers must be able to contain.

    Raises:
        errors.InvalidInputError: It is malformed.
    """
    if not is_instance_id(instance_id):
        raise errors.InvalidInputError([build_finding("id", instance_id)])


def is_service_name(value: Any) -> bool:
    """Returns whether a value is a service name."""
    return isinstance(value, str) and _SERVICE_NAME.fullmatch(value) is not None


def is_version(value: Any) -> bool:
    """Returns whether a value is a software version or None (absent).

    Text with lone surrogates, which JSON allows, cannot be sent to other
    daemons. It is not printable.
    """
    return value is None or (
        isinstance(value, str)
        and len(value) <= _MAX_VERSION_CHARACTERS
        and value.isprintable()
    )


def is_instance_id(value: Any) -> bool:
    """Returns whether a value is the id of a backend server process."""
    return isinstance(value, str) and _INSTANCE_ID.fullmatch(value) is not None


def is_address(value: Any) -> bool:
    """Returns whether a value is an "ip:port"."""
    return isinstance(value, str) and not config.check_address(value)


def is_zone(value: Any) -> bool:
    """Returns whether a value is the name of an availability zone."""
    return isinstance(value, str) and bool(value) and value.isprintable()


def is_slot_count(value: Any) -> bool:
    """Returns whether a value is a valid number of slots."""
    return type(value) is int and 0 < value <= _MAX_SLOTS


def is_duration(value: Any) -> bool:
    """Returns whether a value is a duration in ms, of a day at most."""
    return decoding.is_number(value, _MAX_DURATION_MS)


def is_sequence(value: Any) -> bool:
    """Returns whether a value is a sequence number, which is 0 or more.

    A backend server may count in nanoseconds since 1970, so 53 bits are too
    few.
    """
    return decoding.is_number(value, decoding.MAX_LONG)


def is_start_time(value: Any) -> bool:
    """Returns whether a value is a time in ms since 1970 or None (absent)."""
    return value is None or (type(value) is int and 0 < value <= MAX_COUNT)

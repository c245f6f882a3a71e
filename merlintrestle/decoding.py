"""Bounded decoding of values from outside the process.

A value of the store, a peer, a backend server or a file may have any form. What
is out of bounds is refused where it is decoded, so that whatever uses it can
rely on the bounds. An exception in the use of one odd value could otherwise
end every process that reads it, and each again when it is started.
"""

from __future__ import annotations

import json
import math
import re
from typing import Any

import prometheus_client

from merlintrestle import events as event_logs

events = event_logs.EventLog("decoding")

# Largest integer of a field of 64 bits.
MAX_LONG = 2**64 - 1
# Nesting of objects and lists. Python's own limit of recursion is reached in
# other places, such as the text of an error, with far less than it decodes.
MAX_DEPTH = 32
# Digits of an integer; more do not fit into 64 bits.
_MAX_DIGITS = 20
_HEXADECIMAL = re.compile(r"[0-9a-fA-F]{1,16}")
_HEXADECIMAL_BASE = 16
# Characters of a value in an error message.
_MAX_SHOWN_CHARACTERS = 100

_refused_counter = prometheus_client.Counter(
    "merlintrestle_values_refused",
    "Values from outside that were malformed and not used, by kind.",
    ("kind",),
)


class MalformedValueError(ValueError):
    """A value is malformed or out of bounds."""


def count_refused(kind: str) -> None:
    """Counts a value that is not used; the caller logs why.

    Args:
        kind: Kind of the value, such as "order"; the label of the metric.
    """
    _refused_counter.labels(kind).inc()


def report_refused(kind: str, value: Any) -> None:
    """Counts and logs a value that is not used.

    Args:
        kind: Kind of the value, see `count_refused`.
        value: The value, which must not hold secrets.
    """
    count_refused(kind)
    events.warn("value refused", kind=kind, value=show_value(value))


def decode_json(data: bytes | str, max_size: int) -> Any:
    """Decodes JSON.

    Numbers with too many digits become infinite, so that each check of a range
    refuses them, while fields that nobody uses may have any.

    Args:
        data: The encoded value.
        max_size: Its maximum size, in bytes or characters.

    Raises:
        MalformedValueError: It is too large, not JSON, or nested too deeply.
    """
    if len(data) > max_size:
        raise MalformedValueError(
            f"it has a size of {len(data)}; {max_size} are allowed"
        )
    try:
        value = json.loads(data, parse_int=_parse_integer)
    except (ValueError, RecursionError) as error:
        raise MalformedValueError(f"it is not JSON: {error}") from error
    brackets = ("[", "{") if isinstance(data, str) else (b"[", b"{")
    # Every level of nesting needs a bracket.
    if sum(map(data.count, brackets)) > MAX_DEPTH:  # type: ignore[arg-type]
        _check_depth(value)
    return value


def _parse_integer(digits: str) -> int | float:
    if len(digits) <= _MAX_DIGITS:
        return int(digits)
    return -math.inf if digits.startswith("-") else math.inf


def _check_depth(value: Any) -> None:
    """Checks the nesting level by level, without recursion."""
    level = [value]
    for _ in range(MAX_DEPTH + 1):
        level = [
            child
            for parent in level
            for child in _list_children(parent)
            if isinstance(child, (dict, list))
        ]
        if not level:
            return
    raise MalformedValueError(f"it is nested deeper than {MAX_DEPTH} levels")


def _list_children(value: Any) -> Any:
    return value.values() if isinstance(value, dict) else value


def parse_whole_number(text: str, maximum: int = MAX_LONG) -> int | None:
    """Returns a non-negative integer of ASCII digits, or None.

    `int` would also accept signs, blanks, underscores and other digits.

    Args:
        text: The text.
        maximum: Largest accepted number.
    """
    if not (text.isascii() and text.isdecimal() and len(text) <= _MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= maximum else None


def parse_hexadecimal(text: Any) -> int | None:
    """Returns an integer of up to 64 bits in hexadecimal digits, or None."""
    if isinstance(text, str) and _HEXADECIMAL.fullmatch(text):
        return int(text, _HEXADECIMAL_BASE)
    return None


def is_number(value: Any, maximum: float) -> bool:
    """Returns whether a decoded value is a number from 0 to a maximum."""
    return type(value) in (int, float) and 0 <= value <= maximum


def show_value(value: Any) -> str:
    """Returns the text of a value for an error message, cut if it is long."""
    text = repr(value)
    if len(text) <= _MAX_SHOWN_CHARACTERS:
        return text
    return text[: _MAX_SHOWN_CHARACTERS - 3] + "..."

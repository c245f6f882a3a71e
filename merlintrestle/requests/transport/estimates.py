"""Estimates of what the bytes of a request cost, and of what they hold."""

from __future__ import annotations

import re

from merlintrestle.ingress import loop_time as loop_times
from merlintrestle.ingress import memory as memories
from merlintrestle.requests.transport import bodies

# The length of a body, or the field of one that has no stated length.
_BODY_LENGTH = re.compile(
    rb"\n(?:content-length: *(\d{1,12})|transfer-encoding:)", re.IGNORECASE
)


def estimate_request(data: bytes) -> int:
    """Returns the estimated memory of a request from its first bytes."""
    size = memories.CONNECTION_BYTES + memories.REQUEST_BYTES
    size += len(data) + data.count(b"\n") * memories.HEADER_BYTES
    match = _BODY_LENGTH.search(data)
    if match is None:
        return size
    stated = int(match[1] or bodies.MAX_BUFFERED_BYTES)
    return size + min(stated, bodies.MAX_BUFFERED_BYTES)


def estimate_parsing_cost(size: int, lines: int) -> float:
    """Returns the estimated cost of parsing bytes, in microseconds."""
    return (
        loop_times.READ_COST
        + lines * loop_times.LINE_COST
        + (size >> 10) * loop_times.KILOBYTE_COST
    )

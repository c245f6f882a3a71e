"""Counting the bytes of control messages."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import prometheus_client

if TYPE_CHECKING:
    from google.protobuf import message

# Both were measured at the socket. Per message of a link: the frames of gRPC
# (5) and HTTP/2 (9), and one that widens the window of the other side (13).
MESSAGE_OVERHEAD_BYTES = 27
# Per call on an open connection, in each direction, besides: its headers.
CALL_OVERHEAD_BYTES = 35

_SENT = prometheus_client.Counter(
    "merlintrestle_control_sent_bytes_total",
    "Bytes of control messages sent, with a stated overhead per message.",
    ["kind"],
)
_RECEIVED = prometheus_client.Counter(
    "merlintrestle_control_received_bytes_total",
    "Bytes of control messages received, with a stated overhead per message.",
    ["kind"],
)


def count_sent(kind: str, sent: message.Message, overhead: int = 0) -> None:
    """Counts a message that was sent."""
    _get_sent(kind).inc(sent.ByteSize() + MESSAGE_OVERHEAD_BYTES + overhead)


def count_received(
    kind: str, received: message.Message, overhead: int = 0
) -> None:
    """Counts a message that was received."""
    size = received.ByteSize() + MESSAGE_OVERHEAD_BYTES + overhead
    _get_received(kind).inc(size)


# The library looks the counter of a label up under a lock.
@functools.cache
def _get_sent(kind: str) -> prometheus_client.Counter:
    return _SENT.labels(kind)


@functools.cache
def _get_received(kind: str) -> prometheus_client.Counter:
    return _RECEIVED.labels(kind)

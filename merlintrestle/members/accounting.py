"""Metrics of the bytes of control messages."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import prometheus_client

if TYPE_CHECKING:
    from google.protobuf import message

# Framing bytes of each message at the socket: the gRPC header (5), the HTTP/2
# frame header (9) and a WINDOW_UPDATE frame (13).
MESSAGE_OVERHEAD_BYTES = 27
# Additional HTTP/2 header bytes of each call on an open connection, in each
# direction. Messages on an open link have no such headers.
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
    """Adds a sent message to the counter of its kind."""
    _get_sent_counter(kind).inc(
        sent.ByteSize() + MESSAGE_OVERHEAD_BYTES + overhead
    )


def count_received(
    kind: str, received: message.Message, overhead: int = 0
) -> None:
    """Adds a received message to the counter of its kind."""
    size = received.ByteSize() + MESSAGE_OVERHEAD_BYTES + overhead
    _get_received_counter(kind).inc(size)


# Cached because `prometheus_client` looks up the counter of a label under a
# lock.
@functools.cache
def _get_sent_counter(kind: str) -> prometheus_client.Counter:
    return _SENT.labels(kind)


@functools.cache
def _get_received_counter(kind: str) -> prometheus_client.Counter:
    return _RECEIVED.labels(kind)

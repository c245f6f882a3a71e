"""Receive buffers of connections in the operating system."""

from __future__ import annotations

import socket

# Sizes in bytes.
# Bytes there count towards the memory of the process, and each connection can
# fill its own; left to itself, the operating system lets one grow to megabytes.
# An inbound connection gets the large one for a longer body, while there is
# memory; an outbound one always.
USUAL_BYTES = 8 * 1024
LARGE_BYTES = 128 * 1024


def set_size(sock: socket.socket, size: int) -> None:
    """Sets the receive buffer; connections inherit that of their listener."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

"""Limits on what the senders of requests may do."""

from __future__ import annotations

from typing import NamedTuple

# Time within which the headers of a request must arrive, and idle timeout of a
# connection, if the configuration states none. The idle timeout is longer than
# the time for which the pools of other daemons keep an idle connection.
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
# Default maximum size of the request line and of each header, in bytes.
DEFAULT_HEADER_BYTES = 8190


class SenderLimits(NamedTuple):
    """Limits on what a sender of requests may do.

    Attributes:
        header_bytes: Maximum size of the request line, and of all headers.
        header_timeout_s: Time within which the headers of a request must
            arrive, in seconds.
        idle_timeout_s: Time after which an idle connection is closed, in
            seconds.
    """

    header_bytes: int = DEFAULT_HEADER_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = IDLE_TIMEOUT_S

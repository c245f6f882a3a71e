"""Limits of the process, and the budgets that follow from them."""

from __future__ import annotations

import resource
from typing import NamedTuple

from merlintrestle.ingress import memory

_BYTES_PER_MB = 1_000_000
# Memory of the process if no setting states it, in MB.
_DEFAULT_MEMORY_MB = 256.0
# Parts of the memory for bytes held for connections: what any of them may
# take, and what is reserved beyond that for small requests.
_HELD_PART = 0.12
_RESERVED_PART = 0.04
# Descriptors for files and for the connections of control.
_RESERVED_DESCRIPTORS = 300
# Parts of the other descriptors for inbound connections. The rest is for
# connections to backend servers and other daemons.
_CALLERS_PART = 0.4
_PEERS_PART = 0.25
_ENDPOINT_PART = 0.03
# Part of the memory for the objects of callers' connections.
_CONNECTIONS_PART = 0.13


class ProcessLimits(NamedTuple):
    """Limits of the process.

    Attributes:
        memory_bytes: Memory that the process may use.
        descriptors: Descriptors that it may open.
    """

    memory_bytes: int
    descriptors: int


class Budgets(NamedTuple):
    """What inbound connections may use together.

    Attributes:
        held_bytes: Bytes held for requests that are not yet answered.
        reserved_bytes: Bytes beyond these that only small requests may take.
        caller_connections: Connections to the port for callers.
        peer_connections: Connections to the port for other daemons.
        endpoint_connections: Connections to each other port.
    """

    held_bytes: int
    reserved_bytes: int
    caller_connections: int
    peer_connections: int
    endpoint_connections: int


def read_limits(memory_mb: float = 0.0, descriptors: int = 0) -> ProcessLimits:
    """Returns the limits of the process.

    Args:
        memory_mb: Memory of the process in MB; 0: not stated.
        descriptors: Descriptors of the process; 0: not stated. The limit of the
            operating system applies as well.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return ProcessLimits(
        round((memory_mb or _DEFAULT_MEMORY_MB) * _BYTES_PER_MB),
        min(descriptors or allowed, allowed),
    )


def compute_budgets(limits: ProcessLimits) -> Budgets:
    """Returns the budgets that follow from the limits of the process."""
    memory_bytes, descriptors = limits
    available = max(descriptors // 2, descriptors - _RESERVED_DESCRIPTORS)
    fitting = round(memory_bytes * _CONNECTIONS_PART / memory.CONNECTION_BYTES)
    return Budgets(
        held_bytes=round(memory_bytes * _HELD_PART),
        reserved_bytes=round(memory_bytes * _RESERVED_PART),
        caller_connections=min(fitting, round(available * _CALLERS_PART)),
        peer_connections=min(fitting, round(available * _PEERS_PART)),
        endpoint_connections=min(fitting, round(available * _ENDPOINT_PART)),
    )

"""Heartbeats of the backend server: which of them still say something."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.schema import control_pb2

# Sequence of what is known of a process before its first heartbeat.
BEFORE_ALL = -1.0
# Processes of the backend server that are remembered as ended.
_MAX_ENDED = 64


class Heartbeat(NamedTuple):
    """What a backend server says of itself, again and again.

    Attributes:
        instance_id: Id of its process; a new one at each start.
        service: Service that it serves.
        address: Its "ip:port".
        slots: Calls it runs at once.
        state: Whether it takes new work.
        cold_s: Seconds for which it will still be slow after its start.
        sequence: Greater in each later heartbeat of one process.
    """

    instance_id: str
    service: str
    address: str
    slots: int
    state: control_pb2.BackendState
    cold_s: float
    sequence: float


class Heartbeats:
    """Tells news from heartbeats that come late.

    A heartbeat may be seconds late. One of a process that has ended since, or
    from before a process began to leave, would send work to where nobody runs
    it; so a process that was followed by another or that left never counts
    again, and of one process only a later heartbeat does.
    """

    def __init__(self) -> None:
        """Starts without a backend server."""
        self._instance_id = ""
        self._sequence = BEFORE_ALL
        self._ended: dict[str, None] = {}

    @property
    def heard(self) -> bool:
        """True once anything was heard of a backend server."""
        return bool(self._instance_id or self._ended)

    def is_news(self, heartbeat: Heartbeat) -> bool:
        """Notes a heartbeat; False if it says nothing any more."""
        if heartbeat.instance_id in self._ended:
            return False
        if heartbeat.instance_id != self._instance_id:
            self._end(self._instance_id)
            self._instance_id = heartbeat.instance_id
            self._sequence = heartbeat.sequence
            return True
        if heartbeat.sequence <= self._sequence:
            return False
        self._sequence = heartbeat.sequence
        return True

    def retire(self, instance_id: str) -> bool:
        """Notes that a process takes no new work; True if it is the newest.

        The first thing heard of a process may be that it leaves, after a
        restart of the daemon.
        """
        newest = instance_id == self._instance_id or not self._instance_id
        self._end(instance_id)
        return newest

    def _end(self, instance_id: str) -> None:
        self._ended[instance_id] = None
        while len(self._ended) > _MAX_ENDED:
            del self._ended[next(iter(self._ended))]

"""Heartbeats of the backend server: which of them still say something."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.schema import control_pb2

# Sequence of what is known of a process before its first heartbeat.
INITIAL_SEQUENCE = -1.0
# Processes of the backend server that are remembered as ended.
_MAX_ENDED = 64


class Heartbeat(NamedTuple):
    """What a backend server says of itself, again and again.

    Attributes:
        instance_id: Id of its process; it may start again under the same one.
        service: Service that it serves.
        address: Its "ip:port".
        slots: Calls it runs at once.
        state: Whether it takes new work.
        remaining_warmup_s: Seconds for which it will still be slow after its
            start.
        sequence: Greater in each later heartbeat of one process.
        started_ms: When the process started, in ms since 1970; 0: not stated.
        version: Version of its software; empty: not stated.
    """

    instance_id: str
    service: str
    address: str
    slots: int
    state: control_pb2.BackendState
    remaining_warmup_s: float
    sequence: float
    started_ms: int = 0
    version: str = ""


class HeartbeatFilter:
    """Tells news from heartbeats that come late.

    A heartbeat may be seconds late. One of a process that has ended since, or
    from before a process began to leave, would send work to where nobody runs
    it; so a process that was followed by another or that left never counts
    again, and of one process only a later heartbeat does.

    A process may start again under the id that it had, and count from the
    beginning. Its heartbeats would be dropped as late ones until they had
    caught up, and what is late of its earlier life would be held for its own;
    so a process is its id and the time of its start.
    """

    def __init__(self) -> None:
        """Starts without a backend server."""
        self._instance_id = ""
        self._born_ms = 0
        self._sequence = INITIAL_SEQUENCE
        # The newest start of each id that has ended, in ms since 1970.
        self._ended: dict[str, int] = {}

    @property
    def has_seen_backend(self) -> bool:
        """True once anything was heard of a backend server."""
        return bool(self._instance_id or self._ended)

    def accept(self, heartbeat: Heartbeat) -> bool:
        """Notes a heartbeat; False if it says nothing any more."""
        ended_ms = self._ended.get(heartbeat.instance_id)
        if ended_ms is not None and heartbeat.started_ms <= ended_ms:
            return False
        if self._is_earlier(heartbeat.started_ms):
            return False
        same = self._is_same(heartbeat.instance_id, heartbeat.started_ms)
        if same and heartbeat.sequence <= self._sequence:
            return False
        if heartbeat.instance_id != self._instance_id:
            self._end(self._instance_id, self._born_ms)
            self._instance_id = heartbeat.instance_id
            self._born_ms = 0
        self._born_ms = heartbeat.started_ms or self._born_ms
        self._sequence = heartbeat.sequence
        return True

    def retire(self, instance_id: str, born_ms: int = 0) -> bool:
        """Notes that a process takes no new work; True if it is the newest.

        The first thing heard of a process may be that it leaves, after a
        restart of the daemon.

        Args:
            instance_id: Its id.
            born_ms: When it started, in ms since 1970; 0: not stated.
        """
        if instance_id != self._instance_id:
            self._end(instance_id, born_ms)
            return not self._instance_id
        self._end(instance_id, born_ms or self._born_ms)
        return not self._is_earlier(born_ms)

    def _is_earlier(self, born_ms: int) -> bool:
        """Returns whether a process started before the newest one."""
        return 0 < born_ms < self._born_ms

    def _is_same(self, instance_id: str, born_ms: int) -> bool:
        """Returns whether a process is the newest one."""
        if instance_id != self._instance_id:
            return False
        return not born_ms or not self._born_ms or born_ms == self._born_ms

    def _end(self, instance_id: str, born_ms: int) -> None:
        self._ended[instance_id] = max(
            born_ms, self._ended.pop(instance_id, born_ms)
        )
        while len(self._ended) > _MAX_ENDED:
            del self._ended[next(iter(self._ended))]

"""Filter for outdated heartbeats of the backend server."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING

if TYPE_CHECKING:
    from merlintrestle.schema import control_pb2

# Sequence number of a status read before the first heartbeat of a process; less
# than that of any heartbeat.
INITIAL_SEQUENCE = -1.0
# Number of ended processes of the backend server that are remembered.
_MAX_ENDED_PROCESSES = 64


class Heartbeat(NamedTuple):
    """State of a backend server, sent periodically.

    Attributes:
        instance_id: Id of its process; a restarted process may reuse it.
        service: Service that it serves.
        address: Its "ip:port".
        slots: Number of calls that it runs at once.
        state: Whether it accepts new calls.
        remaining_warmup_s: Time for which it will still be slow after its
            start, in seconds.
        sequence: Sequence number, which increases with each heartbeat of a
            process.
        started_ms: Start of the process, in ms since 1970; 0: not announced.
        version: Version of its software; empty: not announced.
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
    """Rejects outdated heartbeats.

    A heartbeat may arrive seconds late. If its process has since ended or begun
    to leave, it would route calls to a backend server that does not run them.
    Therefore heartbeats of a process that was replaced or has left are
    rejected, and so are those of the current process that are out of order.

    A restarted process may reuse its id and restart its sequence numbers. With
    the id alone, its heartbeats would be rejected until the sequence numbers
    had caught up, and late heartbeats of the previous process would be taken
    for those of the new one. Therefore a process is identified by its id and
    its start time.
    """

    def __init__(self) -> None:
        """Initializes the filter without a known process."""
        self._instance_id = ""
        self._started_ms = 0
        self._sequence = INITIAL_SEQUENCE
        # Latest start of an ended process by id, in ms since 1970.
        self._ended: dict[str, int] = {}

    @property
    def has_seen_backend(self) -> bool:
        """Whether a heartbeat or a leave of a backend server was recorded."""
        return bool(self._instance_id or self._ended)

    def accept(self, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns False if it is outdated."""
        ended_ms = self._ended.get(heartbeat.instance_id)
        if ended_ms is not None and heartbeat.started_ms <= ended_ms:
            return False
        if self._started_earlier(heartbeat.started_ms):
            return False
        is_current = self._is_current(
            heartbeat.instance_id, heartbeat.started_ms
        )
        if is_current and heartbeat.sequence <= self._sequence:
            return False
        if heartbeat.instance_id != self._instance_id:
            self._mark_ended(self._instance_id, self._started_ms)
            self._instance_id = heartbeat.instance_id
            self._started_ms = 0
        self._started_ms = heartbeat.started_ms or self._started_ms
        self._sequence = heartbeat.sequence
        return True

    def retire(self, instance_id: str, started_ms: int = 0) -> bool:
        """Records that a process accepts no new calls.

        After a restart of the daemon, this may be its first contact with the
        process.

        Args:
            instance_id: Id of the process.
            started_ms: Start of the process, in ms since 1970; 0: not
                announced.

        Returns:
            Whether the process is the current one, or no process is current.
        """
        if instance_id != self._instance_id:
            self._mark_ended(instance_id, started_ms)
            return not self._instance_id
        self._mark_ended(instance_id, started_ms or self._started_ms)
        return not self._started_earlier(started_ms)

    def _started_earlier(self, started_ms: int) -> bool:
        """Returns whether a process started before the current one."""
        return 0 < started_ms < self._started_ms

    def _is_current(self, instance_id: str, started_ms: int) -> bool:
        """Returns whether a process is the current one."""
        if instance_id != self._instance_id:
            return False
        return (
            not started_ms
            or not self._started_ms
            or started_ms == self._started_ms
        )

    def _mark_ended(self, instance_id: str, started_ms: int) -> None:
        self._ended[instance_id] = max(
            started_ms, self._ended.pop(instance_id, started_ms)
        )
        while len(self._ended) > _MAX_ENDED_PROCESSES:
            del self._ended[next(iter(self._ended))]

"""Filter for outdated heartbeats of the backend server."""

from __future__ import annotations

import math
import time
from typing import NamedTuple, TYPE_CHECKING

import prometheus_client

from merlintrestle import events as event_logs
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

events = event_logs.EventLog("daemon")

# Sequence number of the state that a daemon reads from the health endpoint of
# its backend server at the start; less than that of any heartbeat.
INITIAL_SEQUENCE = -1.0
# Sequence number of a leave; higher than that of any heartbeat.
LEFT = math.inf
# Maximum number of retired processes of the backend server that are stored.
_MAX_RETIRED_PROCESSES = 64

_heartbeats_counter = prometheus_client.Counter(
    "merlintrestle_heartbeats",
    "Heartbeats of the backend server, by what became of them.",
    ("result",),
)


class Heartbeat(NamedTuple):
    """State of a backend server, which it sends periodically.

    `admin.Announcement` contains the state of a backend server that sends no
    heartbeats.

    Attributes:
        instance_id: Id of its process; a restarted process may reuse it.
        service: Service that it serves.
        address: Its "ip:port".
        slots: Number of calls that it runs at once.
        state: Whether it accepts new calls.
        remaining_warmup_s: Remaining time in which it is slow after its start,
            in seconds.
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


class Process(NamedTuple):
    """A process of the backend server, as far as it is known.

    Attributes:
        instance_id: Its id.
        started_ms: Its start, in ms since 1970; 0: not announced. If its leave
            does not state it, the time of the leave: later processes with the
            same id have started since.
        sequence: Sequence number of its latest heartbeat; `LEFT` after its
            leave, which no heartbeat follows.
    """

    instance_id: str
    started_ms: int
    sequence: float


def describe_process(process: Process) -> dict[str, str | float | None]:
    """Returns the fields of a process in a log line."""
    left = process.sequence == LEFT
    return {
        "instance": process.instance_id,
        "started_ms": process.started_ms,
        # JSON has no infinite numbers.
        "sequence": None if left else process.sequence,
        "left": left,
    }


class HeartbeatFilter:
    """Rejects outdated heartbeats.

    A process is retired when it begins to shut down, or when a heartbeat of
    another process replaces it. A heartbeat may arrive seconds late, when its
    process is already retired, and would route calls to a backend server that
    does not run them. Therefore heartbeats of retired processes are rejected,
    and so are those of the current process that are out of order.

    A restarted process may reuse its id and restart its sequence numbers. With
    the id alone, its heartbeats would be rejected until the sequence numbers
    had caught up, and late heartbeats of the previous process would be treated
    as heartbeats of the new one. Therefore a process is identified by its id
    and its start time.

    Where no start times are stated, a heartbeat of another process does not
    tell which of the two is the later one. `is_ambiguous` reports this, and the
    status of the backend server decides.

    A leave may state no start time. A start that heartbeats have stated may be
    that of an earlier process with this id, and after a restart of the daemon
    none is known. A late heartbeat would then look like one of a later process.
    Therefore every process with this id that was running at the time of the
    leave is retired.

    A restarted daemon learns from the store (`leave_records`) or from other
    daemons which processes drain or are retired. Where neither knows, and the
    status at its start said that the process accepts no calls, a single
    heartbeat that says otherwise may be a late one, and is not applied. A
    process that accepts calls sends the next one soon.
    """

    def __init__(self, get_time: Callable[[], float] = time.time) -> None:
        """Initializes the filter without a known process.

        Args:
            get_time: Returns the time in seconds since 1970.
        """
        self._get_time = get_time
        self._instance_id = ""
        self._started_ms = 0
        self._sequence = INITIAL_SEQUENCE
        # Whether the latest status or heartbeat is the one at the start, which
        # said that the process accepts no calls.
        self._drained_at_start = False
        # Latest start time of a retired process by id, in ms since 1970; the
        # time of its leave if that states no start.
        self._retired: dict[str, int] = {}
        # Sequence numbers, by id, of the latest heartbeats of processes that
        # were retired only because a heartbeat of another one replaced them.
        self._replaced: dict[str, float] = {}
        # Processes by id that were draining before this daemon was restarted.
        self._drained: dict[str, Process] = {}

    @property
    def has_current_process(self) -> bool:
        """Whether the status or a heartbeat of a process was accepted."""
        return bool(self._instance_id)

    @property
    def current_process(self) -> Process:
        """The process whose heartbeat or status was accepted last."""
        return Process(self._instance_id, self._started_ms, self._sequence)

    def get_retired(self, instance_id: str) -> Process:
        """Returns the latest retired process with an id, which must exist."""
        return Process(instance_id, self._retired[instance_id], LEFT)

    def restore(self, process: Process) -> bool:
        """Restores what was known of a process that drains or has left.

        Returns:
            Whether the daemon must stop sending new calls to its backend
            server.
        """
        if process.sequence == LEFT:
            return self.retire(process.instance_id, process.started_ms)
        self._drained[process.instance_id] = process
        return not self._instance_id or (
            self._is_current(process.instance_id, process.started_ms)
            and self._sequence <= process.sequence
        )

    def is_ambiguous(self, heartbeat: Heartbeat) -> bool:
        """Returns whether a heartbeat may be of an earlier or later process.

        It has another id than the current process, and no start times tell
        which of the two is later. A process that was replaced may have drained
        before, so only its later heartbeats count.
        """
        instance_id = heartbeat.instance_id
        if not self._instance_id or instance_id == self._instance_id:
            return False
        if heartbeat.started_ms and self._started_ms:
            return False
        return (
            instance_id not in self._retired
            or heartbeat.sequence > self._replaced.get(instance_id, LEFT)
        )

    def reinstate(self, instance_id: str) -> None:
        """Accepts heartbeats of a process again that was replaced."""
        if instance_id in self._replaced:
            del self._replaced[instance_id]
            del self._retired[instance_id]

    def accept(self, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat; returns False if it must not be applied."""
        retired_ms = self._retired.get(heartbeat.instance_id)
        if retired_ms is not None and heartbeat.started_ms <= retired_ms:
            return self._reject(heartbeat, "its process is retired")
        if self._precedes_drain(heartbeat):
            return self._reject(heartbeat, "its process drained later")
        if self._started_earlier(heartbeat.started_ms):
            return self._reject(heartbeat, "its process started earlier")
        is_current = self._is_current(
            heartbeat.instance_id, heartbeat.started_ms
        )
        if is_current and heartbeat.sequence <= self._sequence:
            return self._reject(heartbeat, "it is out of order")
        if heartbeat.instance_id != self._instance_id:
            # Before the first heartbeat, the current id is empty.
            self._mark_retired(self._instance_id, self._started_ms)
            self._replaced[self._instance_id] = self._sequence
            self._instance_id = heartbeat.instance_id
            self._started_ms = 0
        # A heartbeat without a start time keeps the known one of its process.
        self._started_ms = heartbeat.started_ms or self._started_ms
        self._sequence = heartbeat.sequence
        if self._contradicts_start(heartbeat, is_current):
            return self._reject(heartbeat, "it contradicts the initial status")
        _heartbeats_counter.labels("applied").inc()
        return True

    def retire(self, instance_id: str, started_ms: int = 0) -> bool:
        """Retires a process, which accepts no new calls from now on.

        After a restart of the daemon, this may be the first message that it
        receives from the process.

        Args:
            instance_id: Id of the process.
            started_ms: Start of the process, in ms since 1970; 0: not
                announced.

        Returns:
            Whether the daemon must stop sending new calls to its backend
            server: the process is the current one, or none is current. False
            if another process, or a later one with the same id, is current.
        """
        current = self._instance_id
        if instance_id != current:
            applies = not current
        else:
            applies = not self._started_earlier(started_ms)
        retired_ms = started_ms or int(self._get_time() * 1000)
        self._mark_retired(instance_id, retired_ms)
        self._replaced.pop(instance_id, None)
        events.note(
            "process retired",
            instance=instance_id,
            started_ms=started_ms,
            retired_ms=retired_ms,
            current=current,
            current_started_ms=self._started_ms,
            sequence=self._sequence,
            applies=applies,
        )
        return applies

    def _precedes_drain(self, heartbeat: Heartbeat) -> bool:
        """Returns whether a heartbeat is from before a restored drain."""
        drained = self._drained.get(heartbeat.instance_id)
        if drained is None:
            return False
        if 0 < drained.started_ms < heartbeat.started_ms:
            return False
        return heartbeat.sequence <= drained.sequence

    def _contradicts_start(
        self, heartbeat: Heartbeat, is_current: bool
    ) -> bool:
        """Returns whether only the status at the start speaks against it."""
        drained_at_start = self._drained_at_start and is_current
        ready = heartbeat.state == control_pb2.READY
        self._drained_at_start = (
            heartbeat.sequence == INITIAL_SEQUENCE and not ready
        )
        return drained_at_start and ready

    def _reject(self, heartbeat: Heartbeat, reason: str) -> bool:
        """Logs and counts a heartbeat that is not applied; returns False."""
        _heartbeats_counter.labels(reason).inc()
        events.note(
            "heartbeat not applied",
            reason=reason,
            instance=heartbeat.instance_id,
            started_ms=heartbeat.started_ms,
            sequence=heartbeat.sequence,
            state=control_pb2.BackendState.Name(heartbeat.state).lower(),
            current=self._instance_id,
            current_started_ms=self._started_ms,
            current_sequence=self._sequence,
        )
        return False

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

    def _mark_retired(self, instance_id: str, started_ms: int) -> None:
        self._retired[instance_id] = max(
            started_ms, self._retired.pop(instance_id, started_ms)
        )
        while len(self._retired) > _MAX_RETIRED_PROCESSES:
            forgotten = next(iter(self._retired))
            del self._retired[forgotten]
            self._replaced.pop(forgotten, None)

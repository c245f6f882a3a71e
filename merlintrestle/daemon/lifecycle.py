"""Lifecycle of the backend server, as its heartbeats and leaves state it."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, TypeAlias

from merlintrestle import events as event_logs
from merlintrestle.daemon import heartbeats
from merlintrestle.daemon import leave_records
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from merlintrestle.requests import backend as backends
    from merlintrestle.store import client

events = event_logs.EventLog("daemon")


# Returns the status of the backend server as a heartbeat that is older than all
# others; None if there is no status.
StatusCheck: TypeAlias = "Callable[[], Awaitable[heartbeats.Heartbeat | None]]"


class BackendLifecycle:
    """Applies heartbeats and leaves to the state of the backend server.

    A heartbeat that says that a process drains, and a leave, are recorded in
    the store before they are confirmed. They are also told to other daemons,
    as the store may not answer. If neither succeeds, they are not confirmed: a
    restart of this daemon would make it send new calls to the process.
    """

    def __init__(
        self,
        backend: backends.LocalBackend,
        store: client.StoreClient,
        address: str,
        on_leaving: Callable[[heartbeats.Process], None],
        flush: Callable[[], Awaitable[bool]],
        get_time: Callable[[], float] = time.time,
    ):
        """Initializes the lifecycle without a known process.

        Args:
            backend: State of the backend server.
            store: Holds the records of leaves.
            address: Address of the backend server, "ip:port".
            on_leaving: Called with each process that drains or has left, to
                tell other daemons.
            flush: Waits until this was sent, at most for a short time; returns
                whether it was.
            get_time: Returns the time in seconds since 1970.
        """
        self._backend = backend
        self._filter = heartbeats.HeartbeatFilter(get_time)
        self._on_leaving = on_leaving
        self._flush = flush
        # Processes that other daemons were told, by id and start.
        self._told: dict[tuple[str, int], heartbeats.Process] = {}
        self._records = leave_records.LeaveRecords(store, address)
        self._check_status: StatusCheck = _get_no_status

    async def restore(self, check_status: StatusCheck) -> None:
        """Restores what is known of the backend server at the start.

        Args:
            check_status: Checks its present status, here and whenever it is
                unclear which of its processes runs.
        """
        self._check_status = check_status
        status, _ = await asyncio.gather(
            check_status(), self._records.start(self.restore_leaving)
        )
        events.note(
            "status read",
            instance=status.instance_id if status else "",
            state=_get_state_name(status),
        )
        if status is not None and not self._filter.has_current_process:
            await self.handle_heartbeat(status)

    async def close(self) -> None:
        """Cancels the calls to the store that are still in progress."""
        await self._records.close()

    async def handle_heartbeat(self, heartbeat: heartbeats.Heartbeat) -> bool:
        """Applies a heartbeat unless it is outdated.

        Returns:
            Whether to confirm the heartbeat.
        """
        if await self._is_refuted(heartbeat) or not self._filter.accept(
            heartbeat
        ):
            return heartbeat.state == control_pb2.READY or (
                await self._keep_again(heartbeat.instance_id)
            )
        self._backend.announce(
            heartbeat.service,
            heartbeat.address,
            heartbeat.slots,
            heartbeat.state,
            heartbeat.instance_id,
            heartbeat.remaining_warmup_s,
            heartbeat.started_ms,
            heartbeat.version,
        )
        process = self._filter.current_process
        if heartbeat.state == control_pb2.READY:
            # If it drains once more, the sequence number is a later one.
            self._told.pop(_get_identity(process), None)
            self._records.forget(process)
        elif heartbeat.sequence > heartbeats.INITIAL_SEQUENCE:
            return await self._keep(process)
        return True

    async def _is_refuted(self, heartbeat: heartbeats.Heartbeat) -> bool:
        """Returns whether the status refutes a heartbeat of another process.

        A late heartbeat of an earlier process would replace the one that runs,
        whose heartbeats would be ignored from then on.
        """
        if not self._filter.is_ambiguous(heartbeat):
            return False
        status = await self._check_status()
        running = status.instance_id if status is not None else ""
        current = self._filter.current_process.instance_id
        events.note(
            "heartbeat of another process",
            instance=heartbeat.instance_id,
            sequence=heartbeat.sequence,
            current=current,
            running=running,
        )
        if running == heartbeat.instance_id:
            self._filter.reinstate(running)
        return bool(running) and running == current

    async def handle_leave(self, instance_id: str, started_ms: int = 0) -> bool:
        """Stops sending new calls to a process that shuts down.

        Args:
            instance_id: Id of the process.
            started_ms: Its start, in ms since 1970; 0: not announced.

        Returns:
            Whether to confirm the leave.
        """
        self.retire(instance_id, started_ms)
        return await self._keep(self._filter.get_retired(instance_id))

    def retire(self, instance_id: str, started_ms: int = 0) -> None:
        """Stops sending new calls to a process, without a record of it."""
        if self._filter.retire(instance_id, started_ms):
            self._backend.retire()

    def restore_leaving(self, process: heartbeats.Process) -> None:
        """Stops sending new calls to a process that left before the start.

        Has no effect if it is called again with the same process.
        """
        if self._told.get(_get_identity(process)) == process:
            return
        events.note("leave restored", **heartbeats.describe_process(process))
        if self._filter.restore(process):
            self._backend.retire()
        self._announce_leaving(process)

    async def _keep(self, process: heartbeats.Process) -> bool:
        """Keeps the memory of a leave beyond the end of this daemon.

        Returns:
            Whether it outlasts this daemon.
        """
        if _get_identity(process) not in self._told:
            self._announce_leaving(process)
        recorded, told = await asyncio.gather(
            self._records.write(process), self._flush()
        )
        if not recorded:
            events.warn(
                "leave not recorded",
                told=told,
                **heartbeats.describe_process(process),
            )
        return recorded or told

    async def _keep_again(self, instance_id: str) -> bool:
        """Keeps what a repeated message says of the processes with an id.

        Returns:
            Whether it outlasts this daemon.
        """
        known = [
            process
            for process in self._told.values()
            if process.instance_id == instance_id
        ]
        return all([await self._keep(process) for process in known])

    def _announce_leaving(self, process: heartbeats.Process) -> None:
        self._told[_get_identity(process)] = process
        self._on_leaving(process)


async def _get_no_status() -> heartbeats.Heartbeat | None:
    return None


def _get_identity(process: heartbeats.Process) -> tuple[str, int]:
    """Returns the id and the start of a process."""
    return process.instance_id, process.started_ms


def _get_state_name(status: heartbeats.Heartbeat | None) -> str:
    """Returns the state of a status; "unknown" if there is none."""
    if status is None:
        return "unknown"
    return control_pb2.BackendState.Name(status.state).lower()

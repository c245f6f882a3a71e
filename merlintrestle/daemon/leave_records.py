"""Records in the store of backend server processes that leave."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import math
from typing import TYPE_CHECKING

from google.protobuf import message

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.daemon import heartbeats
from merlintrestle.daemon import validation
from merlintrestle.members import timing as timings
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from merlintrestle.store import client

events = event_logs.EventLog("daemon")

_PREFIX = "leaves/"
# Lifetime of a record, in seconds. A process that leaves ends within a minute.
_TTL_S = 600
# Maximum delay of a confirmation by the write of its record, in seconds. A
# backend server waits one second for the confirmation.
WRITE_TIMEOUT_S = 0.6
# Maximum wait for the records at the start of the daemon, in seconds.
READ_TIMEOUT_S = 0.5
# Bounds of the delay before the store is called again, in seconds.
_FIRST_RETRY_DELAY_S = 0.5
_MAX_RETRY_DELAY_S = 4.0
# Maximum number of records that are read at the start.
_MAX_RECORDS = 100


class LeaveRecords:
    """Records of the processes beside this daemon that drain or have left.

    A confirmed leave binds the daemon until the process ends, also after a
    restart, when its memory is lost. Neither the health of the process nor its
    heartbeats can replace the record: the health may be reported falsely, and a
    heartbeat from before the leave may arrive after the restart.
    """

    def __init__(self, store: client.StoreClient, address: str):
        """Sets the store and the address of the backend server, "ip:port"."""
        self._store = store
        self._prefix = f"{_PREFIX}{address}/"
        # Writes by id and start of the process; None: there is a record.
        self._writes: dict[tuple[str, int], asyncio.Task[None] | None] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(
        self, on_leaving: Callable[[heartbeats.Process], None]
    ) -> None:
        """Reads the records, waiting at most `READ_TIMEOUT_S`.

        If the store does not answer in time, they are read in the background.

        Args:
            on_leaving: Called with each recorded process.
        """
        task = self._start_task(lambda: self._read(on_leaving))
        await _wait(task, READ_TIMEOUT_S)

    async def close(self) -> None:
        """Cancels the calls to the store that are still in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def write(self, process: heartbeats.Process) -> bool:
        """Records that a process leaves, waiting at most `WRITE_TIMEOUT_S`.

        If the store does not answer in time, the process is recorded in the
        background.

        Returns:
            Whether there is a record.
        """
        identity = (process.instance_id, process.started_ms)
        if identity not in self._writes:
            self._writes[identity] = self._start_task(
                lambda: self._write(process)
            )
        # It may be the write of an earlier message of the same process.
        task = self._writes[identity]
        if task is None:
            return True
        await _wait(task, WRITE_TIMEOUT_S)
        return task.done()

    def forget(self, process: heartbeats.Process) -> None:
        """Forgets the record of a process that accepts calls again.

        The record stays in the store; a later drain gets one of its own.
        """
        self._writes.pop((process.instance_id, process.started_ms), None)

    def _start_task(
        self, call_store: Callable[[], Coroutine[None, None, None]]
    ) -> asyncio.Task[None]:
        """Starts to call the store until it answers."""
        task = asyncio.create_task(_retry(call_store))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _read(
        self, on_leaving: Callable[[heartbeats.Process], None]
    ) -> None:
        entries = await self._store.list(self._prefix, limit=_MAX_RECORDS)
        for process in filter(None, map(_parse_entry, entries)):
            self._writes[process.instance_id, process.started_ms] = None
            on_leaving(process)

    async def _write(self, process: heartbeats.Process) -> None:
        lease_id = await self._store.grant_lease(_TTL_S)
        record = build_record(process)
        value = record.SerializeToString(deterministic=True)
        key = hashlib.blake2b(value, digest_size=8).hexdigest()
        # If the key exists, an earlier write without an answer was done.
        await self._store.put(self._prefix + key, value, 0, lease_id)
        events.note("leave recorded", **heartbeats.describe_process(process))


def build_record(process: heartbeats.Process) -> control_pb2.LeavingProcess:
    """Returns the record of a process that drains or has left."""
    return control_pb2.LeavingProcess(**process._asdict())


def read_record(record: control_pb2.LeavingProcess) -> heartbeats.Process:
    """Returns the process of a record."""
    return heartbeats.Process(
        record.instance_id, record.started_ms, record.sequence
    )


def is_valid_record(record: control_pb2.LeavingProcess) -> bool:
    """Returns whether a record of the store or of a daemon names a process."""
    return (
        validation.is_instance_id(record.instance_id)
        and record.started_ms <= validation.MAX_COUNT
        and not math.isnan(record.sequence)
    )


async def _wait(task: asyncio.Task[None], timeout_s: float) -> None:
    """Waits for a task up to a limit; the task continues after it."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await asyncio.shield(task)


async def _retry(
    call_store: Callable[[], Coroutine[None, None, None]],
) -> None:
    backoff = timings.Backoff(_FIRST_RETRY_DELAY_S, _MAX_RETRY_DELAY_S)
    while True:
        try:
            await call_store()
            return
        except errors.StoreError as error:
            events.warn("leaves unavailable", error=str(error))
        await asyncio.sleep(backoff.get_next_delay())


def _parse_entry(entry: client.Entry) -> heartbeats.Process | None:
    """Returns the recorded process; None if the entry is malformed."""
    try:
        record = control_pb2.LeavingProcess.FromString(entry.value)
    except message.DecodeError as error:
        problem = str(error)
    else:
        if is_valid_record(record):
            return read_record(record)
        problem = "no process"
    decoding.count_refused("leave record")
    events.warn("leave malformed", key=entry.key, error=problem)
    return None

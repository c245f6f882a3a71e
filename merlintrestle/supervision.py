"""Supervision of the endless tasks of a process.

An exception that a task did not expect ends neither the process nor the task
for good. If it ended the process, the cause would often be there again after
the restart, as an odd entry of the store is: all daemons would end again and
again, and no call would be served meanwhile. If it ended the task alone, the
daemon would go on with what it knows and never learn anything new.

What still ends a process: an error before it serves calls, such as a port that
cannot be bound, and a lack of memory.
"""

from __future__ import annotations

import asyncio
import functools
import time
from typing import Any, TYPE_CHECKING

import prometheus_client

from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

events = event_logs.EventLog("application")

# Time until a failed task is started again, in seconds, doubled with each
# failure that follows within `_CALM_S`.
_FIRST_DELAY_S = 0.25
_MAX_DELAY_S = 5.0
_CALM_S = 30.0

_failures_counter = prometheus_client.Counter(
    "merlintrestle_task_failures",
    "Unexpected exceptions in endless tasks, by task.",
    ("task",),
)


def record_failure(task: str, error: Exception) -> None:
    """Logs and counts an unexpected exception in a task that goes on.

    Args:
        task: Name of the task, the label of the metric.
        error: The exception.
    """
    _failures_counter.labels(task).inc()
    fields = {"task": task, "error": repr(error)[:200]}
    events.write(event_logs.ERROR, "task failed", fields, exception=error)


def restart_on_failure(
    run: Callable[[Any], Awaitable[None]],
) -> Callable[[Any], Awaitable[None]]:
    """Starts the task of a service again when it fails unexpectedly.

    It goes below the decorator of `mode` that makes a method a task. The method
    must bear to be called again while the service runs.
    """

    @functools.wraps(run)
    async def supervise(service: Any) -> None:
        delay_s = _FIRST_DELAY_S
        while not service.should_stop:
            started_at = time.monotonic()
            try:
                await run(service)
            except MemoryError:
                raise
            except Exception as error:
                record_failure(run.__qualname__, error)
            else:
                return
            if time.monotonic() - started_at > _CALM_S:
                delay_s = _FIRST_DELAY_S
            await asyncio.sleep(delay_s)
            delay_s = min(_MAX_DELAY_S, 2 * delay_s)

    return supervise

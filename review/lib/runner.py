"""Runs a case and turns its result into an exit status."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys
import traceback
from typing import TYPE_CHECKING

from review.lib import deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HELD = 0
_BROKEN = 1
_COULD_NOT_RUN = 2
_TIMEOUT_S = 110.0


class CannotRunError(Exception):
    """The case could not be brought about, so nothing is shown."""


def has_trouble() -> bool:
    """Returns whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(
    script: str,
    play: Callable[
        [deployment.Deployment, deployment.Record], Awaitable[list[str]]
    ],
) -> None:
    """Plays a case and exits with 1 if it broke its rule, else 0, or with 2.

    Args:
        script: Path of the script; `record.txt` is written beside it.
        play: Plays the case and returns the breaches of the rule.
    """
    record = deployment.Record(pathlib.Path(script).parent / "record.txt")
    try:
        breaches = asyncio.run(_play(play, record))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        record.add("the case could not run: " + traceback.format_exc())
        sys.exit(_COULD_NOT_RUN)
    for breach in breaches:
        record.add(f"BROKEN {breach}")
    result = f"{len(breaches)} breaches of the rule"
    record.add(result)
    record.close()
    print(result, *breaches[:5], sep="\n  ")
    sys.exit(_BROKEN if breaches else _HELD)


async def _play(
    play: Callable[
        [deployment.Deployment, deployment.Record], Awaitable[list[str]]
    ],
    record: deployment.Record,
) -> list[str]:
    fleet = deployment.Deployment(record)
    task = asyncio.current_task()
    assert task is not None
    # Whoever ends the script ends the daemons as well.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            return await play(fleet, record)
    finally:
        await fleet.close()

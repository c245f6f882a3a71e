"""Start and end of a script: its record, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import TYPE_CHECKING

from review.lab import deployment as deployments

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    import pathlib

_LIMIT_S = 110.0
_COULD_NOT_RUN = 2


def run(
    folder: pathlib.Path,
    run_case: Callable[[deployments.Record, bool], Awaitable[int]],
) -> None:
    """Runs a case and ends the process with its exit status.

    Args:
        folder: Folder of the case, which gets the record.
        run_case: Runs the case, with or without its disruption; returns 1 if
            the rule was broken, else 0.
    """
    sys.exit(asyncio.run(_run(folder, run_case)))


async def _run(
    folder: pathlib.Path,
    run_case: Callable[[deployments.Record, bool], Awaitable[int]],
) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = deployments.Record(folder / "record.txt")
    record.write(f"with the disruption: {trouble}")
    try:
        async with asyncio.timeout(_LIMIT_S):
            status = await run_case(record, trouble)
    except Exception as error:
        # A fault of the script must not look like a broken rule.
        record.write(f"could not run: {error!r}")
        status = _COULD_NOT_RUN
    record.write(f"exit status {status}")
    record.close()
    return status

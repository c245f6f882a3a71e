"""Restoration of claims that a store lost when it came back from a copy."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from merlintrestle import events as event_logs

if TYPE_CHECKING:
    from collections.abc import Awaitable, Iterable

    from merlintrestle.requests.unrepeatable import claims as claims_
    from merlintrestle.requests.unrepeatable import sent_calls as sent_calls_

events = event_logs.EventLog("requests")

_MAX_CONCURRENT_WRITES = 16


class ClaimRestorer:
    """Writes claims again when a new era of the store begins.

    Otherwise, a call whose claim is gone would run a second time when its
    caller sends it again through another daemon. Until all daemons have had the
    time to write theirs, none makes new claims, see `claims.Claims`.

    First each holder writes its own claims. Half of that time later each daemon
    writes those of the calls that it sent to others, for holders that were
    killed meanwhile.
    """

    def __init__(
        self, claims: claims_.Claims, sent_calls: sent_calls_.SentCalls
    ):
        """Registers the restorer for new eras.

        Args:
            claims: The claims of this daemon.
            sent_calls: The calls that this daemon sent to others.
        """
        self._claims = claims
        self._sent_calls = sent_calls
        self._tasks: set[asyncio.Task[Any]] = set()
        claims.era.on_change.append(self._start)

    def close(self) -> None:
        """Ends restorations in progress."""
        for task in self._tasks:
            task.cancel()

    def _start(self) -> None:
        task = asyncio.create_task(self._restore())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restore(self) -> None:
        claims = self._claims
        own = claims.list_recent()
        await _gather(claims.restore(record) for record in own)
        sent = self._sent_calls.list_recent(claims.copy_age_s)
        events.note("claims written again", own=len(own), sent=len(sent))
        await asyncio.sleep(claims.get_settling_wait_s() / 2)
        await _gather(claims.restore_sent(call) for call in sent)


async def _gather(writes: Iterable[Awaitable[None]]) -> None:
    """Runs writes, a limited number of them concurrently."""
    limit = asyncio.Semaphore(_MAX_CONCURRENT_WRITES)

    async def run(write: Awaitable[None]) -> None:
        async with limit:
            await write

    await asyncio.gather(*(run(write) for write in writes))

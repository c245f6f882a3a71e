"""Inquiries: asking the holder of a claim until it answers."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from merlintrestle.members import peers
from merlintrestle.requests.unrepeatable import recall

if TYPE_CHECKING:
    from merlintrestle.schema import request_pb2

# First pause before a holder whose connection broke is asked again.
_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Gone:
    """The holder's host refuses the connection: its process has ended."""


class RetryingRecaller:
    """Asks a holder of a claim for as long as it may still answer."""

    def __init__(self, client: recall.RecallClient):
        """Sets what asks the single questions."""
        self._client = client

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns what became of a claim; None if its holder is gone.

        A holder that is slow, paused or behind a full link gives no sign and
        may yet have the answer. So silence has it asked once more over a new
        connection, at growing pauses, and each question stays open. The wait
        ends with the first answer, when the holder's host refuses the
        connection, or when the caller cancels it.
        """
        asked: set[asyncio.Task[request_pb2.RecallReply | _Gone | None]] = set()
        silent_s = recall.get_silence()
        pause_s = _PAUSE_S
        try:
            while True:
                asked_at = time.monotonic()
                question = self._ask(claim, claim_key, wait_s)
                asked.add(asyncio.create_task(question))
                found = await _wait_for_any(asked, wait_s + silent_s)
                if found is not None:
                    return None if isinstance(found, _Gone) else found
                self._client.reconnect(recall.get_address(claim), asked_at)
                if asked:
                    silent_s *= 2
                else:
                    await asyncio.sleep(pause_s)
                    pause_s *= 2
        finally:
            for task in asked:
                task.cancel()
            await asyncio.gather(*asked, return_exceptions=True)

    async def _ask(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | _Gone | None:
        """Asks once; None if the connection broke, which tells nothing."""
        reply = await self._client.ask(claim, claim_key, wait_s)
        if reply is not None:
            return reply
        address = recall.get_address(claim)
        refused = await peers.refuses(address, recall.get_silence())
        return _Gone() if refused else None


async def _wait_for_any(
    asked: set[asyncio.Task[request_pb2.RecallReply | _Gone | None]],
    limit_s: float,
) -> request_pb2.RecallReply | _Gone | None:
    """Returns what is found within a time; takes the ended questions out."""
    until = time.monotonic() + limit_s
    while asked and (left_s := until - time.monotonic()) > 0:
        ended, _ = await asyncio.wait(
            asked, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
        )
        asked -= ended
        for question in ended:
            found = question.result()
            if found is not None:
                return found
    return None

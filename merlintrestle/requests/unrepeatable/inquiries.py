"""Recalls that are retried until the holder of a claim answers."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from merlintrestle.members import peers
from merlintrestle.requests.unrepeatable import recall

if TYPE_CHECKING:
    from merlintrestle.schema import request_pb2

# First delay before a retry after the connection to the holder broke.
_FIRST_RETRY_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Gone:
    """The holder's host refuses connections: its process has ended."""


class RetryingRecaller:
    """Asks the holder of a claim for as long as it may still answer."""

    def __init__(self, client: recall.RecallClient):
        """Sets the client that sends each recall."""
        self._client = client

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns what became of a claim; None if its holder is gone.

        A holder that is slow, paused or behind a saturated link is silent and
        may still have the answer. A silent holder is therefore asked again
        over a new connection, at growing intervals, while the earlier recalls
        stay open. The wait ends with the first answer, when the holder's host
        refuses the connection, or when the caller cancels it.
        """
        recalls: set[asyncio.Task[request_pb2.RecallReply | _Gone | None]] = (
            set()
        )
        silence_s = recall.get_max_silence()
        delay_s = _FIRST_RETRY_DELAY_S
        try:
            while True:
                sent_at = time.monotonic()
                attempt = self._ask(claim, claim_key, wait_s)
                recalls.add(asyncio.create_task(attempt))
                result = await _wait_for_any(recalls, wait_s + silence_s)
                if result is not None:
                    return None if isinstance(result, _Gone) else result
                self._client.reconnect(recall.get_address(claim), sent_at)
                if recalls:
                    silence_s *= 2
                else:
                    await asyncio.sleep(delay_s)
                    delay_s *= 2
        finally:
            for task in recalls:
                task.cancel()
            await asyncio.gather(*recalls, return_exceptions=True)

    async def _ask(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | _Gone | None:
        """Asks once; None if the connection broke, which proves nothing."""
        reply = await self._client.ask(claim, claim_key, wait_s)
        if reply is not None:
            return reply
        address = recall.get_address(claim)
        refused = await peers.refuses_connection(
            address, recall.get_max_silence()
        )
        return _Gone() if refused else None


async def _wait_for_any(
    recalls: set[asyncio.Task[request_pb2.RecallReply | _Gone | None]],
    timeout_s: float,
) -> request_pb2.RecallReply | _Gone | None:
    """Returns the first result in time; removes completed recalls."""
    timeout_at = time.monotonic() + timeout_s
    while recalls and (remaining_s := timeout_at - time.monotonic()) > 0:
        completed, _ = await asyncio.wait(
            recalls, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED
        )
        recalls -= completed
        for task in completed:
            result = task.result()
            if result is not None:
                return result
    return None

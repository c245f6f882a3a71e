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

# First delay before a retry if the connection to the holder broke.
_FIRST_RETRY_DELAY_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _HolderGone:
    """The holder's host refuses connections, so the holder has ended."""


class RetryingRecaller:
    """Recalls a claim until its holder replies or is gone."""

    def __init__(self, client: recall.RecallClient):
        """Sets the client that sends each recall."""
        self._client = client

    async def recall(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | None:
        """Returns the state of a claim; None if its holder is gone.

        A holder that is slow, suspended or behind a saturated link does not
        reply for some time, but may still have the answer. If there is no
        reply, the recall is therefore repeated over a new connection, at
        growing intervals, while the earlier recalls continue. The wait ends
        with the first reply, when the holder's host refuses a connection, or
        when the caller cancels it.

        Args:
            claim: The claim.
            claim_key: Key of the claim in the store.
            wait_s: Seconds for which the holder may delay each reply until the
                call has ended.
        """
        recall_tasks: set[
            asyncio.Task[request_pb2.RecallReply | _HolderGone | None]
        ] = set()
        reply_margin_s = recall.get_reply_margin_s()
        delay_s = _FIRST_RETRY_DELAY_S
        try:
            while True:
                sent_at = time.monotonic()
                attempt = self._recall_once(claim, claim_key, wait_s)
                recall_tasks.add(asyncio.create_task(attempt))
                result = await _wait_for_any(
                    recall_tasks, wait_s + reply_margin_s
                )
                if result is not None:
                    return None if isinstance(result, _HolderGone) else result
                self._client.reconnect(recall.get_address(claim), sent_at)
                if recall_tasks:
                    reply_margin_s *= 2
                else:
                    await asyncio.sleep(delay_s)
                    delay_s *= 2
        finally:
            for task in recall_tasks:
                task.cancel()
            await asyncio.gather(*recall_tasks, return_exceptions=True)

    async def _recall_once(
        self, claim: request_pb2.Claim, claim_key: str, wait_s: float
    ) -> request_pb2.RecallReply | _HolderGone | None:
        """Sends one recall.

        Returns:
            None if the connection broke and the holder may still be running.
        """
        reply = await self._client.send_recall(claim, claim_key, wait_s)
        if reply is not None:
            return reply
        address = recall.get_address(claim)
        refused = await peers.refuses_connection(
            address, recall.get_reply_margin_s()
        )
        return _HolderGone() if refused else None


async def _wait_for_any(
    recall_tasks: set[
        asyncio.Task[request_pb2.RecallReply | _HolderGone | None]
    ],
    timeout_s: float,
) -> request_pb2.RecallReply | _HolderGone | None:
    """Returns the first result within the timeout; None if there is none.

    Removes the tasks that have completed from `recall_tasks`.
    """
    timeout_at = time.monotonic() + timeout_s
    while recall_tasks and (remaining_s := timeout_at - time.monotonic()) > 0:
        completed, _ = await asyncio.wait(
            recall_tasks,
            timeout=remaining_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        recall_tasks -= completed
        for task in completed:
            result = task.result()
            if result is not None:
                return result
    return None

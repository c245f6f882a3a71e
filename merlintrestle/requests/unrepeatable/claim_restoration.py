"""Restoration of claims that a store lost when it came back from a copy."""

from __future__ import annotations

import asyncio
from typing import Any, TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.requests.unrepeatable import claims as claims_
from merlintrestle.requests.unrepeatable import leases

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from merlintrestle.requests import interfaces
    from merlintrestle.requests.unrepeatable import ledger as ledgers
    from merlintrestle.requests.unrepeatable import sent_calls as sent_calls_
    from merlintrestle.schema import request_pb2

events = event_logs.EventLog("requests")

_MAX_CONCURRENT_WRITES = 16
# Default of the longest age of a copy from which the store may come back, in
# seconds.
_DEFAULT_COPY_AGE_S = 30.0
# Delay between attempts to write a claim again, and their total time, in
# seconds. The store may go away again meanwhile.
_RETRY_DELAY_S = 0.2
_TIMEOUT_S = 30.0


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
        self,
        claims: claims_.Claims,
        sent_calls: sent_calls_.SentCalls,
        store: interfaces.Store,
        lease: leases.ClaimLease,
        get_holder: Callable[[], sent_calls_.Holder],
        copy_age_s: float = 0.0,
    ):
        """Registers the restorer for new eras.

        Args:
            claims: The claims of this daemon.
            sent_calls: The calls that this daemon sent to others.
            store: Store of the claims.
            lease: Lease under which claims are written.
            get_holder: Returns the local daemon, the holder of its claims.
            copy_age_s: Longest age of a copy from which the store may come
                back, in seconds; 0: the default.
        """
        self._claims = claims
        self._sent_calls = sent_calls
        self._store = store
        self._lease = lease
        self._get_holder = get_holder
        self._copy_age_s = copy_age_s or _DEFAULT_COPY_AGE_S
        self._tasks: set[asyncio.Task[Any]] = set()
        store.era.on_change.append(self._start)

    def close(self) -> None:
        """Ends restorations in progress."""
        for task in self._tasks:
            task.cancel()

    def _start(self) -> None:
        task = asyncio.create_task(self._restore_all())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _restore_all(self) -> None:
        own = self._claims.ledger.list_since(
            clocks.get_boot_time() - self._copy_age_s
        )
        await _gather(self._restore_own(record) for record in own)
        sent = self._sent_calls.list_recent(self._copy_age_s)
        events.note("claims written again", own=len(own), sent=len(sent))
        await asyncio.sleep(self._claims.get_settling_wait_s() / 2)
        await _gather(self._restore_sent(call) for call in sent)

    async def _restore_own(self, record: ledgers.Record) -> None:
        """Writes a claim of this daemon again, unless the store has it."""
        claim = claims_.build_claim(
            self._get_holder(), record.claim_id, record.request_digest
        )
        await self._restore(record.claim_key, claim)

    async def _restore_sent(self, call: sent_calls_.SentCall) -> None:
        """Writes the claim of a call that was sent to another daemon.

        If that daemon is still alive, it has written the claim itself. If it
        was killed, what became of the call is not known any more.
        """
        claim = claims_.build_claim(call.holder, "", call.request_digest)
        await self._restore(call.claim_key, claim)

    async def _restore(self, claim_key: str, claim: request_pb2.Claim) -> None:
        value = claim.SerializeToString()
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                while not await self._try_restore(claim_key, value):
                    await asyncio.sleep(_RETRY_DELAY_S)
        except TimeoutError:
            events.warn("claim not written again", key=claim_key)

    async def _try_restore(self, claim_key: str, value: bytes) -> bool:
        """Writes a claim unless there is one; returns False if that failed."""
        try:
            lease_id = await self._lease.get_id()
            await self._store.put(claim_key, value, 0, lease_id)
        except errors.StoreError as error:
            events.note("claim restoration", key=claim_key, error=str(error))
            return False
        return True


async def _gather(writes: Iterable[Awaitable[None]]) -> None:
    """Runs writes, a limited number of them concurrently."""
    limit = asyncio.Semaphore(_MAX_CONCURRENT_WRITES)

    async def run(write: Awaitable[None]) -> None:
        async with limit:
            await write

    await asyncio.gather(*(run(write) for write in writes))

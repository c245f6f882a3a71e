"""Watchers: the few daemons of a zone that watch the head in the store."""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.members import rendezvous
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.members import timing as timing_lib

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.members import membership as membership_lib
    from merlintrestle.schema import document_pb2
    from merlintrestle.versions import source as source_lib

logger = logging.getLogger(__name__)

WATCHERS_PER_ZONE = 2


class Watcher:
    """Watches the head while this daemon is chosen to.

    There is no lease. Two watchers too many cost two watches; one that was
    frozen and does not know it compiles versions which are no news.

    Attributes:
        store_reachable: Whether the last call to the store succeeded.
    """

    def __init__(
        self,
        membership: membership_lib.Membership,
        source: source_lib.Source,
        hold: Callable[[snapshot_lib.Snapshot], None],
    ):
        self.store_reachable = False
        self._membership = membership
        self._timing = membership.timing
        self._source = source
        self._hold = hold
        self._version = 0
        self._seeds: list[str] = []
        self._seeds_at = 0.0

    def is_chosen(self) -> bool:
        """Tells whether this daemon is a watcher of its zone."""
        table = self._membership.table
        chosen = self._choose("watch", WATCHERS_PER_ZONE)
        return table.own_id in chosen

    async def run(self) -> None:
        """Watches while chosen, for ever."""
        backoff = timing_lib.Backoff(0.2, self._timing.store_retry_max)
        await self._membership.wait_for_contact(self._timing.settle)
        while True:
            if not self.is_chosen():
                await asyncio.sleep(timing_lib.jitter(self._timing.heartbeat))
                continue
            try:
                await self._watch()
                backoff.reset()
            except errors.MerlintrestleError as error:
                self.store_reachable = False
                logger.info("versions: watch lost: %s", error)
                await asyncio.sleep(backoff.get_wait())

    async def refresh(self) -> int:
        """Reads the head and compiles it if it is news; returns its version.

        Raises:
            errors.MerlintrestleError: The store did not answer, or what it
                holds does not compile.
        """
        try:
            head = await self._source.read_head()
        except errors.StoreError:
            self.store_reachable = False
            raise
        self.store_reachable = True
        await self._compile(head)
        return head.version

    async def _watch(self) -> None:
        """Watches until no longer chosen; the head is re-read meanwhile.

        A watch whose connection went silent delivers nothing and does not
        end. The read has a deadline and finds that out.
        """
        watching = asyncio.create_task(self._follow())
        refresh_at = time.monotonic()
        try:
            while self.is_chosen():
                if time.monotonic() >= refresh_at:
                    await self.refresh()
                    await self._write_seeds()
                    refresh_at = time.monotonic() + timing_lib.jitter(
                        self._timing.head_refresh
                    )
                done, _ = await asyncio.wait(
                    (watching,), timeout=self._timing.heartbeat
                )
                if done:
                    return watching.result()
        finally:
            watching.cancel()

    async def _follow(self) -> None:
        async for head in self._source.watch_head():
            self.store_reachable = True
            await self._compile(head)

    async def _compile(self, head: document_pb2.Head) -> None:
        if head.version <= self._version:
            return
        snapshot = await self._source.compile_head(head)
        self._version = max(self._version, head.version)
        self._hold(snapshot)

    async def _write_seeds(self) -> None:
        """Names members of the zone in the store, for first contact."""
        seeds = self._choose("seeds", seeds_lib.SEEDS_PER_ZONE)
        too_soon = time.monotonic() - self._seeds_at < self._timing.seeds_write
        if seeds == self._seeds or (self._seeds and too_soon):
            return
        zone = self._membership.table.own.zone
        if await self._source.write_seeds(zone, seeds):
            self._seeds = seeds
            self._seeds_at = time.monotonic()

    def _choose(self, purpose: str, count: int) -> list[str]:
        table = self._membership.table
        zone = table.own.zone
        candidates = [
            member.id
            for member_id in table.usable_ids()
            if (member := table.get(member_id)) and member.zone == zone
        ]
        return rendezvous.choose(f"{purpose}/{zone}", candidates, count)

"""Anti-entropy of the member table and first contact with the fleet."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.members import peers as peers_lib
from merlintrestle.members import seeds as seeds_lib
from merlintrestle.members import table as table_lib
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from merlintrestle.store import client

events = event_logs.EventLog("members")

# On average, one of this many rounds contacts a gone member or a configured
# seed. This reconnects regions that were partitioned for so long that each
# considers the other dead.
_ROUNDS_PER_GONE_CONTACT = 4
# While no difference is known, only one of this many rounds compares tables,
# because a comparison costs about 1,700 bytes, most of them for a new
# connection.
_ROUNDS_PER_IDLE_COMPARISON = 4


class AntiEntropy:
    """Compares the member table with other daemons, bucket by bucket.

    Attributes:
        on_reply_built: Called with each reply before it is sent, to add data.
        on_reply_received: Called with each received reply.
    """

    def __init__(
        self,
        table: table_lib.MemberTable,
        peers: peers_lib.PeerClient,
        store: client.StoreClient | None,
        configured_seeds: Sequence[str],
        timing: timing_lib.Timing,
    ):
        """Initializes anti-entropy.

        Args:
            table: The member table of this daemon.
            peers: Client for calls to other daemons.
            store: Holds the stored seeds; None if there is no store.
            configured_seeds: Control addresses of daemons to contact first.
            timing: Intervals and timeouts.
        """
        self.on_reply_built: list[
            Callable[[control_pb2.MembersReply], None]
        ] = []
        self.on_reply_received: list[
            Callable[[control_pb2.MembersReply], None]
        ] = []
        self._table = table
        self._peers = peers
        self._store = store
        self._configured_seeds = list(configured_seeds)
        self._timing = timing
        self._contacted = asyncio.Event()
        self._differing_ids: set[str] = set()
        self._round = 0

    async def wait_for_contact(self, timeout_s: float) -> bool:
        """Waits for the end of the first contact; False after the timeout.

        The first contact also ends if no daemon could be found.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._contacted.wait()
        except TimeoutError:
            return False
        return True

    def record_difference(self, peer_id: str) -> None:
        """Prefers a peer in the next round because its digest differed."""
        if peer_id:
            self._differing_ids.add(peer_id)

    async def join(self) -> None:
        """Makes the first contact with the fleet.

        Contacts the configured seeds, or the stored seeds if no configured seed
        answers. When many daemons start at once, the configured seeds are
        starting too, so they are contacted repeatedly for
        `Timing.start_jitter_s`. The first reads of the store are spread over
        the same time and later ones back off, so that the daemons do not all
        read the store at once.
        """
        if await self._contact_configured_seeds():
            return
        await asyncio.sleep(random.uniform(0, self._timing.start_jitter_s))
        backoff = timing_lib.Backoff(1.0, self._timing.max_store_retry_delay_s)
        while not self._contacted.is_set():
            seed_ids = await self._read_stored_seeds()
            if seed_ids is not None:
                await self._contact_any(seed_ids)
                # If no stored seed answers, this daemon continues alone.
                self._contacted.set()
                return
            await asyncio.sleep(backoff.get_next_delay())
            await self._contact_any(self._configured_seeds)

    async def _contact_configured_seeds(self) -> bool:
        """Contacts the configured seeds repeatedly for `start_jitter_s`.

        Returns:
            Whether the first contact has been made, by either side.
        """
        backoff = timing_lib.Backoff(0.1, 1.0)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timing.start_jitter_s
        while self._configured_seeds and loop.time() < deadline:
            if (
                await self._contact_any(self._configured_seeds)
                or self._contacted.is_set()
            ):
                return True
            await asyncio.sleep(backoff.get_next_delay())
        return self._contacted.is_set()

    async def run_round(self) -> str | None:
        """Compares the table with that of a peer.

        Most rounds make no comparison while no difference is known and no
        member is gone. While this daemon knows no other usable member, each
        round also contacts the stored seeds.

        Returns:
            The id of the peer if it did not answer; otherwise None.
        """
        self._round += 1
        if self._is_alone():
            await self._contact_any(await self._read_stored_seeds() or [])
        if self._is_in_sync() and self._round % _ROUNDS_PER_IDLE_COMPARISON:
            return None
        peer_id = self._choose_peer()
        if peer_id is None:
            return None
        try:
            await self.compare(peer_id)
        except peers_lib.PeerError:
            return peer_id
        return None

    async def compare(self, peer_id: str) -> None:
        """Exchanges the buckets in which a peer's table differs.

        Raises:
            peers_lib.PeerError: The peer did not answer.
        """
        request = control_pb2.MembersRequest(
            bucket_digests=self._table.bucket_digests,
            members=[self._table.local_member],
        )
        reply = await self._call(peer_id, request)
        self._merge(reply.members)
        differing_buckets = self._find_differing(reply.bucket_digests)
        if not differing_buckets:
            return
        request = control_pb2.MembersRequest(
            buckets=differing_buckets,
            members=self._select_needed(differing_buckets, reply.members),
        )
        reply = await self._call(peer_id, request)
        self._merge(reply.members)

    def answer(
        self, request: control_pb2.MembersRequest
    ) -> control_pb2.MembersReply:
        """Merges the records of a request and returns those the peer needs."""
        self._contacted.set()
        self._merge(request.members)
        buckets = list(request.buckets) or self._find_differing(
            request.bucket_digests
        )
        reply = control_pb2.MembersReply(
            bucket_digests=self._table.bucket_digests,
            members=self._select_needed(buckets, request.members),
            leaving=self._list_earlier_leaving(request.members),
        )
        for callback in self.on_reply_built:
            callback(reply)
        return reply

    async def _contact_any(self, member_ids: Sequence[str]) -> bool:
        """Contacts daemons in random order until one answers."""
        for member_id in random.sample(list(member_ids), len(member_ids)):
            if member_id == self._table.local_id:
                continue
            try:
                await self._bootstrap_from(member_id)
            except peers_lib.PeerError as error:
                events.note("no contact", member=member_id, error=str(error))
                continue
            self._contacted.set()
            return True
        return False

    async def _bootstrap_from(self, seed_id: str) -> None:
        """Fetches one random bucket from a seed, then the table from a member.

        The whole table is fetched from a random member of that bucket, or from
        the seed if this fails. If many starting daemons requested whole tables
        from the few seeds, they would overload the seeds.

        Raises:
            peers_lib.PeerError: The seed did not answer.
        """
        request = control_pb2.MembersRequest(
            buckets=[random.randrange(table_lib.BUCKETS)],
            members=[self._table.local_member],
        )
        reply = await self._call(seed_id, request)
        candidates = [
            member.id
            for member in reply.members
            if member.id not in (self._table.local_id, seed_id)
        ]
        self._merge(reply.members)
        try:
            await self.compare(random.choice(candidates or [seed_id]))
        except peers_lib.PeerError:
            await self.compare(seed_id)

    async def _read_stored_seeds(self) -> list[str] | None:
        """Returns the stored seeds, or None if the store did not answer."""
        if self._store is None:
            return []
        try:
            return await seeds_lib.read_seeds(self._store)
        except errors.StoreError as error:
            events.note("no seeds", error=str(error))
            return None

    async def contact_unknown(self, member_ids: Sequence[str]) -> None:
        """Contacts daemons that are not in the table until one answers.

        Of the given daemons, those in the table are skipped.

        Two partitions of a fleet that started separately at the same time do
        not know each other, but each finds the other by its seed record.
        """
        unknown_ids = [
            member_id
            for member_id in member_ids
            if self._table.get(member_id) is None
        ]
        await self._contact_any(unknown_ids)

    async def contact_stored_seeds(self) -> None:
        """Contacts stored seeds not in the table until one answers."""
        await self.contact_unknown(await self._read_stored_seeds() or [])

    def _is_alone(self) -> bool:
        """Returns whether this daemon knows no other usable member.

        This can happen when all daemons start at once.
        """
        return len(self._table.list_usable_ids()) <= 1

    def _is_in_sync(self) -> bool:
        """Returns whether no difference is known and no member is gone."""
        return not self._differing_ids and not any(
            table_lib.is_gone(member) for member in self._table.list_members()
        )

    def _choose_peer(self) -> str | None:
        local_id = self._table.local_id
        members = [m for m in self._table.list_members() if m.id != local_id]
        gone_ids = [m.id for m in members if table_lib.is_gone(m)]
        usable_ids = [m.id for m in members if not table_lib.is_gone(m)]
        seed_ids = [
            seed_id for seed_id in self._configured_seeds if seed_id != local_id
        ]
        if (
            random.randrange(_ROUNDS_PER_GONE_CONTACT) == 0
            and gone_ids + seed_ids
        ):
            return random.choice(gone_ids + seed_ids)
        differing_ids = [
            member_id
            for member_id in usable_ids
            if member_id in self._differing_ids
        ]
        self._differing_ids.clear()
        candidates = differing_ids or usable_ids or seed_ids
        return random.choice(candidates) if candidates else None

    async def _call(
        self, peer_id: str, request: control_pb2.MembersRequest
    ) -> control_pb2.MembersReply:
        reply: control_pb2.MembersReply = await self._peers.call(
            peer_id, "Members", request, self._timing.fetch_timeout_s
        )
        for callback in self.on_reply_received:
            callback(reply)
        return reply

    def _merge(self, members: Sequence[control_pb2.Member]) -> None:
        for member in members:
            self._table.merge(member)

    def _list_earlier_leaving(
        self, members: Sequence[control_pb2.Member]
    ) -> list[control_pb2.LeavingProcess]:
        """Returns what earlier processes of members announced as leaving."""
        leaving = (
            self._table.get_earlier_leaving(member.id) for member in members
        )
        return [process for process in leaving if process is not None]

    def _select_needed(
        self, buckets: Sequence[int], peer_records: Sequence[control_pb2.Member]
    ) -> list[control_pb2.Member]:
        """Returns the records in the given buckets that the peer needs."""
        records_by_id = {member.id: member for member in peer_records}
        return [
            member
            for member in self._table.list_buckets(buckets)
            if _is_needed(member, records_by_id.get(member.id))
        ]

    def _find_differing(self, digests: Sequence[int]) -> list[int]:
        """Returns the buckets whose digest differs from the local one.

        Returns all buckets if the number of digests differs, as in a request
        without digests.
        """
        local_digests = self._table.bucket_digests
        if len(digests) != len(local_digests):
            return list(range(len(local_digests)))
        return [
            i for i, digest in enumerate(digests) if digest != local_digests[i]
        ]


def _is_needed(
    member: control_pb2.Member, peer_record: control_pb2.Member | None
) -> bool:
    """Returns whether a peer needs a record.

    The record of a gone member is sent only to a peer that holds an older
    record of it. Otherwise daemons that have removed the member would receive
    the record again and again.
    """
    if peer_record is None:
        return not table_lib.is_gone(member)
    return table_lib.supersedes(member, peer_record)

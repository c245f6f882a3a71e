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

# One of this many rounds contacts a gone member or a seed. This reconnects
# regions that were partitioned for so long that each considers the other dead.
_GONE_ROUND_INTERVAL = 4
# While no difference is known, only one of this many rounds is made: a
# comparison costs about 1,700 bytes, most of them for a new connection.
_QUIET_ROUND_INTERVAL = 4


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
        seeds: Sequence[str],
        timing: timing_lib.Timing,
    ):
        self.on_reply_built: list[
            Callable[[control_pb2.MembersReply], None]
        ] = []
        self.on_reply_received: list[
            Callable[[control_pb2.MembersReply], None]
        ] = []
        self._table = table
        self._peers = peers
        self._store = store
        self._seeds = list(seeds)
        self._timing = timing
        self._contacted = asyncio.Event()
        self._differing: set[str] = set()
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
        """Makes a peer whose digest differed a candidate for the next round."""
        if peer_id:
            self._differing.add(peer_id)

    async def join(self) -> None:
        """Contacts a first daemon by the seeds, or else by the store's records.

        When many daemons start at once, the seeds are starting too, so they are
        tried for a while. The first reads of the store are spread over
        `Timing.start_jitter_s` and later ones back off, so that the daemons do
        not all read the store at once.
        """
        if await self._contact_seeds():
            return
        await asyncio.sleep(random.uniform(0, self._timing.start_jitter_s))
        backoff = timing_lib.Backoff(1.0, self._timing.max_store_retry_delay_s)
        while not self._contacted.is_set():
            addresses = await self._read_seeds()
            if addresses is not None:
                await self._contact_any(addresses)
                # If none of the seeds in the store answers, this daemon is
                # alone.
                self._contacted.set()
                return
            await asyncio.sleep(backoff.get_next_delay())
            await self._contact_any(self._seeds)

    async def _contact_seeds(self) -> bool:
        """Tries the seeds for `start_jitter_s`; True once a daemon answered."""
        backoff = timing_lib.Backoff(0.1, 1.0)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timing.start_jitter_s
        while self._seeds and loop.time() < deadline:
            if await self._contact_any(self._seeds) or self._contacted.is_set():
                return True
            await asyncio.sleep(backoff.get_next_delay())
        return self._contacted.is_set()

    async def run_round(self) -> str | None:
        """Compares with a peer; returns its id if it did not answer.

        Most rounds are skipped while no difference is known and no member is
        gone.
        """
        self._round += 1
        if self._is_alone():
            await self._contact_any(await self._read_seeds() or [])
        if self._is_quiet() and self._round % _QUIET_ROUND_INTERVAL:
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
        """Exchanges the buckets that differ from a peer's table.

        Raises:
            peers_lib.PeerError: The peer did not answer.
        """
        request = control_pb2.MembersRequest(
            bucket_digests=self._table.bucket_digests,
            members=[self._table.local_member],
        )
        reply = await self._call(peer_id, request)
        self._merge(reply.members)
        differing = self._find_differing(reply.bucket_digests)
        if not differing:
            return
        request = control_pb2.MembersRequest(
            buckets=differing, members=self._select(differing, reply.members)
        )
        reply = await self._call(peer_id, request)
        self._merge(reply.members)

    def answer(
        self, request: control_pb2.MembersRequest
    ) -> control_pb2.MembersReply:
        """Merges the records of a request and returns those that differ."""
        self._contacted.set()
        self._merge(request.members)
        buckets = list(request.buckets) or self._find_differing(
            request.bucket_digests
        )
        reply = control_pb2.MembersReply(
            bucket_digests=self._table.bucket_digests,
            members=self._select(buckets, request.members),
        )
        for add in self.on_reply_built:
            add(reply)
        return reply

    async def _contact_any(self, addresses: Sequence[str]) -> bool:
        """Contacts daemons in random order until one answers."""
        for address in random.sample(list(addresses), len(addresses)):
            if address == self._table.local_id:
                continue
            try:
                await self._contact(address)
            except peers_lib.PeerError as error:
                events.note("no contact", member=address, error=str(error))
                continue
            self._contacted.set()
            return True
        return False

    async def _contact(self, address: str) -> None:
        """Gets some members from a first daemon and all from one of these.

        If many starting daemons requested whole tables from the few seeds, they
        would overload the seeds.

        Raises:
            peers_lib.PeerError: Neither daemon answered.
        """
        request = control_pb2.MembersRequest(
            buckets=[random.randrange(table_lib.BUCKETS)],
            members=[self._table.local_member],
        )
        reply = await self._call(address, request)
        candidates = [
            member.id
            for member in reply.members
            if member.id not in (self._table.local_id, address)
        ]
        self._merge(reply.members)
        try:
            await self.compare(random.choice(candidates or [address]))
        except peers_lib.PeerError:
            await self.compare(address)

    async def _read_seeds(self) -> list[str] | None:
        """Returns the seeds in the store, or None if it did not answer."""
        if self._store is None:
            return []
        try:
            return await seeds_lib.read_seeds(self._store)
        except errors.StoreError as error:
            events.note("no seeds", error=str(error))
            return None

    async def contact_unknown(self, addresses: Sequence[str]) -> None:
        """Contacts the daemons that are not in the table.

        Two partitions of a fleet that started separately at the same time do
        not know each other; the seed records lead one to the other.
        """
        unknown = [i for i in addresses if self._table.get(i) is None]
        await self._contact_any(unknown)

    async def contact_stored_seeds(self) -> None:
        """Contacts the seeds in the store that are not in the table."""
        await self.contact_unknown(await self._read_seeds() or [])

    def _is_alone(self) -> bool:
        """Tells whether no other usable member is known.

        This is the case when all daemons start at once.
        """
        return len(self._table.list_usable_ids()) <= 1

    def _is_quiet(self) -> bool:
        return not self._differing and not any(
            table_lib.is_gone(member) for member in self._table.list_members()
        )

    def _choose_peer(self) -> str | None:
        local_id = self._table.local_id
        members = [m for m in self._table.list_members() if m.id != local_id]
        gone = [m.id for m in members if table_lib.is_gone(m)]
        usable = [m.id for m in members if not table_lib.is_gone(m)]
        seeds = [seed for seed in self._seeds if seed != local_id]
        if random.randrange(_GONE_ROUND_INTERVAL) == 0 and gone + seeds:
            return random.choice(gone + seeds)
        differing = [i for i in usable if i in self._differing]
        self._differing.clear()
        candidates = differing or usable or seeds
        return random.choice(candidates) if candidates else None

    async def _call(
        self, peer_id: str, request: control_pb2.MembersRequest
    ) -> control_pb2.MembersReply:
        reply: control_pb2.MembersReply = await self._peers.call(
            peer_id, "Members", request, self._timing.fetch_timeout_s
        )
        for notify in self.on_reply_received:
            notify(reply)
        return reply

    def _merge(self, members: Sequence[control_pb2.Member]) -> None:
        for member in members:
            self._table.merge(member)

    def _select(
        self, buckets: Sequence[int], peer_records: Sequence[control_pb2.Member]
    ) -> list[control_pb2.Member]:
        """Returns the records of some buckets that the peer needs."""
        records_by_id = {member.id: member for member in peer_records}
        return [
            member
            for member in self._table.list_buckets(buckets)
            if _is_needed(member, records_by_id.get(member.id))
        ]

    def _find_differing(self, digests: Sequence[int]) -> list[int]:
        """Returns the buckets that differ, or all if no digests were given."""
        local_digests = self._table.bucket_digests
        if len(digests) != len(local_digests):
            return list(range(len(local_digests)))
        return [
            i for i, digest in enumerate(digests) if digest != local_digests[i]
        ]


def _is_needed(
    member: control_pb2.Member, peer_record: control_pb2.Member | None
) -> bool:
    """Tells whether a peer needs a record.

    Records of gone members are sent only to a peer that holds an older record.
    Otherwise daemons that have removed them would receive them again and again.
    """
    if peer_record is None:
        return not table_lib.is_gone(member)
    return table_lib.supersedes(member, peer_record)

"""Anti-entropy of the member table, and first contact with the fleet."""

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

# One round in so many goes to a member held for dead, or to a seed: it heals
# regions that were cut from each other for so long that each gave up the other.
_GONE_SHARE = 4
# A comparison costs about 1,700 bytes, most of it for a new connection.
_QUIET_ROUNDS = 4


class AntiEntropy:
    """Compares the table with other daemons, bucket by bucket.

    Attributes:
        on_reply_built: Called with each reply before it is sent, to add to it.
        on_reply_received: Called with each reply that came.
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
        self._joined = asyncio.Event()
        self._differing: set[str] = set()
        self._round = 0

    async def wait_for_contact(self, timeout_s: float) -> bool:
        """Waits until another daemon was met, or none could be found."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._joined.wait()
        except TimeoutError:
            return False
        return True

    def note_difference(self, peer_id: str) -> None:
        """Marks a peer whose digest differed for the next round."""
        if peer_id:
            self._differing.add(peer_id)

    async def join(self) -> None:
        """Finds a first daemon: by the seeds, else by the store's records.

        In a herd the seeds themselves start just now, so they are tried for a
        while. The first reads of the store are spread over `start_jitter` and
        later ones back off: a herd must not put them all at once.
        """
        if await self._join_by_seeds():
            return
        await asyncio.sleep(random.uniform(0, self._timing.start_jitter_s))
        backoff = timing_lib.Backoff(1.0, self._timing.max_store_retry_delay_s)
        while not self._joined.is_set():
            addresses = await self._read_seeds()
            if addresses is not None:
                await self._contact_any(addresses)
                # Nobody answers though the store names everyone: alone.
                self._joined.set()
                return
            await asyncio.sleep(backoff.get_next_delay())
            await self._contact_any(self._seeds)

    async def _join_by_seeds(self) -> bool:
        """Tries the seeds for `start_jitter`; True once a daemon was met."""
        backoff = timing_lib.Backoff(0.1, 1.0)
        loop = asyncio.get_running_loop()
        tried_until = loop.time() + self._timing.start_jitter_s
        while self._seeds and loop.time() < tried_until:
            if await self._contact_any(self._seeds) or self._joined.is_set():
                return True
            await asyncio.sleep(backoff.get_next_delay())
        return self._joined.is_set()

    async def run_round(self) -> str | None:
        """Compares with one peer; returns its id if it did not answer.

        While nothing is known to differ and nobody is gone, only one round in
        some is made.
        """
        self._round += 1
        if self._is_alone():
            await self._contact_any(await self._read_seeds() or [])
        if self._is_quiet() and self._round % _QUIET_ROUNDS:
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
        """Takes in the members of a request and gives what differs."""
        self._joined.set()
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
        """Asks daemons in random order until one answers."""
        for address in random.sample(list(addresses), len(addresses)):
            if address == self._table.local_id:
                continue
            try:
                await self._contact_by(address)
            except peers_lib.PeerError as error:
                events.note("no contact", member=address, error=str(error))
                continue
            self._joined.set()
            return True
        return False

    async def _contact_by(self, address: str) -> None:
        """Learns some members of a first daemon, and all from one of them.

        A herd that asked the few seeds for whole tables would drown them.

        Raises:
            peers_lib.PeerError: Neither answered.
        """
        request = control_pb2.MembersRequest(
            buckets=[random.randrange(table_lib.BUCKETS)],
            members=[self._table.local_member],
        )
        reply = await self._call(address, request)
        others = [
            member.id
            for member in reply.members
            if member.id not in (self._table.local_id, address)
        ]
        self._merge(reply.members)
        try:
            await self.compare(random.choice(others or [address]))
        except peers_lib.PeerError:
            await self.compare(address)

    async def _read_seeds(self) -> list[str] | None:
        """Returns the addresses in the store; None: it did not answer."""
        if self._store is None:
            return []
        try:
            return await seeds_lib.read_seeds(self._store)
        except errors.StoreError as error:
            events.note("no seeds", error=str(error))
            return None

    async def contact_unknown(self, addresses: Sequence[str]) -> None:
        """Contacts daemons that the table does not have.

        Two parts of a fleet that started at the same time, each alone, know
        nothing of each other; the records of seeds are where they meet.
        """
        unknown = [i for i in addresses if self._table.get(i) is None]
        await self._contact_any(unknown)

    async def find_others(self) -> None:
        """Contacts daemons that the records of seeds name and nobody knows."""
        await self.contact_unknown(await self._read_seeds() or [])

    def _is_alone(self) -> bool:
        """Tells whether no other member is known, as when all start at once."""
        return len(self._table.list_usable_ids()) <= 1

    def _is_quiet(self) -> bool:
        return not self._differing and not any(
            table_lib.is_gone(member) for member in self._table.list_members()
        )

    def _choose_peer(self) -> str | None:
        own_id = self._table.local_id
        members = [m for m in self._table.list_members() if m.id != own_id]
        gone = [m.id for m in members if table_lib.is_gone(m)]
        usable = [m.id for m in members if not table_lib.is_gone(m)]
        seeds = [seed for seed in self._seeds if seed != own_id]
        if random.randrange(_GONE_SHARE) == 0 and gone + seeds:
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
        self, buckets: Sequence[int], told: Sequence[control_pb2.Member]
    ) -> list[control_pb2.Member]:
        """Returns the records of some buckets that the other side needs."""
        known = {member.id: member for member in told}
        return [
            member
            for member in self._table.list_buckets(buckets)
            if _is_news(member, known.get(member.id))
        ]

    def _find_differing(self, digests: Sequence[int]) -> list[int]:
        """Returns the buckets that differ; all of them if none were given."""
        own = self._table.bucket_digests
        if len(digests) != len(own):
            return list(range(len(own)))
        return [i for i, digest in enumerate(digests) if digest != own[i]]


def _is_news(
    member: control_pb2.Member, told: control_pb2.Member | None
) -> bool:
    """Tells whether the other side needs a record.

    The gone are named only to one that holds them alive. Otherwise those who
    forgot them would learn of them again and again.
    """
    if told is None:
        return not table_lib.is_gone(member)
    return table_lib.outranks(member, told)

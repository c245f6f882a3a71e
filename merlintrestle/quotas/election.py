"""Election of the quota coordinator by a lease in the store."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple, Protocol, TYPE_CHECKING

from google.protobuf import message

from merlintrestle import clocks
from merlintrestle import errors
from merlintrestle import events as event_logs
from merlintrestle.quotas import bounds as bounds_lib
from merlintrestle.schema import quota_pb2

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.store import client
    from merlintrestle.store import eras

events = event_logs.EventLog("quotas")

# Key under the lease. Coordinators of further partitions would get keys with
# this prefix.
LEASE_KEY = "quota/coordinator"
# Key of the record that outlives the lease.
TERM_KEY = "quota/term"
_LEASE_S = 2
_RENEWALS_PER_LEASE = 3
# The holder grants nothing in the last part of its lease, for clocks that run
# at slightly different rates.
_LEASE_MARGIN_S = 0.1
# Longest wait for the renewal or deletion of the lease and for the write of the
# record; other calls have the timeout of the client.
_CALL_TIMEOUT_S = 1.0
_RETRY_S = 0.2
# Interval between two reads of the key by the candidate of the first rank. It
# doubles with each rank, so all candidates together read at most twice as often
# as the first one.
_POLL_S = 1.0
_URGENT_POLL_S = 0.4
_MAX_POLL_DOUBLINGS = 7
# After a release, a candidate waits its rank times this delay.
_DELAY_PER_RANK_S = 0.3
_FIRST_ERA = 1
_RELEASED = "released"


class Store(Protocol):
    """The part of `store.client.StoreClient` that the election uses.

    Attributes:
        era: Era of the store.
    """

    era: eras.StoreEra

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key."""

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        """Writes a key if it still has the expected revision."""

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it still has the expected revision."""

    async def grant_lease(self, seconds: int) -> int:
        """Opens a lease and returns its id."""

    async def renew_lease(self, lease_id: int) -> int:
        """Extends a lease; returns its duration in seconds, 0 if it ended."""


class Term(NamedTuple):
    """A term of this daemon as the coordinator.

    Attributes:
        epoch: Revision of the store at which it began.
        starts_at: Time before which nothing may be granted.
        settled_at: Time at which no token of an earlier coordinator can be in
            use any more.
        starts_full: Whether workspaces start with all tokens that the cap
            allows: the previous coordinator granted tokens for a whole window,
            so that no window contains a third one, or there was none.
    """

    epoch: int
    starts_at: float
    settled_at: float
    starts_full: bool = False


class _Stage(NamedTuple):
    """Stage of a term that its record states.

    Attributes:
        settled: Whether no token of an earlier coordinator can be in use.
        lasting: Whether tokens were granted for a whole window.
    """

    settled: bool
    lasting: bool


class _Attempt(NamedTuple):
    """A write of the key of the lease that may have taken effect."""

    lease_id: int
    value: bytes


class Election:
    """Acquires, renews and releases the lease of the coordinator.

    Attributes:
        term: The current term; None while this daemon is not the coordinator.
        on_seen: Called with the epoch and member id of each coordinator that is
            read from the store.
        on_begin: Called with each term of this daemon.
        on_end: Called with the epoch of each term that has ended.
    """

    def __init__(
        self,
        store: Store,
        member_id: str,
        get_rank: Callable[[], int | None],
        window_s: float = bounds_lib.DEFAULT_WINDOW_S,
        is_cut_off: Callable[[], bool] = lambda: False,
        get_time: Callable[[], float] = clocks.get_boot_time,
    ):
        """Initializes the election.

        Args:
            store: Holds the lease.
            member_id: Id of this daemon.
            get_rank: Returns the number of candidates before this one, or None
                if this daemon is not a candidate.
            window_s: Length of the window of the quotas in seconds.
            is_cut_off: Returns whether this daemon reaches no other one. As the
                coordinator it would be of no use to them.
            get_time: Returns the time in seconds, with suspended time counted.
        """
        self.term: Term | None = None
        self.on_seen: Callable[[int, str], None] = lambda epoch, member: None
        self.on_begin: Callable[[Term], None] = lambda term: None
        self.on_end: Callable[[int], None] = lambda epoch: None
        self._store = store
        self._member_id = member_id
        self._get_rank = get_rank
        self._window_s = window_s
        self._is_cut_off = is_cut_off
        self._get_time = get_time
        self._lease_id = 0
        self._lease_s = float(_LEASE_S)
        self._valid_until = 0.0
        self._attempt: _Attempt | None = None
        self._written_term: Term | None = None
        self._term_revision = 0
        self._recorded = _Stage(False, False)
        self._wake_event = asyncio.Event()
        self._is_urgent = False

    def may_grant(self) -> bool:
        """Returns whether this daemon certainly holds the lease."""
        return self.term is not None and self._get_time() < self._valid_until

    def hurry(self) -> None:
        """Shortens the interval to the next read, as nobody grants tokens."""
        self._is_urgent = True

    def handle_release(self) -> None:
        """Reads the store at once, as the coordinator gave up its lease."""
        self._wake_event.set()

    async def run(self) -> None:
        """Takes part in the election until cancelled."""
        while True:
            delay_s = await self.step()
            try:
                async with asyncio.timeout(delay_s):
                    await self._wake_event.wait()
                self._wake_event.clear()
                if self.term is None:
                    await asyncio.sleep(
                        _DELAY_PER_RANK_S * (self._get_rank() or 0)
                    )
            except TimeoutError:
                pass

    async def step(self) -> float:
        """Does what is due; returns the time until the next step in seconds."""
        try:
            if self.term is not None:
                return await self._hold(self.term)
            return await self._watch()
        except (errors.StoreError, TimeoutError) as error:
            events.note("quota store call failed", error=str(error))
            if self.term is not None or self._attempt is not None:
                return _RETRY_S
            return self._get_poll_s(self._get_rank() or 0)

    async def release(self) -> None:
        """Gives up the lease, so that another daemon can follow at once."""
        term, self._valid_until = self.term, 0.0
        if term is None:
            return
        self._end(term, _RELEASED)
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                await self._store.delete(LEASE_KEY, term.epoch)
        except (errors.StoreError, TimeoutError) as error:
            events.note("quota lease not deleted", error=str(error))

    async def _hold(self, term: Term) -> float:
        if self._is_cut_off():
            events.warn("quota coordinator cut off", epoch=term.epoch)
            await self.release()
            return _POLL_S
        if not await self._renew():
            self._end(term, "lost")
            return _RETRY_S
        stage = self._get_stage(term)
        if stage != self._recorded and not await self._record_term(term, stage):
            self._valid_until = 0.0
            self._end(term, "replaced")
        return self._lease_s / _RENEWALS_PER_LEASE

    async def _watch(self) -> float:
        """Acquires the lease if this daemon is a candidate and it is free."""
        rank = self._get_rank()
        if rank is None or self._is_cut_off():
            return _POLL_S
        entry = await self._store.get(LEASE_KEY)
        if entry is not None and entry.revision:
            attempt = self._attempt
            if attempt is None or entry.value != attempt.value:
                self._report_seen(entry)
                return self._get_poll_s(rank)
        else:
            entry = await self._acquire()
            if entry is None:
                return self._get_poll_s(rank)
        await self._begin(entry.revision)
        if self.term is None:
            return _RETRY_S
        return self._lease_s / _RENEWALS_PER_LEASE

    async def _acquire(self) -> client.Entry | None:
        lease_id = await self._store.grant_lease(_LEASE_S)
        value = quota_pb2.CoordinatorLease(
            member_id=self._member_id, attempt=random.getrandbits(64)
        ).SerializeToString()
        # If the answer is lost, the next read recognises the value.
        self._attempt = _Attempt(lease_id, value)
        reply = await self._store.put(LEASE_KEY, value, 0, lease_id)
        return reply.entry if reply.written else None

    async def _begin(self, epoch: int) -> None:
        """Begins a term once its record is written."""
        assert self._attempt is not None
        self._lease_id = self._attempt.lease_id
        if not await self._renew():
            self._attempt = None
            return
        record = await self._store.get(TERM_KEY)
        self._term_revision = record.revision if record else 0
        previous = _parse_term(record.value) if record else None
        now = self._get_time()
        term = self._written_term
        if term is None or previous is None or previous.epoch != epoch:
            term = self._build_term(epoch, previous, now)
            # If the answer to the write is lost, the next step reads this
            # record. The one before it decided on the term.
            self._written_term = term
        if not await self._record_term(term, _Stage(False, False)):
            return
        self._attempt = self._written_term = None
        self._is_urgent = False
        self.term = term
        events.note(
            "quota coordinator begins",
            epoch=epoch,
            before=previous.member_id if previous else "",
            waits_s=round(term.starts_at - now, 2),
            settles_s=round(term.settled_at - now, 2),
        )
        self.on_begin(term)

    def _build_term(
        self, epoch: int, previous: quota_pb2.CoordinatorTerm | None, now: float
    ) -> Term:
        era = self._get_era()
        expired_at = now + bounds_lib.COUNTED_LIFETIME_S
        if previous is None and era == _FIRST_ERA:
            return Term(epoch, now, now, starts_full=True)
        if previous is None or previous.era != era:
            # The store came back from a copy. A coordinator may still hold a
            # lease of the contents that were lost.
            expired_at += self._lease_s
            return Term(epoch, expired_at, expired_at)
        if not previous.settled:
            return Term(epoch, expired_at, expired_at)
        return Term(epoch, now, expired_at, previous.lasting)

    async def _renew(self) -> bool:
        """Renews the lease; returns whether it still exists.

        It is valid from before the request was sent.
        """
        asked_at = self._get_time()
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            seconds = await self._store.renew_lease(self._lease_id)
        if not seconds:
            self._valid_until = 0.0
            return False
        self._lease_s = float(seconds)
        self._valid_until = asked_at + seconds - _LEASE_MARGIN_S
        return True

    def _get_stage(self, term: Term) -> _Stage:
        now = self._get_time()
        # Calls that are sent in a window may get their tokens after its end.
        window_s = self._window_s + bounds_lib.MAX_WAIT_S + _LEASE_MARGIN_S
        lasts_at = max(term.starts_at + window_s, term.settled_at)
        return _Stage(now >= term.settled_at, now >= lasts_at)

    async def _record_term(self, term: Term, stage: _Stage) -> bool:
        value = quota_pb2.CoordinatorTerm(
            member_id=self._member_id,
            settled=stage.settled,
            lasting=stage.lasting,
            era=self._get_era(),
            epoch=term.epoch,
        ).SerializeToString()
        async with asyncio.timeout(_CALL_TIMEOUT_S):
            reply = await self._store.put(TERM_KEY, value, self._term_revision)
        # An earlier write whose answer was lost has the same value.
        written = reply.written or reply.entry.value == value
        if written:
            self._term_revision = reply.entry.revision
            self._recorded = stage
        return written

    def _end(self, term: Term, reason: str) -> None:
        self.term = None
        write = events.note if reason == _RELEASED else events.warn
        write("quota coordinator ends", epoch=term.epoch, reason=reason)
        self.on_end(term.epoch)

    def _report_seen(self, entry: client.Entry) -> None:
        try:
            lease = quota_pb2.CoordinatorLease.FromString(entry.value)
        except message.DecodeError:
            events.warn("quota lease malformed", revision=entry.revision)
            return
        self.on_seen(entry.revision, lease.member_id)

    def _get_poll_s(self, rank: int) -> float:
        poll_s = _URGENT_POLL_S if self._is_urgent else _POLL_S
        self._is_urgent = False
        return poll_s * 2 ** min(rank, _MAX_POLL_DOUBLINGS)

    def _get_era(self) -> int:
        """Returns the era of the store; the first one if it states none."""
        return self._store.era.current or _FIRST_ERA


def _parse_term(value: bytes) -> quota_pb2.CoordinatorTerm:
    """Parses the record; a malformed one counts as empty, so of another era."""
    try:
        return quota_pb2.CoordinatorTerm.FromString(value)
    except message.DecodeError:
        return quota_pb2.CoordinatorTerm()

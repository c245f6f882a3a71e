"""The table of members: who is in the fleet and which upstreams it has."""

from __future__ import annotations

import hashlib
import time
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import events as event_logs
from merlintrestle.members import validity
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

events = event_logs.EventLog("members")

# Members of one bucket are compared by one digest (anti-entropy).
BUCKETS = 64
# A member that left or died is remembered this long, so that late news of its
# life does not bring it back.
GONE_MEMORY_S = 600.0

_GONE = (control_pb2.LEAVING, control_pb2.DEAD)
_USABLE = (control_pb2.ALIVE, control_pb2.SUSPECT)


class Upstream(NamedTuple):
    """One backend server that may be sent work, by way of its daemon.

    Attributes:
        member_id: Id of the daemon beside it, "ip:control_port".
        address: IP number of the daemon.
        peer_port: Port of the daemon for calls from peers.
        zone: Availability zone.
        region: Region.
        slots: Calls it runs at once.
        ready_since_ms: When it became ready, in ms since 1970.
        suspect: True while the daemon is suspected to have failed.
        version: Version of the backend server's software; empty: not stated.
    """

    member_id: str
    address: str
    peer_port: int
    zone: str
    region: str
    slots: int
    ready_since_ms: int
    suspect: bool
    version: str = ""


class MemberTable:
    """What this daemon knows of all members, itself included.

    Of two records of one member the one that `outranks` the other is kept, so
    that records may come in any order, and more than once.

    Attributes:
        local_id: Id of this daemon.
        digest: XOR over the digests of all members that are not gone.
        bucket_digests: The same by bucket.
        on_change: Called with each record that was taken in.
    """

    def __init__(
        self,
        own: control_pb2.Member,
        clock: Callable[[], float] = time.monotonic,
    ):
        """Starts the table with this daemon alone.

        Args:
            own: This daemon; without an incarnation it gets the time in ms,
                which is above that of any earlier process at its address.
            clock: Monotonic time in seconds.
        """
        self.local_id = own.id
        self.digest = 0
        self.bucket_digests = [0] * BUCKETS
        self.on_change: list[Callable[[control_pb2.Member], None]] = []
        self._clock = clock
        self._members: dict[str, control_pb2.Member] = {}
        self._usable_count = 0
        self._suspects: set[str] = set()
        self._changed_at: dict[str, float] = {}
        self._served: dict[str, dict[str, Upstream]] = {}
        self._upstreams: dict[str, tuple[Upstream, ...]] = {}
        first = control_pb2.Member()
        first.CopyFrom(own)
        first.incarnation = own.incarnation or time.time_ns() // 1_000_000
        first.process = own.process or first.incarnation
        first.state = control_pb2.ALIVE
        self._put(first)

    @property
    def local_member(self) -> control_pb2.Member:
        """The record of this daemon."""
        return self._members[self.local_id]

    def get(self, member_id: str) -> control_pb2.Member | None:
        """Returns the record of one member."""
        return self._members.get(member_id)

    def list_members(self) -> list[control_pb2.Member]:
        """Returns the records of all members, gone ones included."""
        return list(self._members.values())

    def suspects(self) -> list[str]:
        """Returns the ids of the members that are suspected."""
        return list(self._suspects)

    def list_usable_ids(self) -> list[str]:
        """Returns ids of the members that are not gone, own one included."""
        return [
            member.id
            for member in self._members.values()
            if member.state in _USABLE
        ]

    def count_usable(self) -> int:
        """Returns the number of members that are not gone."""
        return self._usable_count

    def get_upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Returns the upstreams of a service; the same tuple until a change."""
        found = self._upstreams.get(service)
        if found is None:
            served = self._served.get(service, {})
            found = tuple(served[member_id] for member_id in sorted(served))
            self._upstreams[service] = found
        return found

    def get_state_age(self, member_id: str) -> float:
        """Returns the seconds since the record of a member changed."""
        return self._clock() - self._changed_at[member_id]

    def delay_states(self, seconds: float) -> None:
        """Counts time in which this daemon was paused for no state."""
        for member_id in self._changed_at:
            self._changed_at[member_id] += seconds

    def set_backend(self, backend: control_pb2.Backend | None) -> None:
        """Announces the backend server beside this daemon, or none."""
        own = self._copy_own()
        own.ClearField("backend")
        if backend is not None:
            own.backend.CopyFrom(backend)
        self._raise_own(own)

    def set_peer_port(self, port: int) -> None:
        """Announces the port for calls from peers, once it is bound."""
        own = self._copy_own()
        own.peer_port = port
        self._raise_own(own)

    def leave(self) -> None:
        """Announces that this daemon leaves and takes no new work."""
        own = self._copy_own()
        own.state = control_pb2.LEAVING
        if own.HasField("backend"):
            own.backend.state = control_pb2.DRAINING
        self._raise_own(own)

    def merge(self, member: control_pb2.Member) -> bool:
        """Takes in a record if it outranks the one held; True if it did."""
        held = self._members.get(member.id)
        if held is not None and not outranks(member, held):
            return False
        if fault := validity.find_fault(member):
            events.warn("record refused", member=member.id, error=fault)
            return False
        if member.id == self.local_id:
            self._refute(member)
            return True
        kept = control_pb2.Member()
        kept.CopyFrom(member)
        self._put(kept)
        return True

    def set_state(self, member_id: str, state: control_pb2.MemberState) -> bool:
        """Takes in a worse state of another member at its incarnation."""
        held = self._members[member_id]
        judged = control_pb2.Member()
        judged.CopyFrom(held)
        judged.state = state
        return self.merge(judged)

    def list_buckets(self, buckets: Iterable[int]) -> list[control_pb2.Member]:
        """Returns the records of members of some buckets, gone ones too."""
        wanted = set(buckets)
        return [
            member
            for member in self._members.values()
            if get_bucket(member.id) in wanted
        ]

    def forget_gone(self) -> None:
        """Drops members that have been gone for `GONE_MEMORY_S`."""
        for member in self.list_members():
            if member.id == self.local_id or member.state not in _GONE:
                continue
            if self.get_state_age(member.id) > GONE_MEMORY_S:
                del self._members[member.id]
                del self._changed_at[member.id]

    def _copy_own(self) -> control_pb2.Member:
        own = control_pb2.Member()
        own.CopyFrom(self.local_member)
        return own

    def _raise_own(self, own: control_pb2.Member) -> None:
        own.incarnation += 1
        self._put(own)

    def _refute(self, told: control_pb2.Member) -> None:
        """Raises the own incarnation above one that others hold.

        Others hold this daemon for dead or suspect, or an earlier process at
        its address had a later clock. Only a higher incarnation outranks that.
        """
        own = self._copy_own()
        own.incarnation = max(own.incarnation, told.incarnation)
        self._raise_own(own)

    def _put(self, member: control_pb2.Member) -> None:
        held = self._members.get(member.id)
        if held is None or _differs(held, member):
            _note_change(member)
        if held is not None:
            self._count_digest(held)
            self._forget_upstream(held)
            self._usable_count -= held.state in _USABLE
        self._members[member.id] = member
        self._usable_count += member.state in _USABLE
        self._suspects.discard(member.id)
        if member.state == control_pb2.SUSPECT:
            self._suspects.add(member.id)
        self._changed_at[member.id] = self._clock()
        self._count_digest(member)
        self._add_upstream(member)
        for notify in self.on_change:
            notify(member)

    def _count_digest(self, member: control_pb2.Member) -> None:
        """Adds a record to the digests, or takes it out again (XOR)."""
        if member.state in _GONE:
            return
        digest = _compute_digest(member)
        self.digest ^= digest
        self.bucket_digests[get_bucket(member.id)] ^= digest

    def _forget_upstream(self, member: control_pb2.Member) -> None:
        service = member.backend.service
        if self._served.get(service, {}).pop(member.id, None) is not None:
            self._upstreams.pop(service, None)

    def _add_upstream(self, member: control_pb2.Member) -> None:
        backend = member.backend
        ready = backend.state == control_pb2.READY
        if not ready or member.state not in _USABLE:
            return
        served = self._served.setdefault(backend.service, {})
        served[member.id] = Upstream(
            member.id,
            member.address,
            member.peer_port,
            member.zone,
            member.region,
            backend.slots,
            backend.ready_since_ms,
            member.state == control_pb2.SUSPECT,
            backend.version,
        )
        self._upstreams.pop(backend.service, None)


def outranks(one: control_pb2.Member, other: control_pb2.Member) -> bool:
    """Tells whether a record of a member goes before another of it.

    A total order (incarnation, then state, then bytes), so that any order of
    arrival leaves the same record.
    """
    if one.incarnation != other.incarnation:
        return one.incarnation > other.incarnation
    if one.state != other.state:
        return one.state > other.state
    return _serialize(one) > _serialize(other)


def get_bucket(member_id: str) -> int:
    """Returns the bucket of a member."""
    digest = hashlib.blake2b(member_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % BUCKETS


def is_gone(member: control_pb2.Member) -> bool:
    """Tells whether a member left or died."""
    return member.state in _GONE


def is_dead(member: control_pb2.Member) -> bool:
    """Tells whether a member is held for dead."""
    return member.state == control_pb2.DEAD


def _differs(one: control_pb2.Member, other: control_pb2.Member) -> bool:
    """Tells whether calls are sent otherwise by one record than by another."""
    return (
        one.state != other.state
        or one.backend.state != other.backend.state
        or one.backend.service != other.backend.service
    )


def _note_change(member: control_pb2.Member) -> None:
    events.note(
        "member changed",
        member=member.id,
        zone=member.zone,
        incarnation=member.incarnation,
        state=control_pb2.MemberState.Name(member.state).lower(),
        service=member.backend.service,
        backend=control_pb2.BackendState.Name(member.backend.state).lower(),
    )


def _serialize(member: control_pb2.Member) -> bytes:
    return member.SerializeToString(deterministic=True)


def _compute_digest(member: control_pb2.Member) -> int:
    digest = hashlib.blake2b(_serialize(member), digest_size=8).digest()
    return int.from_bytes(digest, "big")

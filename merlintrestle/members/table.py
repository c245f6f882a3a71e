"""Table of the members and upstreams of the fleet."""

from __future__ import annotations

import hashlib
import time
from typing import NamedTuple, TYPE_CHECKING

from merlintrestle import decoding
from merlintrestle import events as event_logs
from merlintrestle.members import validation
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

events = event_logs.EventLog("members")

# Number of buckets of member records. Anti-entropy compares a digest of each.
BUCKETS = 64
# Time for which the record of a member that left or died is kept, so that an
# outdated record of it as alive is not merged.
GONE_RETENTION_S = 600.0

# A member is either gone or usable; `MEMBER_STATE_UNSPECIFIED` is neither.
_GONE_STATES = (control_pb2.LEAVING, control_pb2.DEAD)
_USABLE_STATES = (control_pb2.ALIVE, control_pb2.SUSPECT)


class Upstream(NamedTuple):
    """A backend server that is called through its daemon.

    Attributes:
        member_id: Id of its daemon, "ip:control_port".
        address: IP address of the daemon, without a port.
        peer_port: Port of the daemon for calls from peers.
        zone: Availability zone.
        region: Region.
        slots: Number of calls that the backend server runs concurrently.
        ready_since_ms: Time when the backend server became ready, in ms since
            1970.
        suspect: Whether the daemon is suspected to have failed.
        version: Version of the backend server's software; empty if unknown.
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
    """The records of all members known to this daemon, itself included.

    Of two records of a member, the superseding one is kept, so that records can
    arrive in any order and more than once. A member is gone if it has left or
    died, and usable if it is alive or suspect.

    Attributes:
        local_id: Id of this daemon.
        digest: XOR of the digests of all records whose member is not gone.
        bucket_digests: XOR of these digests for each bucket.
        on_change: Called with each record after it was stored.
    """

    def __init__(
        self,
        local_member: control_pb2.Member,
        get_time: Callable[[], float] = time.monotonic,
    ):
        """Initializes the table with this daemon as the only member.

        Args:
            local_member: Record of this daemon. If it has no incarnation, the
                time in ms is used, which is above the incarnation of any
                earlier process at the same address.
            get_time: Returns the monotonic time in seconds.
        """
        self.local_id = local_member.id
        self.digest = 0
        self.bucket_digests = [0] * BUCKETS
        self.on_change: list[Callable[[control_pb2.Member], None]] = []
        self._get_time = get_time
        self._members: dict[str, control_pb2.Member] = {}
        self._usable_count = 0
        self._suspects: set[str] = set()
        self._changed_at: dict[str, float] = {}
        # What earlier processes of each daemon announced, by member id.
        self._earlier_leaving: dict[str, control_pb2.LeavingProcess] = {}
        self._upstreams_by_service: dict[str, dict[str, Upstream]] = {}
        self._cached_upstreams: dict[str, tuple[Upstream, ...]] = {}
        record = control_pb2.Member()
        record.CopyFrom(local_member)
        record.incarnation = (
            local_member.incarnation or time.time_ns() // 1_000_000
        )
        record.process = local_member.process or record.incarnation
        record.state = control_pb2.ALIVE
        self._put(record)

    @property
    def local_member(self) -> control_pb2.Member:
        """The record of this daemon."""
        return self._members[self.local_id]

    def get(self, member_id: str) -> control_pb2.Member | None:
        """Returns the record of a member."""
        return self._members.get(member_id)

    def list_members(self) -> list[control_pb2.Member]:
        """Returns the records of all members, including those that are gone."""
        return list(self._members.values())

    def list_suspects(self) -> list[str]:
        """Returns the ids of suspect members."""
        return list(self._suspects)

    def list_usable_ids(self) -> list[str]:
        """Returns the ids of usable members, including the local one."""
        return [
            member.id
            for member in self._members.values()
            if member.state in _USABLE_STATES
        ]

    def count_daemons(self) -> int:
        """Returns the number of usable members."""
        return self._usable_count

    def get_upstreams(self, service: str) -> tuple[Upstream, ...]:
        """Returns the upstreams of a service, ordered by member id.

        Returns the same tuple until an upstream of the service changes.
        """
        upstreams = self._cached_upstreams.get(service)
        if upstreams is None:
            by_member = self._upstreams_by_service.get(service, {})
            upstreams = tuple(
                by_member[member_id] for member_id in sorted(by_member)
            )
            self._cached_upstreams[service] = upstreams
        return upstreams

    def get_record_age(self, member_id: str) -> float:
        """Returns the time since the record of a member changed, in seconds."""
        return self._get_time() - self._changed_at[member_id]

    def shift_record_times(self, pause_s: float) -> None:
        """Excludes a pause of this daemon from the ages of all records.

        Args:
            pause_s: Duration of the pause in seconds.
        """
        for member_id in self._changed_at:
            self._changed_at[member_id] += pause_s

    def set_backend(self, backend: control_pb2.Backend | None) -> None:
        """Announces the local backend server, or that there is none."""
        local = self._copy_local()
        local.ClearField("backend")
        if backend is not None:
            local.backend.CopyFrom(backend)
        self._update_local(local)

    def set_leaving(self, process: control_pb2.LeavingProcess) -> None:
        """Announces a process of the backend server that drains or has left.

        Other daemons tell it to this daemon again after a restart.
        """
        local = self._copy_local()
        local.leaving.CopyFrom(process)
        self._update_local(local)

    def get_earlier_leaving(
        self, member_id: str
    ) -> control_pb2.LeavingProcess | None:
        """Returns what earlier processes of a daemon announced as leaving."""
        return self._earlier_leaving.get(member_id)

    def set_peer_port(self, port: int) -> None:
        """Announces the bound port for calls from peers."""
        local = self._copy_local()
        local.peer_port = port
        self._update_local(local)

    def leave(self) -> None:
        """Announces that this daemon is leaving and accepts no new calls."""
        local = self._copy_local()
        local.state = control_pb2.LEAVING
        if local.HasField("backend"):
            local.backend.state = control_pb2.DRAINING
        self._update_local(local)

    def merge(self, member: control_pb2.Member) -> bool:
        """Stores a record if it is valid and supersedes the stored one.

        If the record is about this daemon, it is refuted instead.

        Returns:
            Whether the record was stored or refuted.
        """
        held = self._members.get(member.id)
        if held is not None and not supersedes(member, held):
            return False
        if problem := validation.find_error(member):
            decoding.count_refused("member record")
            events.warn("record refused", member=member.id, error=problem)
            return False
        if member.id == self.local_id:
            self._refute(member)
            return True
        copy = control_pb2.Member()
        copy.CopyFrom(member)
        self._put(copy)
        return True

    def set_state(self, member_id: str, state: control_pb2.MemberState) -> bool:
        """Sets the state of another member at its current incarnation.

        Only a state with a higher number than the current one has an effect;
        see `supersedes`.

        Returns:
            Whether the state was set.
        """
        held = self._members[member_id]
        changed = control_pb2.Member()
        changed.CopyFrom(held)
        changed.state = state
        return self.merge(changed)

    def list_buckets(self, buckets: Iterable[int]) -> list[control_pb2.Member]:
        """Returns the records in the given buckets, including gone members."""
        wanted = set(buckets)
        return [
            member
            for member in self._members.values()
            if get_bucket(member.id) in wanted
        ]

    def remove_gone(self) -> None:
        """Removes records of members gone for more than `GONE_RETENTION_S`."""
        for member in self.list_members():
            if member.id == self.local_id or member.state not in _GONE_STATES:
                continue
            if self.get_record_age(member.id) > GONE_RETENTION_S:
                del self._members[member.id]
                del self._changed_at[member.id]
                self._earlier_leaving.pop(member.id, None)

    def _copy_local(self) -> control_pb2.Member:
        local = control_pb2.Member()
        local.CopyFrom(self.local_member)
        return local

    def _update_local(self, local: control_pb2.Member) -> None:
        local.incarnation += 1
        self._put(local)

    def _refute(self, record: control_pb2.Member) -> None:
        """Raises the local incarnation above that of a record from a peer.

        Either other daemons consider this daemon dead or suspect, or the record
        is that of an earlier process at the same address whose clock was ahead.
        Only a higher incarnation supersedes such a record.

        Args:
            record: Record of this daemon that supersedes the local one.
        """
        local = self._copy_local()
        local.incarnation = max(local.incarnation, record.incarnation)
        self._update_local(local)

    def _put(self, member: control_pb2.Member) -> None:
        held = self._members.get(member.id)
        if held is None or _changes_routing(held, member):
            _log_change(member)
        if held is not None:
            if held.process != member.process and held.HasField("leaving"):
                self._earlier_leaving[member.id] = held.leaving
            self._toggle_digest(held)
            self._remove_upstream(held)
            self._usable_count -= held.state in _USABLE_STATES
        self._members[member.id] = member
        self._usable_count += member.state in _USABLE_STATES
        self._suspects.discard(member.id)
        if member.state == control_pb2.SUSPECT:
            self._suspects.add(member.id)
        self._changed_at[member.id] = self._get_time()
        self._toggle_digest(member)
        self._add_upstream(member)
        for callback in self.on_change:
            callback(member)

    def _toggle_digest(self, member: control_pb2.Member) -> None:
        """Adds a record to the digests or removes it from them, both by XOR."""
        if member.state in _GONE_STATES:
            return
        digest = _compute_digest(member)
        self.digest ^= digest
        self.bucket_digests[get_bucket(member.id)] ^= digest

    def _remove_upstream(self, member: control_pb2.Member) -> None:
        service = member.backend.service
        if (
            self._upstreams_by_service.get(service, {}).pop(member.id, None)
            is not None
        ):
            self._cached_upstreams.pop(service, None)

    def _add_upstream(self, member: control_pb2.Member) -> None:
        backend = member.backend
        ready = backend.state == control_pb2.READY
        if not ready or member.state not in _USABLE_STATES:
            return
        by_member = self._upstreams_by_service.setdefault(backend.service, {})
        by_member[member.id] = Upstream(
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
        self._cached_upstreams.pop(backend.service, None)


def supersedes(
    record: control_pb2.Member, other_record: control_pb2.Member
) -> bool:
    """Returns whether a record of a member supersedes another record of it.

    Records have a total order (incarnation, then state, then bytes), so that
    the result does not depend on the order of arrival.
    """
    if record.incarnation != other_record.incarnation:
        return record.incarnation > other_record.incarnation
    if record.state != other_record.state:
        return record.state > other_record.state
    return _serialize(record) > _serialize(other_record)


def get_bucket(member_id: str) -> int:
    """Returns the bucket that contains a member's record."""
    digest = hashlib.blake2b(member_id.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % BUCKETS


def is_gone(member: control_pb2.Member) -> bool:
    """Returns whether a member has left or died."""
    return member.state in _GONE_STATES


def is_dead(member: control_pb2.Member) -> bool:
    """Returns whether a member is considered dead."""
    return member.state == control_pb2.DEAD


def _changes_routing(
    record: control_pb2.Member, other_record: control_pb2.Member
) -> bool:
    """Returns whether the difference of two records affects call routing."""
    return (
        record.state != other_record.state
        or record.backend.state != other_record.backend.state
        or record.backend.service != other_record.backend.service
    )


def _log_change(member: control_pb2.Member) -> None:
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

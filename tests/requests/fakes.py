"""Fakes of the interfaces that the data path uses."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle.store import client
from merlintrestle.store import eras

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot
    from merlintrestle.members import table


class FakeClock:
    """A clock that is set by the test.

    Attributes:
        now: Current time in seconds.
    """

    def __init__(self) -> None:
        self.now = 1000.0

    def get_time(self) -> float:
        """Returns the current time in seconds."""
        return self.now


class FakeActiveVersion:
    """A fake `interfaces.ActiveVersion` whose version is set by the test.

    Attributes:
        active_snapshot: Snapshot of the active version; None while the daemon
            is closed, that is, while it refuses all calls.
        closed_reason: Why the daemon is closed; refusals contain it.
    """

    def __init__(self, active_snapshot: snapshot.Snapshot | None):
        self.active_snapshot = active_snapshot
        self.closed_reason = "no floor is known"


class FakeMemberTable:
    """A fake `interfaces.MemberTable` whose upstreams are set by the test.

    Attributes:
        upstreams: The upstreams by service.
    """

    def __init__(self) -> None:
        self.upstreams: dict[str, tuple[table.Upstream, ...]] = {}

    def get_upstreams(self, service: str) -> tuple[table.Upstream, ...]:
        """Returns the upstreams of a service."""
        return self.upstreams.get(service, ())

    def count_daemons(self) -> int:
        """Returns the number of daemons."""
        return 1


class Fault(enum.Enum):
    """Fault of one call of the store."""

    NONE = enum.auto()
    # The request does not arrive.
    REQUEST_LOST = enum.auto()
    # The request takes effect, but its reply is lost.
    REPLY_LOST = enum.auto()
    # The caller gets an error, and the request takes effect later.
    DELAYED = enum.auto()
    # A read returns the value from before the last write to its key.
    STALE_READ = enum.auto()


class FakeStore:
    """A fake `interfaces.Store` in memory, with the faults of `Fault`.

    Attributes:
        now: Its current time in seconds, by which leases expire.
        faults: Faults of the next calls, in this order.
        fault: Fault of all calls after those of `faults`.
        writes: Number of writes, deletions and lease requests that arrived.
        era: Era of the store.
    """

    def __init__(self) -> None:
        self.era = eras.StoreEra()
        self.now = 0.0
        self.faults: list[Fault] = []
        self.fault = Fault.NONE
        self.writes = 0
        self._entries: dict[str, client.Entry] = {}
        self._leases: dict[int, float] = {}
        self._last_lease_id = 0
        self._entry_leases: dict[str, int] = {}
        self._revision = 0
        self._delayed_writes: list[tuple[str, bytes, int, int]] = []
        self._previous_entries: dict[str, client.Entry | None] = {}

    async def get(self, key: str) -> client.Entry | None:
        """Reads one key."""
        fault = self._take_fault()
        if fault is Fault.STALE_READ:
            return self._previous_entries.get(key)
        if fault is not Fault.NONE:
            raise errors.StoreUnavailableError("no answer")
        return self._read(key)

    async def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> client.WriteReply:
        """Writes a key if it still has the expected revision."""
        fault = self._take_fault()
        write = (key, value, expected_revision, lease_id)
        if fault is Fault.DELAYED:
            self._delayed_writes.append(write)
        if fault in (Fault.REQUEST_LOST, Fault.DELAYED):
            raise errors.StoreUnknownOutcomeError("no answer")
        reply = self._put(*write)
        if fault is Fault.REPLY_LOST:
            raise errors.StoreUnknownOutcomeError("no answer")
        return reply

    async def delete(self, key: str, expected_revision: int) -> bool:
        """Deletes a key if it still has the expected revision."""
        fault = self._take_fault()
        if fault in (Fault.REQUEST_LOST, Fault.DELAYED):
            raise errors.StoreUnknownOutcomeError("no answer")
        self.writes += 1
        entry = self._read(key)
        if entry is None or entry.revision != expected_revision:
            return False
        self._previous_entries[key] = self._entries.pop(key)
        if fault is Fault.REPLY_LOST:
            raise errors.StoreUnknownOutcomeError("no answer")
        return True

    async def grant_lease(self, seconds: int) -> int:
        """Opens a lease and returns its id."""
        if self._take_fault() not in (Fault.NONE, Fault.STALE_READ):
            raise errors.StoreUnknownOutcomeError("no answer")
        self.writes += 1
        self._last_lease_id += 1
        lease_id = self._last_lease_id
        self._leases[lease_id] = self.now + seconds
        return lease_id

    def come_back(self) -> None:
        """Loses all keys and leases, and begins a new era.

        Revisions and lease ids are given out again.
        """
        era = (self.era.current or 0) + 1
        self._leases.clear()
        self._entries.clear()
        self._revision = eras.qualify(1, era)
        self._last_lease_id = eras.qualify(1, era)
        self.era.learn(era)

    def lose_leases(self) -> None:
        """Deletes all leases and keys, as the restore of a backup may do."""
        self._leases.clear()
        self._entries.clear()

    def apply_delayed_writes(self) -> None:
        """Applies the writes with the fault `DELAYED`."""
        for write in self._delayed_writes:
            self._put(*write)
        self._delayed_writes.clear()

    def _take_fault(self) -> Fault:
        return self.faults.pop(0) if self.faults else self.fault

    def _read(self, key: str) -> client.Entry | None:
        if key not in self._entries:
            return None
        if self._leases[self._entry_leases[key]] <= self.now:
            del self._entries[key]
            return None
        return self._entries[key]

    def _put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int
    ) -> client.WriteReply:
        self.writes += 1
        if lease_id not in self._leases:
            raise errors.StoreUnknownOutcomeError("no such lease")
        entry = self._read(key) or client.Entry(key, b"", 0)
        if entry.revision != expected_revision:
            return client.WriteReply(False, entry)
        self._revision += 1
        self._previous_entries[key] = self._entries.get(key)
        entry = client.Entry(key, value, self._revision)
        self._entries[key] = entry
        self._entry_leases[key] = lease_id
        return client.WriteReply(True, entry)

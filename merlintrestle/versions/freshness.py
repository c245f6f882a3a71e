"""How recently this daemon's version was known to be the newest one.

A proof of freshness is a pair of a version and a time: nothing newer than the
version had been accepted at that time. It comes from a read of the store or
from the answer of another daemon, and counts from before the request was sent.
A message that was not requested proves nothing, as it may have been delayed.
"""

from __future__ import annotations

import math
from typing import NamedTuple, Protocol, TYPE_CHECKING

from merlintrestle import clocks
from merlintrestle import events as event_logs
from merlintrestle.versions import confirmed_keys

if TYPE_CHECKING:
    from collections.abc import Callable

    from merlintrestle.documents import snapshot as snapshot_lib

events = event_logs.EventLog("versions")

# Subtracted from the limit: a request is admitted some time after its caller
# sent it, and clocks of different hosts do not run at exactly the same rate.
_MARGIN_S = 0.1
# When a refused caller should try again. A daemon that is too stale asks for a
# proof several times within this time.
_RETRY_AFTER_S = 1.0


class Proof(NamedTuple):
    """A proof of freshness.

    Attributes:
        version: Nothing newer than this version had been accepted.
        time: At this time of `get_boot_time`, in seconds.
    """

    version: int
    time: float


class ActiveVersion(Protocol):
    """The active version of the daemon."""

    active_snapshot: snapshot_lib.Snapshot | None

    @property
    def version(self) -> int:
        """The active version; 0 if there is none."""


class Freshness:
    """The proofs of freshness of this daemon.

    Attributes:
        limit_s: Time after the acceptance of a version after which no daemon
            serves the API keys that it removed, in seconds; 0: no limit.
        keys: Keys of a version that this daemon cannot use.
        on_stale: Called for each request that is refused; it may be called
            often.
    """

    def __init__(
        self,
        limit_s: float,
        active_version: ActiveVersion,
        get_time: Callable[[], float] = clocks.get_boot_time,
    ):
        """Starts without a proof.

        Args:
            limit_s: The limit in seconds; 0: none.
            active_version: The active version.
            get_time: Returns a time that includes freezes, in seconds.
        """
        self.limit_s = limit_s
        self.keys = confirmed_keys.ConfirmedKeys(active_version)
        self.on_stale: Callable[[], None] = lambda: None
        self._active_version = active_version
        self._get_time = get_time
        # Proofs of which none is both as recent and of as low a version as
        # another, the lowest version and so the earliest time first.
        self._proofs: list[Proof] = []
        # Versions that were known to be accepted, and since when; the versions
        # and times rise.
        self._known_versions: list[Proof] = []
        self._stale_since: float | None = None
        self._refused = 0

    def get_time(self) -> float:
        """Returns the time from which proofs count, in seconds."""
        return self._get_time()

    def is_required(self) -> bool:
        """Returns whether any request needs a proof."""
        snapshot = self._active_version.active_snapshot
        return (
            self.limit_s > 0
            and snapshot is not None
            and snapshot.requires_api_keys
        )

    def has_version(self) -> bool:
        """Returns whether any version is active."""
        return self._active_version.active_snapshot is not None

    def learn_version(self, version: int) -> None:
        """Records that a version is known to have been accepted.

        The store may come back from a copy that has only an earlier one. Reads
        that return that one prove nothing from now on: what the store lost may
        include versions that no daemon has read. They count again as soon as
        the store has this version or a later one.
        """
        known = self._known_versions
        if not self.limit_s or (known and version <= known[-1].version):
            return
        now = self._get_time()
        # Only proofs within the limit are used. They are compared with the
        # versions known at their time, hence the last earlier one is kept.
        oldest = now - self.limit_s
        while len(known) > 1 and known[1].time < oldest:
            del known[0]
        known.append(Proof(version, now))

    def record_read(self, version: int, asked_at: float) -> None:
        """Records a read of the store.

        Args:
            version: Version that the store returned.
            asked_at: Time before the request was sent.
        """
        if not self.limit_s or any(
            known.version > version and known.time <= asked_at
            for known in self._known_versions
        ):
            return
        if any(
            proof.version <= version and proof.time >= asked_at
            for proof in self._proofs
        ):
            return
        oldest = self._get_time() - self.limit_s
        proofs = [
            proof
            for proof in self._proofs
            if proof.time > oldest
            and not (proof.version >= version and proof.time <= asked_at)
        ]
        self._proofs = sorted([*proofs, Proof(version, asked_at)])

    def record_answer(
        self, version: int, age_s: float, asked_at: float
    ) -> None:
        """Records the proof that another daemon answered.

        Args:
            version: Version of its proof.
            age_s: Age of its proof at the time of the answer.
            asked_at: Time before the question was sent.
        """
        self.record_read(version, asked_at - age_s)

    def is_fresh(self) -> bool:
        """Returns whether a request with an API key may be admitted now."""
        if not self.limit_s:
            return True
        fresh = self.get_age() < self.limit_s - _MARGIN_S
        if not fresh:
            self._count_refusal()
        elif self._stale_since is not None:
            events.note(
                "calls with keys served again",
                after_s=round(self._get_time() - self._stale_since, 1),
                refused=self._refused,
            )
            self._stale_since = None
        return fresh

    def is_stale(self) -> bool:
        """Returns whether requests with API keys are refused."""
        return self.is_required() and self.get_age() >= self.limit_s - _MARGIN_S

    def get_retry_after_s(self) -> float:
        """Returns when a refused caller should try again, in seconds."""
        return _RETRY_AFTER_S

    def get_age(self) -> float:
        """Returns the age of the latest usable proof; infinite if none.

        A proof is usable while the keys that are applied to requests are those
        of its version or of a later one.
        """
        version = self.keys.get_version()
        for proof in reversed(self._proofs):
            if proof.version <= version:
                return self._get_time() - proof.time
        return math.inf

    def get_newest_proof(self) -> Proof | None:
        """Returns the latest proof, which may be of a later version."""
        return self._proofs[-1] if self._proofs else None

    def find_workspace(
        self, active_snapshot: snapshot_lib.Snapshot, key_digest: bytes
    ) -> snapshot_lib.Workspace | confirmed_keys.NoWorkspace:
        """Returns the workspace of an API key, see `ConfirmedKeys`."""
        return self.keys.find_workspace(active_snapshot, key_digest)

    def is_behind(self) -> bool:
        """Returns whether a newer version is known that cannot be used."""
        return self.keys.get() is not None

    def _count_refusal(self) -> None:
        if self._stale_since is None:
            self._stale_since = self._get_time()
            self._refused = 0
            age_s = self.get_age()
            events.warn(
                "calls with keys refused",
                reason="the newest version may be unknown",
                version=self._active_version.version,
                proof_age_s=round(age_s, 1) if age_s < math.inf else None,
            )
        self._refused += 1
        self.on_stale()

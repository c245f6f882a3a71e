"""Archive of the newest snapshots of a daemon, from which peers fetch."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from merlintrestle.schema import control_pb2
from merlintrestle.versions import deltas

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.schema import document_pb2

# Snapshots that can be the base of a delta; they share unchanged resources.
_MAX_SNAPSHOTS = 8


class Archive:
    """Snapshots that were received and checked, active or not.

    Attributes:
        newest: The snapshot with the highest version; None if there is none.
    """

    def __init__(self) -> None:
        self.newest: snapshot_lib.Snapshot | None = None
        self._snapshots: collections.deque[snapshot_lib.Snapshot] = (
            collections.deque(maxlen=_MAX_SNAPSHOTS)
        )
        self._deltas: dict[int, document_pb2.Delta] = {}

    @property
    def version(self) -> int:
        """The version of `newest`; 0 if there is none."""
        return self.newest.version if self.newest is not None else 0

    def add(self, snapshot: snapshot_lib.Snapshot) -> bool:
        """Adds a snapshot; returns False if it is not newer than `newest`."""
        if snapshot.version <= self.version:
            return False
        self.newest = snapshot
        self._snapshots.append(snapshot)
        self._deltas.clear()
        return True

    def get(self, version: int) -> snapshot_lib.Snapshot | None:
        """Returns the snapshot of a version; None if it is not kept."""
        for snapshot in self._snapshots:
            if snapshot.version == version:
                return snapshot
        return None

    def get_offer(self) -> control_pb2.Offer | None:
        """Returns the offer of the newest version; None if there is none."""
        return deltas.build_offer(self.newest) if self.newest else None

    def get_delta(
        self, peer_offer: control_pb2.Offer | None
    ) -> document_pb2.Delta | None:
        """Returns the delta from a peer's version to the newest version.

        Args:
            peer_offer: Version and digest of the peer's newest snapshot; None
                if they are unknown.

        Returns:
            None if the peer's snapshot is unknown, equal or newer, or if it is
            not kept here.
        """
        if peer_offer is None or self.newest is None:
            return None
        if peer_offer.version >= self.newest.version:
            return None
        for base in self._snapshots:
            if deltas.matches(base, peer_offer):
                return self._make_delta(base)
        return None

    def answer_fetch(
        self, request: control_pb2.FetchRequest
    ) -> control_pb2.FetchReply:
        """Returns the newest version, as a delta if the base is kept."""
        reply = control_pb2.FetchReply()
        if self.newest is None:
            return reply
        reply.offer.CopyFrom(deltas.build_offer(self.newest))
        delta = None if request.whole else self.get_delta(request.held)
        if delta is not None:
            reply.delta.CopyFrom(delta)
        else:
            reply.snapshot.CopyFrom(deltas.build_snapshot_message(self.newest))
        return reply

    def _make_delta(
        self, base: snapshot_lib.Snapshot
    ) -> document_pb2.Delta | None:
        delta = self._deltas.get(base.version)
        if delta is None and self.newest is not None:
            delta = deltas.build_delta(base, self.newest)
            self._deltas[base.version] = delta
        return delta

"""The newest snapshots a daemon holds, to give to peers."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from merlintrestle.schema import control_pb2
from merlintrestle.versions import deltas

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot as snapshot_lib
    from merlintrestle.schema import document_pb2

# Bases for which deltas can be made; resources that did not change are shared.
_KEPT = 8


class Archive:
    """Snapshots received and checked, whether or not they run yet.

    Attributes:
        newest: The highest version held; None at first.
    """

    def __init__(self) -> None:
        self.newest: snapshot_lib.Snapshot | None = None
        self._kept: collections.deque[snapshot_lib.Snapshot] = (
            collections.deque(maxlen=_KEPT)
        )
        self._deltas: dict[int, document_pb2.Delta] = {}

    @property
    def version(self) -> int:
        """The highest version held; 0: none."""
        return self.newest.version if self.newest is not None else 0

    def add(self, snapshot: snapshot_lib.Snapshot) -> bool:
        """Keeps a snapshot if it is newer; True if it is."""
        if snapshot.version <= self.version:
            return False
        self.newest = snapshot
        self._kept.append(snapshot)
        self._deltas.clear()
        return True

    def get(self, version: int) -> snapshot_lib.Snapshot | None:
        """Returns a version that is still kept."""
        for snapshot in self._kept:
            if snapshot.version == version:
                return snapshot
        return None

    def get_offer(self) -> control_pb2.Offer | None:
        """Returns the offer of the newest version."""
        return deltas.make_offer(self.newest) if self.newest else None

    def get_delta(
        self, held: control_pb2.Offer | None
    ) -> document_pb2.Delta | None:
        """Returns the delta from what a peer holds; None: base not kept."""
        if held is None or self.newest is None:
            return None
        if held.version >= self.newest.version:
            return None
        for base in self._kept:
            if deltas.matches(base, held):
                return self._make_delta(base)
        return None

    def answer_fetch(
        self, request: control_pb2.FetchRequest
    ) -> control_pb2.FetchReply:
        """Returns the newest version as a delta where that can be."""
        reply = control_pb2.FetchReply()
        if self.newest is None:
            return reply
        reply.offer.CopyFrom(deltas.make_offer(self.newest))
        delta = None if request.whole else self.get_delta(request.held)
        if delta is not None:
            reply.delta.CopyFrom(delta)
        else:
            reply.snapshot.CopyFrom(deltas.pack_snapshot(self.newest))
        return reply

    def _make_delta(
        self, base: snapshot_lib.Snapshot
    ) -> document_pb2.Delta | None:
        delta = self._deltas.get(base.version)
        if delta is None and self.newest is not None:
            delta = deltas.make_delta(base, self.newest)
            self._deltas[base.version] = delta
        return delta

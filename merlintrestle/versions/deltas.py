"""Deltas between snapshots and conversion of snapshots to messages."""

from __future__ import annotations

from merlintrestle import errors
from merlintrestle.documents import loader
from merlintrestle.documents import snapshot as snapshot_lib
from merlintrestle.schema import control_pb2
from merlintrestle.schema import document_pb2


def build_offer(snapshot: snapshot_lib.Snapshot) -> control_pb2.Offer:
    """Returns the version and digest of a snapshot, as sent to peers."""
    return control_pb2.Offer(version=snapshot.version, digest=snapshot.digest)


def matches(snapshot: snapshot_lib.Snapshot, offer: control_pb2.Offer) -> bool:
    """Returns whether a snapshot has the version and digest of an offer."""
    same_version = snapshot.version == offer.version
    return same_version and snapshot.digest == offer.digest


def build_delta(
    base: snapshot_lib.Snapshot, target: snapshot_lib.Snapshot
) -> document_pb2.Delta:
    """Returns the delta from a base snapshot to a target snapshot."""
    delta = document_pb2.Delta(
        base_version=base.version,
        base_digest=base.digest,
        version=target.version,
        digest=target.digest,
        removed=sorted(base.resources.keys() - target.resources.keys()),
    )
    changed = [
        name
        for name, value in target.resources.items()
        if base.resources.get(name) != value
    ]
    for name in sorted(changed):
        delta.changed.add(name=name, value=target.resources[name])
    return delta


def apply_delta(
    base: snapshot_lib.Snapshot | None, delta: document_pb2.Delta
) -> snapshot_lib.Snapshot:
    """Applies a delta to a copy of its base.

    Raises:
        errors.SnapshotError: The base does not match the delta, or the
            resulting snapshot has another digest or is not valid.
    """
    if base is None or base.version != delta.base_version:
        raise errors.SnapshotError(
            f"the base of the delta, version {delta.base_version}, is not held"
        )
    if base.digest != delta.base_digest:
        raise errors.SnapshotError("the base of the delta has another digest")
    changed = {resource.name: resource.value for resource in delta.changed}
    return loader.load_changes(
        delta.version, base, changed, delta.removed, delta.digest
    )


def build_snapshot_message(
    snapshot: snapshot_lib.Snapshot,
) -> document_pb2.Snapshot:
    """Converts a snapshot to a message."""
    snapshot_message = document_pb2.Snapshot(version=snapshot.version)
    for name in sorted(snapshot.resources):
        snapshot_message.resources.add(
            name=name, value=snapshot.resources[name]
        )
    return snapshot_message


def load_snapshot_message(
    snapshot_message: document_pb2.Snapshot, digest: bytes
) -> snapshot_lib.Snapshot:
    """Converts a message to a snapshot.

    Raises:
        errors.SnapshotError: The snapshot has another digest or is not valid.
    """
    resources = {item.name: item.value for item in snapshot_message.resources}
    return loader.load_snapshot(
        snapshot_message.version, resources, None, digest
    )

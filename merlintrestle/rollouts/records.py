"""Merging of roll-out records, independent of their order and repetition."""

from __future__ import annotations

from merlintrestle.schema import control_pb2

ENDED = (control_pb2.COMPLETE, control_pb2.ROLLED_BACK)
# Bounds for records that another writer of the store may have left.
_MAX_NAME_LENGTH = 200
_MAX_CLASSES = 100


def find_fault(rollout: control_pb2.Rollout) -> str:
    """Returns why an order cannot be carried out; empty: it can."""
    if not rollout.service or len(rollout.service) > _MAX_NAME_LENGTH:
        return f"service {rollout.service[:_MAX_NAME_LENGTH]!r} is not allowed."
    if fault := find_version_fault(rollout.version):
        return fault
    if not rollout.number:
        return "it has no number."
    return "" if rollout.within_ms else "it has no time."


def find_version_fault(version: str) -> str:
    """Returns why a service cannot be moved to a version; empty: it can."""
    if not version or len(version) > _MAX_NAME_LENGTH:
        return f"version {version[:_MAX_NAME_LENGTH]!r} is not allowed."
    return ""


def choose_rollout(
    current: control_pb2.Rollout | None, received: control_pb2.Rollout
) -> control_pb2.Rollout | None:
    """Returns the record that replaces the current one; None: it stays.

    A later order takes precedence. The end of an order is never changed: the
    first end that was written to the store is the only one.
    """
    if current is None or received.number > current.number:
        return received
    if received.number < current.number or current.state in ENDED:
        return None
    return received if received.state > current.state else None


def merge_trial(
    current: control_pb2.Trial | None, received: control_pb2.Trial
) -> control_pb2.Trial | None:
    """Merges two records of a backend server.

    A daemon that restarts counts from zero, so the larger of two figures is
    kept. Flags that were set once stay set.

    Returns:
        The merged record; None: the current one stays as it is.
    """
    if current is None or received.number > current.number:
        return _trim(received)
    if received.number < current.number or received == current:
        return None
    merged = control_pb2.Trial()
    merged.CopyFrom(current)
    merged.watched_ms = max(current.watched_ms, received.watched_ms)
    merged.suspect = current.suspect or received.suspect
    merged.drained = current.drained or received.drained
    classes = {record.name: record for record in current.classes}
    for record in received.classes:
        previous = classes.get(record.name)
        if previous is None or record.calls > previous.calls:
            classes[record.name] = record
    del merged.classes[:]
    merged.classes.extend(classes[name] for name in sorted(classes))
    return None if merged == current else _trim(merged)


def _trim(trial: control_pb2.Trial) -> control_pb2.Trial:
    """Returns a copy with at most `_MAX_CLASSES` classes."""
    trimmed = control_pb2.Trial()
    trimmed.CopyFrom(trial)
    del trimmed.classes[_MAX_CLASSES:]
    return trimmed

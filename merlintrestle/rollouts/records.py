"""Validation of orders, and merging of orders and reports.

The result of a merge depends neither on the sequence in which the records are
received nor on how often each is received.
"""

from __future__ import annotations

from merlintrestle.schema import control_pb2
from merlintrestle.store import eras

# Final states of an order. The first one that is written to the store is never
# changed.
FINAL_STATES = (control_pb2.COMPLETE, control_pb2.ROLLED_BACK)
# Limits for records that another program may have written to the store.
_MAX_NAME_CHARACTERS = 200
_MAX_CLASSES = 100


def find_error(rollout: control_pb2.Rollout) -> str:
    """Returns an error message, or an empty string if the order is valid."""
    if not rollout.service or len(rollout.service) > _MAX_NAME_CHARACTERS:
        return (
            f"service {rollout.service[:_MAX_NAME_CHARACTERS]!r}"
            " is not allowed."
        )
    if problem := find_version_error(rollout.version):
        return problem
    if rollout.state not in control_pb2.RolloutState.values():
        # Of a later release; it could neither be compared nor logged.
        return f"state {rollout.state} is not known."
    if not rollout.number:
        return "it has no number."
    return "" if rollout.within_ms else "it has no time."


def find_version_error(version: str) -> str:
    """Returns an error message, or an empty string if the version is valid."""
    if not version or len(version) > _MAX_NAME_CHARACTERS:
        return f"version {version[:_MAX_NAME_CHARACTERS]!r} is not allowed."
    return ""


def choose_rollout(
    current: control_pb2.Rollout | None, received: control_pb2.Rollout
) -> control_pb2.Rollout | None:
    """Chooses between two records of a service's orders.

    A later order takes precedence. Of two records of the same order, the one
    with the more advanced state does, but a final state is never changed.

    Returns:
        The received record if it replaces the current one, or None if the
        current one is kept.
    """
    if current is None or received.number > current.number:
        return received
    if received.number < current.number or current.state in FINAL_STATES:
        return None
    return received if received.state > current.state else None


def is_written_again(
    current: control_pb2.Rollout, received: control_pb2.Rollout
) -> bool:
    """Returns whether an order is a known one in a later era of the store.

    A store that came back from a copy has lost the orders since the copy. The
    operators write them again, under numbers of the new era. If such an order
    were taken for a new one, a version that was rolled back would get calls
    again.
    """
    return (
        eras.get_era(received.number) > eras.get_era(current.number)
        and received.service == current.service
        and received.version == current.version
        and received.within_ms == current.within_ms
    )


def renumber_report(
    report: control_pb2.Trial, number: int
) -> control_pb2.Trial:
    """Returns a copy of a report under another number of its order."""
    renumbered = control_pb2.Trial()
    renumbered.CopyFrom(report)
    renumbered.number = number
    return renumbered


def merge_report(
    current: control_pb2.Trial | None, received: control_pb2.Trial
) -> control_pb2.Trial | None:
    """Merges two reports of a backend server.

    A report on a later order replaces the current one. A daemon that restarts
    counts from zero, so the larger of two counts is kept. Flags that have been
    set remain set.

    Returns:
        The merged report, or None if the current one does not change.
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
    classes = {
        class_record.name: class_record for class_record in current.classes
    }
    for class_record in received.classes:
        previous = classes.get(class_record.name)
        if previous is None or class_record.calls > previous.calls:
            classes[class_record.name] = class_record
    del merged.classes[:]
    merged.classes.extend(classes[name] for name in sorted(classes))
    return None if merged == current else _trim(merged)


def _trim(report: control_pb2.Trial) -> control_pb2.Trial:
    """Returns a copy with at most `_MAX_CLASSES` classes."""
    trimmed = control_pb2.Trial()
    trimmed.CopyFrom(report)
    del trimmed.classes[_MAX_CLASSES:]
    return trimmed

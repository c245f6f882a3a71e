"""Records of roll-outs: merged so that order and repetition do not matter."""

from __future__ import annotations

from merlintrestle.schema import control_pb2

ENDED = (control_pb2.COMPLETE, control_pb2.ROLLED_BACK)
# Figures of a roll-out that another writer may have left are bounded by these.
_MAX_NAME = 200
_MAX_CLASSES = 100


def find_fault(rollout: control_pb2.Rollout) -> str:
    """Returns why an order cannot be carried out; empty: it can."""
    if not rollout.service or len(rollout.service) > _MAX_NAME:
        return f"service {rollout.service[:_MAX_NAME]!r} is not allowed."
    if fault := find_version_fault(rollout.version):
        return fault
    if not rollout.number:
        return "it has no number."
    return "" if rollout.within_ms else "it has no time."


def find_version_fault(version: str) -> str:
    """Returns why a version cannot be moved to; empty: it can."""
    if not version or len(version) > _MAX_NAME:
        return f"version {version[:_MAX_NAME]!r} is not allowed."
    return ""


def choose_rollout(
    held: control_pb2.Rollout | None, told: control_pb2.Rollout
) -> control_pb2.Rollout | None:
    """Returns the record to keep in place of the one held; None: no other.

    A later order goes first. Of one order an end is never taken back: the first
    one that was written to the store is the only one.
    """
    if held is None or told.number > held.number:
        return told
    if told.number < held.number or held.state in ENDED:
        return None
    return told if told.state > held.state else None


def merge_trial(
    held: control_pb2.Trial | None, told: control_pb2.Trial
) -> control_pb2.Trial | None:
    """Returns what two records of a backend server say together.

    A daemon that restarts counts from the beginning; of each figure the greater
    one stays, and what was found once.

    Returns:
        The record to keep; None: the one held says it all.
    """
    if held is None or told.number > held.number:
        return _trim(told)
    if told.number < held.number or told == held:
        return None
    merged = control_pb2.Trial()
    merged.CopyFrom(held)
    merged.watched_ms = max(held.watched_ms, told.watched_ms)
    merged.suspect = held.suspect or told.suspect
    merged.drained = held.drained or told.drained
    classes = {one.name: one for one in held.classes}
    for one in told.classes:
        before = classes.get(one.name)
        if before is None or one.calls > before.calls:
            classes[one.name] = one
    del merged.classes[:]
    merged.classes.extend(classes[name] for name in sorted(classes))
    return None if merged == held else _trim(merged)


def _trim(trial: control_pb2.Trial) -> control_pb2.Trial:
    kept = control_pb2.Trial()
    kept.CopyFrom(trial)
    del kept.classes[_MAX_CLASSES:]
    return kept

"""Roll-outs as the platform's operators order them and read their state."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from merlintrestle import errors
from merlintrestle import rows
from merlintrestle.rollouts import storage
from merlintrestle.schema import control_pb2

if TYPE_CHECKING:
    from merlintrestle.store import client

_STATE_PREFIX = "status/rollout/"
_STATES = {
    control_pb2.RUNNING: "running",
    control_pb2.COMPLETE: "complete",
    control_pb2.ROLLED_BACK: "rolled_back",
}
_MS = 1000
_ERROR = errors.CorruptRecordError
# Longest time of a roll-out, in seconds: a week.
_MAX_WITHIN_S = 604_800


class OperatorsFormat:
    """The records that operators write and read."""

    order_prefix = "op/rollout/"

    def decode_order(self, entry: client.Entry) -> control_pb2.Rollout:
        """Returns the order that an entry holds."""
        fields = rows.parse_object(entry.value, entry.key, _ERROR)
        row = rows.Row(entry.key, fields, _ERROR)
        service = row.get_text("service")
        if entry.key != self.order_prefix + service:
            raise _ERROR(f"{entry.key}: it is of service {service!r}")
        within_s = row.get_seconds("durationS", _MAX_WITHIN_S)
        return control_pb2.Rollout(
            service=service,
            version=row.get_text("targetVersion"),
            number=entry.revision,
            within_ms=max(1, round(within_s * _MS)),
        )

    def build_state_key(self, service: str) -> str:
        """Returns the key of a service's state."""
        return _STATE_PREFIX + service

    def encode_state(
        self, rollout: control_pb2.Rollout, state: control_pb2.RolloutState
    ) -> bytes:
        """Returns a state as operators read it."""
        fields = {
            "service": rollout.service,
            "state": _STATES[state],
            "targetVersion": rollout.version,
        }
        return json.dumps(fields).encode()

    def decode_state(self, value: bytes) -> storage.RecordedState:
        """Returns the state that a value holds."""
        fields = rows.parse_object(value, "roll-out", _ERROR)
        row = rows.Row("roll-out", fields, _ERROR)
        names = {name: state for state, name in _STATES.items()}
        state = names.get(row.get_text("state"))
        if state is None:
            raise _ERROR(f"roll-out: its state is {fields['state']!r}")
        return storage.RecordedState(row.get_text("targetVersion"), state)


OPERATORS_FORMAT = OperatorsFormat()
